package bench

import (
	"maps"
	"slices"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// countWindows counts a run before, during and after its trigger.
func countWindows(config LoadConfig, mesh *schema.Set, outcomes []Outcome) []Window {
	bounds := []time.Duration{0, config.Trigger.From, config.Trigger.To, totalDuration(config.Phases)}
	var list []Window
	for i, name := range []string{"before", "during", "after"} {
		from, to := bounds[i], bounds[i+1]
		if to > from {
			window := countWindow(name, from, to, mesh, outcomes)
			window.Capacity = capacities(config, to)
			list = append(list, window)
		}
	}
	return list
}

func countWindow(name string, from, to time.Duration, mesh *schema.Set, outcomes []Outcome) Window {
	window := Window{Name: name, Seconds: (to - from).Seconds(), Kinds: map[string]KindCount{}, Demand: map[string]float64{},
		CriticalDemand: map[string]float64{}, Useful: map[string]float64{}}
	for _, outcome := range outcomes {
		kind := mesh.Kind(outcome.Kind)
		if kind == nil {
			continue
		}
		if end := outcome.At + outcome.Took; outcome.Good && end >= from && end < to {
			window.Answered++
			walkCalls(mesh, kind, func(called *schema.Kind) {
				window.Useful[called.Service] += 1 / window.Seconds
			})
		}
		if outcome.At < from || outcome.At >= to {
			continue
		}
		window.Offered++
		window.addToKind(outcome)
		walkCalls(mesh, kind, func(called *schema.Kind) {
			window.Demand[called.Service] += 1 / window.Seconds
			if kind.Importance == schema.Critical {
				window.CriticalDemand[called.Service] += 1 / window.Seconds
			}
		})
		if kind.Importance == schema.Critical {
			window.CriticalOffered++
		}
		if !outcome.Good {
			continue
		}
		window.Good++
		if kind.Importance == schema.Critical {
			window.CriticalGood++
		}
	}
	return window
}

// addToKind adds a request that arrived in the window to the counts of its kind.
func (w *Window) addToKind(outcome Outcome) {
	kind := w.Kinds[outcome.Kind]
	kind.Seconds = w.Seconds
	kind.Offered++
	if outcome.Good {
		kind.Good++
	}
	w.Kinds[outcome.Kind] = kind
}

// capacities returns the capacity of each service under the last slow factor that was
// set before a time of the trace.
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

// slowFactor returns the slow factor that a fault sets, or 0.
func slowFactor(fault Fault) float64 {
	switch factor := fault.Values["slow_factor"].(type) {
	case int:
		return float64(factor)
	case float64:
		return factor
	}
	return 0
}

// bottleneckShare returns the useful calls of the bottleneck as a share of what it could
// process: its capacity, or its demand where that is lower.
func (w Window) bottleneckShare() float64 {
	service := w.bottleneck()
	possible := min(w.Demand[service], w.Capacity[service])
	if possible == 0 {
		return 1
	}
	return w.Useful[service] / possible
}

// criticalPossible returns how many critical requests could get a good answer if every
// service processed nothing else: all that were offered, or fewer when the capacity of
// a service is below their demand.
//
// For example, with 60 critical requests per second that each call a service with a
// capacity of 30 calls per second, half of them are possible.
func (w Window) criticalPossible() float64 {
	possible := 1.0
	for service, demand := range w.CriticalDemand {
		if w.Capacity[service] > 0 && demand > 0 {
			possible = min(possible, w.Capacity[service]/demand)
		}
	}
	return possible * float64(w.CriticalOffered)
}

// criticalGoodShare returns the good critical requests as a share of the possible ones,
// and 1 when none were possible.
func (w Window) criticalGoodShare() float64 {
	possible := w.criticalPossible()
	if possible == 0 {
		return 1
	}
	return float64(w.CriticalGood) / possible
}

// bottleneck returns the service with the highest ratio of demand to capacity.
func (w Window) bottleneck() string {
	busiest, highest := "", 0.0
	for _, service := range slices.Sorted(maps.Keys(w.Demand)) {
		if w.Capacity[service] == 0 {
			continue
		}
		if load := w.Demand[service] / w.Capacity[service]; load > highest {
			busiest, highest = service, load
		}
	}
	return busiest
}
