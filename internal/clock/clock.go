// Package clock is the seam through which the project reads time.
package clock

import "time"

// Clock tells the time and makes timers. Tests put a manual one in its place.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the host.
type System struct{}

// Now returns the host's time, with its monotonic reading.
func (System) Now() time.Time {
	return time.Now()
}

// After returns a channel that receives the time once d has passed.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// Since returns the time from then to now, also where the host was suspended in
// between: its steady clock stands still then, and its time of day goes on. A
// time of day that was set back does not count.
func Since(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
