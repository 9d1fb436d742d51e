package heap_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/heap"
)

// In a surge the heap may grow, and once it is over memory goes back. A steady load,
// whatever it is, does not change that to and fro: the further the heap grows, the
// fewer collections there are.
func TestBusyNodesCollectLessOften(t *testing.T) {
	is := is.New(t)
	collections := 100.0
	c := heap.New(heap.State{Cycles: uint64(collections)})
	percent := heap.CalmPercent
	period := func(atCalm float64) int {
		collections += atCalm * heap.CalmPercent / float64(percent)
		percent = c.Next(heap.State{Cycles: uint64(collections), Live: 8 << 20})
		return percent
	}
	is.Equal(period(6), heap.CalmPercent)
	is.Equal(period(25), heap.BusyPercent) // a surge
	for range 5 {
		is.Equal(period(25), heap.BusyPercent)
	}
	is.Equal(period(6), heap.CalmPercent) // it is over
	for load := 1.0; load <= 40; load++ {
		period(load)
		changes := 0
		for last := period(load); changes < 10; changes++ {
			if period(load) != last {
				t.Fatalf("at %.0f collections a period the percentage changes to and fro", load)
			}
		}
	}
}

// A node that holds much has no room to let the heap grow by as much again.
func TestHeldMemoryBoundsTheGrowth(t *testing.T) {
	is := is.New(t)
	c := heap.New(heap.State{})
	is.Equal(c.Next(heap.State{Cycles: 20, Live: 40 << 20}), 80)
	is.Equal(c.Next(heap.State{Cycles: 40, Live: 200 << 20}), heap.CalmPercent)
	is.Equal(c.Next(heap.State{Cycles: 80, Live: 4 << 20}), heap.BusyPercent)
}

// A node beside a busy target had 32 MB in use and five collections a second, which
// took a fifth of its processor time. It counted as calm, as they were so few.
func TestFewCollectionsOfALargeHeapAreDear(t *testing.T) {
	is := is.New(t)
	c := heap.New(heap.State{})
	is.Equal(c.Next(heap.State{Cycles: 9, Live: 32 << 20}), 100)
}
