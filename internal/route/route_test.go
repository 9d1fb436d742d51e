package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const slotsPerTarget = 30

var testStart = time.Unix(1_000_000, 0)

type (
	// pendingCall is a call in flight, and how it will end.
	pendingCall struct {
		ends    time.Time
		target  string
		outcome Outcome
	}

	// simulation runs calls against targets in virtual time.
	simulation struct {
		table       *Table
		random      *rand.Rand
		now         time.Time
		pending     []pendingCall
		running     map[string]int
		answer      func(target string) (time.Duration, Outcome)
		sent        map[string]int
		failed      int
		tierChanges int // changes of the number of open tiers
	}
)

func newSimulation(s Settings, targets []Target) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(1, 1)), now: testStart, running: map[string]int{}, sent: map[string]int{}}
	s.Random = sim.random.Float64
	sim.table = New(s)
	sim.table.Update(sim.now, targets)
	sim.restoreAll()
	return sim
}

// restoreAll makes all targets complete their calls.
func (sim *simulation) restoreAll() {
	sim.answer = func(string) (time.Duration, Outcome) { return sim.normalLatency(), Complete }
}

// override makes one target end its calls with the latency and the outcome, while the
// others complete theirs.
func (sim *simulation) override(name string, took func() time.Duration, outcome Outcome) {
	sim.answer = func(target string) (time.Duration, Outcome) {
		if target == name {
			return took(), outcome
		}
		return sim.normalLatency(), Complete
	}
}

func constant(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

func (sim *simulation) normalLatency() time.Duration {
	return time.Duration((0.5 + sim.random.Float64()) * float64(100*time.Millisecond))
}

// run sends calls at the rate for the duration.
func (sim *simulation) run(callsPerSecond float64, length time.Duration) {
	end := sim.now.Add(length)
	for sim.now.Before(end) {
		sim.now = sim.now.Add(time.Duration(sim.random.ExpFloat64() / callsPerSecond * float64(time.Second)))
		sim.pending = slices.DeleteFunc(sim.pending, func(c pendingCall) bool {
			if c.ends.After(sim.now) {
				return false
			}
			sim.running[c.target]--
			sim.table.Ended(sim.now, c.target, Report{Outcome: c.outcome, HasLoad: c.outcome != Silent, InFlight: sim.running[c.target], Limit: slotsPerTarget})
			if c.outcome != Complete {
				sim.failed++
			}
			return true
		})
		open := sim.table.openTiers
		target, ok := sim.table.Choose(sim.now, nil)
		if sim.table.openTiers != open {
			sim.tierChanges++
		}
		if !ok {
			continue
		}
		took, outcome := sim.answer(target.Name)
		sim.sent[target.Name]++
		sim.running[target.Name]++
		sim.pending = append(sim.pending, pendingCall{ends: sim.now.Add(took), target: target.Name, outcome: outcome})
	}
}

// ejected returns the names of the targets that are ejected or on trial.
func (sim *simulation) ejected() []string {
	var names []string
	for _, s := range sim.table.Targets(sim.now) {
		if !s.EjectedUntil.IsZero() {
			names = append(names, s.Target.Name)
		}
	}
	return names
}

// targetsIn returns three targets for each data centre: a0, a1, a2, b0 and so on.
func targetsIn(dataCentres ...string) []Target {
	targets := make([]Target, 0, 3*len(dataCentres))
	for _, dc := range dataCentres {
		for i := range 3 {
			targets = append(targets, Target{Name: fmt.Sprint(dc, i), Incarnation: fmt.Sprint(dc, i, "x"), DataCentre: dc, Region: "r"})
		}
	}
	return targets
}

func TestFastFailingTargetIsEjected(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Settings{DataCentre: "a"}, targetsIn("a"))
	sim.override("a0", constant(time.Millisecond), Failed)
	sim.run(400, 10*time.Second)
	fair := 4000 / 3
	t.Logf("failing target got %d calls, a fair share is %d", sim.sent["a0"], fair)
	is.True(sim.sent["a0"] < fair/10)
	is.Equal(sim.ejected(), []string{"a0"})
}

func TestSilentTargetIsEjectedAndRetried(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Settings{DataCentre: "a"}, targetsIn("a"))
	sim.override("a0", constant(time.Second), Silent)
	sim.run(300, 5*time.Second)
	is.Equal(sim.ejected(), []string{"a0"})
	before := sim.sent["a0"]
	sim.run(300, 10*time.Second)
	is.True(sim.sent["a0"] > before)    // it is retried
	is.True(sim.sent["a0"] < before+20) // with few calls
	sim.restoreAll()
	sim.run(300, 10*time.Second)
	is.Equal(len(sim.ejected()), 0)
	before = sim.sent["a0"]
	sim.run(300, 10*time.Second)
	is.True(sim.sent["a0"]-before > 3000/3/2) // it is in full use once it answers
}

