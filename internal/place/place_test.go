package place

import (
	"math"
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

func TestSizeRefusesOverflow(t *testing.T) {
	is := is.New(t)
	size, ok := ParseSize("9223372036854775807B")
	is.True(ok)
	is.Equal(size, int64(math.MaxInt64))
	for _, text := range []string{"8589934592GiB", "9223372036854775808B", "-1B", "1", "B", "1.5MiB", "1mib", ""} {
		_, ok := ParseSize(text)
		is.True(!ok) // wrong sizes are refused
	}
}

func TestClosest(t *testing.T) {
	is := is.New(t)
	names := []string{"slots", "queue", "queue_wait", "name"}
	is.Equal(Closest("slot", names), "slots")
	is.Equal(Closest("queue_wiat", names), "queue_wait")
	is.Equal(Closest("qeue", names), "queue")
	is.Equal(Closest("zone", names), "") // half of the letters must agree
	is.Equal(Closest("", names), "")
}
