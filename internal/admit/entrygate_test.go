package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEntryGateRejectsBelowFloor(t *testing.T) {
	is := is.New(t)
	gate := NewEntryGate()
	gate.Learn(testStart, "stock", "a", 100, 0)
	gate.Learn(testStart, "orders", "b", 200, 0)
	service, ok := gate.Allows(testStart, []string{"stock", "orders"}, 150)
	is.Equal(service, "orders")
	is.True(!ok)
	_, ok = gate.Allows(testStart, []string{"stock", "unheard_of"}, 150)
	is.True(ok)
}

func TestEntryGateFloorDecaysWithoutUpdates(t *testing.T) {
	is := is.New(t)
	gate := NewEntryGate()
	gate.Learn(testStart, "stock", "a", 1000, 0)
	previous := uint32(1000)
	for age := time.Duration(0); age <= levelExpiry; age += 50 * time.Millisecond {
		floor := gate.floor(testStart.Add(age), "stock")
		is.True(previous-floor <= 50) // falls gradually
		previous = floor
	}
	is.Equal(previous, uint32(0))
	is.Equal(len(gate.Levels(testStart.Add(levelExpiry))), 0)
	is.Equal(len(gate.levels), 0)
}

func TestEntryGateKeepsNewestLevel(t *testing.T) {
	is := is.New(t)
	gate := NewEntryGate()
	gate.Learn(testStart, "stock", "a", 100, 100*time.Millisecond)
	gate.Learn(testStart, "stock", "a", 900, 200*time.Millisecond) // arrived late
	is.Equal(gate.Levels(testStart), []Level{{Service: "stock", Node: "a", Floor: 100, Age: 100 * time.Millisecond}})
	gate.Forget("a")
	is.Equal(len(gate.Levels(testStart)), 0)
}

func TestEntryGateUsesLowerQuartile(t *testing.T) {
	is := is.New(t)
	gate := NewEntryGate()
	for i, node := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		gate.Learn(testStart, "stock", node, uint32(100*(i+1)), 0)
	}
	is.Equal(gate.floor(testStart, "stock"), uint32(200))
}
