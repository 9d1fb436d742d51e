package local

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

// inner says whether nearly all calls of a kind come from one service, or did when
// there were last enough to tell.
func (o *origins) inner(kind string) bool {
	sum, most := 0.0, 0.0
	for _, count := range o.byKind[kind] {
		sum += count
		most = max(most, count)
	}
	if sum >= minOrigins {
		o.known[kind] = most >= innerShare*sum
	}
	return o.known[kind]
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
