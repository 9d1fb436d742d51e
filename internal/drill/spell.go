package drill

import (
	"maps"
	"slices"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// spells counts a run before, during and after its trigger.
func spells(config LoadConfig, mesh *schema.Set, outcomes []Outcome) []Spell {
	bounds := []time.Duration{0, config.Trigger.From, config.Trigger.To, length(config.Phases)}
	var list []Spell
	for i, name := range []string{"before", "during", "after"} {
		from, to := bounds[i], bounds[i+1]
		if to > from {
			counted := spell(name, from, to, mesh, outcomes)
			counted.Capacity = capacities(config, to)
			list = append(list, counted)
		}
	}
	return list
}

func spell(name string, from, to time.Duration, mesh *schema.Set, outcomes []Outcome) Spell {
	counted := Spell{Name: name, Seconds: (to - from).Seconds(), Kinds: map[string]KindCount{}, Demand: map[string]float64{},
		CriticalDemand: map[string]float64{}, Useful: map[string]float64{}}
	for _, outcome := range outcomes {
		kind := mesh.Kind(outcome.Kind)
		if kind == nil {
			continue
		}
		if end := outcome.At + outcome.Took; outcome.Good && end >= from && end < to {
			counted.Answered++
			walkCalls(mesh, kind, func(called *schema.Kind) {
				counted.Useful[called.Service] += 1 / counted.Seconds
			})
		}
		if outcome.At < from || outcome.At >= to {
			continue
		}
		counted.Offered++
		counted.count(outcome)
		walkCalls(mesh, kind, func(called *schema.Kind) {
			counted.Demand[called.Service] += 1 / counted.Seconds
			if kind.Importance == schema.Critical {
				counted.CriticalDemand[called.Service] += 1 / counted.Seconds
			}
		})
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
	}
	return counted
}

// count adds a request of the spell to those of its kind.
func (s *Spell) count(outcome Outcome) {
	kind := s.Kinds[outcome.Kind]
	kind.Seconds = s.Seconds
	kind.Offered++
	if outcome.Good {
		kind.Good++
	}
	s.Kinds[outcome.Kind] = kind
}

// capacities returns the capacity of each service under the slow factor that
// was switched last before a time of the trace.
func capacities(config LoadConfig, before time.Duration) map[string]float64 {
	capacities := maps.Clone(config.Capacity)
	latest := map[string]time.Duration{}
	for _, fault := range config.Faults {
		factor := slowFactor(fault)
		for _, service := range fault.Targets {
			if config.Capacity[service] == 0 || factor == 0 || fault.At >= before || fault.At < latest[service] {
				continue
			}
			latest[service] = fault.At
			capacities[service] = config.Capacity[service] / factor
		}
	}
	return capacities
}

// slowFactor returns the slow factor that a fault switches, or 0.
func slowFactor(fault Fault) float64 {
	switch factor := fault.Switch["slow_factor"].(type) {
	case int:
		return float64(factor)
	case float64:
		return factor
	}
	return 0
}

// bottleneckShare returns the useful calls of the bottleneck as a share of what
// it could carry: its capacity, or its demand where that is less.
func (s Spell) bottleneckShare() float64 {
	service := s.bottleneck()
	could := min(s.Demand[service], s.Capacity[service])
	if could == 0 {
		return 1
	}
	return s.Useful[service] / could
}

// criticalPossible returns how many critical requests could be good if every
// service worked for them alone: those offered, or what the capacity of the
// tightest service leaves of them.
//
// With 60 critical requests a second, each making one call to a service that
// can take 30 a second, it is half of them.
func (s Spell) criticalPossible() float64 {
	share := 1.0
	for service, demand := range s.CriticalDemand {
		if s.Capacity[service] > 0 && demand > 0 {
			share = min(share, s.Capacity[service]/demand)
		}
	}
	return share * float64(s.CriticalOffered)
}

// criticalGoodShare returns the critical requests that were good as a share of
// those that could be; 1 when there were none.
func (s Spell) criticalGoodShare() float64 {
	possible := s.criticalPossible()
	if possible == 0 {
		return 1
	}
	return float64(s.CriticalGood) / possible
}

// bottleneck returns the service whose demand is largest beside its capacity.
func (s Spell) bottleneck() string {
	tightest, most := "", 0.0
	for _, service := range slices.Sorted(maps.Keys(s.Demand)) {
		if s.Capacity[service] == 0 {
			continue
		}
		if load := s.Demand[service] / s.Capacity[service]; load > most {
			tightest, most = service, load
		}
	}
	return tightest
}
