package admit

import (
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
	busyShare        = 0.9
	reopenDoubling   = 250 * time.Millisecond
	probeShare       = 0.1
	minRatePerSecond = 2.0
)

type (
	// Gate decides which calls one target takes on.
	Gate struct {
		settings Settings
		limiter  limiter
		demand   demand
		times    times
		queue    queue
		running  map[string]runner
		// startSum is the sum over running calls of their start as time
		// since epoch, which gives their mean age without a walk.
		startSum time.Duration
		epoch    time.Time
		floor    uint32
		floorAt  time.Time
		// reopen multiplies the rate that the door is asked for while the
		// target has slots to spare in spite of a floor.
		reopen float64
	}

	runner struct {
		kind    string
		started time.Time
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
		epoch:    s.Started,
		reopen:   1,
	}
}

// Offer decides on a call that has just arrived.
func (g *Gate) Offer(now time.Time, c Call) Decision {
	order := Order(c.Importance, c.Position)
	g.demand.observe(now, order)
	g.limiter.advance(now)
	if _, ok := g.running[c.ID]; ok {
		return Decision{Code: result.RunningStill}
	}
	released := g.dropExpired(now)
	if !g.worthwhile(now, c) {
		return Decision{Code: result.DeadlinePassed, Released: released}
	}
	released = append(released, g.fill(now)...)
	if len(g.running) < g.limiter.current(now) {
		g.start(now, c)
		return Decision{Verdict: Admitted, Released: released}
	}
	if g.settings.Queue <= 0 {
		return Decision{Code: result.Overloaded, Released: released}
	}
	if g.queue.len() >= g.settings.Queue {
		if g.queue.lowest() >= order {
			return Decision{Code: result.Overloaded, Released: released}
		}
		evicted := g.queue.takeLowest()
		released = append(released, Release{ID: evicted.call.ID, Code: result.Evicted})
	}
	g.queue.insert(waiter{call: c, order: order, arrived: now})
	return Decision{Verdict: Queued, Released: released}
}

// Done frees the slot of an admitted call and returns the fate of queued ones.
func (g *Gate) Done(now time.Time, id string, o Outcome) []Release {
	run, ok := g.running[id]
	if !ok {
		return nil
	}
	delete(g.running, id)
	g.startSum -= run.started.Sub(g.epoch)
	g.limiter.advance(now)
	g.limiter.ended(o, len(g.running))
	if o == Completed || o == TimedOut || o == Failed {
		g.times.observe(run.kind, now.Sub(run.started), g.limiter.current(now))
	}
	return append(g.dropExpired(now), g.fill(now)...)
}

// Tick re-evaluates the limit and the floor and returns the fate of queued
// calls. It is meant to be called every 10 ms or so.
func (g *Gate) Tick(now time.Time) []Release {
	g.limiter.advance(now)
	released := append(g.dropExpired(now), g.fill(now)...)
	if now.Sub(g.floorAt) >= floorInterval {
		g.updateFloor(now)
	}
	return released
}

// Cancel takes out a queued call whose caller went away. An admitted call ends
// through Done with Abandoned.
func (g *Gate) Cancel(now time.Time, id string) []Release {
	g.queue.remove(func(w waiter) bool { return w.call.ID == id })
	return append(g.dropExpired(now), g.fill(now)...)
}

// Floor returns the order below which the door is to refuse calls.
func (g *Gate) Floor(_ time.Time) uint32 {
	return g.floor
}

// Load returns the target's load.
func (g *Gate) Load(now time.Time) Load {
	return Load{
		InFlight: len(g.running),
		Limit:    g.limiter.current(now),
		Queued:   g.queue.len(),
		Cold:     g.limiter.cold(now),
	}
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

func (g *Gate) start(now time.Time, c Call) {
	g.running[c.ID] = runner{kind: c.Kind, started: now}
	g.startSum += now.Sub(g.epoch)
}

// fill gives free slots to the queued calls of the highest order.
func (g *Gate) fill(now time.Time) []Release {
	var released []Release
	limit := g.limiter.current(now)
	for g.queue.len() > 0 && len(g.running) < limit {
		next := g.queue.takeHighest()
		g.start(now, next.call)
		released = append(released, Release{ID: next.call.ID, Verdict: Admitted})
	}
	return released
}

// dropExpired takes out queued calls that waited too long, that could not end
// before their deadline any more, or that exceed the bound.
func (g *Gate) dropExpired(now time.Time) []Release {
	var released []Release
	for _, w := range g.queue.remove(func(w waiter) bool { return !g.worthwhile(now, w.call) }) {
		released = append(released, Release{ID: w.call.ID, Code: result.DeadlinePassed})
	}
	waited := func(w waiter) bool { return now.Sub(w.arrived) >= g.settings.QueueWait }
	for _, w := range g.queue.remove(waited) {
		released = append(released, Release{ID: w.call.ID, Code: result.QueueExpired})
	}
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
	g.floor = g.demand.floorFor(wanted)
	g.demand.announce(now, g.floor)
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
func (g *Gate) updateReopen(now time.Time, elapsed time.Duration) {
	busy := float64(len(g.running)) >= busyShare*float64(g.limiter.current(now))
	step := 1 + min(elapsed.Seconds()/reopenDoubling.Seconds(), 1)
	switch {
	case busy || g.floor == 0:
		g.reopen = max(1, g.reopen/step)
	default:
		g.reopen *= step
	}
}
