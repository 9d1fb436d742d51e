package admit

import (
	"cmp"
	"maps"
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
	// keptEnds is how many of the last ends are remembered beyond throttleMemory,
	// for a node that sees few of a kind, and endsFresh for how long.
	keptEnds  = 6.0
	endsFresh = 5 * time.Second
	// A kind fails when more than failAbove of its requests do.
	failAbove = 0.08
	// exposedFor is how long a kind that failed counts as one that leads to a
	// bottleneck below its own service.
	exposedFor = 5 * time.Second
	// pressureFresh is how long a reported pressure counts.
	pressureFresh = time.Second
	// A service is full above fullPressure and has room below roomPressure. In
	// between the shares stay.
	fullPressure = 1.0
	roomPressure = 0.93
	// aimPressure is what a change of a share aims at. In one period it falls to
	// maxCut of itself or rises to maxGrowth of itself at most, and by leastGrowth.
	aimPressure = 0.95
	maxCut      = 0.7
	maxGrowth   = 1.3
	leastGrowth = 0.005
	// stepGain is how much of the way to the aim one period goes, as an exponent: what
	// was let in before arrives for another half second, two to three periods.
	stepGain = 0.5
	// roomGain is how much of the room, as a share of all requests of a kind, is given
	// to them in one period.
	roomGain = 0.15
	// minShare keeps a few requests going, which show how the services are.
	minShare = 0.03
)

type (
	// End is how a request that was let in ended.
	End uint8

	// Pressure is the load that is offered to the targets of a service in relation
	// to their slots: above 1, more calls arrive than they can carry.
	Pressure struct {
		// Own is that of the kind's own service, and Below the highest of the
		// services that are called for it, as far as is known.
		Own   float64
		Below float64
	}

	// Throttle decides which share of the requests of each kind a node lets in.
	//
	// The pressure says how much must be held back, and how requests end says of
	// which kinds. A node does not know which kinds lead to a full service deep in
	// the call chains, but requests of those fail. So when services are full, the
	// kinds that fail are cut, the least important first: while look-ups and orders
	// fail together, the look-ups are cut, and the orders only once there are next
	// to no look-ups. A kind that does well does not meet the bottleneck and is let
	// in, whatever its importance. Failures without pressure have another cause
	// than load; to let in less would not help them.
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
		good       float64
		// bad counts all that failed, and full those among them for which the kind's
		// own service had no room.
		bad       float64
		full      float64
		endedAt   time.Time
		failedAt  time.Time
		pressure  Pressure
		pressedAt time.Time
	}
)

// The ends.
const (
	// Good means that the request was answered.
	Good End = iota
	// Overrun means that it failed in a way that load can cause, here or below.
	Overrun
	// NoRoom means that the kind's own service turned it away, which says nothing of
	// the services below.
	NoRoom
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
	return drawn < k.share
}

// Press takes in the pressure of the services that a kind leads to.
func (t *Throttle) Press(now time.Time, kind string, pressure Pressure) {
	k := t.kind(kind)
	k.pressure = pressure
	k.pressedAt = now
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
	case Overrun:
		k.bad++
	case NoRoom:
		k.bad++
		k.full++
	case Other:
		return
	}
	k.endedAt = now
}

// Shares returns the share that is let in of each kind of which requests came.
func (t *Throttle) Shares() map[string]float64 {
	shares := make(map[string]float64, len(t.kinds))
	for name, k := range t.kinds {
		shares[name] = k.share
	}
	return shares
}

// Keep forgets the kinds that are not declared, so that what is known stays in bounds
// while declarations come and go.
func (t *Throttle) Keep(declared func(kind string) bool) {
	maps.DeleteFunc(t.kinds, func(name string, _ *throttled) bool { return !declared(name) })
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
			k.fade(now, keep)
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
		if k.failingBelow() {
			k.failedAt = now
		}
	}
	slices.SortFunc(kinds, func(a, b *throttled) int { return cmp.Compare(a.importance, b.importance) })
	for i, k := range kinds {
		pressure := k.exposure(now)
		switch {
		case pressure < roomPressure:
			k.share = min(1, k.share*growth(k.share, pressure)+leastGrowth)
		case pressure > fullPressure && !hasShield(now, kinds[:i], k):
			k.share = max(minShare, k.share*max(maxCut, step(pressure)))
		}
	}
}

// step is by which factor a share changes in one period: the whole of the change that
// the pressure asks for at once would come on top of those of the last periods, which
// have not shown in the pressure yet.
func step(pressure float64) float64 {
	return math.Pow(aimPressure/pressure, stepGain)
}

// growth is by which factor a share grows where there is room. The factor that the
// pressure asks for is that of all load together; a kind of which few are let in adds
// little to it, and has most of the room to itself.
func growth(share, pressure float64) float64 {
	wanted := 1 + roomGain*(aimPressure-pressure)/max(share, minShare)
	return min(maxGrowth, max(step(pressure), wanted))
}

// hasShield says whether a less important kind that leads to a full service too
// can still give way.
func hasShield(now time.Time, below []*throttled, k *throttled) bool {
	for _, other := range below {
		if other.importance < k.importance && other.exposure(now) > fullPressure && other.share > minShare {
			return true
		}
	}
	return false
}

// exposure returns the pressure that a kind meets: that of its own service and of
// those below, where its requests fail. One whose requests do well, since others
// give way to them in the queues, relieves nobody by being held back.
func (k *throttled) exposure(now time.Time) float64 {
	if now.Sub(k.pressedAt) >= pressureFresh {
		return 0
	}
	exposure := 0.0
	if k.failing() {
		exposure = k.pressure.Own
	}
	if !k.failedAt.IsZero() && now.Sub(k.failedAt) <= exposedFor {
		exposure = max(exposure, k.pressure.Below)
	}
	return exposure
}

// fade lets the counts of ends come down to a share, but not below those that a
// node remembers which sees few of the kind.
func (k *throttled) fade(now time.Time, keep float64) {
	ends := k.good + k.bad
	if now.Sub(k.endedAt) < endsFresh && ends*keep < keptEnds {
		keep = min(1, keptEnds/ends)
	}
	k.good *= keep
	k.bad *= keep
	k.full *= keep
}

// failingBelow says whether the kind fails for another reason than that its own service
// has no room. One that is turned away there may be the victim of others, whose calls
// wait for a full service below and keep the slots of this one meanwhile; it does well
// again as soon as they give way.
func (k *throttled) failingBelow() bool {
	ends := k.good + k.bad
	return ends >= minEnds && k.bad-k.full > failAbove*ends
}

func (k *throttled) failing() bool {
	ends := k.good + k.bad
	return ends >= minEnds && k.bad > failAbove*ends
}
