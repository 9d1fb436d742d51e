package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// throttlePeriod is how often the shares are set anew.
	throttlePeriod = 200 * time.Millisecond
	// throttleMemory is the time constant with which ends of requests are forgotten.
	throttleMemory = time.Second
	// minEnds is how many ends, weighted, say something about a kind.
	minEnds = 3.0
	// A kind fails when more than failAbove of its requests do, and does well
	// below wellBelow. In between its share stays.
	failAbove = 0.12
	wellBelow = 0.06
	// lateWeight is how much of a failure a late answer is.
	lateWeight = 0.5
	// spareGoodput lets in a little more than what ends well, to see whether more does.
	spareGoodput = 1.1
	// maxCut bounds how far a share falls at a time, and cutHold is how long it then
	// stays, because what was let in before ends up to a second later.
	maxCut  = 0.6
	cutHold = 600 * time.Millisecond
	// shieldCut is the cut of a less important kind that fails together with a
	// more important one.
	shieldCut = 0.7
	// togetherFor is how long a kind that failed counts as sharing a bottleneck
	// with one that fails.
	togetherFor = 4 * time.Second
	// A cut to helpShare of what it was has to raise the share of good ends by
	// helpGain. If it does not, the failures have another cause than load, and the
	// kind is not cut for helplessFor.
	helpShare   = 0.5
	helpGain    = 0.1
	helplessFor = 3 * time.Second
	// shieldTrial is the time in which less important kinds have to help.
	shieldTrial = 2 * time.Second
	// minShare keeps a few requests going, which show when the bottleneck is gone.
	minShare = 0.05
	// A share grows by growStep with each period in which the kind does well, twice
	// as much after each growPeriods of them, and by maxGrow at most: from the least
	// to all in three seconds.
	growStep    = 0.01
	growPeriods = 4
	maxGrow     = 0.1
)

type (
	// End is how a request that was let in ended.
	End uint8

	// Throttle decides which share of the requests of each kind a node lets in,
	// by how the ones before ended.
	//
	// A bottleneck deep in a call chain that a node does not know shows in the
	// ends of all kinds that lead to it. So the kinds that fail are cut, the least
	// important first: while a look-up and an order fail together, the share of
	// the look-ups falls to what ends well, and the orders' share is cut only once
	// there are next to no look-ups. A kind that does well is let in whole,
	// whatever its importance, because it does not meet the bottleneck.
	Throttle struct {
		kinds map[string]*throttled
		at    time.Time
		setAt time.Time
	}

	// throttled is what a Throttle knows of one kind. The counts fade with
	// throttleMemory.
	throttled struct {
		importance schema.Importance
		share      float64
		offered    float64
		good       float64
		bad        float64
		failedAt   time.Time
		cutAt      time.Time
		// before is how the kind did when its cuts began.
		before trial
		// shield is how the kind did when others began to be cut for it.
		shield trial
		// well counts the periods in a row in which the kind did well.
		well int
	}

	// trial is a measure that has to help.
	trial struct {
		since time.Time
		// good is the share of good ends, and share that of the requests let in, at
		// its beginning.
		good  float64
		share float64
		// helplessUntil is set when the measure did not help.
		helplessUntil time.Time
	}
)

// The ends.
const (
	// Good means that the request was answered in time.
	Good End = iota
	// TooLate means that it was answered later than its objective.
	TooLate
	// Overrun means that it failed in a way that load can cause.
	Overrun
	// Other means an end that says nothing of load.
	Other
)

// NewThrottle returns a throttle that lets everything in.
func NewThrottle() *Throttle {
	return &Throttle{kinds: map[string]*throttled{}}
}

// Offer says whether a request is let in, with a number drawn from [0, 1).
func (t *Throttle) Offer(now time.Time, kind string, importance schema.Importance, drawn float64) bool {
	t.advance(now)
	k := t.kind(kind)
	k.importance = importance
	k.offered++
	return drawn < k.share
}

// Share returns the share of a kind's requests that are let in.
func (t *Throttle) Share(kind string) float64 {
	if k := t.kinds[kind]; k != nil {
		return k.share
	}
	return 1
}

// Calm says whether the requests of a kind mostly end well, so that a failure is
// one of its own and worth a repeat.
func (t *Throttle) Calm(kind string) bool {
	k := t.kinds[kind]
	return k == nil || !k.failing()
}

