// Package clock abstracts the reading of time, so that tests can replace the clock.
package clock

import "time"

// Clock returns the current time and creates timers. Tests use a manual implementation.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// System is the host's clock.
type System struct{}

// Now returns the host's time, including its monotonic clock reading.
func (System) Now() time.Time {
	return time.Now()
}

// After returns a channel that receives the time once d has elapsed.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// Since returns the time elapsed from then to now, including time during which the host
// was suspended: the monotonic clock stops then, while the wall clock goes on. A wall
// clock that was set back does not shorten the result.
func Since(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
