package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// What calls of a kind took and where they led is forgotten with its declaration, and
// what is known of the others stays.
func TestRemovedKindsAreForgotten(t *testing.T) {
	is := is.New(t)
	declared := func(kind string) bool { return kind == "stays" }
	gate := NewGate(Settings{Slots: 4, Queue: 4, QueueWait: time.Second})
	pressures := NewPressures()
	for _, kind := range []string{"stays", "gone"} {
		gate.times.observe(kind, time.Second, false, 4)
		pressures.Leads(time.Unix(0, 0), kind, "below")
	}
	gate.Keep(declared)
	pressures.Keep(declared)
	is.Equal(gate.times.usual("stays"), time.Second)
	is.Equal(len(gate.times.byKind), 1)
	is.Equal(pressures.Below(time.Unix(0, 0), "stays"), []string{"below"})
	is.Equal(len(pressures.leads), 1)
}
