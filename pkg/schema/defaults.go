package schema

import (
	"net/http"
	"time"
)

// The bounds of declared values.
const (
	maxSlots        = 100_000
	maxConnections  = 1_000_000
	maxQueue        = 100_000
	maxRetries      = 100
	maxWeight       = 1_000_000
	maxMessageBytes = 64 << 20
	minHeaderBytes  = 256
	maxMemoryBytes  = 1 << 40
	maxWait         = time.Hour
	// maxKeptRevisions keeps the row that names them below some 200 KB.
	maxKeptRevisions = 1000
	// maxDeadline is below the time for which nodes keep the records of attempts.
	maxDeadline = time.Minute
	// MaxClockMargin is the largest clock margin that can be declared.
	MaxClockMargin = 10 * time.Second
	maxKeyAge      = 7 * 24 * time.Hour
	maxDistance    = 10 * time.Second
	minDeadline    = time.Millisecond
	minOwnerLease  = time.Second
	maxOwnerLease  = 24 * time.Hour
	// marginsPerLease is how many clock margins fit into an owner lease, so that
	// a holding is renewed well before its end by any host's clock.
	marginsPerLease = 16
)

// DefaultService returns the values of a service whose declaration names only
// its slots and connections. A queue that is not declared is as long as the
// slots; one of 0 means that no call waits.
func DefaultService() Service {
	return Service{
		QueueWait:  200 * time.Millisecond,
		ColdStart:  10 * time.Second,
		RetryShare: 0.1,
		ShedStatus: http.StatusServiceUnavailable,
	}
}

// DefaultKind returns the values of a kind whose declaration leaves them out.
// Without `repeat`, GET, HEAD and OPTIONS are safe and every other method is
// never: a forgotten line must not double an order.
func DefaultKind() Kind {
	return Kind{
		Method:     http.MethodGet,
		Importance: Normal,
		Deadline:   2 * time.Second,
		Retries:    3,
	}
}

// DefaultLimits returns the limits that hold when none are declared.
func DefaultLimits() Limits {
	return Limits{
		MaxRequestBytes: 1 << 20,
		MaxAnswerBytes:  4 << 20,
		MaxHeaderBytes:  64 << 10,
		HeaderTimeout:   5 * time.Second,
		IdleTimeout:     time.Minute,
		HeldBytes:       64 << 20,
		RecordBytes:     64 << 20,
		KeyAge:          15 * time.Minute,
		OwnerLease:      time.Hour,
		ClockMargin:     500 * time.Millisecond,
		KeptRevisions:   100,
	}
}

// defaultRepeat returns the rule for a kind that declares none. A prefix takes
// requests of any method.
func defaultRepeat(kind Kind) Repeat {
	if kind.Prefix != "" {
		return Never
	}
	switch kind.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return Safe
	}
	return Never
}
