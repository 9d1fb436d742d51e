package admit

import (
	"slices"
	"time"
)

const (
	// levelDecayStart is the age up to which a level applies in full.
	levelDecayStart = 500 * time.Millisecond
	// levelExpiry is the age from which a level no longer applies. Between levelDecayStart
	// and levelExpiry its floor falls linearly: dropping it at once would release a
	// burst of all the requests that it kept out.
	levelExpiry = 1500 * time.Millisecond
)

type (
	// EntryGate decides at an entry node which requests to admit, by the floors of
	// services that nodes have reported.
	EntryGate struct {
		// levels holds the last level by service and node.
		levels map[string]map[string]floorSample
		// combine reduces the floors of a service's nodes, sorted in ascending
		// order, to one floor for the service.
		combine func(sorted []uint32) uint32
	}

	// Level is the floor of one node for its service.
	Level struct {
		Service string
		Node    string
		Floor   uint32
		// Age is the time since the floor was measured.
		Age time.Duration
	}

	// floorSample is a floor with the time at which its node measured it.
	floorSample struct {
		floor    uint32
		measured time.Time
	}
)

// NewEntryGate returns a gate without floors, which allows every request.
func NewEntryGate() *EntryGate {
	return &EntryGate{levels: map[string]map[string]floorSample{}, combine: lowerQuartile}
}

// Learn stores a floor that was measured the given time ago, unless a newer one of
// the same node is stored already or it has expired.
func (g *EntryGate) Learn(now time.Time, service, node string, floor uint32, age time.Duration) {
	if age >= levelExpiry {
		return
	}
	measured := now.Add(-max(age, 0))
	nodes := g.levels[service]
	if nodes == nil {
		nodes = map[string]floorSample{}
		g.levels[service] = nodes
	}
	if nodes[node].measured.After(measured) {
		return
	}
	nodes[node] = floorSample{floor: floor, measured: measured}
}

// Allows reports whether the order is at or above the floors of all the services. If
// not, it returns the first service whose floor is above the order.
func (g *EntryGate) Allows(now time.Time, services []string, order uint32) (string, bool) {
	for _, service := range services {
		if order < g.floor(now, service) {
			return service, false
		}
	}
	return "", true
}

// Levels returns all levels that have not expired.
func (g *EntryGate) Levels(now time.Time) []Level {
	services := make([]string, 0, len(g.levels))
	for service := range g.levels {
		services = append(services, service)
	}
	return g.LevelsOf(now, services)
}

// LevelsOf returns the unexpired levels of the given services and removes their expired
// ones. It is for answers to callers that have no use for other services' levels.
func (g *EntryGate) LevelsOf(now time.Time, services []string) []Level {
	var levels []Level
	for _, service := range services {
		for node, sample := range g.levels[service] {
			age := now.Sub(sample.measured)
			if age < levelExpiry {
				levels = append(levels, Level{Service: service, Node: node, Floor: sample.floor, Age: age})
				continue
			}
			g.drop(service, node)
		}
	}
	return levels
}

// Forget removes the levels of a node.
func (g *EntryGate) Forget(node string) {
	for service := range g.levels {
		g.drop(service, node)
	}
}

func (g *EntryGate) drop(service, node string) {
	delete(g.levels[service], node)
	if len(g.levels[service]) == 0 {
		delete(g.levels, service)
	}
}

// floor returns the service's floor, or 0 if no level of it is known.
func (g *EntryGate) floor(now time.Time, service string) uint32 {
	floors := make([]uint32, 0, len(g.levels[service]))
	for _, sample := range g.levels[service] {
		if age := now.Sub(sample.measured); age < levelExpiry {
			floors = append(floors, decayedFloor(sample.floor, age))
		}
	}
	if len(floors) == 0 {
		return 0
	}
	slices.Sort(floors)
	return g.combine(floors)
}

// lowerQuartile returns the floor at the lower quartile, so that a request is allowed
// while a quarter of the nodes would admit it. Load balancing finds those nodes, and
// the floors of a few slow nodes say nothing about the others. The lowest floor would
// do for three nodes, but with many it follows the estimation error of a single one.
func lowerQuartile(sorted []uint32) uint32 {
	return sorted[(len(sorted)-1)/4]
}

// decayedFloor returns the floor as it applies at the given age of its level.
func decayedFloor(floor uint32, age time.Duration) uint32 {
	if age <= levelDecayStart {
		return floor
	}
	left := float64(levelExpiry-age) / float64(levelExpiry-levelDecayStart)
	return uint32(float64(floor) * max(left, 0))
}
