// Package heap sets how eagerly the garbage collector works: thrifty with memory
// while a node is calm, and thrifty with processor time while it is busy.
package heap

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/clock"
)

const (
	// CalmPercent lets the heap grow by eight tenths before it is collected: a node
	// has a tight budget of memory and mostly uses little of its processor time.
	CalmPercent = 80
	// BusyPercent takes its place in a surge, when time that the collector takes is
	// time for which calls wait; but the heap grows by busyRoom, in bytes, at most.
	BusyPercent = 150
	busyRoom    = 32 << 20

	lookPeriod = 2 * time.Second
	// busyMarked is how many bytes the collector follows in a period on a busy node,
	// and calmMarked how many on a calm one, where the heap grows further.
	// That is what it costs; a node with much in use has few collections, and dear
	// ones. A load in between leaves it as it is, so that a steady one does not change
	// it to and fro.
	busyMarked = 80 << 20
	calmMarked = 28 << 20

	cyclesMetric = "/gc/cycles/total:gc-cycles"
	liveMetric   = "/gc/heap/live:bytes"
)

type (
	// Collector decides how far the heap grows between collections.
	Collector struct {
		busy   bool
		cycles uint64
	}

	// State is what the runtime tells: how many collections there have been, and how
	// many bytes were in use after the last.
	State struct {
		Cycles uint64
		Live   uint64
	}
)

// New returns the collector of a calm node in a state.
func New(state State) *Collector {
	return &Collector{cycles: state.Cycles}
}

// Next takes in the state one period after the last time, and returns the percentage
// by which the heap grows from now on.
func (c *Collector) Next(state State) int {
	marked := (state.Cycles - c.cycles) * state.Live
	c.cycles = state.Cycles
	switch {
	case marked >= busyMarked:
		c.busy = true
	case marked <= calmMarked:
		c.busy = false
	}
	if !c.busy {
		return CalmPercent
	}
	room := 100 * busyRoom / max(state.Live, 1)
	return int(max(min(room, BusyPercent), CalmPercent))
}

// Start puts the calm percentage in force.
func Start() {
	debug.SetGCPercent(CalmPercent)
}

// Run keeps the garbage collector of the process to what the load asks for until
// the context ends.
func Run(ctx context.Context, clk clock.Clock, log hclog.Logger) {
	collector := New(read())
	percent := CalmPercent
	for {
		select {
		case <-ctx.Done():
			return
		case <-clk.After(lookPeriod):
		}
		next := collector.Next(read())
		if next == percent {
			continue
		}
		percent = next
		debug.SetGCPercent(percent)
		log.Debug("collector_set", "percent", percent)
	}
}

func read() State {
	samples := []metrics.Sample{{Name: cyclesMetric}, {Name: liveMetric}}
	metrics.Read(samples)
	return State{Cycles: samples[0].Value.Uint64(), Live: samples[1].Value.Uint64()}
}
