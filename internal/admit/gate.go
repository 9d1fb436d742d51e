package admit

import (
	"math"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

const (
	floorInterval = 50 * time.Millisecond
	// queueGain is how far the door is opened beyond the capacity when the
	// queue is empty, as a share.
	queueGain = 0.2
	// noQueueMargin takes its place for a target without a queue.
	noQueueMargin    = 0.05
	minQueueFactor   = 0.5
	minQueueSample   = 4
	busyShare        = 0.9
	reopenDoubling   = 250 * time.Millisecond
	probeShare       = 0.1
	minRatePerSecond = 2.0
	// lateShedShare is the share of a kind's usual time after which a shed
	// does not speak of the target's own slots any more.
	lateShedShare = 0.25
)

type (
	// Gate decides which calls one target takes on.
	Gate struct {
		settings Settings
		limiter  limiter
		demand   demand
		times    times
		offer    offer
		queue    queue
		pulse    pulse
		running  map[string]runner
		// startSum sums the starts of the running calls as time since epoch,
		// which gives their mean age without a walk. Both are set anew
		// whenever a call starts on an idle target.
		startSum time.Duration
		epoch    time.Time
		floor    uint32
		floorAt  time.Time
		// reopen multiplies the rate that the door is asked for while the
		// target has slots to spare in spite of a floor.
		reopen float64
		// offered and hopeless count the calls since the last floor, and
		// those among them that could not end before their deadline.
		offered  int
		hopeless int
	}

	runner struct {
		kind    string
		started time.Time
		waits   func() bool
	}
)

// NewGate returns a gate for a target.
func NewGate(s Settings) *Gate {
	return &Gate{
		settings: s,
		limiter:  newLimiter(s),
		demand:   newDemand(),
		times:    newTimes(),
		running:  map[string]runner{},
		reopen:   1,
	}
}

// Offer decides on a call that has just arrived.
func (g *Gate) Offer(now time.Time, c Call) Decision {
	g.demand.observe(now, Order(c.Importance, c.Position))
	g.limiter.advance(now)
	if c.First {
		g.offer.take(now, g.times.expected(c.Kind))
	}
	if _, ok := g.running[c.ID]; ok {
		return Decision{Code: result.RunningStill}
	}
	if g.barred() {
		return Decision{Code: result.TargetStopped}
	}
	g.offered++
	if !g.worthwhile(now, c) {
		g.hopeless++
		return Decision{Code: result.DeadlinePassed}
	}
	if g.queue.len() == 0 && len(g.running) < g.limit(now) {
		g.start(now, c)
		return Decision{Verdict: Admitted}
	}
	return g.enqueue(now, c)
}

// enqueue lets the call compete with the queued ones: for a slot that has
// become free, and for a place in the queue.
func (g *Gate) enqueue(now time.Time, c Call) Decision {
	g.queue.insert(waiter{call: c, order: Order(c.Importance, c.Position), arrived: now})
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

// Done frees the slot of an admitted call and returns the fate of queued ones.
func (g *Gate) Done(now time.Time, id string, o Outcome) []Release {
	run, ok := g.running[id]
	if !ok {
		return nil
	}
	delete(g.running, id)
	g.startSum -= run.started.Sub(g.epoch)
	if o == Completed || o == Shed || o == Failed {
		g.Sign(now)
	}
	g.limiter.advance(now)
	if o != Shed || !g.shedLate(run, now) {
		g.limiter.ended(o, len(g.running))
	}
	if o != Shed {
		cut := o == Abandoned || o == TimedOut
		g.times.observe(run.kind, now.Sub(run.started), cut, g.limiter.current(now))
	}
	return g.fill(now)
}

// shedLate reports whether a call was shed so late that the target had begun
// with it. A target without a free slot sheds at once. One that makes calls of
// its own passes on their refusal as a shed, which says nothing of its slots.
//
// A renewal that usually takes 1.6 s looks up rounds and allowances for 1.2 s
// and then learns that its charge is refused. Taking that for a shed would cut
// the limit to the few renewals in flight beside it.
func (g *Gate) shedLate(run runner, now time.Time) bool {
	usual := g.times.leastExpected(run.kind)
	return usual > 0 && now.Sub(run.started).Seconds() > lateShedShare*usual.Seconds()
}

// Tick re-evaluates the limit and the floor and returns the fate of queued
// calls. It is meant to be called every 10 ms or so.
func (g *Gate) Tick(now time.Time) []Release {
	g.limiter.advance(now)
	released := g.checkPulse(now)
	released = append(released, g.dropExpired(now)...)
	released = append(released, g.fill(now)...)
	released = append(released, g.evict()...)
	if now.Sub(g.floorAt) >= floorInterval {
		g.updateFloor(now)
	}
	return released
}

// Cancel takes out a queued call whose caller went away. An admitted call ends
// through Done with Abandoned.
func (g *Gate) Cancel(now time.Time, id string) []Release {
	g.queue.remove(func(w waiter) bool { return w.call.ID == id })
	return g.fill(now)
}

// Floor returns the order below which the door is to refuse calls.
func (g *Gate) Floor(_ time.Time) uint32 {
	return g.floor
}

// Load returns the target's load.
func (g *Gate) Load(now time.Time) Load {
	return Load{
		InFlight: len(g.running),
		Limit:    g.limit(now),
		Queued:   g.queue.len(),
		Offered:  g.offer.load(now) + float64(g.queue.len())*g.times.mean()/queueDrain.Seconds(),
		Cold:     g.limiter.cold(now),
		Stopped:  g.stoppedFor(now),
	}
}

// limit returns how many calls may be in flight.
func (g *Gate) limit(now time.Time) int {
	limit := g.limiter.current(now)
	switch {
	case g.pulse.stopped:
		return 1
	case g.pulse.suspect:
		return max(1, min(limit, len(g.running)))
	}
	return limit
}

// Resize takes on a new declaration. Calls in flight stay, and queued ones
// beyond a smaller bound leave with the next Tick.
func (g *Gate) Resize(now time.Time, s Settings) {
	g.limiter.advance(now)
	if g.settings.Slots > 0 {
		scale := float64(s.Slots) / float64(g.settings.Slots)
		g.limiter.limit *= scale
		g.limiter.growth *= scale
	} else {
		// A gate made before its declaration was known starts anew.
		g.limiter = newLimiter(s)
		g.limiter.grownAt = now
	}
	g.settings = s
	g.limiter.settings = s
}

// Keep forgets what is known of kinds that are not declared.
func (g *Gate) Keep(declared func(kind string) bool) {
	g.times.keep(declared)
}

// Restart takes on a new process of the target. What was learned of the former
// one is forgotten; its calls that have not ended still count until they do.
func (g *Gate) Restart(now time.Time, s Settings) {
	g.settings = s
	g.limiter = newLimiter(s)
	g.limiter.grownAt = now
	g.times = newTimes()
	g.pulse = pulse{signAt: now, lookedAt: now}
	g.reopen = 1
}

func (g *Gate) start(now time.Time, c Call) {
	if len(g.running) == 0 {
		g.epoch = now
		g.startSum = 0
	}
	g.running[c.ID] = runner{kind: c.Kind, started: now, waits: c.Waits}
	g.startSum += now.Sub(g.epoch)
}

// fill gives free slots to the queued calls of the highest order, and drops
// those among them that come too late.
func (g *Gate) fill(now time.Time) []Release {
	var released []Release
	limit := g.limit(now)
	for g.queue.len() > 0 && len(g.running) < limit {
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

// dropExpired takes out all queued calls that come too late. It looks at the
// whole queue, so it runs with each Tick rather than with each call.
func (g *Gate) dropExpired(now time.Time) []Release {
	var released []Release
	g.queue.remove(func(w waiter) bool {
		code := g.expired(now, w)
		if code == 0 {
			return false
		}
		released = append(released, Release{ID: w.call.ID, Code: code})
		return true
	})
	return released
}

// expired returns why the queued call comes too late, or 0: it could not end
// before its deadline any more, or it has waited too long.
func (g *Gate) expired(now time.Time, w waiter) result.Code {
	switch {
	case !g.worthwhile(now, w.call):
		return result.DeadlinePassed
	case now.Sub(w.arrived) >= g.settings.QueueWait:
		return result.QueueExpired
	}
	return 0
}

// evict takes out the calls of the lowest order that the queue has no room for.
func (g *Gate) evict() []Release {
	var released []Release
	for g.queue.len() > max(0, g.settings.Queue) {
		w := g.queue.takeLowest()
		released = append(released, Release{ID: w.call.ID, Code: result.Evicted})
	}
	return released
}

// worthwhile reports whether the call can end before its deadline if it
// starts now. While few calls are in flight it gives the target the benefit
// of the doubt, because only calls that run can show that it has become fast
// again.
func (g *Gate) worthwhile(now time.Time, c Call) bool {
	left := c.Deadline.Sub(now)
	if left <= 0 {
		return false
	}
	if float64(len(g.running)) < max(1, probeShare*float64(g.limiter.current(now))) {
		return true
	}
	return g.times.leastExpected(c.Kind) <= left
}

// capacity returns the calls a second that the target completes with all its
// slots in use, by Little's law. The mean age of the calls in flight shows
// that a target has become slow before the first slow call ends. It returns
// false while nothing is known.
func (g *Gate) capacity(now time.Time) (float64, bool) {
	mean := g.times.mean()
	if len(g.running) > 0 {
		age := now.Sub(g.epoch) - g.startSum/time.Duration(len(g.running))
		mean = max(mean, age.Seconds())
	}
	if mean <= 0 {
		return 0, false
	}
	return float64(g.limiter.current(now)) / mean, true
}

// updateFloor sets the floor so that the calls above it are what the target
// completes, and a little more while its queue is short.
func (g *Gate) updateFloor(now time.Time) {
	elapsed := now.Sub(g.floorAt)
	g.floorAt = now
	capacity, known := g.capacity(now)
	if !known {
		g.floor = 0
		g.demand.announce(now, 0)
		return
	}
	g.updateReopen(now, elapsed)
	g.demand.advance(now)
	wanted := max(capacity*g.queueFactor(capacity)*g.reopen, minRatePerSecond)
	g.floor = min(g.demand.floorFor(wanted), g.servedOrder())
	g.demand.announce(now, g.floor)
}

// servedOrder returns the order above which calls are evidently served, as
// the queue serves them first and yet holds lower ones. The floor need not
// rise above it, even when chance makes the demand look greater.
func (g *Gate) servedOrder() uint32 {
	if g.queue.len() < minQueueSample {
		return math.MaxUint32
	}
	return g.queue.middle()
}

// queueFactor steers the queue to half of what the target works off within
// the wait bound: full slots without calls that wait in vain.
func (g *Gate) queueFactor(capacity float64) float64 {
	if g.settings.Queue <= 0 {
		return 1 + noQueueMargin
	}
	aim := min(float64(g.settings.Queue), capacity*g.settings.QueueWait.Seconds()) / 2
	excess := float64(g.queue.len())/max(aim, 1) - 1
	return max(1-queueGain*excess, minQueueFactor)
}

// updateReopen doubles the rate asked of the door again and again while slots
// stay free behind a floor, and takes that back once they are in use. It
// corrects any error of the estimates that would keep the door too narrow.
//
// When the target has become too slow for the deadlines, slots are free
// because most calls are hopeless. The rate then falls to what the gate admits
// to see whether the target is fast again.
func (g *Gate) updateReopen(now time.Time, elapsed time.Duration) {
	busy := float64(len(g.running)) >= busyShare*float64(g.limiter.current(now))
	hopeless := 2*g.hopeless > g.offered
	unknown := g.reopen < 1 && g.offered == 0
	g.offered = 0
	g.hopeless = 0
	step := 1 + min(elapsed.Seconds()/reopenDoubling.Seconds(), 1)
	switch {
	case unknown:
	case hopeless:
		g.reopen = max(probeShare, g.reopen/step)
	case g.reopen < 1:
		g.reopen = min(1, g.reopen*step)
	case busy || g.floor == 0:
		g.reopen = max(1, g.reopen/step)
	default:
		g.reopen *= step
	}
}
