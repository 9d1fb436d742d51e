package beat_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/beat"
)

// TestScripts processes the heartbeats in the data files and prints the target after each.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var tracker beat.Tracker
		start := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var atMS int
			d.ScanArgs(t, "at", &atMS)
			now := start.Add(time.Duration(atMS) * time.Millisecond)
			var id string
			var startedMS int
			d.MaybeScanArgs(t, "id", &id)
			d.MaybeScanArgs(t, "started", &startedMS)
			var verdict string
			switch d.Cmd {
			case "beat":
				verdict = observe(t, d, &tracker, now, id, int64(startedMS))
			case "depart":
				verdict = fmt.Sprint(tracker.Depart(now, id, int64(startedMS)))
			case "learn":
				verdict = fmt.Sprint(tracker.LearnDepartures(now, learned(id, int64(startedMS))))
			case "successor":
				departures := tracker.Departures()
				tracker = beat.Tracker{}
				verdict = fmt.Sprint(tracker.LearnDepartures(now, departures))
			}
			target, known := tracker.Target()
			if !known {
				return verdict + ": no target"
			}
			line := fmt.Sprintf("%s: %s %s slots=%d", verdict, target.ID, target.State, target.Slots)
			if !target.LeavingSince.IsZero() {
				line += fmt.Sprintf(" left=%d", target.LeavingSince.Sub(start).Milliseconds())
			}
			if target.ColdUntil.After(now) {
				line += fmt.Sprintf(" cold_until=%d", target.ColdUntil.Sub(start).Milliseconds())
			}
			return line
		})
	})
}

func observe(t *testing.T, d *datadriven.TestData, tracker *beat.Tracker, now time.Time, id string, startedMS int64) string {
	t.Helper()
	sequence, slots, warmup := 0, 10, 0
	state := "ready"
	d.ScanArgs(t, "seq", &sequence)
	d.MaybeScanArgs(t, "slots", &slots)
	d.MaybeScanArgs(t, "state", &state)
	d.MaybeScanArgs(t, "warmup", &warmup)
	states := map[string]beat.State{"ready": beat.Ready, "draining": beat.Draining}
	verdict := tracker.Observe(now, beat.Heartbeat{
		ID: id, Service: "stock", Slots: slots, State: states[state], Sequence: int64(sequence), StartedMS: startedMS,
		Warmup: time.Duration(warmup) * time.Millisecond,
	})
	return [...]string{"unchanged", "changed", "stale"}[verdict]
}

// learned returns a departure under one id alone, or without an id that of the process in use.
func learned(id string, startedMS int64) beat.Departures {
	if id == "" {
		return beat.Departures{StartedMS: startedMS}
	}
	return beat.Departures{ByID: beat.Process{ID: id, StartedMS: startedMS}}
}

func TestNoTargetBeforeFirstHeartbeat(t *testing.T) {
	is := is.New(t)
	var tracker beat.Tracker
	_, known := tracker.Target()
	is.True(!known)
	is.True(strings.Contains(beat.Draining.String(), "draining"))
}
