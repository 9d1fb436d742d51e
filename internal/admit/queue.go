package admit

import (
	"slices"
	"sort"
	"time"
)

type (
	// queuedCall is a call in the queue, with its order and time of arrival.
	queuedCall struct {
		call    Call
		order   uint32
		arrived time.Time
	}

	// queue holds calls sorted by descending order, and calls of equal order by
	// arrival.
	queue struct {
		calls []queuedCall
	}
)

func (q *queue) len() int {
	return len(q.calls)
}

func (q *queue) insert(c queuedCall) {
	at := sort.Search(len(q.calls), func(i int) bool { return q.calls[i].order < c.order })
	q.calls = slices.Insert(q.calls, at, c)
}

// medianOrder returns the median order. The queue must not be empty.
func (q *queue) medianOrder() uint32 {
	return q.calls[len(q.calls)/2].order
}

func (q *queue) takeHighest() queuedCall {
	c := q.calls[0]
	q.calls = slices.Delete(q.calls, 0, 1)
	return c
}

func (q *queue) takeLowest() queuedCall {
	last := len(q.calls) - 1
	c := q.calls[last]
	q.calls = slices.Delete(q.calls, last, last+1)
	return c
}

// remove removes the calls for which drop returns true.
func (q *queue) remove(drop func(c queuedCall) bool) {
	q.calls = slices.DeleteFunc(q.calls, drop)
}