func TestFailingServiceKeepsTargetsInUse(t *testing.T) {
	for _, outcome := range []Outcome{Failed, Silent, Unreachable} {
		is := is.New(t)
		sim := newSimulation(Settings{DataCentre: "a"}, targetsIn("a"))
		sim.answer = func(string) (time.Duration, Outcome) { return 10 * time.Millisecond, outcome }
		sim.run(300, 10*time.Second)
		is.True(len(sim.sent) == 3 && sim.sent["a0"]+sim.sent["a1"]+sim.sent["a2"] > 2500) // all are used
		sim.restoreAll()
		sim.run(300, 2*time.Second)
		sim.failed = 0
		sim.run(300, time.Second)
		is.Equal(sim.failed, 0)
		is.Equal(len(sim.ejected()), 0) // 2 s after the fault all are in use
	}
}

// If all targets fail most of their calls, none is an outlier and none is ejected
// once the success rates show this.
func TestFailureOfAllTargetsEjectsNone(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Settings{DataCentre: "a"}, targetsIn("a"))
	sim.answer = func(string) (time.Duration, Outcome) {
		if sim.random.IntN(10) < 7 {
			return sim.normalLatency(), Failed
		}
		return sim.normalLatency(), Complete
	}
	sim.run(300, 2*time.Second) // until the success rates show that all targets fail
	for range 100 {
		sim.run(300, 100*time.Millisecond)
		is.Equal(len(sim.ejected()), 0)
	}
}

// While at least a third of the targets are usable, ejected ones get no calls. With fewer, all
// targets are used.
func TestMinUsableShareStaysInUse(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Settings{DataCentre: "a"}, targetsIn("a", "b", "c"))
	sim.table.openTiers = 3
	used := func() int {
		names := map[string]bool{}
		for range 300 {
			target, _ := sim.table.Choose(sim.now, nil)
			names[target.Name] = true
			sim.table.Ended(sim.now, target.Name, Report{Outcome: Blameless})
			sim.table.openTiers = 3
		}
		return len(names)
	}
	for i, name := range []string{"a0", "a1", "a2", "b0", "b1", "b2", "c0"} {
		for range 4 {
			sim.table.Ended(sim.now, name, Report{Outcome: Unreachable})
		}
		is.Equal(len(sim.ejected()), i+1)
		if i == 5 {
			is.Equal(used(), 3) // a third
		}
	}
	is.Equal(used(), 9) // less than a third would be left
}

func TestBlamelessFailuresDoNotEject(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Settings{DataCentre: "a"}, targetsIn("a"))
	sim.override("a0", sim.normalLatency, Blameless)
	sim.run(300, 5*time.Second)
	is.Equal(len(sim.ejected()), 0)
}

func TestNearestTierIsPreferred(t *testing.T) {
	is := is.New(t)
	s := Settings{DataCentre: "a", Region: "r", Distances: map[string]time.Duration{"b": time.Millisecond, "c": 2 * time.Millisecond}}
	sim := newSimulation(s, targetsIn("a", "b", "c"))
	sim.run(400, 5*time.Second) // 40 of 90 slots
	is.Equal(len(sim.sent), 3)
	sim.run(1200, 5*time.Second) // 120 of 180
	is.True(sim.sent["b0"] > 0)
	is.Equal(sim.sent["c0"], 0)
	sim.run(500, 5*time.Second)
	is.Equal(sim.table.openTiers, 1) // back to the local data centre
}

// While a farther tier is open, only the calls that the near one has no room for cross to
// it, and few do when both are equally full.
func TestOnlyExcessCallsLeaveTheDataCentre(t *testing.T) {
	for _, test := range []struct {
		load                float64 // in slots, of 90 near and 90 far ones
		leastNear, mostNear float64
	}{
		{120, 0.6, 0.8},
		{170, 0.45, 0.6},
		{250, 0.5, 0.9},
	} {
		t.Run(fmt.Sprint(test.load), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(Settings{DataCentre: "a"}, targetsIn("a", "b"))
			sim.run(10*test.load, 10*time.Second)
			near, total := 0, 0
			for target, calls := range sim.sent {
				total += calls
				if target[0] == 'a' {
					near += calls
				}
			}
			share := float64(near) / float64(total)
			t.Logf("%.2f of the calls stay near", share)
			is.True(share >= test.leastNear)
			is.True(share <= test.mostNear)
		})
	}
}

