package local

import "maps"

// origins counts which services the calls of each kind come from. Callers send
// their requests through all nodes alike, while calls that targets make for other
// calls enter at the nodes of one or two services.
type origins struct {
	byKind map[string]map[string]float64
	// known holds what was last seen of a kind. It stays while there are too few
	// calls to tell: a throttle that takes calls of targets for requests of callers
	// lets next to none through, and would never hear better.
	known map[string]bool
}

const (
	// originFade is what remains of the counts after one forgetPeriod.
	originFade = 0.8
	// minOrigins is how many calls say something.
	minOrigins = 5.0
	// innerShare is the share of one service above which a kind counts as inner.
	innerShare = 0.85
	// Where several services make such calls, at least manyOrigins show that another
	// makes none: less than strayShare of what would be its even part.
	manyOrigins = 30.0
	strayShare  = 0.1
)

func newOrigins() origins {
	return origins{byKind: map[string]map[string]float64{}, known: map[string]bool{}}
}

func (o *origins) count(kind, service string) {
	services := o.byKind[kind]
	if services == nil {
		services = map[string]float64{}
		o.byKind[kind] = services
	}
	services[service]++
}

// inner says whether the calls of a kind come from one service, or from some while
// others send other kinds only; or did when there were last enough to tell.
func (o *origins) inner(kind string) bool {
	sum, most := 0.0, 0.0
	for _, count := range o.byKind[kind] {
		sum += count
		most = max(most, count)
	}
	if sum >= minOrigins {
		o.known[kind] = most >= innerShare*sum || o.partial(kind, sum)
	}
	return o.known[kind]
}

// partial says whether some service sends other kinds, and next to none of this one.
func (o *origins) partial(kind string, sum float64) bool {
	if sum < manyOrigins {
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
		if count >= minOrigins && o.byKind[kind][service] < strayShare*even {
			return true
		}
	}
	return false
}

// keep forgets the kinds that are not declared.
func (o *origins) keep(declared func(kind string) bool) {
	maps.DeleteFunc(o.known, func(kind string, _ bool) bool { return !declared(kind) })
}

func (o *origins) fade() {
	for kind, services := range o.byKind {
		for service := range services {
			services[service] *= originFade
			if services[service] < 1/minOrigins {
				delete(services, service)
			}
		}
		if len(services) == 0 {
			delete(o.byKind, kind)
		}
	}
}
