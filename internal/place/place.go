// Package place decodes YAML into plain structs and says of every error where
// it stands: file, line and column. It reports all errors of a file at once,
// so that an operator corrects a file in one round.
//
// A mapping is described by a list of fields, each with its key and a reader
// that stores the value:
//
//	r := place.Reader{File: "node.yaml"}
//	r.Object(value, []place.Field{
//		{Key: "name", Required: true, Read: place.Text(&node.Name)},
//		{Key: "drain_timeout", Read: place.Duration(&node.DrainTimeout, 0, time.Hour)},
//	})
package place

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
	// Problem is one error in a file.
	//nolint:errname // a problem is first a place that is printed, then an error
	Problem struct {
		File string `json:"file"`
		// Line and Column count from 1; 0 means that the whole file is meant.
		Line   int `json:"line"`
		Column int `json:"column"`
		// Path names the field, such as calls[1] or limits.key_age.
		Path string `json:"path"`
		// Found is what stands there; empty when something is missing.
		Found    string `json:"found"`
		Expected string `json:"expected"`
	}

	// Problems is all errors of one or more files. It is an error only when
	// it is not empty, see Err.
	//nolint:errname // as Problem
	Problems []Problem

	// Value is a YAML node with its path from the root of its document.
	Value struct {
		Node *yaml.Node
		Path string
	}

	// Field is one key that a mapping may have.
	Field struct {
		Key      string
		Required bool
		// Read stores the value. It reports through the reader and leaves the
		// destination as it was when the value is wrong.
		Read func(r *Reader, value Value)
	}

	// Object is a decoded mapping: the places of its values by key.
	Object struct {
		Value
		Fields map[string]Value
	}

	// Reader collects the problems of one file.
	Reader struct {
		File     string
		Problems Problems
	}
)

const (
	// maxFoundBytes bounds how much of a wrong value an error repeats.
	maxFoundBytes = 60
	// maxSuggestionDistance is the most edits between a wrong key and the key
	// that is suggested for it.
	maxSuggestionDistance = 3
)

var (
	// yamlMessage splits a message of the YAML library. It names no line where
	// that is the first.
	yamlMessage = regexp.MustCompile(`^yaml: (?:line (\d+): )?(.*)$`)
	// fromParser matches the messages of the library's parser, which counts
	// lines from 0. Those of its scanner count from 1.
	fromParser = regexp.MustCompile(`^(did not find expected (<.*>|node content|key|'-' indicator|',' or '[\]}]')` +
		`|found (undefined tag handle|incompatible YAML document|duplicate %\w+ directive))$`)
	// fromScanner matches how the messages of the scanner begin.
	fromScanner = regexp.MustCompile(`^(did not find|could not find|found|mapping values|block sequence entries) `)
)

// Error returns the problem in one line, such as
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

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems in the order of the files, or nil when there are none.
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

// Documents returns the root of each YAML document in data; empty documents
// are left out. After a syntax error the rest of the file cannot be read.
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
			r.syntax(err, data)
			return documents
		}
		if len(node.Content) != 1 || node.Content[0].Tag == "!!null" {
			continue
		}
		documents = append(documents, Value{Node: node.Content[0]})
	}
}

// Object decodes a mapping by its fields and reports unknown, duplicate and
// missing keys.
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
			r.unknown(Value{Node: key, Path: child.Path}, fields)
			return
		}
		object.Fields[key.Value] = child
		field.Read(r, child)
	})
	for _, field := range fields {
		if _, present := object.Fields[field.Key]; field.Required && !present {
			r.add(Value{Node: value.Node, Path: join(value.Path, field.Key)}, "this key to be set", "")
		}
	}
	return object
}

// Each calls visit with every key of a mapping and its value, and reports
// duplicate keys, which it does not visit.
func (r *Reader) Each(value Value, visit func(key *yaml.Node, child Value)) {
	seen := map[string]int{}
	content := value.Node.Content
	for i := 0; i+1 < len(content); i += 2 {
		key := content[i]
		child := Value{Node: content[i+1], Path: join(value.Path, key.Value)}
		if key.Kind != yaml.ScalarNode {
			r.Report(Value{Node: key, Path: value.Path}, "a plain key")
			continue
		}
		if line, duplicate := seen[key.Value]; duplicate {
			r.add(Value{Node: key, Path: child.Path}, "each key once", "it again after line "+strconv.Itoa(line))
			continue
		}
		seen[key.Value] = key.Line
		visit(key, child)
	}
}

// Report adds a problem at the value; what stands there is quoted.
func (r *Reader) Report(value Value, expected string) {
	r.add(value, expected, describe(value.Node))
}

// Reportf adds a problem at the value with the expectation as a format.
func (r *Reader) Reportf(value Value, format string, arguments ...any) {
	r.Report(value, fmt.Sprintf(format, arguments...))
}

// ReportSecret adds a problem at the value without quoting what stands there.
func (r *Reader) ReportSecret(value Value, expected string) {
	r.add(value, expected, "something else")
}

func (r *Reader) add(value Value, expected, found string) {
	r.Problems = append(r.Problems, Problem{
		File:     r.File,
		Line:     value.Node.Line,
		Column:   value.Node.Column,
		Path:     value.Path,
		Found:    found,
		Expected: expected,
	})
}

func (r *Reader) unknown(key Value, fields []Field) {
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

func (r *Reader) syntax(err error, data []byte) {
	problem := Problem{File: r.File, Expected: "valid YAML near here", Found: err.Error()}
	if match := yamlMessage.FindStringSubmatch(err.Error()); match != nil {
		problem.Found = match[2]
		// What breaks off at the end of the file is said to do so a line later.
		last := bytes.Count(bytes.TrimRight(data, "\n"), []byte("\n")) + 1
		problem.Line = min(syntaxLine(match[1], match[2]), last)
		problem.Column = min(problem.Line, 1)
	}
	r.Problems = append(r.Problems, problem)
}

// syntaxLine returns the line that a message of the YAML library means,
// counted from 1, or 0 if it means none.
func syntaxLine(named, message string) int {
	line, _ := strconv.Atoi(named)
	switch {
	case fromParser.MatchString(message):
		return line + 1
	case line == 0 && fromScanner.MatchString(message):
		return 1
	}
	return line
}

// describe names what stands at a node: scalars are quoted as written.
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

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Closest returns the name with the fewest edits from word, or an empty string
// when none is near.
func Closest(word string, names []string) string {
	best, bestDistance := "", maxSuggestionDistance+1
	if len(word) > maxFoundBytes {
		return ""
	}
	for _, name := range names {
		distance := edits(word, name)
		// Short words are near to everything: half of the letters must agree.
		if distance < bestDistance && distance*2 <= len(name) {
			best, bestDistance = name, distance
		}
	}
	return best
}

// edits returns the Levenshtein distance of two words.
func edits(a, b string) int {
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
