// Package admit decides which calls a target takes on when there are more
// than it can serve.
//
// A Gate stands beside one target. It admits, queues or refuses each call and
// measures how much the target completes. From that it derives a floor: the
// order below which calls would be refused anyway. A Door stands at the entry
// of a request. It knows the floors of the services along the request's call
// chain and refuses there what would be refused further down, before any work
// is spent on it.
//
// Everything here is a pure decision: the caller passes in the time and
// carries out what is returned. Nothing is safe for concurrent use.
package admit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// PositionTurn is how long an id keeps its position.
	PositionTurn = 5 * time.Minute

	positions      = 1 << 16
	importances    = 4
	positionStride = 40503 // positions/golden ratio, so that turns spread evenly
)

// Verdict is what becomes of a call that was offered to a gate.
type Verdict uint8

// Outcome is how an admitted call ended.
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
	// Shed means that the target refused the call itself.
	Shed
	// Failed means that the target answered that it failed.
	Failed
	// TimedOut means that the call's deadline passed at the target.
	TimedOut
	// Abandoned means that the caller went away and the call was cancelled.
	Abandoned
)

type (
	// Call is a call that asks for a slot of the target.
	Call struct {
		// ID is unique among the calls that are queued or in flight.
		ID string
		// Kind separates estimates of the service time. Calls of an empty
		// kind share one estimate.
		Kind       string
		Importance schema.Importance
		Position   uint16
		Deadline   time.Time
		// First is set on the first attempt of a call. Of a call that another target
		// refused before it was sent, that target's gate has taken note.
		First bool
		// Waits reports whether the target waits for calls that it made for
		// this one. Nil stands for a kind that makes none.
		Waits func() bool
	}

	// Settings is what a gate needs to know of its target.
	Settings struct {
		// Slots is how many calls the target works on at the same time.
		Slots int
		// Queue is how many calls may wait.
		Queue int
		// QueueWait is how long a call may wait.
		QueueWait time.Duration
		// ColdStart is the time after Started over which the limit rises to Slots.
		ColdStart time.Duration
		Started   time.Time
		// Opaque is set where it is not seen which calls the target makes for
		// which call. Silence and failures may be due to those then, and say
		// nothing of the target; a shed does only near the slots that it announced.
		Opaque bool
	}

	// Decision is the answer to an offered call.
	Decision struct {
		Verdict Verdict
		// Code says why the call was refused; it is 0 otherwise.
		Code result.Code
		// Released holds queued calls whose fate the offer has settled.
		Released []Release
	}

	// Release is the fate of a call that was queued.
	Release struct {
		ID string
		// Verdict is Admitted or Refused.
		Verdict Verdict
		// Code says why the call was refused; it is 0 otherwise.
		Code result.Code
	}

	// Load describes the target's load as its gate sees it.
	Load struct {
		InFlight int
		Limit    int
		Queued   int
		// Offered is how many slots the calls that arrive would keep in use if all
		// were served.
		Offered float64
		Cold    bool
		// Stopped is how long the target has been known to have stopped, and 0
		// while it works.
		Stopped time.Duration
	}
)

// Order places a request in the order of refusal; the lowest is refused first.
func Order(importance schema.Importance, position uint16) uint32 {
	return uint32(importance)*positions + uint32(position)
}

// Position hashes a request id to its place within its importance.
//
// The place shifts every PositionTurn, so that a request which is repeated
// under the same id is not refused for ever. The entry node takes the position
// once and passes it on; a shift while a request runs therefore never gives
// its calls different positions.
func Position(requestID string, now time.Time) uint16 {
	turn := now.Unix() / int64(PositionTurn/time.Second)
	return uint16(xxhash.Sum64String(requestID)>>48) + uint16(turn*positionStride)
}

// String returns the verdict in lower case.
func (v Verdict) String() string {
	return [...]string{"refused", "queued", "admitted", "unknown"}[v&3]
}
