package admit

import (
	"slices"
	"time"
)

const (
	// levelFresh is how long a level counts in full.
	levelFresh = 500 * time.Millisecond
	// levelGone is the age at which a level counts no more. In between its
	// floor comes down evenly: opening at one stroke would send a burst of
	// everything that was held back.
	levelGone = 1500 * time.Millisecond
)

type (
	// Door is the entry node's knowledge of the floors of services.
	Door struct {
		levels map[string]map[string]heard
		// combine makes one floor of those of a service's nodes, given in
		// rising order.
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

	heard struct {
		floor    uint32
		measured time.Time
	}
)

// NewDoor returns a door that lets everything through.
func NewDoor() *Door {
	return &Door{levels: map[string]map[string]heard{}, combine: lowerQuartile}
}

// Learn takes in a level that was measured the given time ago. An older one
// than is known already changes nothing.
func (d *Door) Learn(now time.Time, service, node string, floor uint32, age time.Duration) {
	if age >= levelGone {
		return
	}
	measured := now.Add(-max(age, 0))
	nodes := d.levels[service]
	if nodes == nil {
		nodes = map[string]heard{}
		d.levels[service] = nodes
	}
	if nodes[node].measured.After(measured) {
		return
	}
	nodes[node] = heard{floor: floor, measured: measured}
}

// Allows reports whether a request of the order passes the floors of all the
// services, and otherwise which service refuses.
func (d *Door) Allows(now time.Time, services []string, order uint32) (string, bool) {
	for _, service := range services {
		if order < d.floor(now, service) {
			return service, false
		}
	}
	return "", true
}

// Floors returns all levels that are known.
func (d *Door) Floors(now time.Time) []Level {
	services := make([]string, 0, len(d.levels))
	for service := range d.levels {
		services = append(services, service)
	}
	return d.FloorsOf(now, services)
}

// FloorsOf returns the levels of the services, for passing on with an answer
// to a caller that can use just these.
func (d *Door) FloorsOf(now time.Time, services []string) []Level {
	var levels []Level
	for _, service := range services {
		for node, h := range d.levels[service] {
			age := now.Sub(h.measured)
			if age < levelGone {
				levels = append(levels, Level{Service: service, Node: node, Floor: h.floor, Age: age})
				continue
			}
			d.drop(service, node)
		}
	}
	return levels
}

// Forget drops what is known of a node.
func (d *Door) Forget(node string) {
	for service := range d.levels {
		d.drop(service, node)
	}
}

func (d *Door) drop(service, node string) {
	delete(d.levels[service], node)
	if len(d.levels[service]) == 0 {
		delete(d.levels, service)
	}
}

// floor returns the service's floor, 0 while nothing is known.
func (d *Door) floor(now time.Time, service string) uint32 {
	floors := make([]uint32, 0, len(d.levels[service]))
	for _, h := range d.levels[service] {
		if age := now.Sub(h.measured); age < levelGone {
			floors = append(floors, relaxed(h.floor, age))
		}
	}
	if len(floors) == 0 {
		return 0
	}
	slices.Sort(floors)
	return d.combine(floors)
}

// lowerQuartile lets a request through while a quarter of the nodes would take
// it: the choice of targets finds those, while the floor of a few slow nodes
// says nothing about the others. The lowest floor would do for three nodes,
// but over many it follows the error of a single one.
func lowerQuartile(sorted []uint32) uint32 {
	return sorted[(len(sorted)-1)/4]
}

// relaxed returns what is left of a floor at the age.
func relaxed(floor uint32, age time.Duration) uint32 {
	if age <= levelFresh {
		return floor
	}
	left := float64(levelGone-age) / float64(levelGone-levelFresh)
	return uint32(float64(floor) * max(left, 0))
}