// Ended takes in the end of a request that was let in.
func (t *Throttle) Ended(now time.Time, kind string, end End) {
	t.advance(now)
	k := t.kind(kind)
	switch end {
	case Good:
		k.good++
	case TooLate:
		k.good += 1 - lateWeight
		k.bad += lateWeight
	case Overrun:
		k.bad++
	case Other:
	}
}

func (t *Throttle) kind(name string) *throttled {
	k := t.kinds[name]
	if k == nil {
		k = &throttled{share: 1}
		t.kinds[name] = k
	}
	return k
}

// advance lets the counts fade and sets the shares when that is due.
func (t *Throttle) advance(now time.Time) {
	elapsed := now.Sub(t.at)
	if t.at.IsZero() || elapsed < 0 {
		t.at = now
		t.setAt = now
		return
	}
	if elapsed > 0 {
		t.at = now
		keep := math.Exp(-elapsed.Seconds() / throttleMemory.Seconds())
		for _, k := range t.kinds {
			k.offered *= keep
			k.good *= keep
			k.bad *= keep
		}
	}
	if now.Sub(t.setAt) >= throttlePeriod {
		t.setAt = now
		t.set(now)
	}
}

// set sets the share of every kind, the least important first.
func (t *Throttle) set(now time.Time) {
	kinds := make([]*throttled, 0, len(t.kinds))
	for _, k := range t.kinds {
		kinds = append(kinds, k)
		k.look(now)
	}
	slices.SortFunc(kinds, func(a, b *throttled) int { return cmp.Compare(a.importance, b.importance) })
	for i, k := range kinds {
		switch {
		case givesWay(now, kinds[i+1:], k):
			k.share = max(minShare, k.share*shieldCut)
			k.well = 0
		case !k.failing():
			k.grow()
		case hasShield(now, kinds[:i], k):
			// Less important kinds are cut for this one.
		default:
			k.cut(now)
		}
	}
}

// look notes whether the kind fails, and whether what is done about it helps.
func (k *throttled) look(now time.Time) {
	if !k.failing() {
		if k.well >= growPeriods {
			k.before.since = time.Time{}
			k.shield.since = time.Time{}
		}
		return
	}
	k.failedAt = now
	if k.shield.since.IsZero() {
		k.shield = trial{since: now, good: k.goodShare(), helplessUntil: k.shield.helplessUntil}
	}
	if now.Sub(k.shield.since) >= shieldTrial && k.goodShare() < k.shield.good+helpGain {
		k.shield = trial{helplessUntil: now.Add(helplessFor)}
	}
}

// givesWay says whether a kind is cut for a more important one that fails
// together with it.
func givesWay(now time.Time, above []*throttled, k *throttled) bool {
	if !k.failedLately(now) {
		return false
	}
	for _, other := range above {
		if other.importance > k.importance && other.failing() && now.After(other.shield.helplessUntil) {
			return true
		}
	}
	return false
}

// hasShield says whether a less important kind can still give way.
func hasShield(now time.Time, below []*throttled, k *throttled) bool {
	if !now.After(k.shield.helplessUntil) {
		return false
	}
	for _, other := range below {
		if other.importance < k.importance && other.failedLately(now) && other.share > minShare {
			return true
		}
	}
	return false
}

func (k *throttled) failedLately(now time.Time) bool {
	return !k.failedAt.IsZero() && now.Sub(k.failedAt) <= togetherFor
}

func (k *throttled) failing() bool {
	ends := k.good + k.bad
	return ends >= minEnds && k.bad > failAbove*ends
}

func (k *throttled) goodShare() float64 {
	return k.good / max(k.good+k.bad, 1)
}

// cut lets in what ends well and a little more, as long as that helps.
func (k *throttled) cut(now time.Time) {
	k.well = 0
	if !now.After(k.before.helplessUntil) || now.Sub(k.cutAt) < cutHold {
		return
	}
	if k.before.since.IsZero() {
		k.before = trial{since: now, good: k.goodShare(), share: k.share}
	}
	if k.share <= helpShare*k.before.share && k.goodShare() < k.before.good+helpGain {
		k.share = k.before.share
		k.before = trial{helplessUntil: now.Add(helplessFor)}
		return
	}
	k.cutAt = now
	wanted := spareGoodput * k.good / max(k.offered, 1)
	k.share = max(minShare, k.share*maxCut, min(k.share, wanted))
}

func (k *throttled) grow() {
	if ends := k.good + k.bad; ends >= minEnds && k.bad > wellBelow*ends {
		k.well = 0
		return
	}
	step := growStep * math.Exp2(float64(k.well/growPeriods))
	k.well++
	k.share = min(1, k.share+min(step, maxGrow))
}
