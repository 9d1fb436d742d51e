package lab

import (
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// spells counts a run before, during and after its trigger, by arrival.
func spells(config LoadConfig, mesh *schema.Set, outcomes []Outcome) []Spell {
	length := time.Duration(0)
	for _, phase := range config.Phases {
		length += phase.Duration
	}
	bounds := []time.Duration{0, config.Trigger.From, config.Trigger.To, length}
	var list []Spell
	for i, name := range []string{"before", "during", "after"} {
		from, to := bounds[i], bounds[i+1]
		if to > from {
			list = append(list, spell(name, from, to, mesh, outcomes))
		}
	}
	return list
}

func spell(name string, from, to time.Duration, mesh *schema.Set, outcomes []Outcome) Spell {
	counted := Spell{Name: name, Seconds: (to - from).Seconds(), Useful: map[string]float64{}}
	for _, outcome := range outcomes {
		kind := mesh.Kind(outcome.Kind)
		if kind == nil || outcome.At < from || outcome.At >= to {
			continue
		}
		counted.Offered++
		if kind.Importance == schema.Critical {
			counted.CriticalOffered++
		}
		if !outcome.Good {
			continue
		}
		counted.Good++
		if kind.Importance == schema.Critical {
			counted.CriticalGood++
		}
		walkCalls(mesh, kind, func(called *schema.Kind) {
			counted.Useful[called.Service] += 1 / counted.Seconds
		})
	}
	return counted
}
