package route

import "time"

const (
	// defaultLimit stands in until the target's node has reported one.
	defaultLimit = 100
	// coldShare scales the limit of a cold target that has not reported one.
	coldShare = 0.2
	// reportValid is how long a reported load counts.
	reportValid = time.Second
	// refusalValid is how long a target that refused for load counts as full.
	refusalValid = 100 * time.Millisecond

	successWeight = 0.1 // per unit of weight of an outcome
	minSuccess    = 0.05
	latencyWeight = 0.1

	// A target is ejected after this many failures in a row, silent calls
	// weighing more because each one has cost a caller its whole patience.
	ejectAfter      = 5
	failureWeight   = 1
	silenceWeight   = 2
	unreachedWeight = 2
	// ejectBelow is the share of successes under which a target is ejected
	// even when some calls complete in between.
	ejectBelow = 0.5
	// othersAcceptable is the mean share that the other targets must reach
	// for one to be ejected, and worseThanOthers how far below that mean its
	// own share must lie.
	othersAcceptable = 0.6
	worseThanOthers  = 0.5
	// poorBesideOthers is how far below that mean the share of a target must lie
	// for others to be used before it. Three lost calls in a row take it there.
	poorBesideOthers = 0.75

	firstEjection = 500 * time.Millisecond
	// maxEjection bounds the ejection of a target that cannot be reached or
	// stays silent. One that answers is tried again sooner, because a service
	// that was overloaded must be in full use 2 s after.
	maxEjection        = 5 * time.Second
	maxFailingEjection = 1500 * time.Millisecond
	ejectJitter        = 0.25
	// restoreAfter completed calls in a row forget the former ejections.
	restoreAfter = 20
)

// entry is what a table knows of one target.
type entry struct {
	target   Target
	inFlight int
	// success is the smoothed share of calls that completed.
	success float64
	latency time.Duration
	// reported is the load that the target's node gave last, at reportedAt.
	reported    int
	offered     float64
	limitGiven  int
	lastReport  Report
	reportedAt  time.Time
	sentSince   int
	refusedAt   time.Time
	failures    int // weighted, in a row
	completions int // in a row
	ejections   int
	// ejectedUntil stays set until a trial call has completed.
	ejectedUntil time.Time
	// trialUntil bounds how long one trial call keeps others away.
	trialUntil time.Time
}

func newEntry(target Target) *entry {
	return &entry{target: target, success: 1}
}

// sent counts a call that is on its way to the target.
func (e *entry) sent(now time.Time) {
	e.inFlight++
	e.sentSince++
	if e.dueForTrial(now) {
		e.trialUntil = now.Add(firstEjection)
	}
}

// ended takes in the end of a call and reports whether the target looks bad.
func (e *entry) ended(now time.Time, r Report) bool {
	e.inFlight = max(0, e.inFlight-1)
	if r.Known {
		e.reported = r.InFlight + r.Queued
		e.offered = r.Offered
		e.limitGiven = r.Limit
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
		return e.failed(now, silenceWeight)
	case Unreachable:
		return e.failed(now, unreachedWeight)
	case Blameless:
	}
	return false
}

func (e *entry) completed(latency time.Duration) {
	if e.latency == 0 {
		e.latency = latency
	}
	e.latency += time.Duration(latencyWeight * float64(latency-e.latency))
	e.success += successWeight * (1 - e.success)
	e.restore()
	e.completions++
	if e.completions >= restoreAfter {
		e.ejections = 0
	}
}

// restore ends an ejection. The share of successes stays: the target earns
// trust by the calls that it completes from now on.
func (e *entry) restore() {
	e.failures = 0
	e.ejectedUntil = time.Time{}
	e.trialUntil = time.Time{}
}

// failed takes in a failure and reports whether the target looks bad.
func (e *entry) failed(now time.Time, weight int) bool {
	e.completions = 0
	e.failures += weight
	e.success -= successWeight * float64(weight) * e.success
	if !e.ejectedUntil.IsZero() {
		return !now.Before(e.ejectedUntil)
	}
	return e.failures >= ejectAfter || e.success < ejectBelow
}

// eject keeps calls away from the target, twice as long with each ejection in
// a row. The jitter keeps nodes from trying it again all at the same moment.
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

// usable reports whether calls may be sent freely.
func (e *entry) usable() bool {
	return !e.target.Leaving && e.ejectedUntil.IsZero()
}

// dueForTrial reports whether the ejection has run out and no trial call is
// under way.
func (e *entry) dueForTrial(now time.Time) bool {
	return !e.ejectedUntil.IsZero() && !now.Before(e.ejectedUntil) && !now.Before(e.trialUntil)
}

// refusing reports whether the target has just refused for load.
func (e *entry) refusing(now time.Time) bool {
	return !e.refusedAt.IsZero() && now.Sub(e.refusedAt) < refusalValid
}

func (e *entry) limit() float64 {
	if e.limitGiven > 0 {
		return float64(e.limitGiven)
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

// load estimates how many calls the target has: those of this node, or what
// its own node reported and was sent since, if that is more.
func (e *entry) load(now time.Time) float64 {
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) > reportValid {
		return float64(e.inFlight)
	}
	return float64(max(e.inFlight, e.reported+e.sentSince))
}

func (e *entry) pressure(now time.Time) float64 {
	return e.load(now) / e.limit()
}

// score orders targets for the choice. Dividing by the share of calls that
// complete keeps a target that fails fast, and therefore looks idle, from
// drawing calls to itself. It counts more than once, since a lost call costs its
// caller more than a wait does: a target that loses half of them gets calls when
// the others are eight times as full.
func (e *entry) score(now time.Time) float64 {
	trust := e.success * e.success * e.success
	score := (e.load(now) + 1) / e.limit() / max(trust, minSuccess)
	if e.refusing(now) {
		score++
	}
	return score
}
