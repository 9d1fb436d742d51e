package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDoorRefusesBelowTheFloor(t *testing.T) {
	is := is.New(t)
	d := NewEntryGate()
	d.Learn(testStart, "stock", "a", 100, 0)
	d.Learn(testStart, "orders", "b", 200, 0)
	service, ok := d.Allows(testStart, []string{"stock", "orders"}, 150)
	is.Equal(service, "orders")
	is.True(!ok)
	_, ok = d.Allows(testStart, []string{"stock", "unheard_of"}, 150)
	is.True(ok)
}

func TestDoorOpensWithoutNews(t *testing.T) {
	is := is.New(t)
	d := NewEntryGate()
	d.Learn(testStart, "stock", "a", 1000, 0)
	previous := uint32(1000)
	for age := time.Duration(0); age <= levelExpiry; age += 50 * time.Millisecond {
		floor := d.floor(testStart.Add(age), "stock")
		is.True(previous-floor <= 50) // falls gradually
		previous = floor
	}
	is.Equal(previous, uint32(0))
	is.Equal(len(d.Levels(testStart.Add(levelExpiry))), 0)
	is.Equal(len(d.levels), 0)
}

func TestDoorKeepsTheNewestLevel(t *testing.T) {
	is := is.New(t)
	d := NewEntryGate()
	d.Learn(testStart, "stock", "a", 100, 100*time.Millisecond)
	d.Learn(testStart, "stock", "a", 900, 200*time.Millisecond) // arrived late
	is.Equal(d.Levels(testStart), []Level{{Service: "stock", Node: "a", Floor: 100, Age: 100 * time.Millisecond}})
	d.Forget("a")
	is.Equal(len(d.Levels(testStart)), 0)
}

func TestDoorFollowsNodesWithRoom(t *testing.T) {
	is := is.New(t)
	d := NewEntryGate()
	for i, node := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		d.Learn(testStart, "stock", node, uint32(100*(i+1)), 0)
	}
	is.Equal(d.floor(testStart, "stock"), uint32(200))
}
