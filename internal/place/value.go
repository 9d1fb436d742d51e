package place

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// unit is a unit of size with its name.
type unit struct {
	name  string
	bytes int64
}

// sizeUnits holds the units of size, the largest first. B comes last because
// the other names end with it.
var sizeUnits = []unit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Text reads a string that is not empty.
func Text(to *string) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		if text, ok := scalar(r, value, "a string", "!!str"); ok {
			if text == "" {
				r.Report(value, "a string that is not empty")
				return
			}
			*to = text
		}
	}
}

// Match reads a string that the pattern accepts; expected says in words what
// the pattern accepts.
func Match(to *string, pattern *regexp.Regexp, expected string) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		if text, ok := scalar(r, value, expected, "!!str"); ok {
			if !pattern.MatchString(text) {
				r.Report(value, expected)
				return
			}
			*to = text
		}
	}
}

// Int reads a whole number from least to most.
func Int(to *int, least, most int) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		expected := fmt.Sprintf("a whole number from %d to %d", least, most)
		text, ok := scalar(r, value, expected, "!!int")
		if !ok {
			return
		}
		number, err := strconv.Atoi(text)
		if err != nil || number < least || number > most {
			r.Report(value, expected)
			return
		}
		*to = number
	}
}

// Float reads a number from least to most.
func Float(to *float64, least, most float64) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		expected := fmt.Sprintf("a number from %g to %g", least, most)
		text, ok := scalar(r, value, expected, "!!float", "!!int")
		if !ok {
			return
		}
		number, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(number) || number < least || number > most {
			r.Report(value, expected)
			return
		}
		*to = number
	}
}

// Duration reads a duration with its unit, such as 250ms, from least to most.
func Duration(to *time.Duration, least, most time.Duration) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		expected := fmt.Sprintf("a duration with a unit (such as 250ms) from %s to %s", least, most)
		text, ok := scalar(r, value, expected, "!!str")
		if !ok {
			return
		}
		duration, err := time.ParseDuration(text)
		if err != nil || duration < least || duration > most {
			r.Report(value, expected)
			return
		}
		*to = duration
	}
}

// Size reads a number of bytes with its unit, such as 1MiB, from least to most.
func Size(to *int64, least, most int64) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		expected := fmt.Sprintf("a size with a unit (such as 1MiB) from %s to %s", FormatSize(least), FormatSize(most))
		text, ok := scalar(r, value, expected, "!!str")
		if !ok {
			return
		}
		size, ok := ParseSize(text)
		if !ok || size < least || size > most {
			r.Report(value, expected)
			return
		}
		*to = size
	}
}

// Enum reads one of the names and stores its index.
func Enum[T ~uint8](to *T, names ...string) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		expected := "one of " + strings.Join(names, ", ")
		text, ok := scalar(r, value, expected, "!!str")
		if !ok {
			return
		}
		for i, name := range names {
			if name == text {
				*to = T(i)
				return
			}
		}
		r.Report(value, expected)
	}
}

// Address reads an IP address and port to which connections can be opened,
// such as 127.0.0.1:7100. Names are refused: a process learns addresses from
// its settings and resolves nothing.
func Address(to *string) func(*Reader, Value) {
	return address(to, "an IP address and port (such as 10.0.0.7:7100)", 1)
}

// Listen reads an IP address and port to listen on. Port 0 takes any free one;
// the unspecified address is refused, because others could not dial it.
func Listen(to *string) func(*Reader, Value) {
	return address(to, "an IP address of this host and port (such as 10.0.0.7:7100)", 0)
}

func address(to *string, expected string, leastPort uint16) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		text, ok := scalar(r, value, expected, "!!str")
		if !ok {
			return
		}
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Addr().IsUnspecified() || address.Port() < leastPort {
			r.Report(value, expected)
			return
		}
		*to = address.String()
	}
}

// List reads a list of strings and calls visit with each.
func List(visit func(r *Reader, value Value, text string)) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		if value.Node.Kind != yaml.SequenceNode {
			r.Report(value, "a list")
			return
		}
		for _, item := range value.Items() {
			if text, ok := scalar(r, item, "a string", "!!str"); ok {
				visit(r, item, text)
			}
		}
	}
}

// Items returns the values of a list with their places; none for anything else.
func (v Value) Items() []Value {
	if v.Node.Kind != yaml.SequenceNode {
		return nil
	}
	items := make([]Value, len(v.Node.Content))
	for i, node := range v.Node.Content {
		items[i] = Value{Node: node, Path: fmt.Sprintf("%s[%d]", v.Path, i)}
	}
	return items
}

// Durations reads a mapping from names to durations.
func Durations(to *map[string]time.Duration, least, most time.Duration) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		if value.Node.Kind != yaml.MappingNode {
			r.Report(value, "a mapping from names to durations")
			return
		}
		durations := map[string]time.Duration{}
		r.Each(value, func(key *yaml.Node, child Value) {
			duration := time.Duration(-1)
			Duration(&duration, least, most)(r, child)
			if duration >= 0 {
				durations[key.Value] = duration
			}
		})
		if len(durations) > 0 {
			*to = durations
		}
	}
}

// ParseSize returns the number of bytes that a text such as 64KiB stands for.
func ParseSize(text string) (int64, bool) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		count, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || int64(count) > math.MaxInt64/unit.bytes {
			return 0, false
		}
		return int64(count) * unit.bytes, true
	}
	return 0, false
}

// FormatSize returns the size in the largest unit that gives a whole number.
func FormatSize(size int64) string {
	for _, unit := range sizeUnits {
		if size >= unit.bytes && size%unit.bytes == 0 {
			return strconv.FormatInt(size/unit.bytes, 10) + unit.name
		}
	}
	return strconv.FormatInt(size, 10) + "B"
}

// scalar returns the text of a plain value that has one of the YAML types.
func scalar(r *Reader, value Value, expected string, tags ...string) (string, bool) {
	if value.Node.Kind == yaml.ScalarNode {
		for _, tag := range tags {
			if value.Node.ShortTag() == tag {
				return value.Node.Value, true
			}
		}
	}
	r.Report(value, expected)
	return "", false
}
