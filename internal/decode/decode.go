// Package decode decodes YAML into plain structs and reports the position of every error:
// file, line and column. It collects all errors of a file instead of stopping at the
// first, so that an operator can correct them in one pass.
//
// A mapping is described by a list of fields, each with its key and a function that
// decodes and stores the value:
//
//	r := decode.Reader{File: "node.yaml"}
//	r.Object(value, []decode.Field{
//		{Key: "name", Required: true, Read: decode.Text(&node.Name)},
//		{Key: "drain_timeout", Read: decode.Duration(&node.DrainTimeout, 0, time.Hour)},
//	})
package decode

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

type (
	// Problem is one error in a file, with its position.
	//nolint:errname // mainly a record that is printed or encoded as JSON
	Problem struct {
		File string `json:"file"`
		// Line and Column count from 1; 0 means that the problem concerns the whole file or
		// that its position is unknown.
		Line   int `json:"line"`
		Column int `json:"column"`
		// Path is the path of the field from the document root, such as calls[1] or
		// limits.key_age.
		Path string `json:"path"`
		// Found describes the value at the position; it is empty when a key is missing.
		Found    string `json:"found"`
		Expected string `json:"expected"`
	}

	// Problems holds all errors of one or more files. An empty list is no error; use Err
	// to convert the list to an error value.
	//nolint:errname // named after Problem
	Problems []Problem

	// Value is a YAML node with its path from the document root.
	Value struct {
		Node *yaml.Node
		Path string
	}

	// Field describes one key that a mapping may have.
	Field struct {
		Key      string
		Required bool
		// Read decodes and stores the value. If the value is invalid, Read reports it to
		// the reader and leaves the destination unchanged.
		Read func(r *Reader, value Value)
	}

	// Object is a decoded mapping. Fields holds the values of the known keys, so that later
	// checks can report problems at their positions.
	Object struct {
		Value
		Fields map[string]Value
	}

	// Reader decodes one file and collects its problems.
	Reader struct {
		File     string
		Problems Problems
	}
)

const (
	// maxFoundBytes limits how much of an invalid value an error quotes.
	maxFoundBytes = 60
	// maxSuggestionDistance is the largest edit distance between an unknown key and the
	// key that is suggested for it.
	maxSuggestionDistance = 3
)

var (
	// yamlMessage splits an error message of the YAML library into line number and text.
	// The library omits the number for the first line.
	yamlMessage = regexp.MustCompile(`^yaml: (?:line (\d+): )?(.*)$`)
	// parserMessage matches the messages of the library's parser, which counts lines from
	// 0. The library's scanner counts lines from 1.
	parserMessage = regexp.MustCompile(`^(did not find expected (<.*>|node content|key|'-' indicator|',' or '[\]}]')` +
		`|found (undefined tag handle|incompatible YAML document|duplicate %\w+ directive))$`)
	// scannerMessage matches the beginning of the scanner's messages.
	scannerMessage = regexp.MustCompile(`^(did not find|could not find|found|mapping values|block sequence entries) `)
)

// Error formats the problem as one line, such as
//
//	node.yaml:4:12: relay_listen: expected an IP address and port, found "localhost:7101"
func (p Problem) Error() string {
	var text strings.Builder
	text.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&text, ":%d:%d", p.Line, p.Column)
	}
	text.WriteString(": ")
	if p.Path != "" {
		text.WriteString(p.Path + ": ")
	}
	text.WriteString("expected " + p.Expected)
	if p.Found != "" {
		text.WriteString(", found " + p.Found)
	}
	return text.String()
}

// Error formats the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the problems by file, line and column and returns them as an error, or nil
// if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	sort.SliceStable(p, func(i, j int) bool {
		a, b := p[i], p[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return p
}

// Documents returns the root of each YAML document in data, without empty documents. It
// reports a syntax error and then returns the documents before the error, because the
// rest of the file cannot be parsed.
func (r *Reader) Documents(data []byte) []Value {
	var documents []Value
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var node yaml.Node
		err := decoder.Decode(&node)
		if errors.Is(err, io.EOF) {
			return documents
		}
		if err != nil {
			r.reportSyntaxError(err, data)
			return documents
		}
		if len(node.Content) != 1 || node.Content[0].Tag == "!!null" {
			continue
		}
		documents = append(documents, Value{Node: node.Content[0]})
	}
}

