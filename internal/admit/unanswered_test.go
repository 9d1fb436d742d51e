package admit_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/admit"
)

const (
	// The load of a target whose calls take 20 ms and have 700 ms.
	droppedSlots    = 31
	droppedPerMS    = 0.4
	droppedWorkMS   = 20.0
	droppedDeadline = 700 * time.Millisecond
	droppedTickMS   = 10
	faultStartMS    = 2000
	faultEndMS      = 8000
)

// targetFault says how a target treats the calls of the fault's time.
type targetFault struct {
	dropShare float64
	slowdown  float64
}

// faultyTarget replays a load against a gate and a target with a fault, one step for each
// millisecond.
type faultyTarget struct {
	gate   *admit.Gate
	random *rand.Rand
	fault  targetFault
	// endsAt holds when each call in flight ends, and how.
	endsAt   map[string]int
	outcome  map[string]admit.Outcome
	answered int
	found    []string
	// work draws the time, in milliseconds, that a call takes.
	work func() float64
	// dropped are the calls that the target drops.
	dropped map[string]bool
}

func newFaultyTarget(fault targetFault) *faultyTarget {
	f := &faultyTarget{
		gate:    admit.NewGate(admit.Settings{Slots: droppedSlots, Queue: 3 * droppedSlots, QueueWait: 250 * time.Millisecond, Opaque: true}),
		random:  rand.New(rand.NewPCG(1, 1)),
		fault:   fault,
		endsAt:  map[string]int{},
		outcome: map[string]admit.Outcome{},
		dropped: map[string]bool{},
	}
	f.work = func() float64 { return droppedWorkMS * (0.5 + f.random.Float64()) }
	return f
}

func (f *faultyTarget) run() {
	start := time.Unix(1_000_000, 0)
	for ms := range faultEndMS {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		f.end(now, ms)
		if ms%droppedTickMS == 0 {
			for _, id := range f.gate.FindUnanswered(now) {
				f.found = append(f.found, id)
				f.endsAt[id] = ms // the calls are safe to retry, so the node gives them up
				f.outcome[id] = admit.Failed
			}
			f.end(now, ms)
			f.admit(ms, f.gate.Tick(now))
		}
		if f.random.Float64() < droppedPerMS {
			id := fmt.Sprint(ms)
			decision := f.gate.Offer(now, admit.Call{ID: id, Kind: "read", Deadline: now.Add(droppedDeadline), FirstAttempt: true})
			f.admit(ms, append(decision.Released, admit.Release{ID: id, Verdict: decision.Verdict}))
		}
	}
}

// end ends the calls that are due.
func (f *faultyTarget) end(now time.Time, ms int) {
	for _, id := range slices.Sorted(maps.Keys(f.endsAt)) {
		if f.endsAt[id] > ms {
			continue
		}
		delete(f.endsAt, id)
		if f.outcome[id] == admit.Completed && ms >= faultStartMS {
			f.answered++
		}
		f.admit(ms, f.gate.Done(now, id, f.outcome[id]))
	}
}

// admit starts the calls that the gate admitted.
func (f *faultyTarget) admit(ms int, releases []admit.Release) {
	for _, r := range releases {
		if r.Verdict != admit.Admitted {
			continue
		}
		work := f.work()
		f.outcome[r.ID] = admit.Completed
		if ms >= faultStartMS {
			work *= f.fault.slowdown
			if f.random.Float64() < f.fault.dropShare {
				work = float64(droppedDeadline.Milliseconds())
				f.outcome[r.ID] = admit.TimedOut
				f.dropped[r.ID] = true
			}
		}
		f.endsAt[r.ID] = ms + int(work)
	}
}

// A target that drops half of its calls without an answer goes on serving the others: the
// dropped ones must not hold its slots until their deadlines.
func TestDroppedCallsDoNotHoldSlots(t *testing.T) {
	is := is.New(t)
	f := newFaultyTarget(targetFault{dropShare: 0.55, slowdown: 1})
	f.run()
	const arrivals = droppedPerMS * (faultEndMS - faultStartMS)
	is.True(float64(f.answered) >= 0.9*0.45*arrivals) // 90% of the calls that are not dropped
	is.True(len(f.found) >= len(f.dropped)*9/10)
	for _, id := range f.found {
		is.True(f.dropped[id])
	}
}

// A target that becomes slow as a whole, or stops, answers no later calls either, so none
// of its calls counts as dropped.
func TestSlowTargetDropsNoCalls(t *testing.T) {
	for name, fault := range map[string]targetFault{
		"three times slower":  {slowdown: 3},
		"twelve times slower": {slowdown: 12},
		"stopped":             {slowdown: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFaultyTarget(fault)
			f.run()
			is.Equal(len(f.found), 0)
		})
	}
}

// Rare calls take five times as long as the mean, as their work does, and the first calls of
// a kind differ by chance. None of them counts as dropped.
func TestCallsThatTakeLongAreNotDropped(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		f := newFaultyTarget(targetFault{slowdown: 1})
		f.random = rand.New(rand.NewPCG(seed, 2))
		f.work = func() float64 {
			work := droppedWorkMS * math.Exp(0.8*f.random.NormFloat64()-0.32)
			if f.random.Float64() < 0.01 {
				work *= 5
			}
			return min(work, 10*droppedWorkMS)
		}
		f.run()
		is.Equal(len(f.found), 0)
	}
}

// The calls that a target drops leave their slots once only, and the load shows the calls
// that hold one.
func TestUnansweredCallsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	f := newFaultyTarget(targetFault{dropShare: 0.2, slowdown: 1})
	f.run()
	seen := map[string]bool{}
	for _, id := range f.found {
		is.True(!seen[id])
		seen[id] = true
	}
	end := time.Unix(1_000_000, 0).Add(faultEndMS * time.Millisecond)
	for len(f.endsAt) > 0 {
		for _, id := range slices.Sorted(maps.Keys(f.endsAt)) {
			delete(f.endsAt, id)
			f.admit(faultEndMS, f.gate.Done(end, id, admit.Abandoned))
		}
	}
	is.Equal(f.gate.Load(end).InFlight, 0)
}
