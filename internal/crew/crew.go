// Package crew runs short work on goroutines that are used again. The stack of a new
// goroutine grows, and is copied, each time that a call goes deep; one that is used again
// keeps what it has grown to.
package crew

import "sync/atomic"

// Crew runs work. The zero value is not ready for use.
type Crew struct {
	// MaxIdle bounds the goroutines that wait for work.
	MaxIdle int64

	work chan func()
	idle atomic.Int64
}

// maxIdle bounds the goroutines of the process that wait for calls: enough for those
// that begin while others end, at 8 KB each.
const maxIdle = 64

// shared is the crew of the process.
var shared = New(maxIdle)

// Go runs work on the crew of the process.
func Go(work func()) {
	shared.Go(work)
}

// New returns a crew without goroutines.
func New(maxIdle int64) *Crew {
	return &Crew{MaxIdle: maxIdle, work: make(chan func())}
}

// Go runs work on a goroutine that waits, or on a new one. It never waits itself.
func (c *Crew) Go(work func()) {
	select {
	case c.work <- work:
	default:
		go c.run(work)
	}
}

func (c *Crew) run(work func()) {
	for {
		work()
		if c.idle.Add(1) > c.MaxIdle {
			c.idle.Add(-1)
			return
		}
		work = <-c.work
		c.idle.Add(-1)
	}
}
