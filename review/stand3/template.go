package main

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// fields are the platform's settings of a process as nested tables.
type fields map[string]any

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// renderTemplate fills in the template of the deploy file. It knows the placeholders that the
// template uses: values, and sections that are rendered once if the value is present.
func renderTemplate(path string, values fields) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	rendered := sectionPattern.ReplaceAllStringFunc(string(text), func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if value, ok := values.lookUp(parts[1]); !ok || value == false {
			return ""
		}
		return parts[2]
	})
	rendered = valuePattern.ReplaceAllStringFunc(rendered, func(placeholder string) string {
		value, ok := values.lookUp(valuePattern.FindStringSubmatch(placeholder)[1])
		if !ok {
			return ""
		}
		return fmt.Sprint(value)
	})
	if strings.Contains(rendered, "{{") {
		return "", fmt.Errorf("%s has a placeholder that is not known here", path)
	}
	return rendered, nil
}

// lookUp returns the value at a path such as listen.ready or port_range.0.
func (f fields) lookUp(path string) (any, bool) {
	name, rest, nested := strings.Cut(path, ".")
	value, ok := f[name]
	if !nested || !ok {
		return value, ok
	}
	switch inner := value.(type) {
	case fields:
		return inner.lookUp(rest)
	case []int:
		index, err := strconv.Atoi(rest)
		if err != nil || index >= len(inner) {
			return nil, false
		}
		return inner[index], true
	}
	return nil, false
}
