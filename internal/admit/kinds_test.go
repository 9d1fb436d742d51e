package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// When a kind is no longer declared, its service times and downstream services are
// discarded, and those of other kinds stay.
func TestRetainKindsDiscardsRemovedKinds(t *testing.T) {
	is := is.New(t)
	declared := func(kind string) bool { return kind == "stays" }
	gate := NewGate(Settings{Slots: 4, Queue: 4, QueueWait: time.Second})
	pressures := NewPressures()
	for _, kind := range []string{"stays", "gone"} {
		gate.serviceTimes.observe(kind, time.Second, false, 4)
		pressures.AddDownstream(time.Unix(0, 0), kind, "below")
	}
	gate.RetainKinds(declared)
	pressures.RetainKinds(declared)
	is.Equal(gate.serviceTimes.kindMean("stays"), time.Second)
	is.Equal(len(gate.serviceTimes.byKind), 1)
	is.Equal(pressures.Downstream(time.Unix(0, 0), "stays"), []string{"below"})
	is.Equal(len(pressures.downstream), 1)
}
