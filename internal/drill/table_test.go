package drill

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCriticalOfPossible gives 60 critical requests to a service that can take
// half of them.
func TestCriticalOfPossible(t *testing.T) {
	is := is.New(t)
	spell := Spell{
		CriticalOffered: 60,
		CriticalGood:    27,
		CriticalDemand:  map[string]float64{"lines": 60, "stock": 10},
		Capacity:        map[string]float64{"lines": 30, "stock": 20},
	}
	is.Equal(spell.criticalGoodShare(), 0.9)
	spell.Capacity["lines"] = 600
	is.Equal(spell.criticalGoodShare(), 0.45) // all offered ones are possible
}

func TestTableShowsTheSpread(t *testing.T) {
	is := is.New(t)
	after := []Spell{{Name: "after", Seconds: 8}}
	run := func(label string, report Report) Run[Report] {
		return Run[Report]{Label: []string{label}, Report: report}
	}
	var text strings.Builder
	PrintLoadTable(&text, []Run[Report]{
		run("slow", Report{RecoveryS: 0.5, Spells: after}),
		run("other", Report{RecoveryS: 1, Spells: after}),
		run("slow", Report{RecoveryS: NotRecovered, Spells: after, DoubleRuns: 2}),
		run("slow", Report{RecoveryS: 1.5, Spells: after}),
		run("whole", Report{RecoveryS: NotRecovered}),
	})
	rows := strings.Split(strings.TrimSpace(text.String()), "\n")
	is.Equal(len(rows), 5)
	is.True(strings.HasPrefix(rows[2], "| slow | 3 |"))
	is.True(strings.Contains(rows[2], "| 1.5 s (0.5 s to none) | 0.00 | 0 | 0 (0 to 2) |")) // never recovered is the worst
	is.True(strings.Contains(rows[3], "| 1.0 s | 0.00 | 0 | 0 |"))
	is.True(strings.Contains(rows[4], "| - | 0.00 | 0 | 0 |")) // no time was left to recover in
}
