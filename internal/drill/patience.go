package drill

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// patience returns how long a target works on a call: until its time has passed
// or its caller has gone. A target that does not shed learns of neither, as an
// old server that reads a call and puts it in line.
func (f Faults) patience(r *http.Request) (context.Context, context.CancelFunc) {
	if f.NoShed {
		return context.WithCancel(context.WithoutCancel(r.Context()))
	}
	left, err := strconv.Atoi(r.Header.Get(timeLeftHeader))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
}
