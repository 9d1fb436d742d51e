package schema

import (
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/dandelionfield/dandelionfield/internal/decode"
)

// typeField accepts the key `resource`, whose value resourceType has already read.
func typeField() decode.Field {
	return decode.Field{Key: "resource", Required: true, Read: func(*decode.Reader, decode.Value) {}}
}

func name(dst *string) func(*decode.Reader, decode.Value) {
	return decode.Match(dst, namePattern, "a name in snake_case of at most 63 letters")
}

// dashedName reads a name that may have dashes, as the names of data centres and teams often
// have.
func dashedName(dst *string) func(*decode.Reader, decode.Value) {
	return decode.Match(dst, dataCentrePattern, "a name of at most 63 lower-case letters, digits, _ and -")
}

// choice returns a function that reads one of two names, and stores whether it is the
// second.
func choice(dst *bool, first, second string) func(*decode.Reader, decode.Value) {
	return func(r *decode.Reader, value decode.Value) {
		var index uint8
		decode.Enum(&index, first, second)(r, value)
		*dst = index == 1
	}
}

func method(dst *string) func(*decode.Reader, decode.Value) {
	return func(r *decode.Reader, value decode.Value) {
		if !slices.Contains(methods, value.Node.Value) {
			r.Reportf(value, "one of %s", strings.Join(methods, ", "))
			return
		}
		*dst = value.Node.Value
	}
}

// split returns a function that reads a mapping from services to weights.
func split(dst *[]Share) func(*decode.Reader, decode.Value) {
	return func(r *decode.Reader, value decode.Value) {
		if value.Node.Kind != yaml.MappingNode || len(value.Node.Content) == 0 {
			r.Report(value, "a mapping from services to weights")
			return
		}
		r.Each(value, func(key *yaml.Node, child decode.Value) {
			share := Share{Service: key.Value, Weight: -1}
			decode.Int(&share.Weight, 0, maxWeight)(r, child)
			if share.Weight >= 0 {
				*dst = append(*dst, share)
			}
		})
	}
}

// digests returns a function that reads a list of SHA-256 digests. Its errors do not repeat
// the value, which may be the key itself.
func digests(dst *[]string) func(*decode.Reader, decode.Value) {
	return func(r *decode.Reader, value decode.Value) {
		if value.Node.Kind != yaml.SequenceNode {
			r.ReportSecret(value, "a list")
			return
		}
		read := make([]string, 0, len(value.Node.Content))
		for _, item := range value.Items() {
			switch text := item.Node.Value; {
			case !digestPattern.MatchString(text):
				r.ReportSecret(item, "the SHA-256 of a key as 64 lower-case hexadecimal digits")
			case slices.Contains(read, text):
				r.ReportSecret(item, "each digest once")
			default:
				read = append(read, text)
			}
		}
		*dst = read
	}
}

// names returns a function that reads a list of names without duplicates.
func names(dst *[]string) func(*decode.Reader, decode.Value) {
	return decode.List(func(r *decode.Reader, value decode.Value, text string) {
		if slices.Contains(*dst, text) {
			r.Report(value, "each name once")
			return
		}
		*dst = append(*dst, text)
	})
}
