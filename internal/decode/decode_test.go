package decode

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestSizeRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Min(0).Draw(t, "size")
		text := FormatSize(size)
		if parsed, ok := ParseSize(text); !ok || parsed != size {
			t.Fatalf("%d is written as %s and read as %d, %v", size, text, parsed, ok)
		}
	})
}

func TestParseSizeRejectsInvalidSizes(t *testing.T) {
	is := is.New(t)
	size, ok := ParseSize("9223372036854775807B")
	is.True(ok)
	is.Equal(size, int64(math.MaxInt64))
	for _, text := range []string{"8589934592GiB", "9223372036854775808B", "-1B", "1", "B", "1.5MiB", "1mib", ""} {
		_, ok := ParseSize(text)
		is.True(!ok) // malformed or overflowing
	}
}

func TestClosest(t *testing.T) {
	is := is.New(t)
	names := []string{"slots", "queue", "queue_wait", "name"}
	is.Equal(Closest("slot", names), "slots")
	is.Equal(Closest("queue_wiat", names), "queue_wait")
	is.Equal(Closest("qeue", names), "queue")
	is.Equal(Closest("zone", names), "") // fewer than half of the letters agree
	is.Equal(Closest("", names), "")
}

// TestSyntaxErrorLine checks that the line of a syntax error counts from 1 for the
// messages of the library's parser, which counts from 0, as well as of its scanner. The
// invalid YAML follows a growing number of valid lines. The library reports the line
// where the invalid part begins or the line where it ends; in these cases both are the
// same.
func TestSyntaxErrorLine(t *testing.T) {
	is := is.New(t)
	for _, broken := range []string{
		"- [1, 2\n", "- {x: 1", "- ]\n", "- !x!y z\n", "}\n", // detected by the parser
		"- @x\n", "- \"\\q\"\n", "- a: : 2\n", "- \"x", // detected by the scanner
	} {
		for lines := range 4 {
			r := Reader{File: "f"}
			r.Documents([]byte(strings.Repeat("- x\n---\n", lines) + broken))
			is.Equal(len(r.Problems), 1)
			if r.Problems[0].Line != 2*lines+1 {
				t.Errorf("%q after %d lines: %v", broken, 2*lines, r.Problems[0])
			}
		}
	}
	r := Reader{File: "f"}
	r.Documents([]byte("- a\nb: 1\n"))
	is.Equal(r.Problems[0].Line, 2)
	is.Equal(r.Problems[0].Column, 1)
	r = Reader{File: "f"}
	r.Documents([]byte("- *none\n"))
	is.Equal(r.Problems[0].Line, 0) // the library reports no position for an unknown alias
	is.Equal(r.Problems[0].Column, 0)
}
