package admit

import (
	"math"
	"time"
)

const (
	// kneeShare is the share of the slots in use above which a target is nearly full.
	kneeShare = 0.92
	// kneeCalls is how many calls must have been compared, both while the target was
	// nearly full and while it was not.
	kneeCalls = 100
	// kneeWeight is the weight of a call in the paces that are compared. It is smaller for a
	// target with many slots, so that kneeTurnovers times as many calls count as it has slots:
	// after a change between nearly full and not, the first calls of one group to end are its
	// short ones and the last ones of the other are long, which looks like a knee.
	kneeWeight    = 0.01
	kneeTurnovers = 4
	// kneeNoise is how many mean deviations of single calls the paces must lie apart, about
	// three standard deviations of a mean with kneeWeight. Otherwise, chance would look
	// like a knee where the times of calls vary widely.
	kneeNoise = 0.27
	// kneeRatio is how much slower calls must be while the target is nearly full. Above it,
	// the last slots cost more completed calls than they add.
	kneeRatio = 1.15
	// maxUncomparedGain bounds the ratio of all slots to those of a trial for a target that has
	// always been nearly full, so that there are no other calls to compare with. With few
	// slots, a trial would take too large a part of them.
	maxUncomparedGain = 1.12
	// kneeTrial is the least time for which fewer calls are admitted on trial. A target that
	// is slow for another reason than being nearly full does not become faster by that.
	kneeTrial = 300 * time.Millisecond
	// firstKneeHold and maxKneeHold bound how long fewer calls are admitted after a trial
	// that made the target faster. The time doubles with each such trial. It is short at
	// first, because a slow spell that ends during a trial looks the same.
	firstKneeHold = 5 * time.Second
	maxKneeHold   = time.Minute
	// firstKneePause and maxKneePause bound the time until the next trial after one that
	// did not make the target faster. It doubles with each such trial.
	firstKneePause = 2 * time.Second
	maxKneePause   = 2 * time.Minute
)

type (
	// knee keeps the number of calls in flight below the point from which on a target is
	// slower, for targets that serve all calls more slowly when they are nearly full. It
	// first admits fewer calls on trial, because a target that is slow for another reason
	// also becomes full.
	knee struct {
		below, nearFull kneePace
		state           kneeState
		// until is the end of the trial, of the hold or of the pause.
		until  time.Time
		since  time.Time // start of the trial
		trial  kneePace
		ratio  float64       // how much slower the target has to be when nearly full
		held   time.Duration // length of the last hold
		paused time.Duration // length of the last pause
	}

	// kneePace is a smoothed ratio of service times to the usual ones.
	kneePace struct {
		pace      float64
		deviation float64 // mean deviation of single calls
		calls     int
	}

	kneeState uint8
)

const (
	kneeWatch kneeState = iota
	kneeOnTrial
	kneeHeld
)

// kneeCeiling returns how many calls may be in flight without making the target nearly full.
func kneeCeiling(slots int) int {
	return max(1, int(kneeShare*float64(slots)))
}

// ceiling returns the bound on the calls in flight, or 0 if there is none.
func (k *knee) ceiling(slots int) int {
	if k.state == kneeWatch {
		return 0
	}
	return kneeCeiling(slots)
}

// observe records a completed call by the time at which it started, whether the target was
// nearly full then, and the ratio of its service time to the usual one.
func (k *knee) observe(now, started time.Time, slots int, nearFull bool, ratio float64) {
	switch k.state {
	case kneeWatch:
		k.watch(now, slots, nearFull, ratio)
	case kneeOnTrial:
		if started.After(k.since) && !nearFull {
			k.trial.add(ratio, slots)
		}
		if !now.Before(k.until) && k.trial.calls >= kneeCalls {
			k.endTrial(now)
		}
	case kneeHeld:
		if !now.Before(k.until) {
			*k = knee{below: k.below, held: k.held}
		}
	}
}

// watch starts a trial once the target is so much slower when nearly full that it completes
// more calls with fewer in flight.
func (k *knee) watch(now time.Time, slots int, nearFull bool, ratio float64) {
	if nearFull {
		k.nearFull.add(ratio, slots)
	} else {
		k.below.add(ratio, slots)
	}
	if now.Before(k.until) || k.nearFull.calls < kneeCalls {
		return
	}
	gain := float64(slots) / float64(kneeCeiling(slots))
	k.ratio = max(kneeRatio, gain)
	if k.below.calls >= kneeCalls {
		if !k.nearFull.isSlower(k.below, k.ratio) {
			return
		}
	} else if gain > maxUncomparedGain {
		return
	}
	k.state = kneeOnTrial
	k.since = now
	k.until = now.Add(kneeTrial)
	k.trial = kneePace{}
}

// endTrial keeps the bound if calls have become so much faster that more are completed.
func (k *knee) endTrial(now time.Time) {
	if k.nearFull.isSlower(k.trial, k.ratio) {
		k.state = kneeHeld
		k.held = min(max(2*k.held, firstKneeHold), maxKneeHold)
		k.until = now.Add(k.held)
		return
	}
	k.state = kneeWatch
	k.held = 0
	k.paused = min(max(2*k.paused, firstKneePause), maxKneePause)
	k.until = now.Add(k.paused)
	k.nearFull = kneePace{}
}

// isSlower reports whether service times are longer than others by at least the given ratio
// and by more than the noise.
func (p kneePace) isSlower(other kneePace, ratio float64) bool {
	noise := kneeNoise * math.Hypot(p.deviation, other.deviation)
	return p.pace >= ratio*other.pace && p.pace >= other.pace+noise
}

func (p *kneePace) add(ratio float64, slots int) {
	p.calls++
	weight := min(kneeWeight, 1/float64(kneeTurnovers*max(slots, 1)))
	weight = max(weight, 1/float64(p.calls))
	p.pace += weight * (ratio - p.pace)
	p.deviation += weight * (math.Abs(ratio-p.pace) - p.deviation)
}
