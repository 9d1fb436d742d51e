package route

import "time"

const (
	// paceTTL is how long a reported pace is used. A slow spell may last some hundred
	// milliseconds, and without news the target has probably recovered.
	paceTTL = 500 * time.Millisecond
	// slownessTTL is how long a usual time counts without a report. A target that looks slow
	// gets no calls while there are few, and could not show that it has become faster.
	slownessTTL = 10 * time.Second
	// minPace bounds how much faster than usual a target counts.
	minPace = 0.5
	// kindTimeChange is the relative change of a kind's usual time from which on the
	// targets are compared anew.
	kindTimeChange = 0.02
	// fullFrom is the use of the slots from which on a target's score rises by fullPenalty
	// for each further multiple of its slots. Otherwise calls would queue at fast targets,
	// where some are refused, while slow ones have slots left.
	fullFrom    = 0.95
	fullPenalty = 1.0
	// minSlowness and maxSlowness bound the ratio of speeds. A target that appears even
	// slower still gets a call at times, which shows when it has recovered.
	minSlowness = 0.1
	maxSlowness = 10
)

// speeds compares the targets of a service by their speed, for loads in which some are
// permanently faster than others or slow for a while. Their usual times are compared kind
// by kind, because targets may have got different kinds of calls.
type speeds struct {
	// changed is set once the comparison is out of date.
	changed bool
}

// learnSpeed records how fast a target is by the report of its node.
func (t *Table) learnSpeed(now time.Time, e *entry, r Report) {
	if !r.HasLoad || r.Pace <= 0 {
		return
	}
	e.pace = r.Pace
	e.pacedAt = now
	if r.MeanTime > 0 {
		e.meanTime = r.MeanTime
	}
	if r.KindTime <= 0 {
		return
	}
	seconds := r.KindTime.Seconds()
	if e.kindTimes == nil {
		e.kindTimes = map[string]float64{}
	}
	known := e.kindTimes[r.Kind]
	if difference := seconds - known; max(difference, -difference) < kindTimeChange*known {
		return
	}
	e.kindTimes[r.Kind] = seconds
	t.speeds.changed = true
}

// compareSpeeds sets the slowness of each target: the mean over kinds of its usual time
// relative to the mean of all targets.
func (t *Table) compareSpeeds() {
	t.speeds.changed = false
	type sum struct {
		seconds float64
		targets int
	}
	kinds := map[string]sum{}
	for _, e := range t.entries {
		for kind, seconds := range e.kindTimes {
			s := kinds[kind]
			kinds[kind] = sum{s.seconds + seconds, s.targets + 1}
		}
	}
	for _, e := range t.entries {
		ratios, count := 0.0, 0
		for kind, seconds := range e.kindTimes {
			s := kinds[kind]
			ratios += seconds / (s.seconds / float64(s.targets))
			count++
		}
		e.slowness = 1
		if count > 0 {
			e.slowness = min(max(ratios/float64(count), minSlowness), maxSlowness)
		}
	}
}

// RetainKinds discards what was learned about kinds that are no longer declared.
func (t *Table) RetainKinds(declared func(kind string) bool) {
	for _, e := range t.entries {
		for kind := range e.kindTimes {
			if !declared(kind) {
				delete(e.kindTimes, kind)
				t.speeds.changed = true
			}
		}
	}
}

// score ranks targets for the choice; lower is better.
func (t *Table) score(now time.Time, e *entry) float64 {
	if !t.settings.MeasureSpeed {
		return e.score(now)
	}
	if t.speeds.changed {
		t.compareSpeeds()
	}
	score := e.score(now) * e.relativeTime(now)
	if full := e.pressure(now) - fullFrom; full > 0 {
		score += fullPenalty * full
	}
	return score
}

// RelativeTime returns how long a target takes for a call relative to the others of its
// service, and 1 if its speed is not measured.
func (t *Table) RelativeTime(now time.Time, name string) float64 {
	e := t.entries[name]
	if e == nil || !t.settings.MeasureSpeed {
		return 1
	}
	if t.speeds.changed {
		t.compareSpeeds()
	}
	return e.relativeTime(now)
}

// relativeTime returns how long the target takes for a call relative to the other targets.
func (e *entry) relativeTime(now time.Time) float64 {
	switch since := now.Sub(e.pacedAt); {
	case since > slownessTTL:
		return 1
	case since > paceTTL:
		return e.slowness
	}
	return e.slowness * max(e.pace, minPace)
}