// Object decodes a mapping according to fields and reports unknown, duplicate and missing
// keys.
func (r *Reader) Object(value Value, fields []Field) Object {
	object := Object{Value: value, Fields: map[string]Value{}}
	if value.Node.Kind != yaml.MappingNode {
		r.Report(value, "a mapping")
		return object
	}
	byKey := make(map[string]Field, len(fields))
	for _, field := range fields {
		byKey[field.Key] = field
	}
	r.Each(value, func(key *yaml.Node, child Value) {
		field, known := byKey[key.Value]
		if !known {
			r.reportUnknownKey(Value{Node: key, Path: child.Path}, fields)
			return
		}
		object.Fields[key.Value] = child
		field.Read(r, child)
	})
	for _, field := range fields {
		if _, present := object.Fields[field.Key]; field.Required && !present {
			r.addProblem(Value{Node: value.Node, Path: joinPath(value.Path, field.Key)}, "this key to be set", "")
		}
	}
	return object
}

// Each calls visit with every key of a mapping and its value. It reports duplicate keys
// and keys that are not scalars, and does not visit them.
func (r *Reader) Each(value Value, visit func(key *yaml.Node, child Value)) {
	seen := map[string]int{}
	content := value.Node.Content
	for i := 0; i+1 < len(content); i += 2 {
		key := content[i]
		child := Value{Node: content[i+1], Path: joinPath(value.Path, key.Value)}
		if key.Kind != yaml.ScalarNode {
			r.Report(Value{Node: key, Path: value.Path}, "a plain key")
			continue
		}
		if line, duplicate := seen[key.Value]; duplicate {
			r.addProblem(Value{Node: key, Path: child.Path}, "each key once", "it again after line "+strconv.Itoa(line))
			continue
		}
		seen[key.Value] = key.Line
		visit(key, child)
	}
}

// Report adds a problem at the value and quotes the value.
func (r *Reader) Report(value Value, expected string) {
	r.addProblem(value, expected, describe(value.Node))
}

// Reportf is like Report, with the expectation as a format string and arguments.
func (r *Reader) Reportf(value Value, format string, arguments ...any) {
	r.Report(value, fmt.Sprintf(format, arguments...))
}

// ReportSecret adds a problem at the value without quoting the value.
func (r *Reader) ReportSecret(value Value, expected string) {
	r.addProblem(value, expected, "something else")
}

func (r *Reader) addProblem(value Value, expected, found string) {
	r.Problems = append(r.Problems, Problem{
		File:     r.File,
		Line:     value.Node.Line,
		Column:   value.Node.Column,
		Path:     value.Path,
		Found:    found,
		Expected: expected,
	})
}

func (r *Reader) reportUnknownKey(key Value, fields []Field) {
	names := make([]string, len(fields))
	for i, field := range fields {
		names[i] = field.Key
	}
	expected := "one of the keys " + strings.Join(names, ", ")
	if suggestion := Closest(key.Node.Value, names); suggestion != "" {
		expected = fmt.Sprintf("a known key (did you mean %q?)", suggestion)
	}
	r.Report(key, expected)
}

func (r *Reader) reportSyntaxError(err error, data []byte) {
	problem := Problem{File: r.File, Expected: "valid YAML near here", Found: err.Error()}
	if match := yamlMessage.FindStringSubmatch(err.Error()); match != nil {
		problem.Found = match[2]
		// For input that is truncated, the library reports the line after the last one.
		lastLine := bytes.Count(bytes.TrimRight(data, "\n"), []byte("\n")) + 1
		problem.Line = min(syntaxLine(match[1], match[2]), lastLine)
		problem.Column = min(problem.Line, 1)
	}
	r.Problems = append(r.Problems, problem)
}

// syntaxLine returns the line that a message of the YAML library refers to, counted from
// 1, or 0 if the message has no line. lineText is the number in the message, which may be
// empty.
func syntaxLine(lineText, message string) int {
	line, _ := strconv.Atoi(lineText)
	switch {
	case parserMessage.MatchString(message):
		return line + 1
	case line == 0 && scannerMessage.MatchString(message):
		return 1
	}
	return line
}

// describe returns the kind of a node, or the quoted and shortened text of a scalar.
func describe(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	text := node.Value
	if len(text) > maxFoundBytes {
		text = text[:maxFoundBytes] + "..."
	}
	return strconv.Quote(text)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Closest returns the name with the smallest edit distance from word, or an empty string
// if none is similar enough to be suggested.
func Closest(word string, names []string) string {
	best, bestDistance := "", maxSuggestionDistance+1
	if len(word) > maxFoundBytes {
		return ""
	}
	for _, name := range names {
		distance := editDistance(word, name)
		// Short words have a small distance from every name, so at least half of the
		// letters must agree.
		if distance < bestDistance && distance*2 <= len(name) {
			best, bestDistance = name, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two words in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
