package admit

import "time"

const (
	minLimitShare     = 0.1
	outcomeWindow     = 500 * time.Millisecond
	collapseCut       = 0.7
	minCollapseEnds   = 5
	growthDoubling    = time.Second
	maxShedGrowth     = 0.04 // of the slots, per second, right after a shed
	minShedGrowth     = 0.005
	collapseGrowth    = 0.5 // of the slots, per second, right after a collapse
	maxGrowthShare    = 1.0
	coldStartingShare = 0.1
	// nearSlots is the share of the slots in use above which a shed of an opaque
	// target speaks of its slots.
	nearSlots = 0.8
	// spareShare is the share of the announced slots that stays free, and spareFrom
	// the number of slots from which on that costs no more than that share.
	spareShare = 0.06
	spareFrom  = 17
)

// Usable returns how many of the slots that a target announces are given work.
// What it announces is the most that it holds; some targets work slower when they
// are nearly full, all calls alike, so that the last slots cost more calls than
// they carry.
func Usable(slots int) int {
	if slots < spareFrom {
		return slots
	}
	return int(float64(slots) * (1 - spareShare))
}

// limiter adapts the number of calls in flight to what the target takes.
//
// A target that sheds has said how many it takes at the moment: those that
// were in flight beside the shed call. The limit falls to that number and
// rises again, slowly at first and ever faster with the time that passes
// without a further cut. Each shed at the same number halves the rate at the
// start, because every attempt to go beyond costs a call, of any importance.
type limiter struct {
	settings Settings
	limit    float64
	growth   float64 // slots per second
	grownAt  time.Time
	// windowEnd closes the window over which outcomes are counted.
	windowEnd time.Time
	completed int
	// shedAt is the number of calls in flight at the last shed, and
	// shedGrowth the share of the slots by which the limit grew after it.
	shedAt     int
	shedGrowth float64
	lost       int
}

func newLimiter(s Settings) limiter {
	return limiter{
		settings: s,
		limit:    float64(s.Slots),
		growth:   maxGrowthShare * float64(s.Slots),
		shedAt:   s.Slots,
	}
}

// cold reports whether the target is still being ramped up.
func (l *limiter) cold(now time.Time) bool {
	return now.Sub(l.settings.Started) < l.settings.ColdStart
}

// current returns the limit, always at least one: a call must get through for
// the target to show that it has recovered.
func (l *limiter) current(now time.Time) int {
	limit := l.limit
	if l.cold(now) {
		warm := float64(now.Sub(l.settings.Started)) / float64(l.settings.ColdStart)
		limit = min(limit, float64(l.settings.Slots)*max(warm, coldStartingShare))
	}
	return max(1, int(limit))
}

// ended counts the outcome of a call. others is the number of calls that
// remain in flight.
func (l *limiter) ended(o Outcome, others int) {
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

// advance lets the limit grow and cuts it when most calls of a window were lost.
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
	if l.lost >= minCollapseEnds && l.lost > l.completed {
		l.cut(l.limit*collapseCut, collapseGrowth)
	}
	l.windowEnd = now.Add(outcomeWindow)
	l.completed = 0
	l.lost = 0
}

// shed takes in that the target shed a call beside others in flight.
func (l *limiter) shed(others int) {
	if float64(others) >= l.limit {
		return
	}
	if l.settings.Opaque && float64(others) < nearSlots*float64(l.settings.Slots) {
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

func (l *limiter) cut(limit, growthShare float64) {
	slots := float64(l.settings.Slots)
	l.limit = max(limit, minLimitShare*slots, 1)
	l.growth = growthShare * slots
}
