package route

import "time"

const (
	// defaultLimit is the limit of a target, in calls, until its node has reported one or
	// the target has declared its slots.
	defaultLimit = 100
	// coldShare scales the limit of a cold target whose node has not reported one.
	coldShare = 0.2
	// reportTTL is how long a reported load is used.
	reportTTL = time.Second
	// refusalTTL is how long a target counts as full after it refused a call for load.
	refusalTTL = 100 * time.Millisecond

	successWeight = 0.1 // weight of an outcome in the success rate, per unit of failure weight
	minSuccess    = 0.05
	latencyWeight = 0.1

	// A target is ejected once its consecutive failures reach ejectAfter by weight. Silent
	// calls weigh more because each one has kept a caller waiting until it gave up.
	ejectAfter        = 5
	failureWeight     = 1
	silentWeight      = 2
	unreachableWeight = 2
	// ejectBelow is the success rate below which a target is ejected even if some calls
	// complete in between.
	ejectBelow = 0.5
	// minPeerSuccess is the mean success rate that the other targets must reach before a
	// target is ejected, and outlierRatio the fraction of that mean that the target's own
	// rate must be below.
	minPeerSuccess = 0.6
	outlierRatio   = 0.5
	// underperformRatio is the fraction of the other targets' mean success rate below which
	// a target's limit no longer counts as room for calls, so that farther targets are used
	// as well. Three failed calls in a row bring a target below it.
	underperformRatio = 0.75

	firstEjection = 500 * time.Millisecond
	// maxEjection bounds the ejection of a target that is unreachable or silent. A target
	// that answers with failures is tried again sooner, within maxFailingEjection, because
	// a service that was overloaded must be in full use again 2 s later.
	maxEjection        = 5 * time.Second
	maxFailingEjection = 1500 * time.Millisecond
	ejectJitter        = 0.25
	// ejectionResetAfter is how many consecutive completed calls reset the number of
	// ejections, which determines the length of the next one.
	ejectionResetAfter = 20
)

// entry is a table's state for one target.
type entry struct {
	target   Target
	inFlight int
	// success is the success rate: the smoothed share of calls that completed.
	success float64
	latency time.Duration
	// reportedLoad is the load that the target's node last reported, at reportedAt.
	reportedLoad  int
	offeredLoad   float64
	reportedLimit int
	lastReport    Report
	reportedAt    time.Time
	sentSince     int
	refusedAt     time.Time
	failures      int // weighted, in a row
	completions   int // in a row
	ejections     int
	// ejectedUntil stays set until a trial call has completed.
	ejectedUntil time.Time
	// trialUntil bounds how long one trial call keeps other calls from the target.
	trialUntil time.Time
	// slowness is the usual time of the target's calls relative to that of the other
	// targets. pace is how much slower it was than usual, as reported at pacedAt.
	slowness float64
	pace     float64
	pacedAt  time.Time
	// kindTimes holds the usual time by kind, in seconds, and meanTime the mean of the
	// latest times over all kinds.
	kindTimes map[string]float64
	meanTime  time.Duration
}

func newEntry(target Target) *entry {
	return &entry{target: target, success: 1, slowness: 1, pace: 1}
}

// sent counts a call as in flight to the target.
func (e *entry) sent(now time.Time) {
	e.inFlight++
	e.sentSince++
	if e.dueForTrial(now) {
		e.trialUntil = now.Add(firstEjection)
	}
}

// ended records the end of a call and reports whether the target looks bad enough to be
// ejected.
func (e *entry) ended(now time.Time, r Report) bool {
	e.inFlight = max(0, e.inFlight-1)
	if r.HasLoad {
		e.reportedLoad = r.InFlight + r.Queued
		e.offeredLoad = r.Offered
		e.reportedLimit = r.Limit
		e.lastReport = r
		e.reportedAt = now
		e.sentSince = 0
		e.target.Leaving = e.target.Leaving || r.Leaving
	}
	switch r.Outcome {
	case Complete:
		e.completed(r.Latency)
	case Refused:
		e.refusedAt = now
		e.restore()
	case Failed:
		return e.failed(now, failureWeight)
	case Silent:
		return e.failed(now, silentWeight)
	case Unreachable:
		return e.failed(now, unreachableWeight)
	case Blameless:
	}
	return false
}

