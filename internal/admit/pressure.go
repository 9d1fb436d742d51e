package admit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// downstreamExpiry is how long a kind counts as calling a service after an answer
	// showed that it does. It outlasts surges during which hardly any request of the kind
	// is admitted.
	downstreamExpiry = 30 * time.Second
	// minReportedPressure is the pressure from which a service is reported with answers,
	// so that a lightly loaded system reports nothing. A service that is not reported
	// counts as having spare capacity.
	minReportedPressure = 0.8
	// maxReports is how many services an answer reports, the highest pressure first.
	maxReports = 4
)

type (
	// Pressures holds the pressure of services as a node knows it. Nodes report it to
	// each other with answers of every kind, so that a node that admits hardly any
	// requests of a kind still learns when there is spare capacity for them.
	Pressures struct {
		samples map[string]pressureSample
		// downstream holds by kind the services that are called downstream of the kind's
		// own, each with the time of the last answer that showed this.
		downstream map[string]map[string]time.Time
	}

	// PressureReport is a report of the pressure that a service had some time ago.
	PressureReport struct {
		Service  string
		Pressure float64
		Age      time.Duration
	}

	// pressureSample is the pressure of a service with the time at which it was measured.
	pressureSample struct {
		pressure float64
		at       time.Time
	}
)

// NewPressures returns the empty state of a node that has received no report.
func NewPressures() *Pressures {
	return &Pressures{samples: map[string]pressureSample{}, downstream: map[string]map[string]time.Time{}}
}

// Update stores the reported pressure of a service unless a newer one is stored already.
func (p *Pressures) Update(now time.Time, report PressureReport) {
	at := now.Add(-max(report.Age, 0))
	if at.Before(p.samples[report.Service].at) {
		return
	}
	p.samples[report.Service] = pressureSample{pressure: report.Pressure, at: at}
}

// AddDownstream records that requests of a kind call a service downstream of the kind's own.
func (p *Pressures) AddDownstream(now time.Time, kind, service string) {
	services := p.downstream[kind]
	if services == nil {
		services = map[string]time.Time{}
		p.downstream[kind] = services
	}
	services[service] = now
}

// Downstream returns the services that requests of a kind call downstream of the
// kind's own, sorted by name.
func (p *Pressures) Downstream(now time.Time, kind string) []string {
	services := p.downstream[kind]
	maps.DeleteFunc(services, func(_ string, at time.Time) bool { return now.Sub(at) >= downstreamExpiry })
	return slices.Sorted(maps.Keys(services))
}

// ForKind returns the pressure on the kind's own service and on those downstream of it.
func (p *Pressures) ForKind(now time.Time, kind, service string) Pressure {
	pressure := Pressure{Own: p.current(now, service)}
	for _, downstream := range p.Downstream(now, kind) {
		pressure.Downstream = max(pressure.Downstream, p.current(now, downstream))
	}
	return pressure
}

// Reports returns the reports to send with an answer, the highest pressure first.
func (p *Pressures) Reports(now time.Time) []PressureReport {
	var reports []PressureReport
	for service, sample := range p.samples {
		if sample.pressure < minReportedPressure || now.Sub(sample.at) >= pressureTTL {
			continue
		}
		if len(reports) == maxReports && sample.pressure <= reports[maxReports-1].Pressure {
			continue
		}
		reports = append(reports[:min(len(reports), maxReports-1)], PressureReport{Service: service, Pressure: sample.pressure, Age: now.Sub(sample.at)})
		slices.SortFunc(reports, func(a, b PressureReport) int { return cmp.Compare(b.Pressure, a.Pressure) })
	}
	return reports
}

// Fresh returns the pressure of each service with an unexpired report.
func (p *Pressures) Fresh(now time.Time) map[string]float64 {
	fresh := map[string]float64{}
	for service, sample := range p.samples {
		if now.Sub(sample.at) < pressureTTL {
			fresh[service] = sample.pressure
		}
	}
	return fresh
}

// RetainKinds discards the downstream services of kinds that are no longer declared.
func (p *Pressures) RetainKinds(declared func(kind string) bool) {
	maps.DeleteFunc(p.downstream, func(kind string, _ map[string]time.Time) bool { return !declared(kind) })
}

// current returns the pressure of a service, or 0 if there is no unexpired report of it.
func (p *Pressures) current(now time.Time, service string) float64 {
	sample := p.samples[service]
	if now.Sub(sample.at) >= pressureTTL {
		return 0
	}
	return sample.pressure
}
