// Package gctune tunes the garbage collector to the load of a node: it saves memory at low
// load and processor time at high load.
package gctune

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/clock"
)

const (
	// LowLoadPercent lets the heap grow by 80% before a collection, because a node has a
	// tight memory budget and mostly uses little of its processor time.
	LowLoadPercent = 80
	// HighLoadPercent replaces LowLoadPercent at high load, when calls wait for the time
	// that the collector takes. The heap then grows by highLoadGrowth bytes at most.
	HighLoadPercent = 150
	highLoadGrowth  = 32 << 20

	samplePeriod = 2 * time.Second
	// A node is under high load if the collector marks at least highLoadMarked bytes in a
	// sample period, and returns to low load at lowLoadMarked bytes or less, while the
	// larger heap of high load is in force. The marked bytes measure the cost of
	// collections: a node with much memory in use has few collections, but expensive
	// ones. A load between the two bounds keeps the percentage, so that a steady load
	// does not make it oscillate.
	highLoadMarked = 80 << 20
	lowLoadMarked  = 28 << 20

	// controlBytes is the memory that a node may take besides what it holds for calls and
	// records.
	controlBytes = 64_000_000
	// limitNumerator and limitDenominator leave a part of the memory for what the limit of
	// the runtime does not count: the program itself, and pages that the system has not
	// reclaimed yet.
	limitNumerator   = 8
	limitDenominator = 10

	// largeBytes is the least size of an allocation that a collection may precede.
	largeBytes = 1 << 20

	totalMetric    = "/memory/classes/total:bytes"
	releasedMetric = "/memory/classes/heap/released:bytes"
	cyclesMetric   = "/gc/cycles/total:gc-cycles"
	liveMetric     = "/gc/heap/live:bytes"
)

// environmentLimit returns the memory limit that was in force when the process started.
var environmentLimit = sync.OnceValue(func() int64 { return debug.SetMemoryLimit(-1) })

// collecting keeps several large allocations from collecting at the same time.
var collecting sync.Mutex

type (
	// Tuner decides how far the heap grows between collections.
	Tuner struct {
		highLoad bool
		cycles   uint64
	}

	// GCStats holds the number of collections so far, and how many bytes were in use
	// after the last one.
	GCStats struct {
		Cycles uint64
		Live   uint64
	}
)

// New returns a tuner in the low-load state, given the statistics at its start.
func New(stats GCStats) *Tuner {
	return &Tuner{cycles: stats.Cycles}
}

// Next takes the statistics one sample period after the previous ones, and returns the
// percentage by which the heap grows from now on.
func (t *Tuner) Next(stats GCStats) int {
	marked := (stats.Cycles - t.cycles) * stats.Live
	t.cycles = stats.Cycles
	switch {
	case marked >= highLoadMarked:
		t.highLoad = true
	case marked <= lowLoadMarked:
		t.highLoad = false
	}
	if !t.highLoad {
		return LowLoadPercent
	}
	growthPercent := 100 * highLoadGrowth / max(stats.Live, 1)
	return int(max(min(growthPercent, HighLoadPercent), LowLoadPercent))
}

// SetInitialPercent sets the percentage for low load.
func SetInitialPercent() {
	debug.SetGCPercent(LowLoadPercent)
}

// SetMemoryLimit makes the garbage collector work harder as the process comes near the memory
// that a node with the given setting memory_bytes may take: controlBytes, and twice the
// setting, because the heap may grow by nearly as much again between collections.
//
// It is only for nodes that accept bodies of which a few fill the memory. While all that
// memory_bytes bounds is in use, a node collects several times as often with the limit.
func SetMemoryLimit(memoryBytes int64) {
	limit := (controlBytes + 2*memoryBytes) / limitDenominator * limitNumerator
	// A lower limit of the environment stays in force.
	debug.SetMemoryLimit(min(limit, environmentLimit()))
}

// ClearMemoryLimit undoes SetMemoryLimit.
func ClearMemoryLimit() {
	debug.SetMemoryLimit(environmentLimit())
}

// BeforeAllocating collects and returns memory to the system before a large allocation that
// would exceed the memory limit. The collector notices a large allocation only once it has
// been made, when earlier ones may still occupy their memory, and free memory of another size
// is not used again.
func BeforeAllocating(bytes int64) {
	if bytes < largeBytes {
		return
	}
	collecting.Lock()
	defer collecting.Unlock()
	samples := []metrics.Sample{{Name: totalMetric}, {Name: releasedMetric}}
	metrics.Read(samples)
	used := int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64())
	if used+bytes > debug.SetMemoryLimit(-1) {
		debug.FreeOSMemory()
	}
}

// Run adjusts the garbage collector of the process to the load until the context ends.
func Run(ctx context.Context, clk clock.Clock, log hclog.Logger) {
	tuner := New(readStats())
	percent := LowLoadPercent
	for {
		select {
		case <-ctx.Done():
			return
		case <-clk.After(samplePeriod):
		}
		next := tuner.Next(readStats())
		if next == percent {
			continue
		}
		percent = next
		debug.SetGCPercent(percent)
		log.Debug("collector_set", "percent", percent)
	}
}

func readStats() GCStats {
	samples := []metrics.Sample{{Name: cyclesMetric}, {Name: liveMetric}}
	metrics.Read(samples)
	return GCStats{Cycles: samples[0].Value.Uint64(), Live: samples[1].Value.Uint64()}
}
