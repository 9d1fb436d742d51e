package decode

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

// sizeUnit is a unit of data size.
type sizeUnit struct {
	name  string
	bytes int64
}

// sizeUnits is sorted from the largest unit to the smallest. B must be last, because the
// other names end with it and ParseSize compares suffixes.
var sizeUnits = []sizeUnit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Text decodes a string that is not empty.
func Text(dest *string) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		if text, ok := scalar(r, value, "a string", "!!str"); ok {
			if text == "" {
				r.Report(value, "a string that is not empty")
				return
			}
			*dest = text
		}
	}
}

// Match decodes a string that the pattern matches. expected describes the pattern in
// error messages.
func Match(dest *string, pattern *regexp.Regexp, expected string) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		if text, ok := scalar(r, value, expected, "!!str"); ok {
			if !pattern.MatchString(text) {
				r.Report(value, expected)
				return
			}
			*dest = text
		}
	}
}

// Int decodes a whole number from least to most, both inclusive.
func Int(dest *int, least, most int) func(*Reader, Value) {
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
		*dest = number
	}
}

// Float decodes a number from least to most, both inclusive.
func Float(dest *float64, least, most float64) func(*Reader, Value) {
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
		*dest = number
	}
}

// Bool decodes true or false.
func Bool(dest *bool) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		const expected = "true or false"
		text, ok := scalar(r, value, expected, "!!bool")
		if !ok {
			return
		}
		parsed, err := strconv.ParseBool(text)
		if err != nil {
			r.Report(value, expected)
			return
		}
		*dest = parsed
	}
}

// Duration decodes a duration with a unit, such as 250ms, from least to most, both
// inclusive.
func Duration(dest *time.Duration, least, most time.Duration) func(*Reader, Value) {
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
		*dest = duration
	}
}

// Size decodes a data size with a unit, such as 1MiB, from least to most bytes, both
// inclusive.
func Size(dest *int64, least, most int64) func(*Reader, Value) {
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
		*dest = size
	}
}

// Enum decodes one of the names and stores its index.
func Enum[T ~uint8](dest *T, names ...string) func(*Reader, Value) {
	return func(r *Reader, value Value) {
		expected := "one of " + strings.Join(names, ", ")
		text, ok := scalar(r, value, expected, "!!str")
		if !ok {
			return
		}
		for i, name := range names {
			if name == text {
				*dest = T(i)
				return
			}
		}
		r.Report(value, expected)
	}
}

// Address decodes an IP address and port to connect to, such as 127.0.0.1:7100. Host
// names are rejected, because a process takes addresses from its settings and does no
// name resolution.
func Address(dest *string) func(*Reader, Value) {
	return address(dest, "an IP address and port (such as 10.0.0.7:7100)", 1)
}

// Listen decodes an IP address and port to listen on. Port 0 stands for any free port. The
// unspecified address is rejected, because other processes could not dial it.
func Listen(dest *string) func(*Reader, Value) {
	return address(dest, "an IP address of this host and port (such as 10.0.0.7:7100)", 0)
}

func address(dest *string, expected string, leastPort uint16) func(*Reader, Value) {
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
		*dest = address.String()
	}
}

// List decodes a list of strings and calls visit with each.
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

// Items returns the values of a list with their paths, or nil if the value is no list.
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

// Durations decodes a mapping from names to durations from least to most, both inclusive.
// It reports invalid entries and stores the valid ones. least must not be negative.
func Durations(dest *map[string]time.Duration, least, most time.Duration) func(*Reader, Value) {
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
			*dest = durations
		}
	}
}

// ParseSize parses a data size such as 64KiB and returns the number of bytes. The second
// result is false if the text is invalid or the size overflows an int64.
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

// FormatSize formats a number of bytes in the largest unit that gives a whole number.
func FormatSize(size int64) string {
	for _, unit := range sizeUnits {
		if size >= unit.bytes && size%unit.bytes == 0 {
			return strconv.FormatInt(size/unit.bytes, 10) + unit.name
		}
	}
	return strconv.FormatInt(size, 10) + "B"
}

// scalar returns the text of a scalar value that has one of the YAML tags, and reports any
// other value as a problem.
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
