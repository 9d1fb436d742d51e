package admit

import "time"

const (
	minLimitShare = 0.1 // of the slots
	outcomeWindow = 500 * time.Millisecond
	// collapseCut is the factor on the limit after a collapse, which is a window in
	// which at least minCollapseLosses calls, and more than half of them all, were lost.
	collapseCut       = 0.7
	minCollapseLosses = 5
	growthDoubling    = time.Second
	maxShedGrowth     = 0.04  // of the slots, per second, right after a shed
	minShedGrowth     = 0.005 // of the slots, per second, after repeated sheds
	collapseGrowth    = 0.5   // of the slots, per second, right after a collapse
	maxGrowthShare    = 1.0   // of the slots, per second
	coldStartingShare = 0.1   // of the slots
	// nearFullShare is the share of the slots in use from which a shed by an opaque target
	// is attributed to its own slots.
	nearFullShare = 0.8
	// reservedShare is the share of the announced slots that stays free. A target with
	// fewer than reservedFromSlots slots uses them all, because one slot would be more
	// than this share.
	reservedShare     = 0.06
	reservedFromSlots = 17
)

// UsableSlots returns how many of the slots that a target announces are to be used. A target
// announces the most calls that it can hold. Some targets serve all calls more slowly
// when they are nearly full, so that using the last slots lowers their throughput.
func UsableSlots(slots int) int {
	if slots < reservedFromSlots {
		return slots
	}
	return int(float64(slots) * (1 - reservedShare))
}

// limiter adapts the number of calls in flight to what the target accepts.
//
// A shed shows how many calls the target accepts at the moment: those in flight beside
// the shed call. The limit falls to that number and then grows again, slowly at first
// and exponentially faster as long as there is no further cut. Each further shed at the
// same number halves the initial growth, because every attempt to exceed the number
// costs a call, of whatever importance.
type limiter struct {
	settings Settings
	limit    float64
	growth   float64 // slots per second
	grownAt  time.Time
	// windowEnd is the end of the window over which completed and lost are counted.
	windowEnd time.Time
	completed int
	// shedAt is the number of calls in flight beside the last shed call, and
	// shedGrowth the share of the slots per second by which the limit grew at first
	// after it.
	shedAt     int
	shedGrowth float64
	// lost counts the calls that failed or timed out.
	lost int
	// ceiling bounds the limit while the target is slower when nearly full; 0 sets none.
	ceiling int
}

func newLimiter(s Settings) limiter {
	return limiter{
		settings: s,
		limit:    float64(s.Slots),
		growth:   maxGrowthShare * float64(s.Slots),
		shedAt:   s.Slots,
	}
}

// cold reports whether the limit still rises after a cold start.
func (l *limiter) cold(now time.Time) bool {
	return now.Sub(l.settings.Started) < l.settings.ColdStart
}

// current returns the limit. It is at least one, because only a call that is admitted
// can show that the target has recovered.
func (l *limiter) current(now time.Time) int {
	limit := l.limit
	if l.cold(now) {
		warm := float64(now.Sub(l.settings.Started)) / float64(l.settings.ColdStart)
		limit = min(limit, float64(l.settings.Slots)*max(warm, coldStartingShare))
	}
	if l.ceiling > 0 {
		limit = min(limit, float64(l.ceiling))
	}
	return max(1, int(limit))
}

// recordOutcome counts the outcome of a call. others is the number of calls that
// remain in flight.
func (l *limiter) recordOutcome(o Outcome, others int) {
	switch o {
	case Completed:
		l.completed++
	case Failed, TimedOut:
		if !l.settings.Opaque {
			l.lost++
		}
	case Shed:
		l.shed(others)
	case Abandoned:
	}
}

// advance grows the limit, and cuts it if most calls of a window were lost.
func (l *limiter) advance(now time.Time) {
	elapsed := now.Sub(l.grownAt)
	if l.grownAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	l.grownAt = now
	slots := float64(l.settings.Slots)
	l.growth = min(l.growth*(1+elapsed.Seconds()/growthDoubling.Seconds()), maxGrowthShare*slots)
	l.limit = min(l.limit+l.growth*elapsed.Seconds(), slots)
	if now.Before(l.windowEnd) {
		return
	}
	if l.lost >= minCollapseLosses && l.lost > l.completed {
		l.cut(l.limit*collapseCut, collapseGrowth)
	}
	l.windowEnd = now.Add(outcomeWindow)
	l.completed = 0
	l.lost = 0
}

// shed cuts the limit after the target shed a call with others in flight beside it.
func (l *limiter) shed(others int) {
	if float64(others) >= l.limit {
		return
	}
	if l.settings.Opaque && float64(others) < nearFullShare*float64(l.settings.Slots) {
		return
	}
	same := others >= l.shedAt-1 && others <= l.shedAt+1
	l.shedAt = others
	if same {
		l.shedGrowth = max(l.shedGrowth/2, minShedGrowth)
	} else {
		l.shedGrowth = maxShedGrowth
	}
	l.cut(float64(others), l.shedGrowth)
}

// cut sets the limit and its initial growth, as a share of the slots per second.
func (l *limiter) cut(limit, growthShare float64) {
	slots := float64(l.settings.Slots)
	l.limit = max(limit, minLimitShare*slots, 1)
	l.growth = growthShare * slots
}
