package admit

import (
	"math"
	"time"
)

// offerMemory is the time constant with which arrivals are forgotten: long enough
// for a few hundred calls at a busy target, of which chance makes a twentieth or so.
const offerMemory = 400 * time.Millisecond

// queueDrain is the time in which the calls that wait are to be worked off beside
// those that arrive: where just as many arrive as can be served, a queue would stay
// as long as it is, and each call of a chain would wait anew.
const queueDrain = 300 * time.Millisecond

// offer measures the load that is offered to a target: arrivals a second times the
// time that each takes, which is how many slots all of them would keep in use.
//
// The length of a queue says too little of it. It is full or empty within a tenth of
// a second, whether a few calls too many arrive or twice as many as can be served,
// and so leaves open how much must be held back.
type offer struct {
	seconds float64
	at      time.Time
}

// take counts a call that would hold a slot for some seconds.
func (o *offer) take(now time.Time, seconds float64) {
	o.fade(now)
	o.seconds += seconds
}

// load returns how many slots the calls of the last moments would keep in use.
func (o *offer) load(now time.Time) float64 {
	o.fade(now)
	return o.seconds / offerMemory.Seconds()
}

func (o *offer) fade(now time.Time) {
	if elapsed := now.Sub(o.at); elapsed > 0 {
		o.seconds *= math.Exp(-elapsed.Seconds() / offerMemory.Seconds())
		o.at = now
	}
}
