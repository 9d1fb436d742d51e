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
	// throttlePeriod is the interval at which the shares are updated.
	throttlePeriod = 200 * time.Millisecond
	// throttleTimeConstant is the time constant with which the counts of ends decay.
	throttleTimeConstant = time.Second
	// minEnds is how many ends, after decay, are needed to judge whether a kind fails.
	minEnds = 3.0
	// keptEnds is the count of ends below which the counts of a kind do not decay as
	// long as its last end is younger than keptEndsFor, so that nodes with few requests
	// of a kind can judge it too.
	keptEnds    = 6.0
	keptEndsFor = 5 * time.Second
	// maxFailureShare is the share of failed requests above which a kind counts as
	// failing.
	maxFailureShare = 0.08
	// downstreamFailureFor is how long a kind counts as calling a downstream bottleneck
	// after it failed.
	downstreamFailureFor = 5 * time.Second
	// pressureTTL is how long a reported pressure is used.
	pressureTTL = time.Second
	// fullPressure is the pressure above which a service counts as full, and
	// sparePressure the pressure below which it has spare capacity. In between, the
	// shares stay as they are.
	fullPressure  = 1.0
	sparePressure = 0.93
	// pressureSetpoint is the setpoint for changes of a share. In one period, a share is
	// multiplied by at least maxCut and at most maxGrowth, and a rising share grows by
	// a further minGrowth.
	pressureSetpoint = 0.95
	maxCut           = 0.7
	maxGrowth        = 1.3
	minGrowth        = 0.005
	// stepGain is the part of the change towards pressureSetpoint that is made in one
	// period, as an exponent. Calls of requests admitted earlier keep arriving for half a
	// second, which is two to three periods.
	stepGain = 0.5
	// spareGain is the part of the spare capacity that is given to a kind in one period,
	// as a share of all its requests.
	spareGain = 0.15
	// minShare is the share that is always admitted, so that the answers show when
	// the services have recovered.
	minShare = 0.03
)

type (
	// RequestEnd is how an admitted request ended.
	RequestEnd uint8

	// Pressure is the load offered to the targets of a service relative to their slots:
	// above 1, more calls arrive than they can serve.
	Pressure struct {
		// Own is the pressure of the kind's own service.
		Own float64
		// Downstream is the highest known pressure of the services that are called
		// downstream of the kind's own.
		Downstream float64
	}

	// Throttle decides which share of the requests of each kind a node admits.
	//
	// The pressure shows how much load must be rejected, and the ends of requests show
	// of which kinds. A node does not know which kinds call a full service deep in the
	// call chains, but requests of those kinds fail. While services are full, the
	// failing kinds are therefore cut, the least important first: if look-ups and the
	// more important orders both fail, look-ups are cut first, and orders only once
	// look-ups are down to the minimum share. A kind whose requests succeed does not
	// meet the bottleneck and is admitted whatever its importance. Failures without
	// pressure are not caused by load, and admitting less would not prevent them.
	Throttle struct {
		kinds       map[string]*kindState
		decayedAt   time.Time
		sharesSetAt time.Time
	}

	// kindState is the state of one kind in a Throttle. The counts decay with
	// throttleTimeConstant.
	kindState struct {
		importance schema.Importance
		share      float64
		succeeded  float64
		// failed counts all requests that failed, and ownRejected those of them that the
		// kind's own service rejected.
		failed      float64
		ownRejected float64
		// lastEnd is when a request last ended, and lastDownstreamFailure when the kind
		// was last failing for another reason than rejection by its own service.
		lastEnd               time.Time
		lastDownstreamFailure time.Time
		pressure              Pressure
		pressureAt            time.Time
	}
)

// The ends.
const (
	// Succeeded means that the request was answered.
	Succeeded RequestEnd = iota
	// LoadFailure means that the request failed in a way that overload can cause, at the
	// kind's own service or downstream.
	LoadFailure
	// OwnServiceFull means that the kind's own service rejected the request for lack of
	// capacity, which says nothing about the services downstream.
	OwnServiceFull
	// Unrelated means that the request ended in a way that says nothing about load.
	Unrelated
)

// NewThrottle returns a throttle that admits all requests until pressure is reported.
func NewThrottle() *Throttle {
	return &Throttle{kinds: map[string]*kindState{}}
}

// Allow reports whether a request is admitted. The caller draws a random number from
// [0, 1) for it, which is compared with the share of its kind.
func (t *Throttle) Allow(now time.Time, kind string, importance schema.Importance, drawn float64) bool {
	t.advance(now)
	k := t.kind(kind)
	k.importance = importance
	return drawn < k.share
}

// SetPressure sets the pressure of the services that requests of a kind call.
func (t *Throttle) SetPressure(now time.Time, kind string, pressure Pressure) {
	k := t.kind(kind)
	k.pressure = pressure
	k.pressureAt = now
}

// Share returns the share of a kind's requests that is admitted.
func (t *Throttle) Share(kind string) float64 {
	if k := t.kinds[kind]; k != nil {
		return k.share
	}
	return 1
}

// MostlySucceeds reports whether the requests of a kind mostly succeed, so that a failure is a
// single incident and worth a retry.
func (t *Throttle) MostlySucceeds(kind string) bool {
	k := t.kinds[kind]
	return k == nil || !k.failing()
}

