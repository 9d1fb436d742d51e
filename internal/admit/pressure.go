package admit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// leadFresh is how long an answer shows which services a kind leads to. It is
	// longer than a surge after which next to none of the kind is let in.
	leadFresh = 30 * time.Second
	// tellAbove is the pressure from which a service is told of with answers, so that
	// a calm system sends nothing. A service of which nothing is heard has room.
	tellAbove = 0.8
	// tellMost is of how many services an answer tells, the fullest first.
	tellMost = 4
)

type (
	// Pressures is what a node knows of the pressure of services. It hears of it
	// with the answers of any kind and tells others with its own, so that a node
	// that lets in next to none of a kind still knows when there is room for it.
	Pressures struct {
		heard map[string]measure
		// leads holds which services a kind leads to below its own, and when an
		// answer last showed it.
		leads map[string]map[string]time.Time
	}

	// Heard is the pressure of a service as it was some time ago.
	Heard struct {
		Service  string
		Pressure float64
		Age      time.Duration
	}

	measure struct {
		pressure float64
		at       time.Time
	}
)

// NewPressures returns the knowledge of a node that has heard nothing.
func NewPressures() *Pressures {
	return &Pressures{heard: map[string]measure{}, leads: map[string]map[string]time.Time{}}
}

// Hear takes in the pressure of a service. An older one than is known changes
// nothing.
func (p *Pressures) Hear(now time.Time, heard Heard) {
	at := now.Add(-max(heard.Age, 0))
	if at.Before(p.heard[heard.Service].at) {
		return
	}
	p.heard[heard.Service] = measure{pressure: heard.Pressure, at: at}
}

// Leads takes in that a kind leads to a service below its own.
func (p *Pressures) Leads(now time.Time, kind, service string) {
	services := p.leads[kind]
	if services == nil {
		services = map[string]time.Time{}
		p.leads[kind] = services
	}
	services[service] = now
}

// Below returns the services that a kind leads to below its own.
func (p *Pressures) Below(now time.Time, kind string) []string {
	services := p.leads[kind]
	maps.DeleteFunc(services, func(_ string, at time.Time) bool { return now.Sub(at) >= leadFresh })
	return slices.Sorted(maps.Keys(services))
}

// Of returns the pressure that a kind of a service meets.
func (p *Pressures) Of(now time.Time, kind, service string) Pressure {
	pressure := Pressure{Own: p.at(now, service)}
	for _, below := range p.Below(now, kind) {
		pressure.Below = max(pressure.Below, p.at(now, below))
	}
	return pressure
}

// Told returns what is worth passing on, the fullest service first.
func (p *Pressures) Told(now time.Time) []Heard {
	var told []Heard
	for service, m := range p.heard {
		if m.pressure < tellAbove || now.Sub(m.at) >= pressureFresh {
			continue
		}
		if len(told) == tellMost && m.pressure <= told[tellMost-1].Pressure {
			continue
		}
		told = append(told[:min(len(told), tellMost-1)], Heard{Service: service, Pressure: m.pressure, Age: now.Sub(m.at)})
		slices.SortFunc(told, func(a, b Heard) int { return cmp.Compare(b.Pressure, a.Pressure) })
	}
	return told
}

// Fresh returns the pressure of each service of which something fresh is known.
func (p *Pressures) Fresh(now time.Time) map[string]float64 {
	fresh := map[string]float64{}
	for service, m := range p.heard {
		if now.Sub(m.at) < pressureFresh {
			fresh[service] = m.pressure
		}
	}
	return fresh
}

// Keep forgets what kinds lead to that are not declared.
func (p *Pressures) Keep(declared func(kind string) bool) {
	maps.DeleteFunc(p.leads, func(kind string, _ map[string]time.Time) bool { return !declared(kind) })
}

// at returns the pressure of a service, 0 when nothing fresh is known of it.
func (p *Pressures) at(now time.Time, service string) float64 {
	m := p.heard[service]
	if now.Sub(m.at) >= pressureFresh {
		return 0
	}
	return m.pressure
}
