package gctune_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/gctune"
)

// In a surge the heap may grow, and after the surge memory is released. No steady load
// may make the percentage oscillate, although there are fewer collections the further the
// heap grows.
func TestPercentRisesAtHighLoadWithoutOscillating(t *testing.T) {
	is := is.New(t)
	collections := 100.0
	tuner := gctune.New(gctune.GCStats{Cycles: uint64(collections)})
	percent := gctune.LowLoadPercent
	period := func(atLowLoad float64) int {
		collections += atLowLoad * gctune.LowLoadPercent / float64(percent)
		percent = tuner.Next(gctune.GCStats{Cycles: uint64(collections), Live: 8 << 20})
		return percent
	}
	is.Equal(period(6), gctune.LowLoadPercent)
	is.Equal(period(25), gctune.HighLoadPercent) // a surge
	for range 5 {
		is.Equal(period(25), gctune.HighLoadPercent)
	}
	is.Equal(period(6), gctune.LowLoadPercent) // the surge has ended
	for load := 1.0; load <= 40; load++ {
		period(load)
		changes := 0
		for last := period(load); changes < 10; changes++ {
			if period(load) != last {
				t.Fatalf("at %.0f collections a period the percentage oscillates", load)
			}
		}
	}
}

// A node with a large live heap has no room to let the heap grow by HighLoadPercent.
func TestLargeLiveHeapLimitsGrowth(t *testing.T) {
	is := is.New(t)
	tuner := gctune.New(gctune.GCStats{})
	is.Equal(tuner.Next(gctune.GCStats{Cycles: 20, Live: 40 << 20}), 80)
	is.Equal(tuner.Next(gctune.GCStats{Cycles: 40, Live: 200 << 20}), gctune.LowLoadPercent)
	is.Equal(tuner.Next(gctune.GCStats{Cycles: 80, Live: 4 << 20}), gctune.HighLoadPercent)
}

// Guards against judging load by the number of collections alone. A node beside a busy
// target had 32 MB in use and five collections a second, which took a fifth of its
// processor time, but counted as lightly loaded because there were so few.
func TestFewCollectionsOfLargeHeapAreHighLoad(t *testing.T) {
	is := is.New(t)
	tuner := gctune.New(gctune.GCStats{})
	is.Equal(tuner.Next(gctune.GCStats{Cycles: 9, Live: 32 << 20}), 100)
}
