package config

import (
	"math"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/clock"
)

// A node that is cut off from the platform and from other nodes keeps its last revision and
// cannot know which keys have been taken away since. Where Revoke is set, the controller
// therefore keeps the latest time at which its revision was known to be the newest.
//
// The time only moves forward, and stays valid when a newer revision comes into force: no
// revision above the present one existed then. It is a reading of this process's clock, and is
// never later than the event that it stands for: a request's send time stands for its answer.
// So neither a freeze of this process or host nor a message that was held up in the network
// makes a revision look fresher than it is. A wall clock that jumps ahead makes it look older
// until the next confirmation.

const (
	// confirmLimit is the share of Revoke up to which a revision counts as confirmed. The
	// rest covers the time between the check of a request and the clocks' differences in
	// speed.
	confirmLimit = 0.8
	// renewAfter and renewSpread are the shares of Revoke after which a node asks the source
	// itself: renewAfter, and up to renewSpread more at random. A request to the source, its
	// timeout and the time until the next check of mustRenew still end before confirmLimit.
	renewAfter  = 0.4
	renewSpread = 0.2
	// renewCheckShare is the largest mean time, as a share of Revoke, between two checks
	// whether the node has to ask the source.
	renewCheckShare = 0.1
)

// ConfirmedAge returns the time since the revision in force was known to be the newest. The
// second result is false if it never was, or if Revoke is not set.
func (c *Controller) ConfirmedAge() (age time.Duration, ever bool) {
	at := c.confirmedAt.Load()
	if c.Revoke == 0 || at == nil {
		return 0, false
	}
	return max(clock.Since(c.clock.Now(), *at), 0), true
}

// ConfirmedAgeMS returns ConfirmedAge for a message, rounded up so that no revision looks
// fresher than it is, or nil if there is none.
func (c *Controller) ConfirmedAgeMS() *uint32 {
	age, ever := c.ConfirmedAge()
	if !ever {
		return nil
	}
	ms := uint32(min((age+time.Millisecond-1)/time.Millisecond, math.MaxUint32))
	return &ms
}

// Confirmed reports whether the revision in force may be taken for the newest. It is always
// true if Revoke is not set. The caller asks before it loads the revision.
func (c *Controller) Confirmed() bool {
	if c.Revoke == 0 {
		return true
	}
	age, ever := c.ConfirmedAge()
	confirmed := ever && age <= share(c.Revoke, confirmLimit)
	c.reportConfirmed(confirmed, age)
	return confirmed
}

// ObserveConfirmed records that at a time, no revision above the given one existed, as
// another node reports. It counts only if this node has that revision in force.
func (c *Controller) ObserveConfirmed(at time.Time, number int64) {
	if c.Revoke == 0 || number <= 0 || c.applied.Load() < number {
		return
	}
	c.confirm(at)
}

// confirmFromSource records that the source was asked at a time and named number as its
// newest revision. It does not count while a newer revision is known, which may have been
// refused, and if the source has an older one than this node, since it may have lost others
// as well.
func (c *Controller) confirmFromSource(at time.Time, number int64) {
	applied := c.applied.Load()
	if c.Revoke == 0 || applied == 0 || number != applied || c.highest.Load() > applied {
		return
	}
	c.confirm(at)
}

// confirm raises confirmedAt.
func (c *Controller) confirm(at time.Time) {
	for {
		last := c.confirmedAt.Load()
		if last != nil && !at.After(*last) || c.confirmedAt.CompareAndSwap(last, &at) {
			return
		}
	}
}

// beginPull counts a request to the source, and returns a function that reports at its end
// whether no other request ran meanwhile. An answer without news tells only that there is
// nothing newer than what was returned before, also to another request, whose result may
// not be in force yet.
func (c *Controller) beginPull() func() (alone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pullsBegun++
	c.pullsOpen++
	begun, first := c.pullsBegun, c.pullsOpen == 1
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pullsOpen--
		return first && c.pullsBegun == begun
	}
}

// mustRenew reports whether this node has to ask the source itself, because no node has
// confirmed its revision lately.
func (c *Controller) mustRenew() bool {
	if c.Revoke == 0 {
		return false
	}
	c.Confirmed() // logs a change also while there are no requests
	age, ever := c.ConfirmedAge()
	if ever && age <= c.renewDue || c.clock.Now().Before(c.renewNext) {
		return false
	}
	c.renewDue = c.renewAge()
	return true
}

// delayRenewal keeps this node from asking the source again at once if the source has not
// confirmed the revision, for instance because the newest one cannot be read.
func (c *Controller) delayRenewal() {
	if age, ever := c.ConfirmedAge(); !ever || age > c.renewDue {
		c.renewNext = c.clock.Now().Add(c.jitter(c.followRetryDelay()))
	}
}

// renewAge returns the age of a confirmation after which a node asks the source. It is random,
// so that nodes do not ask at the same time: the answer to the first one reaches the others.
func (c *Controller) renewAge() time.Duration {
	return share(c.Revoke, renewAfter+renewSpread*c.Random())
}

// limitWait shortens a wait so that it ends before the revision needs to be confirmed again.
// If it was confirmed before, the wait ends when the renewal is due.
func (c *Controller) limitWait(wait time.Duration) time.Duration {
	if c.Revoke == 0 {
		return wait
	}
	limit := c.renewAge()
	if age, ever := c.ConfirmedAge(); ever && age < c.renewDue {
		limit = min(limit, max(c.renewDue-age, askWait))
	}
	return min(wait, limit)
}

// reportConfirmed logs once when the revision can no longer be taken for the newest, and
// once when it can again.
func (c *Controller) reportConfirmed(confirmed bool, age time.Duration) {
	if c.applied.Load() == 0 || !c.unconfirmed.CompareAndSwap(confirmed, !confirmed) {
		return
	}
	if confirmed {
		c.log.Info("configuration_confirmed", "revision", c.Number(), "age", age.Round(time.Millisecond))
		return
	}
	c.log.Warn("configuration_unconfirmed", "revision", c.Number(), "age", age.Round(time.Millisecond))
}

func share(d time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(d))
}
