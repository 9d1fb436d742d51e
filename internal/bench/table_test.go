package bench

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCriticalGoodShare offers 60 critical requests to a service that can process half
// of them.
func TestCriticalGoodShare(t *testing.T) {
	is := is.New(t)
	window := Window{
		CriticalOffered: 60,
		CriticalGood:    27,
		CriticalDemand:  map[string]float64{"lines": 60, "stock": 10},
		Capacity:        map[string]float64{"lines": 30, "stock": 20},
	}
	is.Equal(window.criticalGoodShare(), 0.9)
	window.Capacity["lines"] = 600
	is.Equal(window.criticalGoodShare(), 0.45) // not all offered requests counted as possible
}

func TestLoadTableShowsSpread(t *testing.T) {
	is := is.New(t)
	after := []Window{{Name: "after", Seconds: 8}}
	run := func(label string, report Report) Run[Report] {
		return Run[Report]{Label: []string{label}, Report: report}
	}
	var text strings.Builder
	PrintLoadTable(&text, []Run[Report]{
		run("slow", Report{RecoveryS: 0.5, Windows: after}),
		run("other", Report{RecoveryS: 1, Windows: after}),
		run("slow", Report{RecoveryS: NotRecovered, Windows: after, DoubleRuns: 2}),
		run("slow", Report{RecoveryS: 1.5, Windows: after}),
		run("whole", Report{RecoveryS: NotRecovered}),
	})
	rows := strings.Split(strings.TrimSpace(text.String()), "\n")
	is.Equal(len(rows), 5)
	is.True(strings.HasPrefix(rows[2], "| slow | 3 |"))
	is.True(strings.Contains(rows[2], "| 1.5 s (0.5 s to none) | 0.00 | 0 | 0 (0 to 2) |")) // a run without recovery was not the highest
	is.True(strings.Contains(rows[3], "| 1.0 s | 0.00 | 0 | 0 |"))
	is.True(strings.Contains(rows[4], "| - | 0.00 | 0 | 0 |")) // a run without time after the trigger got a recovery time
}
