package local

import "maps"

// origins counts the services from whose nodes the calls of each kind come, to tell
// internal kinds, which targets call, from those that callers request. Callers spread
// their requests evenly over all nodes, while calls made by targets come from the nodes
// of one or two services.
type origins struct {
	byKind map[string]map[string]float64
	// lastKnown holds the last verdict on each kind, which stands while there are too few
	// calls for a new one: a throttle that mistakes calls of targets for requests of
	// callers admits next to none, so the verdict would never be corrected.
	lastKnown map[string]bool
}

const (
	// originDecay is the factor applied to all counts every maintenancePeriod.
	originDecay = 0.8
	// minOrigins is the least number of calls for a verdict.
	minOrigins = 5.0
	// internalShare is the share of calls from one service from which on a kind counts as
	// internal.
	internalShare = 0.85
	// minSubsetOrigins is the least number of calls for the verdict that a kind comes
	// from some of the services only. A service counts as sending none of the kind if it
	// sends less than absentShare of an even share.
	minSubsetOrigins = 30.0
	absentShare      = 0.1
)

func newOrigins() origins {
	return origins{byKind: map[string]map[string]float64{}, lastKnown: map[string]bool{}}
}

func (o *origins) count(kind, service string) {
	services := o.byKind[kind]
	if services == nil {
		services = map[string]float64{}
		o.byKind[kind] = services
	}
	services[service]++
}

// isInternal reports whether a kind is called by targets: its calls come from one
// service, or from some services while others send only other kinds. With too few calls
// for a verdict it returns the last one.
func (o *origins) isInternal(kind string) bool {
	sum, largest := 0.0, 0.0
	for _, count := range o.byKind[kind] {
		sum += count
		largest = max(largest, count)
	}
	if sum >= minOrigins {
		o.lastKnown[kind] = largest >= internalShare*sum || o.fromSubset(kind, sum)
	}
	return o.lastKnown[kind]
}

// fromSubset reports whether some service sends calls of other kinds, but next to none of
// this one.
func (o *origins) fromSubset(kind string, sum float64) bool {
	if sum < minSubsetOrigins {
		return false
	}
	others := map[string]float64{}
	for other, services := range o.byKind {
		for service, count := range services {
			if other != kind {
				others[service] += count
			}
		}
	}
	even := sum / float64(max(len(others), 1))
	for service, count := range others {
		if count >= minOrigins && o.byKind[kind][service] < absentShare*even {
			return true
		}
	}
	return false
}

// retain drops the verdicts on kinds that are not declared.
func (o *origins) retain(declared func(kind string) bool) {
	maps.DeleteFunc(o.lastKnown, func(kind string, _ bool) bool { return !declared(kind) })
}

// decay reduces all counts, so that old calls lose their weight.
func (o *origins) decay() {
	for kind, services := range o.byKind {
		for service := range services {
			services[service] *= originDecay
			if services[service] < 1/minOrigins {
				delete(services, service)
			}
		}
		if len(services) == 0 {
			delete(o.byKind, kind)
		}
	}
}
