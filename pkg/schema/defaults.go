package schema

import (
	"net/http"
	"time"
)

// Bounds on declared values.
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
	// maxRate bounds rates, in requests a second, and bursts, in requests.
	maxRate = 1_000_000_000
	// maxKeptRevisions keeps the row that lists the revisions below about 200 KB.
	maxKeptRevisions = 1000
	// maxDeadline is shorter than the time for which nodes keep attempt records.
	maxDeadline = time.Minute
	// MaxClockMargin is the largest clock margin that can be declared.
	MaxClockMargin = 10 * time.Second
	maxKeyAge      = 7 * 24 * time.Hour
	maxDistance    = 10 * time.Second
	minDeadline    = time.Millisecond
	minOwnerLease  = time.Second
	maxOwnerLease  = 24 * time.Hour
	// marginsPerLease is how many clock margins must fit into an owner lease, so that a
	// lease is renewed well before it expires by the clock of any host.
	marginsPerLease = 16
)

// DefaultService returns the defaults for the optional fields of a service; slots and
// connections are required. The queue length is not among them: the parser sets it to the
// number of slots when it is not declared, and a declared queue of 0 means that no call
// waits.
func DefaultService() Service {
	return Service{
		QueueWait:  200 * time.Millisecond,
		ColdStart:  10 * time.Second,
		RetryShare: 0.1,
		ShedStatus: http.StatusServiceUnavailable,
	}
}

// DefaultKind returns the defaults for the optional fields of a request kind. The parser
// derives a missing `repeat` from the method: safe for GET, HEAD and OPTIONS, and never for
// every other method, so that a forgotten `repeat` cannot run an order twice.
func DefaultKind() Kind {
	return Kind{
		Method:     http.MethodGet,
		Importance: Normal,
		Deadline:   2 * time.Second,
		Retries:    3,
	}
}

// DefaultLimits returns the limits that apply when none are declared.
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

// defaultRepeat returns the repeat rule of a kind that does not declare one. A kind with a
// prefix gets Never, because it accepts requests of any method.
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
