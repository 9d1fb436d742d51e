package bench

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// workContext returns the context in which a target processes a call. It ends at the
// call's deadline or when the caller disconnects. With NoShed it ends at neither, as in
// a server without load shedding, which queues every call that it has read.
func (f Faults) workContext(r *http.Request) (context.Context, context.CancelFunc) {
	if f.NoShed {
		return context.WithCancel(context.WithoutCancel(r.Context()))
	}
	left, err := strconv.Atoi(r.Header.Get(timeLeftHeader))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
}
