package shell

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// eventRow matches a row of the event table. Its first group is the row up to the meaning.
var eventRow = regexp.MustCompile("(?m)^(\\| `\\w+` \\| \\w+ \\| \\w+ \\| [^|]* \\|) ([^|]+) \\|$")

// logCalls returns the first columns of a table row for each log call in a file, and the
// positions of the log calls whose event or keys are not literals.
func logCalls(fset *token.FileSet, file *ast.File) (rows, nonLiteral []string) {
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		level, ok := levelOf(call)
		if !ok {
			return true
		}
		position := fset.Position(call.Pos()).String()
		event := literal(call.Args[0])
		if event == "" || len(call.Args)%2 == 0 {
			nonLiteral = append(nonLiteral, position+": the event is not a literal, or a key has no value")
			return true
		}
		var keys []string
		for i := 1; i < len(call.Args); i += 2 {
			key := literal(call.Args[i])
			if key == "" {
				nonLiteral = append(nonLiteral, position+": a key is not a literal")
			}
			keys = append(keys, "`"+key+"`")
		}
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s | %s |", event, level, file.Name.Name, strings.Join(keys, ", ")))
		return true
	})
	return rows, nonLiteral
}

// levelOf returns the level of a log call. A log call is a call of a level method of a
// variable or field named log, in any case.
func levelOf(call *ast.CallExpr) (string, bool) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Trace", "Debug", "Info", "Warn", "Error"}, method.Sel.Name) {
		return "", false
	}
	name := ""
	switch logger := method.X.(type) {
	case *ast.SelectorExpr:
		name = logger.Sel.Name
	case *ast.Ident:
		name = logger.Name
	}
	return strings.ToLower(method.Sel.Name), strings.EqualFold(name, "log") && len(call.Args) > 0
}

func literal(expression ast.Expr) string {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return ""
	}
	text, _ := strconv.Unquote(basic.Value)
	return text
}

// TestEventsPageListsAllLogCalls collects all log calls from the source code and checks
// that docs/events.md lists exactly these.
func TestEventsPageListsAllLogCalls(t *testing.T) {
	is := is.New(t)
	fset := token.NewFileSet()
	inSource := map[string]bool{}
	for _, root := range []string{"../../internal", "../../pkg", "../../cmd", "../../platform"} {
		is.NoErr(filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			rows, nonLiteral := logCalls(fset, file)
			for _, row := range rows {
				inSource[row] = true
			}
			for _, problem := range nonLiteral {
				t.Error(problem)
			}
			return nil
		}))
	}
	page, err := os.ReadFile("../../docs/events.md")
	is.NoErr(err)
	onPage := map[string]bool{}
	for _, row := range eventRow.FindAllStringSubmatch(string(page), -1) {
		onPage[row[1]] = true
	}
	is.True(len(inSource) > 0)
	for row := range inSource {
		if !onPage[row] {
			t.Errorf("docs/events.md lacks %s MEANING |", row)
		}
	}
	for row := range onPage {
		if !inSource[row] {
			t.Errorf("no log call for %s", row)
		}
	}
}

// TestLogCallsReportsNonLiterals checks that logCalls reports calls whose event or key is
// not a literal.
func TestLogCallsReportsNonLiterals(t *testing.T) {
	is := is.New(t)
	source := "package p\nfunc f() {\n s.Log.Info(name)\n s.log.Warn(`b`, k, 1)\n log.Error(`c`, `k`)\n log.Debug(`d`, `k`, 1)\n}"
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, "f.go", source, parser.SkipObjectResolution)
	is.NoErr(err)
	rows, nonLiteral := logCalls(fset, file)
	is.Equal(len(nonLiteral), 3)
	is.Equal(rows[len(rows)-1], "| `d` | debug | p | `k` |")
}
