package admit

import (
	"maps"
	"math"
	"time"
)

const (
	// usualTimeConstant is the time constant of the usual time of a kind. It is long
	// compared with slow spells of up to some seconds, which the pace shows.
	usualTimeConstant = 10 * time.Second
	// minUsualCalls is the decayed number of calls from which on the usual time of a kind is
	// known.
	minUsualCalls = 10
	// paceWeight is the weight of a call in the pace. A target that becomes slow shows it
	// within a few answers, and calls of varying length change the pace little.
	paceWeight = 0.15
	// lateTimeConstant is the time constant with which the weight of a call decays by how
	// much later than it another call started that has already ended. The last slow calls
	// of a spell end after it and must not make a recovered target look slow.
	lateTimeConstant = 50 * time.Millisecond
	// maxPaceRatio bounds what one call contributes to the pace.
	maxPaceRatio = 8
	// paceTTL is how long after the last completed call the pace is reported. Later, 1
	// is reported.
	paceTTL = time.Second
)

type (
	// Speed is how fast a target serves calls.
	Speed struct {
		// KindTime is the usual service time of a kind, or 0 while it is unknown.
		KindTime time.Duration
		// Pace is the ratio of the latest service times to the usual ones of their kinds.
		Pace float64
		// Mean is the mean of the latest service times over all kinds, or 0 while it is
		// unknown.
		Mean time.Duration
	}

	// speed measures how fast one target serves calls, for loads in which the targets of
	// a service differ in speed and some are slow for a while. Each call is compared with
	// the usual time of its own kind, so that a target that happens to get the longer
	// kinds does not look slow.
	speed struct {
		enabled bool
		usual   map[string]usualTime
		// pace is 0 until the first call has been compared. pacedAt is the time of the last
		// comparison.
		pace    float64
		pacedAt time.Time
		// newest is the latest start of a call that has been compared.
		newest time.Time
	}

	// usualTime is the mean service time of a kind, from sums that decay exponentially.
	usualTime struct {
		seconds float64
		calls   float64
		at      time.Time
	}
)

// SetMeasured starts or stops measuring how fast the target is and limiting the calls in
// flight accordingly.
func (g *Gate) SetMeasured(measured bool) {
	if measured == g.speed.enabled {
		return
	}
	g.resetSpeed()
	g.speed.enabled = measured
}

// Speed returns how fast the target serves calls, with the usual time of a kind.
func (g *Gate) Speed(now time.Time, kind string) Speed {
	s := Speed{
		Pace: 1,
		Mean: time.Duration(g.serviceTimes.overallMean() * float64(time.Second)),
	}
	if usual := g.speed.usual[kind]; usual.calls >= minUsualCalls {
		s.KindTime = time.Duration(usual.mean() * float64(time.Second))
	}
	if g.speed.pace > 0 && now.Sub(g.speed.pacedAt) < paceTTL {
		s.Pace = g.speed.pace
	}
	return s
}

// AvoidsKnee reports whether fewer calls are admitted than the target has slots because it
// was slower when nearly full.
func (g *Gate) AvoidsKnee() bool {
	return g.limiter.ceiling > 0
}

func (g *Gate) resetSpeed() {
	g.speed = speed{enabled: g.speed.enabled}
	g.knee = knee{}
	g.limiter.ceiling = 0
}

// observeSpeed records the service time of a completed call.
func (g *Gate) observeSpeed(now time.Time, run runningCall) {
	if !g.speed.enabled {
		return
	}
	ratio, known := g.speed.observe(now, run)
	if !known || g.limiter.cold(now) {
		return // a target that warms up becomes faster whatever its limit
	}
	g.knee.observe(now, run.started, g.settings.Slots, run.nearFull, ratio)
	g.limiter.ceiling = g.knee.ceiling(g.settings.Slots)
}

// nearFull reports whether one more call makes the target nearly full.
func (g *Gate) nearFull() bool {
	return g.occupied()+1 > kneeCeiling(g.settings.Slots)
}

// observe records a service time and returns its ratio to the usual one of the kind. The
// second result is false while the usual one is unknown. A target may be slower when nearly
// full, so that calls of that time do not change what is usual once it is known.
func (s *speed) observe(now time.Time, run runningCall) (float64, bool) {
	took := now.Sub(run.started)
	if s.usual == nil {
		s.usual = map[string]usualTime{}
	}
	usual := s.usual[run.kind].decayed(now)
	ratio, known := 1.0, usual.calls >= minUsualCalls && usual.seconds > 0
	if known {
		ratio = min(took.Seconds()/usual.mean(), maxPaceRatio)
		if s.pace == 0 {
			s.pace = 1
		}
		late := max(s.newest.Sub(run.started), 0)
		s.pace += paceWeight * math.Exp(-late.Seconds()/lateTimeConstant.Seconds()) * (ratio - s.pace)
		s.pacedAt = now
		if run.started.After(s.newest) {
			s.newest = run.started
		}
	}
	if !known || !run.nearFull {
		usual.seconds += took.Seconds()
		usual.calls++
	}
	s.usual[run.kind] = usual
	return ratio, known
}

// retain discards the kinds that are no longer declared.
func (s *speed) retain(declared func(kind string) bool) {
	maps.DeleteFunc(s.usual, func(kind string, _ usualTime) bool { return !declared(kind) })
}

func (u usualTime) mean() float64 {
	return u.seconds / u.calls
}

func (u usualTime) decayed(now time.Time) usualTime {
	if elapsed := now.Sub(u.at); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / usualTimeConstant.Seconds())
		u.seconds *= decay
		u.calls *= decay
		u.at = now
	}
	return u
}