// completed records a completed call.
func (e *entry) completed(latency time.Duration) {
	if e.latency == 0 {
		e.latency = latency
	}
	e.latency += time.Duration(latencyWeight * float64(latency-e.latency))
	e.success += successWeight * (1 - e.success)
	e.restore()
	e.completions++
	if e.completions >= ejectionResetAfter {
		e.ejections = 0
	}
}

// restore ends an ejection. It keeps the success rate, which recovers only with the calls
// that the target completes from then on.
func (e *entry) restore() {
	e.failures = 0
	e.ejectedUntil = time.Time{}
	e.trialUntil = time.Time{}
}

// failed records a failure and reports whether the target looks bad enough to be ejected.
func (e *entry) failed(now time.Time, weight int) bool {
	e.completions = 0
	e.failures += weight
	e.success -= successWeight * float64(weight) * e.success
	if !e.ejectedUntil.IsZero() {
		return !now.Before(e.ejectedUntil)
	}
	return e.failures >= ejectAfter || e.success < ejectBelow
}

// eject keeps calls from the target, for twice as long with each consecutive ejection. The
// jitter keeps nodes from all retrying the target at the same moment.
func (e *entry) eject(now time.Time, o Outcome, random func() float64) {
	longest := maxEjection
	if o == Failed {
		longest = maxFailingEjection
	}
	length := min(firstEjection<<min(e.ejections, 10), longest)
	factor := 1 + ejectJitter*(2*random()-1)
	e.ejections++
	e.ejectedUntil = now.Add(time.Duration(float64(length) * factor))
	e.trialUntil = time.Time{}
}

// usable reports whether the target is neither leaving nor ejected.
func (e *entry) usable() bool {
	return !e.target.Leaving && e.ejectedUntil.IsZero()
}

// dueForTrial reports whether the ejection time is over and no trial call is in flight.
func (e *entry) dueForTrial(now time.Time) bool {
	return !e.ejectedUntil.IsZero() && !now.Before(e.ejectedUntil) && !now.Before(e.trialUntil)
}

// refusedRecently reports whether the target refused a call for load within refusalTTL.
func (e *entry) refusedRecently(now time.Time) bool {
	return !e.refusedAt.IsZero() && now.Sub(e.refusedAt) < refusalTTL
}

// limit returns how many calls the target takes at the same time, as last reported by its
// node or else as estimated.
func (e *entry) limit() float64 {
	if e.reportedLimit > 0 {
		return float64(e.reportedLimit)
	}
	limit := float64(defaultLimit)
	if e.target.Slots > 0 {
		limit = float64(e.target.Slots)
	}
	if e.target.Cold {
		return coldShare * limit
	}
	return limit
}

// load estimates how many calls the target has: those in flight from this node or, if that
// is more, those that its own node reported plus those sent since.
func (e *entry) load(now time.Time) float64 {
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) > reportTTL {
		return float64(e.inFlight)
	}
	return float64(max(e.inFlight, e.reportedLoad+e.sentSince))
}

// pressure returns the estimated load relative to the limit.
func (e *entry) pressure(now time.Time) float64 {
	return e.load(now) / e.limit()
}

// score ranks targets for the choice; lower is better. Dividing by the success rate keeps a
// target that fails fast, and therefore looks idle, from attracting calls. The rate enters
// as its cube, since a lost call costs the caller more than a wait does: a target that loses
// half of its calls is chosen only once the others are eight times as full.
func (e *entry) score(now time.Time) float64 {
	trust := e.success * e.success * e.success
	score := (e.load(now) + 1) / e.limit() / max(trust, minSuccess)
	if e.refusedRecently(now) {
		score++
	}
	return score
}
