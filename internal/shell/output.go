package shell

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"
)

// output is the form in which a command prints.
type output string

// The forms of output.
const (
	outputTable output = "table"
	outputYAML  output = "yaml"
	outputJSON  output = "json"
)

var outputNames = []string{string(outputTable), string(outputYAML), string(outputJSON)}

// String returns the form as it is written on the command line.
func (o *output) String() string {
	return string(*o)
}

// Set reads the form from the command line.
func (o *output) Set(text string) error {
	if !slices.Contains(outputNames, text) {
		return fmt.Errorf("must be one of %s", strings.Join(outputNames, ", "))
	}
	*o = output(text)
	return nil
}

// Type names the form in the help.
func (o *output) Type() string {
	return "FORM"
}

// print writes the value in the form that was asked for; table writes it for
// people, with tabs between columns.
func (a *app) print(value any, table func(w io.Writer)) error {
	switch a.output {
	case outputJSON:
		encoder := json.NewEncoder(a.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case outputYAML:
		return printYAML(a.stdout, value)
	}
	columns := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	table(columns)
	return columns.Flush()
}

// printYAML writes the JSON form of a value as block YAML, so that both forms
// have the same keys in the same order. JSON is a subset of YAML.
func printYAML(w io.Writer, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var node yaml.Node
	if err := yaml.Unmarshal(encoded, &node); err != nil {
		return err
	}
	clearStyle(&node)
	var document bytes.Buffer
	encoder := yaml.NewEncoder(&document)
	encoder.SetIndent(2)
	if err := encoder.Encode(&node); err != nil {
		return err
	}
	_, err = w.Write(document.Bytes())
	return err
}

// clearStyle removes the braces and quotes that came from JSON. Strings that
// would read as another type keep their quotes by their tag.
func clearStyle(node *yaml.Node) {
	node.Style = 0
	for _, child := range node.Content {
		clearStyle(child)
	}
}
