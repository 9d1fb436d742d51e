package lab

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

func TestMarkdownShowsTheSpread(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	PrintMarkdown(&text, []Report{
		{Label: []string{"slow"}, RecoveryS: 0.5},
		{Label: []string{"other"}, RecoveryS: 1},
		{Label: []string{"slow"}, RecoveryS: NotRecovered, DoubleRuns: 2},
		{Label: []string{"slow"}, RecoveryS: 1.5},
	})
	rows := strings.Split(strings.TrimSpace(text.String()), "\n")
	is.Equal(len(rows), 4)
	is.True(strings.HasPrefix(rows[2], "| slow | 3 |"))
	is.True(strings.Contains(rows[2], "| 1.5 s (0.5 s to none) | 0 | 0 (0 to 2) |")) // never recovered is the worst
	is.True(strings.Contains(rows[3], "| 1.0 s | 0 | 0 |"))
}
