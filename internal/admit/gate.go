package admit

import (
	"math"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

const (
	// floorInterval is the least time between two updates of the floor.
	floorInterval = 50 * time.Millisecond
	// queueGain is the share by which the rate asked of the entry nodes exceeds the
	// capacity when the queue is empty.
	queueGain = 0.2
	// noQueueMargin takes the place of queueGain for a target without a queue.
	noQueueMargin  = 0.05
	minQueueFactor = 0.5
	// minQueueSample is how many calls must be queued for their median order to
	// bound the floor.
	minQueueSample = 4
	// busyShare is the share of the limit in flight from which a target counts as busy.
	busyShare = 0.9
	// rateFactorDoubling is the time between two updates of the floor after which an update
	// doubles or halves Gate.rateFactor. After a shorter time it changes the factor by less.
	rateFactorDoubling = 250 * time.Millisecond
	// probeShare is the share of the limit that is admitted in spite of infeasible
	// deadlines, to notice that the target has become fast again.
	probeShare       = 0.1
	minRatePerSecond = 2.0
	// lateShedShare is the share of a kind's mean service time after which a shed
	// says nothing about the target's own slots.
	lateShedShare = 0.25
)

type (
	// Gate decides which calls one target serves.
	Gate struct {
		settings     Settings
		limiter      limiter
		speed        speed
		knee         knee
		demand       demand
		serviceTimes serviceTimes
		offeredLoad  offeredLoad
		queue        queue
		liveness     liveness
		running      map[string]runningCall
		// startSum is the sum of the start times of the calls in flight, as
		// durations since epoch. It gives their mean age without iterating over
		// them. Both fields are reset whenever a call starts on an idle target.
		startSum time.Duration
		epoch    time.Time
		// unanswered counts the calls in flight that FindUnanswered has returned. They
		// hold no slot and are left out of startSum.
		unanswered int
		// started counts the calls that have started so far.
		started       int64
		latestAnswers latestAnswers
		floor         uint32
		floorAt       time.Time
		// rateFactor multiplies the rate asked of the entry nodes. It is above 1
		// while the target has free slots in spite of a floor, and below 1 while
		// most calls cannot meet their deadlines.
		rateFactor float64
		// offeredCalls counts the calls since the last update of the floor, and
		// infeasibleCalls those of them that could not end before their deadline.
		offeredCalls    int
		infeasibleCalls int
	}

	// runningCall is a call in flight at the target.
	runningCall struct {
		kind             string
		started          time.Time
		awaitsDownstream func() bool
		// number is greater than that of each call that started before.
		number int64
		// unanswered is set once FindUnanswered has returned the call.
		unanswered bool
		// nearFull is set if the call started while the target was nearly full.
		nearFull bool
	}
)

// NewGate returns a gate for a target.
func NewGate(s Settings) *Gate {
	return &Gate{
		settings:     s,
		limiter:      newLimiter(s),
		demand:       newDemand(),
		serviceTimes: newServiceTimes(),
		running:      map[string]runningCall{},
		rateFactor:   1,
	}
}

// Offer decides on an arriving call.
func (g *Gate) Offer(now time.Time, c Call) Decision {
	g.demand.observe(now, Order(c.Importance, c.Position))
	g.limiter.advance(now)
	if c.FirstAttempt {
		g.offeredLoad.add(now, g.serviceTimes.expected(c.Kind))
	}
	if _, ok := g.running[c.ID]; ok {
		return Decision{Code: result.RunningStill}
	}
	if g.rejectsAsStopped() {
		return Decision{Code: result.TargetStopped}
	}
	g.offeredCalls++
	if !g.feasible(now, c) {
		g.infeasibleCalls++
		return Decision{Code: result.DeadlinePassed}
	}
	if g.queue.len() == 0 && g.occupied() < g.limit(now) {
		g.start(now, c)
		return Decision{Verdict: Admitted}
	}
	return g.enqueue(now, c)
}

// enqueue adds the call to the queue, where it competes by order with the other
// queued calls for free slots and for a place in the queue.
func (g *Gate) enqueue(now time.Time, c Call) Decision {
	g.queue.insert(queuedCall{call: c, order: Order(c.Importance, c.Position), arrived: now})
	d := Decision{Verdict: Queued}
	for _, r := range append(g.fill(now), g.evict()...) {
		switch {
		case r.ID != c.ID:
			d.Released = append(d.Released, r)
		case r.Verdict == Admitted:
			d.Verdict = Admitted
		default:
			d.Verdict = Refused
			d.Code = result.Overloaded
		}
	}
	return d
}

// Done frees the slot of an admitted call and returns the decisions on queued calls.
func (g *Gate) Done(now time.Time, id string, o Outcome) []Release {
	run, ok := g.running[id]
	if !ok {
		return nil
	}
	delete(g.running, id)
	if run.unanswered {
		g.unanswered--
		return g.fill(now)
	}
	if o == Completed || o == Shed || o == Failed {
		g.latestAnswers.add(run.number)
		g.RecordActivity(now)
	}
	g.startSum -= run.started.Sub(g.epoch)
	g.limiter.advance(now)
	if o != Shed || !g.shedLate(run, now) {
		g.limiter.recordOutcome(o, g.occupied())
	}
	if o == Completed {
		g.serviceTimes.observeAnswer(run.kind, now.Sub(run.started))
		g.observeSpeed(now, run)
	}
	if o != Shed {
		cut := o == Abandoned || o == TimedOut
		g.serviceTimes.observe(run.kind, now.Sub(run.started), cut, g.limiter.current(now))
	}
	return g.fill(now)
}

// shedLate reports whether a call was shed so late that the target had begun to work
// on it. A target without a free slot sheds at once, whereas a target that makes
// downstream calls passes on their rejection as a shed, which says nothing about its
// own slots.
//
// For example, a renewal with a mean time of 1.6 s spends 1.2 s on look-ups before
// its charge is rejected downstream. Treating this as a shed would cut the limit to
// the few renewals that are in flight at that time.
func (g *Gate) shedLate(run runningCall, now time.Time) bool {
	estimate := g.serviceTimes.lowEstimate(run.kind)
	return estimate > 0 && now.Sub(run.started).Seconds() > lateShedShare*estimate.Seconds()
}

// Tick updates the limit and the floor, checks the target's liveness and returns the
// decisions on queued calls. It is to be called about every 10 ms.
func (g *Gate) Tick(now time.Time) []Release {
	g.limiter.advance(now)
	released := g.checkLiveness(now)
	released = append(released, g.dropExpired(now)...)
	released = append(released, g.fill(now)...)
	released = append(released, g.evict()...)
	if now.Sub(g.floorAt) >= floorInterval {
		g.updateFloor(now)
	}
	return released
}

// Cancel removes a queued call whose caller disconnected. For an admitted call, use
// Done with Abandoned instead.
func (g *Gate) Cancel(now time.Time, id string) []Release {
	g.queue.remove(func(c queuedCall) bool { return c.call.ID == id })
	return g.fill(now)
}

// Floor returns the order below which entry nodes are to reject requests.
func (g *Gate) Floor(_ time.Time) uint32 {
	return g.floor
}

// Load returns the target's load. The offered load includes the slots needed to work
// off the queue within queueDrainTime.
func (g *Gate) Load(now time.Time) Load {
	return Load{
		InFlight: g.occupied(),
		Limit:    g.limit(now),
		Queued:   g.queue.len(),
		Offered:  g.offeredLoad.load(now) + float64(g.queue.len())*g.serviceTimes.overallMean()/queueDrainTime.Seconds(),
		Cold:     g.limiter.cold(now),
		Stopped:  g.stoppedFor(now),
	}
}

// limit returns how many calls may be in flight. A stopped target gets one call at a
// time, and a suspected one no more than are in flight already.
func (g *Gate) limit(now time.Time) int {
	limit := g.limiter.current(now)
	switch {
	case g.liveness.stopped:
		return 1
	case g.liveness.suspected:
		return max(1, min(limit, g.occupied()))
	}
	return limit
}

// Resize applies changed settings and scales the limit with the slots. Calls in flight
// stay, and queued calls beyond a smaller bound are evicted with the next Tick.
func (g *Gate) Resize(now time.Time, s Settings) {
	g.limiter.advance(now)
	if g.settings.Slots > 0 {
		scale := float64(s.Slots) / float64(g.settings.Slots)
		g.limiter.limit *= scale
		g.limiter.growth *= scale
	} else {
		// The gate was created before the target's slots were known.
		g.limiter = newLimiter(s)
		g.limiter.grownAt = now
	}
	g.settings = s
	g.limiter.settings = s
}

// RetainKinds discards the service times of kinds that are no longer declared.
func (g *Gate) RetainKinds(declared func(kind string) bool) {
	g.serviceTimes.retain(declared)
	g.speed.retain(declared)
}

// Restart adapts the gate to a new process of the target. It discards what was measured
// of the former process, whose calls in flight count until they end.
func (g *Gate) Restart(now time.Time, s Settings) {
	g.settings = s
	g.limiter = newLimiter(s)
	g.limiter.grownAt = now
	g.serviceTimes = newServiceTimes()
	g.resetSpeed()
	g.liveness = liveness{lastActivity: now, lastCheck: now}
	g.rateFactor = 1
}

func (g *Gate) start(now time.Time, c Call) {
	if g.occupied() == 0 {
		g.epoch = now
		g.startSum = 0
	}
	g.started++
	g.running[c.ID] = runningCall{kind: c.Kind, started: now, awaitsDownstream: c.AwaitsDownstream, number: g.started, nearFull: g.nearFull()}
	g.startSum += now.Sub(g.epoch)
}

// fill admits queued calls to free slots, the highest order first, and rejects those
// among them that have expired.
func (g *Gate) fill(now time.Time) []Release {
	var released []Release
	limit := g.limit(now)
	for g.queue.len() > 0 && g.occupied() < limit {
		next := g.queue.takeHighest()
		if code := g.expired(now, next); code != 0 {
			released = append(released, Release{ID: next.call.ID, Code: code})
			continue
		}
		g.start(now, next.call)
		released = append(released, Release{ID: next.call.ID, Verdict: Admitted})
	}
	return released
}

// dropExpired removes all expired calls from the queue. It scans the whole queue and
// therefore runs on each Tick rather than on each call.
func (g *Gate) dropExpired(now time.Time) []Release {
	var released []Release
	g.queue.remove(func(c queuedCall) bool {
		code := g.expired(now, c)
		if code == 0 {
			return false
		}
		released = append(released, Release{ID: c.call.ID, Code: code})
		return true
	})
	return released
}

// expired returns the code with which to reject a queued call that can no longer meet
// its deadline or has been queued for too long, and 0 for any other call.
func (g *Gate) expired(now time.Time, c queuedCall) result.Code {
	switch {
	case !g.feasible(now, c.call):
		return result.DeadlinePassed
	case now.Sub(c.arrived) >= g.settings.QueueWait:
		return result.QueueExpired
	}
	return 0
}

// evict removes calls beyond the bound of the queue, the lowest order first.
func (g *Gate) evict() []Release {
	var released []Release
	for g.queue.len() > max(0, g.settings.Queue) {
		c := g.queue.takeLowest()
		released = append(released, Release{ID: c.call.ID, Code: result.Evicted})
	}
	return released
}

// feasible reports whether the call can end before its deadline if it starts now.
// While few calls are in flight it ignores the estimated service time, because only
// calls that run can show that the target has become fast again.
func (g *Gate) feasible(now time.Time, c Call) bool {
	left := c.Deadline.Sub(now)
	if left <= 0 {
		return false
	}
	if float64(g.occupied()) < max(1, probeShare*float64(g.limiter.current(now))) {
		return true
	}
	return g.serviceTimes.lowEstimate(c.Kind) <= left
}

// capacity returns how many calls a second the target completes with as many calls in
// flight as the limit allows, by Little's law. It uses the mean age of the calls in
// flight if that exceeds the mean service time, which shows that a target has become
// slow before the first slow call ends. The second result is false while no service
// time is known.
func (g *Gate) capacity(now time.Time) (float64, bool) {
	mean := g.serviceTimes.overallMean()
	if g.occupied() > 0 {
		age := now.Sub(g.epoch) - g.startSum/time.Duration(g.occupied())
		mean = max(mean, age.Seconds())
	}
	if mean <= 0 {
		return 0, false
	}
	return float64(g.limiter.current(now)) / mean, true
}

// updateFloor sets the floor so that the demand above it matches what the target
// completes, and slightly exceeds that while the queue is short.
func (g *Gate) updateFloor(now time.Time) {
	elapsed := now.Sub(g.floorAt)
	g.floorAt = now
	capacity, known := g.capacity(now)
	if !known {
		g.floor = 0
		g.demand.announce(now, 0)
		return
	}
	g.updateRateFactor(now, elapsed)
	g.demand.advance(now)
	wanted := max(capacity*g.queueFactor(capacity)*g.rateFactor, minRatePerSecond)
	g.floor = min(g.demand.floorFor(wanted), g.servedOrder())
	g.demand.announce(now, g.floor)
}

// servedOrder returns an upper bound for the floor: the median order in the queue.
// Calls above the median are served first, so they do get served while lower ones are
// still queued, and the floor need not exceed it even if a random fluctuation raises
// the estimated demand.
func (g *Gate) servedOrder() uint32 {
	if g.queue.len() < minQueueSample {
		return math.MaxUint32
	}
	return g.queue.medianOrder()
}

// queueFactor returns the factor on the rate asked of the entry nodes that keeps the
// queue at half of its bound or, if less, of what the target works off within
// QueueWait. This keeps the slots in use without queueing calls that expire.
func (g *Gate) queueFactor(capacity float64) float64 {
	if g.settings.Queue <= 0 {
		return 1 + noQueueMargin
	}
	aim := min(float64(g.settings.Queue), capacity*g.settings.QueueWait.Seconds()) / 2
	excess := float64(g.queue.len())/max(aim, 1) - 1
	return max(1-queueGain*excess, minQueueFactor)
}

// updateRateFactor raises the rate asked of the entry nodes exponentially while slots stay
// free in spite of a floor, and lowers it again once the slots are in use. This corrects
// errors of the estimates that would keep the floor too high.
//
// If the target has become too slow for the deadlines, slots are free because most
// calls cannot meet theirs. The factor then falls to probeShare, which is what the gate
// admits in order to notice that the target has become fast again.
func (g *Gate) updateRateFactor(now time.Time, elapsed time.Duration) {
	busy := float64(g.occupied()) >= busyShare*float64(g.limiter.current(now))
	infeasible := 2*g.infeasibleCalls > g.offeredCalls
	unknown := g.rateFactor < 1 && g.offeredCalls == 0
	g.offeredCalls = 0
	g.infeasibleCalls = 0
	step := 1 + min(elapsed.Seconds()/rateFactorDoubling.Seconds(), 1)
	switch {
	case unknown:
	case infeasible:
		g.rateFactor = max(probeShare, g.rateFactor/step)
	case g.rateFactor < 1:
		g.rateFactor = min(1, g.rateFactor*step)
	case busy || g.floor == 0:
		g.rateFactor = max(1, g.rateFactor/step)
	default:
		g.rateFactor *= step
	}
}