// RecordEnd records how an admitted request ended.
func (t *Throttle) RecordEnd(now time.Time, kind string, end RequestEnd) {
	t.advance(now)
	k := t.kind(kind)
	switch end {
	case Succeeded:
		k.succeeded++
	case LoadFailure:
		k.failed++
	case OwnServiceFull:
		k.failed++
		k.ownRejected++
	case Unrelated:
		return
	}
	k.lastEnd = now
}

// Shares returns the admitted share of each kind that the throttle has state of.
func (t *Throttle) Shares() map[string]float64 {
	shares := make(map[string]float64, len(t.kinds))
	for name, k := range t.kinds {
		shares[name] = k.share
	}
	return shares
}

// RetainKinds discards the state of kinds that are no longer declared, which bounds the memory
// in use while declarations change.
func (t *Throttle) RetainKinds(declared func(kind string) bool) {
	maps.DeleteFunc(t.kinds, func(name string, _ *kindState) bool { return !declared(name) })
}

// kind returns the state of a kind and creates it if there is none.
func (t *Throttle) kind(name string) *kindState {
	k := t.kinds[name]
	if k == nil {
		k = &kindState{share: 1}
		t.kinds[name] = k
	}
	return k
}

// advance decays the counts, and updates the shares once per throttlePeriod.
func (t *Throttle) advance(now time.Time) {
	elapsed := now.Sub(t.decayedAt)
	if t.decayedAt.IsZero() || elapsed < 0 {
		t.decayedAt = now
		t.sharesSetAt = now
		return
	}
	if elapsed > 0 {
		t.decayedAt = now
		factor := math.Exp(-elapsed.Seconds() / throttleTimeConstant.Seconds())
		for _, k := range t.kinds {
			k.decay(now, factor)
		}
	}
	if now.Sub(t.sharesSetAt) >= throttlePeriod {
		t.sharesSetAt = now
		t.updateShares(now)
	}
}

// updateShares updates the share of every kind, the least important first.
func (t *Throttle) updateShares(now time.Time) {
	kinds := make([]*kindState, 0, len(t.kinds))
	for _, k := range t.kinds {
		kinds = append(kinds, k)
		if k.failingDownstream() {
			k.lastDownstreamFailure = now
		}
	}
	slices.SortFunc(kinds, func(a, b *kindState) int { return cmp.Compare(a.importance, b.importance) })
	for i, k := range kinds {
		pressure := k.effectivePressure(now)
		switch {
		case pressure < sparePressure:
			k.share = min(1, k.share*growthFactor(k.share, pressure)+minGrowth)
		case pressure > fullPressure && !lessImportantCanYield(now, kinds[:i], k):
			k.share = max(minShare, k.share*max(maxCut, stepFactor(pressure)))
		}
	}
}

// stepFactor returns the factor by which a share changes in one period. It makes only
// part of the change that the pressure calls for, because the changes of the last periods
// do not show in the pressure yet.
func stepFactor(pressure float64) float64 {
	return math.Pow(pressureSetpoint/pressure, stepGain)
}

// growthFactor returns the factor by which a share grows while there is spare capacity.
// The factor of stepFactor applies to the total load. A kind of which few requests are
// admitted contributes little to the load and can take up most of the spare capacity, so
// its share may grow faster.
func growthFactor(share, pressure float64) float64 {
	wanted := 1 + spareGain*(pressureSetpoint-pressure)/max(share, minShare)
	return min(maxGrowth, max(stepFactor(pressure), wanted))
}

// lessImportantCanYield reports whether a less important kind that also calls a full
// service can still be cut instead of k.
func lessImportantCanYield(now time.Time, lessImportant []*kindState, k *kindState) bool {
	for _, other := range lessImportant {
		if other.importance < k.importance && other.effectivePressure(now) > fullPressure && other.share > minShare {
			return true
		}
	}
	return false
}

// effectivePressure returns the pressure by which the share of a kind is set: that of its
// own service if its requests fail, or that of the services downstream if this is higher
// and requests of the kind have recently failed there. It is 0 for a kind whose requests
// succeed because they take precedence in the queues: admitting fewer of them would not
// relieve other kinds.
func (k *kindState) effectivePressure(now time.Time) float64 {
	if now.Sub(k.pressureAt) >= pressureTTL {
		return 0
	}
	effective := 0.0
	if k.failing() {
		effective = k.pressure.Own
	}
	if !k.lastDownstreamFailure.IsZero() && now.Sub(k.lastDownstreamFailure) <= downstreamFailureFor {
		effective = max(effective, k.pressure.Downstream)
	}
	return effective
}

// decay multiplies the counts of ends by the given factor, but does not reduce them below
// keptEnds in total while the last end is younger than keptEndsFor.
func (k *kindState) decay(now time.Time, factor float64) {
	ends := k.succeeded + k.failed
	if now.Sub(k.lastEnd) < keptEndsFor && ends*factor < keptEnds {
		factor = min(1, keptEnds/ends)
	}
	k.succeeded *= factor
	k.failed *= factor
	k.ownRejected *= factor
}

// failingDownstream reports whether the kind fails for another reason than rejection by
// its own service. A kind rejected there may suffer from other kinds, whose calls occupy
// the service's slots while they wait for a full service downstream. It succeeds again as
// soon as those are cut.
func (k *kindState) failingDownstream() bool {
	ends := k.succeeded + k.failed
	return ends >= minEnds && k.failed-k.ownRejected > maxFailureShare*ends
}

// failing reports whether too many of the kind's requests fail, for any reason.
func (k *kindState) failing() bool {
	ends := k.succeeded + k.failed
	return ends >= minEnds && k.failed > maxFailureShare*ends
}
