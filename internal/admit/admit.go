// Package admit implements admission control: it decides which calls a target
// serves when more arrive than it can complete.
//
// A Gate belongs to one target. It admits, queues or rejects each call and
// measures how many calls the target completes. From that it derives a floor:
// the order below which calls would be rejected anyway. The entry node of a
// request knows the floors of the services along the request's call chain and
// rejects at the entry what would be rejected downstream, before any work is
// spent on it. A Throttle limits the share of each kind of request that an
// entry node admits, according to the pressure on the services that the kind calls.
//
// The package has no clock and performs no I/O: the caller passes in the time
// and carries out the decisions. No type is safe for concurrent use.
package admit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// PositionPeriod is how long a request id keeps its position.
	PositionPeriod = 5 * time.Minute

	positionCount   = 1 << 16
	importanceCount = 4
	positionStride  = 40503 // positionCount/golden ratio, which spreads successive shifts evenly
)

// Verdict is a gate's decision on a call.
type Verdict uint8

// Outcome is how an admitted call ended at the target.
type Outcome uint8

// The verdicts.
const (
	Refused Verdict = iota
	Queued
	Admitted
)

// The outcomes.
const (
	// Completed means that the target answered.
	Completed Outcome = iota
	// Shed means that the target itself rejected the call.
	Shed
	// Failed means that the target answered with a failure.
	Failed
	// TimedOut means that the call's deadline passed at the target.
	TimedOut
	// Abandoned means that the caller disconnected and the call was cancelled.
	Abandoned
)

type (
	// Call is a call that needs one of the target's slots.
	Call struct {
		// ID is unique among the calls that are queued or in flight.
		ID string
		// Kind selects the estimate of the service time. Calls with an empty
		// kind share one estimate.
		Kind       string
		Importance schema.Importance
		Position   uint16
		Deadline   time.Time
		// FirstAttempt is set on the first attempt of a call. Only first attempts count
		// towards the offered load: a call that another target rejected before it
		// was sent has been counted by that target's gate.
		FirstAttempt bool
		// AwaitsDownstream reports whether the target is waiting for downstream calls that
		// it made on behalf of this one. It is nil for a kind that makes none.
		AwaitsDownstream func() bool
	}

	// Settings describes a target to its gate.
	Settings struct {
		// Slots is how many calls the target serves concurrently.
		Slots int
		// Queue is how many calls may be queued.
		Queue int
		// QueueWait is how long a call may be queued.
		QueueWait time.Duration
		// ColdStart is the time after Started over which the limit rises to Slots.
		ColdStart time.Duration
		Started   time.Time
		// Opaque is set if the node cannot tell on behalf of which call the target
		// makes its own calls. Silence and failures may then come from downstream
		// and do not count against the target, and a shed counts only while nearly
		// as many calls are in flight as the target announced slots.
		Opaque bool
	}

	// Decision is a gate's answer to an offered call.
	Decision struct {
		Verdict Verdict
		// Code says why the call was rejected; it is 0 otherwise.
		Code result.Code
		// Released holds the queued calls that the offer admitted or rejected.
		Released []Release
	}

	// Release is the decision on a call that was queued.
	Release struct {
		ID string
		// Verdict is Admitted or Refused.
		Verdict Verdict
		// Code says why the call was rejected; it is 0 otherwise.
		Code result.Code
	}

	// Load describes the target's load as its gate sees it.
	Load struct {
		InFlight int
		Limit    int
		Queued   int
		// Offered is how many slots the arriving calls would occupy if all of them
		// were served.
		Offered float64
		// Cold is set while the limit still rises after a cold start.
		Cold bool
		// Stopped is how long the target has been considered stopped, and 0 while
		// it works.
		Stopped time.Duration
	}
)

// Order returns the rank by which requests are admitted: under overload, the lowest order
// is rejected first. Importance counts first, and position among requests of equal
// importance.
func Order(importance schema.Importance, position uint16) uint32 {
	return uint32(importance)*positionCount + uint32(position)
}

// Position hashes a request id to a position within its importance.
//
// The position shifts every PositionPeriod, so that a request that is retried under
// the same id is not rejected for ever. The entry node computes the position once and
// passes it on, so a shift while a request is in flight does not give its calls
// different positions.
func Position(requestID string, now time.Time) uint16 {
	period := now.Unix() / int64(PositionPeriod/time.Second)
	return uint16(xxhash.Sum64String(requestID)>>48) + uint16(period*positionStride)
}

// String returns the verdict in lower case.
func (v Verdict) String() string {
	return [...]string{"refused", "queued", "admitted", "unknown"}[v&3]
}
