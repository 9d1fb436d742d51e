// Package gopool runs short functions on reused goroutines. The stack of a new goroutine
// is grown, and thereby copied, whenever a call goes deep; a reused goroutine keeps its
// grown stack.
package gopool

import "sync/atomic"

// Pool runs functions on reused goroutines. It must be created by New.
type Pool struct {
	// MaxIdle limits the number of idle goroutines.
	MaxIdle int64

	work chan func()
	idle atomic.Int64
}

// maxIdle limits the idle goroutines of the process-wide pool. 64 are enough for the
// calls that start while others end, at 8 KB of memory each.
const maxIdle = 64

// shared is the process-wide pool.
var shared = New(maxIdle)

// Go runs a function on the process-wide pool.
func Go(work func()) {
	shared.Go(work)
}

// New returns a pool without goroutines that keeps at most maxIdle idle ones.
func New(maxIdle int64) *Pool {
	return &Pool{MaxIdle: maxIdle, work: make(chan func())}
}

// Go runs a function on an idle goroutine, or on a new one if there is none. It never
// blocks.
func (p *Pool) Go(work func()) {
	select {
	case p.work <- work:
	default:
		go p.run(work)
	}
}

func (p *Pool) run(work func()) {
	for {
		work()
		if p.idle.Add(1) > p.MaxIdle {
			p.idle.Add(-1)
			return
		}
		work = <-p.work
		p.idle.Add(-1)
	}
}
