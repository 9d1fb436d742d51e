package admit

import (
	"math"
	"time"
)

// loadTimeConstant is the time constant with which arrivals decay. It spans a few hundred
// calls at a busy target, for which the random error is about a twentieth.
const loadTimeConstant = 400 * time.Millisecond

// queueDrainTime is the time in which the queue is to be worked off in addition to the
// arriving calls. If exactly as many calls arrived as can be served, the queue would
// keep its length, and a request would have to wait in a queue for each call of its chain.
const queueDrainTime = 300 * time.Millisecond

// offeredLoad measures the load offered to a target: the arrivals a second times the
// service time of each, which is how many slots all of them would occupy.
//
// The length of the queue is no substitute. The queue fills or empties within a tenth of
// a second, whether the arrivals exceed the capacity slightly or by a factor of two, and
// so does not show how much load must be rejected.
type offeredLoad struct {
	// slotSeconds is the decayed sum of the service times of the calls that arrived.
	slotSeconds float64
	at          time.Time
}

// add counts a call that would occupy a slot for the given number of seconds.
func (o *offeredLoad) add(now time.Time, seconds float64) {
	o.decay(now)
	o.slotSeconds += seconds
}

// load returns how many slots the recently arrived calls would occupy.
func (o *offeredLoad) load(now time.Time) float64 {
	o.decay(now)
	return o.slotSeconds / loadTimeConstant.Seconds()
}

func (o *offeredLoad) decay(now time.Time) {
	if elapsed := now.Sub(o.at); elapsed > 0 {
		o.slotSeconds *= math.Exp(-elapsed.Seconds() / loadTimeConstant.Seconds())
		o.at = now
	}
}
