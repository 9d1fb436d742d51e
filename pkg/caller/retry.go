package caller

import (
	"math"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

type (
	// retryState is the state machine that decides to which node a request is sent next,
	// with which key, and when to stop. It does no I/O and reads no clock: the time and
	// the outcomes of attempts are passed in.
	retryState struct {
		nodes []string
		// nextNode is the index in nodes of the next node to try.
		nextNode int
		repeat   Repeat
		retries  int
		backoff  Backoff
		timeout  time.Duration
		deadline time.Time
		// nested is set for a call that a target makes while it serves another call. It
		// is not repeated here, because the mesh repeats such calls and pays for them
		// with the retry tokens of the original request. Other nodes are not tried
		// either, because only the target's own node knows the request's context.
		nested bool
		mint   func() string
		random func() float64

		// key is the current idempotency key, or empty if there is none yet.
		key string
		// keyGiven is set if the request came with a key.
		keyGiven bool
		// keySent is set once the current key may have left the caller.
		keySent bool
		// mayHaveRun is set once an attempt may have run. From then on the key is kept,
		// whatever the outcome of later attempts.
		mayHaveRun bool
		repeats    int
		// consecutiveUnsent counts consecutive attempts that could not send anything.
		consecutiveUnsent int
	}

	// attempt holds the parameters of one attempt to send the request.
	attempt struct {
		node string
		// key is the idempotency key, or empty if there is none.
		key string
		// fresh is set if the key was never sent before.
		fresh bool
		// timeout is how long to wait for the answer.
		timeout time.Duration
		// timeLeft is the time left that is announced to the node.
		timeLeft time.Duration
	}

	// outcome is the outcome of one attempt.
	outcome struct {
		code result.Code
		// refusal is the reason why the attempt was rejected if code is RepeatRefused.
		refusal result.Code
		// sent is set if bytes of the request may have left the caller.
		sent bool
		// answered is set if the node started to answer.
		answered bool
		// retryAfter is the delay that the node asked for, or 0 if it asked for none.
		retryAfter time.Duration
	}
)

const (
	// attemptTimeShare is the share of the remaining time that an attempt gets if another
	// one may follow.
	attemptTimeShare = 0.5
	// minBackoffShare is the smallest share of a backoff that jitter leaves.
	minBackoffShare = 0.5
	// retryAfterSpread is the largest share of Retry-After that jitter adds to it.
	retryAfterSpread = 0.5
	// maxResponseMargin and responseMarginShare limit the time reserved for the node's
	// answer to travel back. The deadline announced to the node is earlier by this margin,
	// so that its result arrives before the caller gives up.
	maxResponseMargin   = 100 * time.Millisecond
	responseMarginShare = 0.1
)

// next returns the attempt to make now.
//
// Only the first attempt with each key is marked as fresh:
//
//	key 1, fresh -> door_closed, not run
//	key 2, fresh -> connection lost
//	key 2        -> replayed
func (s *retryState) next(now time.Time) attempt {
	if s.repeat == Never && s.key == "" {
		s.key = s.mint()
		s.keySent = false
	}
	left := s.deadline.Sub(now)
	timeout := left
	if s.repeats < s.maxRetries() {
		timeout = time.Duration(attemptTimeShare * float64(left))
	}
	if s.timeout > 0 {
		timeout = min(left, s.timeout)
	}
	announced := timeout
	if s.key != "" {
		// A run with a key continues after the caller gives up this attempt, and the
		// next attempt waits for the same run.
		announced = left
	}
	return attempt{
		node:     s.nodes[s.nextNode%len(s.nodes)],
		key:      s.key,
		fresh:    s.key != "" && !s.keyGiven && !s.keySent,
		timeout:  timeout,
		timeLeft: announced - responseMargin(announced),
	}
}

// recordAttempt records the outcome of the last attempt. It returns whether to make another
// attempt, and how long to wait before it.
func (s *retryState) recordAttempt(now time.Time, o outcome) (time.Duration, bool) {
	s.keySent = s.keySent || o.sent
	s.mayHaveRun = s.mayHaveRun || o.code.Family() == result.Unknown
	if o.code.Family() == result.Complete || !s.canRetry(o.reason()) {
		return 0, false
	}
	s.nextNode = (s.nextNode + 1) % len(s.nodes)
	if !o.sent && s.tryNextNode() {
		return 0, now.Before(s.deadline)
	}
	s.consecutiveUnsent = 0
	if s.repeats >= s.maxRetries() {
		return 0, false
	}
	s.repeats++
	if s.keySent && !s.mayHaveRun && !s.keyGiven {
		// All attempts with this key are known not to have run.
		s.key = ""
	}
	delay := s.delay(o.retryAfter)
	return delay, now.Add(delay).Before(s.deadline)
}

// tryNextNode counts an attempt that could not be sent, and reports whether this round has
// a node left to try. Trying it does not count as a repeat, because the request has not
// reached any node.
func (s *retryState) tryNextNode() bool {
	s.consecutiveUnsent++
	return !s.nested && s.consecutiveUnsent < len(s.nodes)
}

// maxRetries returns how often the request may be repeated.
func (s *retryState) maxRetries() int {
	if s.nested {
		return 0
	}
	return s.retries
}

// canRetry reports whether another attempt after the given code may have a better result.
func (s *retryState) canRetry(code result.Code) bool {
	switch code {
	case result.UnknownKind, result.KeyInvalid, result.KeyFromFuture, result.BodyTooLarge,
		result.Cancelled, result.BadRequest, result.Unauthenticated:
		return false
	case result.KeyTooOld:
		return !s.keyGiven && !s.mayHaveRun
	case result.TargetFailed, result.AnswerTooLarge, result.OwnerGone, result.KeyReused, result.Forgotten, result.CancelledLate:
		return false
	case result.PartlyRun:
		// The owner has recorded the key as lost and has no answer to replay.
		return s.repeat == Safe
	}
	return true
}

// finalAnswer replaces a NotRun code by RepeatRefused if the request came with a key,
// because an earlier request with the same key, unknown here, may have run.
func (s *retryState) finalAnswer(answer Answer) Answer {
	if s.keyGiven && answer.Code.Family() == result.NotRun {
		answer.Refusal = answer.Code
		answer.Code = result.RepeatRefused
	}
	return answer
}

// reason returns the code that explains why an attempt did not succeed.
func (o outcome) reason() result.Code {
	if o.code == result.RepeatRefused && o.refusal != 0 {
		return o.refusal
	}
	return o.code
}

// delay returns the time to wait before the next repeat: the backoff with jitter, or the
// node's Retry-After with jitter if that is longer.
func (s *retryState) delay(retryAfter time.Duration) time.Duration {
	doubled := float64(s.backoff.Base) * math.Exp2(float64(s.repeats-1))
	backoff := min(doubled, float64(s.backoff.Max)) * (minBackoffShare + (1-minBackoffShare)*s.random())
	requested := float64(retryAfter) * (1 + retryAfterSpread*s.random())
	return time.Duration(max(backoff, requested))
}

// responseMargin returns the part of the announced time that is reserved for the answer to
// travel back.
func responseMargin(announced time.Duration) time.Duration {
	return min(maxResponseMargin, time.Duration(responseMarginShare*float64(announced)))
}
