package admit

import (
	"slices"
	"sort"
	"time"
)

type (
	// waiter is a call in the queue.
	waiter struct {
		call    Call
		order   uint32
		arrived time.Time
	}

	// queue holds waiting calls, the highest order first and equal orders by
	// arrival.
	queue struct {
		waiters []waiter
	}
)

func (q *queue) len() int {
	return len(q.waiters)
}

func (q *queue) insert(w waiter) {
	at := sort.Search(len(q.waiters), func(i int) bool { return q.waiters[i].order < w.order })
	q.waiters = slices.Insert(q.waiters, at, w)
}

// middle returns the order that half of the calls reach.
func (q *queue) middle() uint32 {
	return q.waiters[len(q.waiters)/2].order
}

func (q *queue) takeHighest() waiter {
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w
}

func (q *queue) takeLowest() waiter {
	last := len(q.waiters) - 1
	w := q.waiters[last]
	q.waiters = slices.Delete(q.waiters, last, last+1)
	return w
}

// remove takes out the calls for which the function returns true.
func (q *queue) remove(drop func(w waiter) bool) {
	q.waiters = slices.DeleteFunc(q.waiters, drop)
}
