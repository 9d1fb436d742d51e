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
	// EntryGate holds the floors of services as an entry node knows them.
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

// NewEntryGate returns an empty set of floors, which allows every request.
func NewEntryGate() *EntryGate {
	return &EntryGate{levels: map[string]map[string]floorSample{}, combine: lowerQuartile}
}

// Learn stores a floor that was measured the given time ago, unless a newer one of
// the same node is stored already or it has expired.
func (d *EntryGate) Learn(now time.Time, service, node string, floor uint32, age time.Duration) {
	if age >= levelExpiry {
		return
	}
	measured := now.Add(-max(age, 0))
	nodes := d.levels[service]
	if nodes == nil {
		nodes = map[string]floorSample{}
		d.levels[service] = nodes
	}
	if nodes[node].measured.After(measured) {
		return
	}
	nodes[node] = floorSample{floor: floor, measured: measured}
}

// Allows reports whether the order is at or above the floors of all the services. If
// not, it returns the first service whose floor is above the order.
func (d *EntryGate) Allows(now time.Time, services []string, order uint32) (string, bool) {
	for _, service := range services {
		if order < d.floor(now, service) {
			return service, false
		}
	}
	return "", true
}

// Levels returns all levels that have not expired.
func (d *EntryGate) Levels(now time.Time) []Level {
	services := make([]string, 0, len(d.levels))
	for service := range d.levels {
		services = append(services, service)
	}
	return d.LevelsOf(now, services)
}

// LevelsOf returns the unexpired levels of the given services. It serves answers to
// callers that can use no others. Expired levels are removed.
func (d *EntryGate) LevelsOf(now time.Time, services []string) []Level {
	var levels []Level
	for _, service := range services {
		for node, sample := range d.levels[service] {
			age := now.Sub(sample.measured)
			if age < levelExpiry {
				levels = append(levels, Level{Service: service, Node: node, Floor: sample.floor, Age: age})
				continue
			}
			d.drop(service, node)
		}
	}
	return levels
}

// Forget removes the levels of a node.
func (d *EntryGate) Forget(node string) {
	for service := range d.levels {
		d.drop(service, node)
	}
}

func (d *EntryGate) drop(service, node string) {
	delete(d.levels[service], node)
	if len(d.levels[service]) == 0 {
		delete(d.levels, service)
	}
}

// floor returns the service's floor, or 0 if no level of it is known.
func (d *EntryGate) floor(now time.Time, service string) uint32 {
	floors := make([]uint32, 0, len(d.levels[service]))
	for _, h := range d.levels[service] {
		if age := now.Sub(h.measured); age < levelExpiry {
			floors = append(floors, decayedFloor(h.floor, age))
		}
	}
	if len(floors) == 0 {
		return 0
	}
	slices.Sort(floors)
	return d.combine(floors)
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
