package admit

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

var (
	testStart     = time.Unix(1_000_000, 0)
	outcomes      = []string{"completed", "shed", "failed", "timed_out", "abandoned"}
	importanceSet = []string{"low", "normal", "high", "critical"}
)

func durationArg(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	if !d.HasArg(key) {
		return 0
	}
	var text string
	d.ScanArgs(t, key, &text)
	value, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return value
}

func releasesText(released []Release) string {
	var b strings.Builder
	for _, r := range released {
		fmt.Fprintf(&b, "%s %v", r.ID, r.Verdict)
		if r.Code != 0 {
			fmt.Fprintf(&b, " %v", r.Code)
		}
		b.WriteString("\n")
	}
	return b.String()
}

func settingsArgs(t *testing.T, d *datadriven.TestData) Settings {
	s := Settings{QueueWait: durationArg(t, d, "wait"), ColdStart: durationArg(t, d, "cold"), Started: testStart}
	d.ScanArgs(t, "slots", &s.Slots)
	d.ScanArgs(t, "queue", &s.Queue)
	return s
}

func TestGateScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var gate *Gate
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			now := testStart.Add(durationArg(t, d, "at"))
			var id, word string
			if d.HasArg("id") {
				d.ScanArgs(t, "id", &id)
			}
			switch d.Cmd {
			case "new":
				gate = NewGate(settingsArgs(t, d))
				return ""
			case "resize":
				gate.Resize(now, settingsArgs(t, d))
				return releasesText(gate.Tick(now))
			case "offer":
				var position uint64
				d.ScanArgs(t, "importance", &word)
				d.ScanArgs(t, "position", &position)
				importance := schema.Importance(slices.Index(importanceSet, word))
				call := Call{ID: id, Importance: importance, Position: uint16(position), Deadline: now.Add(durationArg(t, d, "left"))}
				if d.HasArg("awaits_downstream") {
					call.AwaitsDownstream = func() bool { return true }
				}
				decision := gate.Offer(now, call)
				return releasesText(append([]Release{{ID: id, Verdict: decision.Verdict, Code: decision.Code}}, decision.Released...))
			case "done":
				d.ScanArgs(t, "outcome", &word)
				return releasesText(gate.Done(now, id, Outcome(slices.Index(outcomes, word))))
			case "cancel":
				return releasesText(gate.Cancel(now, id))
			case "tick":
				return releasesText(gate.Tick(now))
			case "activity":
				gate.RecordActivity(now)
				return ""
			case "stopped":
				return fmt.Sprintln(gate.Stopped())
			case "load":
				load := gate.Load(now)
				return fmt.Sprintf("in_flight=%d limit=%d queued=%d cold=%v stopped=%v\n", load.InFlight, load.Limit, load.Queued, load.Cold, load.Stopped)
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}

// naiveGate is a reference implementation that searches an unordered queue each time.
type naiveGate struct {
	slots, queue int
	running      map[string]bool
	waiting      []Call // by arrival
}

// best returns the index of the call that is served next, the first among equals.
func (n *naiveGate) best() int {
	best := 0
	for i, c := range n.waiting {
		if Order(c.Importance, c.Position) > Order(n.waiting[best].Importance, n.waiting[best].Position) {
			best = i
		}
	}
	return best
}

// worst returns the index of the call that is evicted next, the last among equals.
func (n *naiveGate) worst() int {
	worst := 0
	for i, c := range n.waiting {
		if Order(c.Importance, c.Position) <= Order(n.waiting[worst].Importance, n.waiting[worst].Position) {
			worst = i
		}
	}
	return worst
}

// decide admits and evicts queued calls until the bounds hold, and returns the verdicts by
// call id.
func (n *naiveGate) decide() map[string]Verdict {
	verdicts := map[string]Verdict{}
	for len(n.waiting) > 0 && len(n.running) < n.slots {
		i := n.best()
		verdicts[n.waiting[i].ID] = Admitted
		n.running[n.waiting[i].ID] = true
		n.waiting = slices.Delete(n.waiting, i, i+1)
	}
	for len(n.waiting) > n.queue {
		i := n.worst()
		verdicts[n.waiting[i].ID] = Refused
		n.waiting = slices.Delete(n.waiting, i, i+1)
	}
	return verdicts
}

