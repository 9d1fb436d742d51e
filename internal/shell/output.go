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

// outputFormat is the format of a command's output, the value of --output.
type outputFormat string

// The output formats.
const (
	outputTable outputFormat = "table"
	outputYAML  outputFormat = "yaml"
	outputJSON  outputFormat = "json"
)

var formatNames = []string{string(outputTable), string(outputYAML), string(outputJSON)}

// String implements pflag.Value. It returns the format as it is written on the command
// line.
func (o *outputFormat) String() string {
	return string(*o)
}

// Set implements pflag.Value. It parses the format from the command line.
func (o *outputFormat) Set(text string) error {
	if !slices.Contains(formatNames, text) {
		return fmt.Errorf("must be one of %s", strings.Join(formatNames, ", "))
	}
	*o = outputFormat(text)
	return nil
}

// Type implements pflag.Value. It returns the placeholder for the value in help texts.
func (o *outputFormat) Type() string {
	return "FORM"
}

// print writes the value in the requested output format. For the table format it calls
// table, which writes text with tabs between the columns.
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

// printYAML converts the JSON encoding of a value to block-style YAML, so that both formats
// have the same keys in the same order. It relies on JSON being a subset of YAML.
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

// clearStyle removes the flow style and quotes that come from JSON. The encoder still quotes
// strings that would parse as another type, because of their tag.
func clearStyle(node *yaml.Node) {
	node.Style = 0
	for _, child := range node.Content {
		clearStyle(child)
	}
}
