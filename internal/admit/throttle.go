package admit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
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
	// pressureSetpoint is the setpoint for changes of a share. In one period, a rising
	// share is multiplied by at most maxGrowth and grows by a further minGrowth.
	pressureSetpoint = 0.95
	maxGrowth        = 1.3
	minGrowth        = 0.005
	// stepGain is the part of the change towards pressureSetpoint that is made in one
	// period, as an exponent, and maxCutGain that of all cuts made before the first of them
	// shows in the pressure.
	stepGain   = 0.5
	maxCutGain = 2.0
	// riseGain and riseStep limit in the same way how far a share rises until that shows
	// in the pressure: the exponent of the change, and the part of the spare capacity that
	// one kind may ask for, as a share of all its requests.
	riseGain = 2.0
	riseStep = 1.0
	// reportPeriods is how many periods old a report of the pressure may be, and
	// maxHistory how many periods a change of a share takes at most until the pressure
	// shows it.
	reportPeriods = 2
	maxHistory    = 15
	// durationWeight is the weight of a request in the smoothed duration of its kind.
	durationWeight = 0.05
	// spareGain is the part of the spare capacity that is given to a kind in one period,
	// as a share of all its requests.
	spareGain = 0.15
	// minShare is the share that is always admitted, so that the answers show when
	// the services have recovered.
	minShare = 0.03
	// importanceStep is the pressure by which staggered thresholds rise from one level of
	// importance to the next, starting above Normal. Cuts of less important kinds take effect
	// before the pressure gets from one threshold to the next.
	importanceStep = 0.15
	// minPressure bounds the change that a nearly idle service calls for.
	minPressure = 0.1
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

	// Throttle decides which share of the requests of each kind a node admits. Where teams
	// replace the importance of a kind, its requests of each importance are throttled
	// separately, see ThrottleClass.
	//
	// The pressure shows how much load must be rejected, and the ends of requests show
	// of which kinds. A node does not know which kinds call a full service deep in the
	// call chains, but requests of those kinds fail. While services are full, the
	// failing kinds are therefore cut, the least important first: if look-ups and the
	// more important orders both fail, look-ups are cut first, and orders only once
	// look-ups are down to the minimum share. A kind whose requests succeed does not
	// meet the bottleneck and is admitted whatever its importance. Failures without
	// pressure are not caused by load, and admitting less would not prevent them.
	//
	// This order holds among the kinds that enter at one node. With staggered thresholds,
	// more important kinds are cut only at a higher pressure, for loads in which the less
	// important kinds that call the same service enter at other nodes. Those then bring
	// the pressure down before it reaches the thresholds of the others.
	Throttle struct {
		staggered   bool
		kinds       map[string]*kindState
		decayedAt   time.Time
		sharesSetAt time.Time
	}

	// kindState is the state of one kind in a Throttle. The counts decay with
	// throttleTimeConstant.
	kindState struct {
		kind       string
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
		// duration is the smoothed time, in seconds, that requests of the kind take.
		duration float64
		// history holds the shares of the last periods, the latest last.
		history []float64
		// minimalSince is since when the share has been minShare, and zero while it is
		// higher.
		minimalSince time.Time
		pressure     Pressure
		pressureAt   time.Time
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

// classSeparator separates a kind from the importance that replaces its own.
const classSeparator = "\x00"

// ThrottleClass returns the name under which a Throttle keeps the state of a kind's requests
// with the given importance. It is that of the kind unless a team replaces the declared
// importance.
func ThrottleClass(kind *schema.Kind, importance schema.Importance) string {
	if importance == kind.Importance {
		return kind.Name
	}
	return kind.Name + classSeparator + strconv.Itoa(int(importance))
}

// NewThrottle returns a throttle that admits all requests until pressure is reported.
func NewThrottle() *Throttle {
	return &Throttle{kinds: map[string]*kindState{}}
}

// SetStaggered sets whether the thresholds rise with the importance of requests.
func (t *Throttle) SetStaggered(staggered bool) {
	t.staggered = staggered
}

// Allow reports whether a request is admitted. The caller draws a random number from
// [0, 1) for it, which is compared with the share of its kind.
func (t *Throttle) Allow(now time.Time, kind string, importance schema.Importance, drawn float64) bool {
	t.advance(now)
	k := t.kind(kind)
	k.importance = importance
	return drawn < k.share
}

// AllowTeam is Allow for a request of a team, whose share is allocated by fair. It returns
// the team's share as well.
func (t *Throttle) AllowTeam(now time.Time, kind string, importance schema.Importance, team string, fair *FairShare, drawn float64) (share float64, ok bool) {
	t.advance(now)
	k := t.kind(kind)
	k.importance = importance
	demand := fair.Record(now, team, importance)
	share = fair.Share(now, demand, importance, k.share)
	return share, drawn < share
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

// RecordEnd records how an admitted request ended and how long it took.
func (t *Throttle) RecordEnd(now time.Time, kind string, end RequestEnd, took time.Duration) {
	t.advance(now)
	k := t.kind(kind)
	if end == Succeeded || end == LoadFailure {
		k.duration += durationWeight * (took.Seconds() - k.duration)
	}
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

// Shares returns the admitted share of each kind that the throttle has state of, and the
// lowest one if that differs by importance.
func (t *Throttle) Shares() map[string]float64 {
	shares := make(map[string]float64, len(t.kinds))
	for _, k := range t.kinds {
		if lowest, ok := shares[k.kind]; !ok || k.share < lowest {
			shares[k.kind] = k.share
		}
	}
	return shares
}

// RetainKinds discards the state of kinds that are no longer declared, which bounds the memory
// in use while declarations change.
func (t *Throttle) RetainKinds(declared func(kind string) bool) {
	maps.DeleteFunc(t.kinds, func(_ string, k *kindState) bool { return !declared(k.kind) })
}

// kind returns the state of a kind and creates it if there is none.
func (t *Throttle) kind(name string) *kindState {
	k := t.kinds[name]
	if k == nil {
		kind, _, _ := strings.Cut(name, classSeparator)
		k = &kindState{kind: kind, share: 1}
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
		pressure := t.pressureOn(now, k)
		switch {
		case pressure < sparePressure:
			k.raise(pressure)
		case pressure > fullPressure && !t.lessImportantCanYield(now, kinds[:i], k):
			k.cut(pressure)
		}
		k.remember(now)
	}
}

// raise raises the share for a pressure below pressureSetpoint.
func (k *kindState) raise(pressure float64) {
	visible := k.visibleShare()
	limit := max(visible*changeFactor(pressure, riseGain), visible+riseStep*(pressureSetpoint-pressure))
	raised := min(k.share*growthFactor(k.share, pressure), limit) + minGrowth
	k.share = min(1, max(k.share, raised))
}

// cut reduces the share for a pressure above pressureSetpoint.
func (k *kindState) cut(pressure float64) {
	gain := min(stepGain*float64(k.delayPeriods()), maxCutGain)
	k.share = max(minShare, min(k.share, k.visibleShare()*changeFactor(pressure, gain)))
}

// visibleShare returns the share by which the requests were admitted whose calls make up
// the present pressure. Changes are made relative to it: the later ones do not show yet, and
// a pressure that stays high until they do must not lead to the same cut once more. With
// requests of two seconds, shares would otherwise fall to the minimum and rise again every
// five seconds, and slots would stay free meanwhile.
func (k *kindState) visibleShare() float64 {
	if len(k.history) == 0 {
		return k.share
	}
	return k.history[max(0, len(k.history)-k.delayPeriods())]
}

// delayPeriods returns how many periods it takes until a change of the share shows in the
// pressure: as long as requests of the kind take, and the age of reports.
func (k *kindState) delayPeriods() int {
	return min(int(k.duration/throttlePeriod.Seconds())+reportPeriods, maxHistory)
}

// remember adds the share of one period to the history.
func (k *kindState) remember(now time.Time) {
	if len(k.history) == maxHistory {
		copy(k.history, k.history[1:])
		k.history = k.history[:maxHistory-1]
	}
	k.history = append(k.history, k.share)
	switch {
	case k.share > minShare:
		k.minimalSince = time.Time{}
	case k.minimalSince.IsZero():
		k.minimalSince = now
	}
}

// exhausted reports whether the share has been the least possible for so long that the
// pressure shows it.
func (k *kindState) exhausted(now time.Time) bool {
	return !k.minimalSince.IsZero() && now.Sub(k.minimalSince) >= time.Duration(k.delayPeriods())*throttlePeriod
}

// changeFactor returns the factor that brings the load to pressureSetpoint, to the power of
// a gain.
func changeFactor(pressure, gain float64) float64 {
	return math.Pow(pressureSetpoint/max(pressure, minPressure), gain)
}

// growthFactor returns the factor by which a share grows in one period while there is spare
// capacity. The factor of changeFactor applies to the total load. A kind of which few
// requests are admitted contributes little to the load and can take up most of the spare
// capacity, so its share may grow faster.
func growthFactor(share, pressure float64) float64 {
	wanted := 1 + spareGain*(pressureSetpoint-pressure)/max(share, minShare)
	return min(maxGrowth, max(changeFactor(pressure, stepGain), wanted))
}

// pressureOn returns the effective pressure of a kind relative to its thresholds.
func (t *Throttle) pressureOn(now time.Time, k *kindState) float64 {
	pressure := k.effectivePressure(now)
	if t.staggered && k.importance > schema.Normal {
		pressure -= importanceStep * float64(k.importance-schema.Normal)
	}
	return pressure
}

// lessImportantCanYield reports whether a less important kind that also calls a full
// service can still be cut instead of k, or has just been.
func (t *Throttle) lessImportantCanYield(now time.Time, lessImportant []*kindState, k *kindState) bool {
	for _, other := range lessImportant {
		if other.importance < k.importance && t.pressureOn(now, other) > fullPressure && !other.exhausted(now) {
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