// TestGateMatchesReference compares the gate with a reference implementation. The reference
// admits and evicts by order alone, so agreement means that no call is admitted while
// one of higher order is rejected for load.
func TestGateMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		queue := rapid.IntRange(0, 5).Draw(t, "queue")
		gate := NewGate(Settings{Slots: slots, Queue: queue, QueueWait: time.Hour})
		naive := &naiveGate{slots: slots, queue: queue, running: map[string]bool{}}
		now := testStart
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			verdicts := map[string]Verdict{}
			if len(naive.running) > 0 && rapid.Bool().Draw(t, "done") {
				ids := make([]string, 0, len(naive.running))
				for id := range naive.running {
					ids = append(ids, id)
				}
				slices.Sort(ids)
				id := rapid.SampledFrom(ids).Draw(t, "id")
				delete(naive.running, id)
				for _, r := range gate.Done(now, id, Completed) {
					verdicts[r.ID] = r.Verdict
				}
			} else {
				c := Call{ID: fmt.Sprint(i), Deadline: now.Add(time.Hour)}
				c.Importance = schema.Importance(rapid.IntRange(0, 3).Draw(t, "importance"))
				c.Position = uint16(rapid.IntRange(0, 2).Draw(t, "position"))
				naive.waiting = append(naive.waiting, c)
				d := gate.Offer(now, c)
				for _, r := range d.Released {
					verdicts[r.ID] = r.Verdict
				}
				if d.Verdict != Queued {
					verdicts[c.ID] = d.Verdict
				}
			}
			expected := naive.decide()
			if fmt.Sprint(verdicts) != fmt.Sprint(expected) {
				t.Fatalf("step %d: gate %v, naive %v", i, verdicts, expected)
			}
			if gate.Load(now).InFlight > slots || gate.Load(now).Queued > queue {
				t.Fatalf("step %d: bounds exceeded: %+v", i, gate.Load(now))
			}
		}
	})
}

// TestInfeasibleTargetIsProbed checks that a target whose mean service time exceeds
// every deadline still gets single calls, and that full admission resumes once it is
// fast again.
func TestInfeasibleTargetIsProbed(t *testing.T) {
	is := is.New(t)
	gate := NewGate(Settings{Slots: 10, Queue: 10, QueueWait: 100 * time.Millisecond})
	now := testStart
	run := func(took time.Duration, o Outcome) bool {
		now = now.Add(10 * time.Millisecond)
		gate.Tick(now)
		d := gate.Offer(now, Call{ID: "a", Deadline: now.Add(100 * time.Millisecond)})
		if d.Verdict != Admitted {
			return false
		}
		now = now.Add(took)
		gate.Done(now, "a", o)
		return true
	}
	for range 50 {
		is.True(run(time.Second, Abandoned)) // a single call is always admitted
	}
	is.Equal(gate.Offer(now, Call{ID: "b", Deadline: now.Add(100 * time.Millisecond)}).Verdict, Admitted)
	d := gate.Offer(now, Call{ID: "c", Deadline: now.Add(100 * time.Millisecond)})
	is.Equal(d.Code, result.DeadlinePassed) // cannot meet its deadline, and a probe is in flight
	gate.Done(now.Add(10*time.Millisecond), "b", Completed)
	for range 50 {
		is.True(run(10*time.Millisecond, Completed))
	}
	is.Equal(gate.Offer(now, Call{ID: "d", Deadline: now.Add(100 * time.Millisecond)}).Verdict, Admitted)
	is.Equal(gate.Offer(now, Call{ID: "e", Deadline: now.Add(100 * time.Millisecond)}).Verdict, Admitted)
}

func TestPositionShifts(t *testing.T) {
	is := is.New(t)
	is.Equal(Position("a", testStart), Position("a", testStart.Add(time.Second)))
	low := 0
	for period := range 100 {
		if Position("a", testStart.Add(time.Duration(period)*PositionPeriod)) < positionCount/2 {
			low++
		}
	}
	is.True(low > 40 && low < 60) // neither rejected nor admitted for ever
	is.True(Order(schema.High, 0) > Order(schema.Normal, 65535))
}

// TestLateShedKeepsLimit guards against cutting the limit for a shed that the
// target passes on after a downstream call was rejected. Such a shed arrives after most
// of the mean service time, whereas a target without free slots sheds at once.
func TestLateShedKeepsLimit(t *testing.T) {
	for _, test := range []struct {
		after time.Duration
		limit int
	}{
		{5 * time.Millisecond, 4},     // four others in flight: the target has no more slots
		{1200 * time.Millisecond, 10}, // passed on from a downstream call
	} {
		is := is.New(t)
		gate := NewGate(Settings{Slots: 10})
		now := testStart
		offer := func(id string) {
			is.Equal(gate.Offer(now, Call{ID: id, Deadline: now.Add(time.Minute)}).Verdict, Admitted)
		}
		offer("usual")
		now = now.Add(1600 * time.Millisecond)
		gate.Done(now, "usual", Completed)
		for i := range 5 {
			offer(fmt.Sprint(i))
		}
		now = now.Add(test.after)
		gate.Done(now, "0", Shed)
		is.Equal(gate.Load(now).Limit, test.limit)
	}
}