func TestUnreachableNearTargetIsReplaced(t *testing.T) {
	is := is.New(t)
	targets := targetsIn("a", "b", "c")
	sim := newSimulation(Settings{DataCentre: "a"}, []Target{targets[0], targets[3], targets[6]})
	sim.override("a0", constant(time.Millisecond), Unreachable)
	sim.run(200, 10*time.Second)
	is.Equal(sim.ejected(), []string{"a0"})
	is.True(sim.sent["a0"] < 2000/3/10) // a tenth of a fair share
	is.True(sim.sent["b0"] > 0)
}

// Under a load close to the threshold, the number of open tiers must change at most once a
// second.
func TestOpenTiersDoNotFlap(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Settings{DataCentre: "a"}, targetsIn("a", "b"))
	sim.run(850, 30*time.Second) // 85 of 90 slots, where random variation crosses the threshold
	t.Logf("%d switches in 30 s", sim.tierChanges)
	is.True(sim.tierChanges <= 30) // at most one a second
}

func TestColdTargetGetsFewerCalls(t *testing.T) {
	is := is.New(t)
	targets := targetsIn("a")
	targets[0].Cold = true
	table := New(Settings{DataCentre: "a", Random: rand.New(rand.NewPCG(1, 1)).Float64})
	table.Update(testStart, targets)
	sent := map[string]int{}
	for range 90 {
		target, _ := table.Choose(testStart, nil)
		sent[target.Name]++
	}
	is.True(sent["a0"] > 0 && sent["a0"] < 15) // an even share is 30
}

// With random lists of targets and outcomes of calls, the table must choose only present and
// not excluded targets, and leaving ones only if no other target remains.
func TestChooseSkipsExcludedAndLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		table := New(Settings{DataCentre: "a", Random: random.Float64})
		now := testStart
		departing := map[string]bool{} // incarnations that are listed or reported as leaving
		present := map[string]Target{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			if random.IntN(10) == 0 || len(present) == 0 {
				var listed []Target
				clear(present)
				for _, target := range targetsIn("a", "b") {
					if random.IntN(4) > 0 {
						target.Incarnation += fmt.Sprint(random.IntN(2))
						target.Leaving = random.IntN(6) == 0
						listed = append(listed, target)
						present[target.Name] = target
						departing[target.Incarnation] = departing[target.Incarnation] && table.entries[target.Name] != nil &&
							table.entries[target.Name].target.Incarnation == target.Incarnation || target.Leaving
					}
				}
				table.Update(now, listed)
			}
			exclude := map[string]bool{fmt.Sprint("a", random.IntN(3)): true}
			target, ok := table.Choose(now, exclude)
			candidates := 0
			for _, p := range present {
				if !departing[p.Incarnation] && !exclude[p.Name] {
					candidates++
				}
			}
			if !ok {
				continue
			}
			// A leaving target is chosen only if no other target remains.
			if candidates > 0 && departing[target.Incarnation] || exclude[target.Name] || present[target.Name].Incarnation != target.Incarnation {
				t.Fatalf("chose %+v of %v, without %v, departing %v", target, present, exclude, departing)
			}
			leaving := random.IntN(10) == 0
			departing[target.Incarnation] = departing[target.Incarnation] || leaving
			table.Ended(now, target.Name, Report{Outcome: Outcome(random.IntN(6)), HasLoad: true, Limit: 10, Leaving: leaving})
		}
	})
}

func TestNewIncarnationDiscardsState(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Settings{DataCentre: "a"}, targetsIn("a"))
	for range 5 {
		sim.table.Ended(sim.now, "a0", Report{Outcome: Unreachable})
	}
	is.Equal(sim.ejected(), []string{"a0"})
	targets := targetsIn("a")
	targets[0].Incarnation = "new"
	sim.table.Update(sim.now, targets)
	is.Equal(len(sim.ejected()), 0)
	for range 5 {
		sim.table.Ended(sim.now, "a0", Report{Outcome: Unreachable, Incarnation: "a0x"})
	}
	is.Equal(len(sim.ejected()), 0) // failures of the former incarnation do not count
	target, ok := sim.table.ChooseIncarnation(sim.now, "new")
	is.True(ok)
	is.Equal(target.Name, "a0")
}
