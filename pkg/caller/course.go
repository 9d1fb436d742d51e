package caller

import (
	"math"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

type (
	// course decides where a request goes next, under which key, and when it
	// ends. It only computes: the time and the outcomes are passed in.
	course struct {
		nodes []string
		// position is the index of the next node.
		position int
		repeat   Repeat
		retries  int
		backoff  Backoff
		timeout  time.Duration
		deadline time.Time
		// inherited is set for the call of a target that serves another one. The
		// mesh repeats such calls out of the request's own retry tokens, and
		// only the target's own node knows it by its context.
		inherited bool
		mint      func() string
		random    func() float64

		// key is the current key; empty when there is none yet.
		key string
		// given is set when the key came with the request.
		given bool
		// keySent is set once the key may have left the caller.
		keySent bool
		// unknown is set once a sending may have run. The key is kept from
		// then on, whatever later sendings say.
		unknown bool
		repeats int
		// unsent counts the nodes in a row that nothing could be sent to.
		unsent int
	}

	// sending is one try to send the request.
	sending struct {
		node string
		// key is the idempotency key; empty for none.
		key string
		// fresh is set when the key was never sent before.
		fresh bool
		// timeout is how long to wait for the answer.
		timeout time.Duration
		// left is the time that the node is told.
		left time.Duration
	}

	// outcome is what a sending showed.
	outcome struct {
		code result.Code
		// refusal is why the sending was refused, with RepeatRefused.
		refusal result.Code
		// sent is set when bytes of the request may have left the caller.
		sent bool
		// answered is set when the node began an answer.
		answered bool
		// retryAfter is how long the node asks to wait; 0 when it doesn't.
		retryAfter time.Duration
	}
)

const (
	// waitShare is the part of the time left that a sending gets while
	// another one may follow.
	waitShare = 0.5
	// minJitter is the least part of a backoff that is waited.
	minJitter = 0.5
	// retryAfterSpread is the most by which Retry-After is lengthened.
	retryAfterSpread = 0.5
	// maxAnswerTime and answerShare bound the time that a node's answer gets
	// to travel back. The node is told a deadline that is earlier by it, so
	// that its result arrives before the caller gives up.
	maxAnswerTime = 100 * time.Millisecond
	answerShare   = 0.1
)

// next returns the sending to make now.
//
// The fresh flag goes with the first sending of each key:
//
//	key 1, fresh -> door_closed, not run
//	key 2, fresh -> connection lost
//	key 2        -> replayed
func (c *course) next(now time.Time) sending {
	if c.repeat == Never && c.key == "" {
		c.key = c.mint()
		c.keySent = false
	}
	left := c.deadline.Sub(now)
	timeout := left
	if c.repeats < c.bound() {
		timeout = time.Duration(waitShare * float64(left))
	}
	if c.timeout > 0 {
		timeout = min(left, c.timeout)
	}
	told := timeout
	if c.key != "" {
		// A run under a key goes on when this sending is given up, and the
		// next one joins it.
		told = left
	}
	return sending{
		node:    c.nodes[c.position%len(c.nodes)],
		key:     c.key,
		fresh:   c.key != "" && !c.given && !c.keySent,
		timeout: timeout,
		left:    told - answerTime(told),
	}
}

// ended takes in what the last sending showed. It returns whether to send
// again, and how long to wait before.
func (c *course) ended(now time.Time, o outcome) (time.Duration, bool) {
	c.keySent = c.keySent || o.sent
	c.unknown = c.unknown || o.code.Family() == result.Unknown
	if o.code.Family() == result.Complete || !c.helps(o.reason()) {
		return 0, false
	}
	c.position = (c.position + 1) % len(c.nodes)
	if !o.sent && c.anotherNode() {
		return 0, now.Before(c.deadline)
	}
	c.unsent = 0
	if c.repeats >= c.bound() {
		return 0, false
	}
	c.repeats++
	if c.keySent && !c.unknown && !c.given {
		// All sendings of the key are known not to have run.
		c.key = ""
	}
	delay := c.delay(o.retryAfter)
	return delay, now.Add(delay).Before(c.deadline)
}

// anotherNode says whether a request that could not be sent has a node left
// in this round. Such a try is no repeat: the request reached nobody.
func (c *course) anotherNode() bool {
	c.unsent++
	return !c.inherited && c.unsent < len(c.nodes)
}

// bound is how often the request may be repeated.
func (c *course) bound() int {
	if c.inherited {
		return 0
	}
	return c.retries
}

// helps says whether sending the request again can end better.
func (c *course) helps(code result.Code) bool {
	switch code {
	case result.UnknownKind, result.KeyInvalid, result.KeyFromFuture, result.BodyTooLarge,
		result.Cancelled, result.BadRequest:
		return false
	case result.KeyTooOld:
		return !c.given && !c.unknown
	case result.TargetFailed, result.AnswerTooLarge, result.OwnerGone, result.KeyReused, result.Forgotten, result.CancelledLate:
		return false
	case result.PartlyRun:
		// The owner has recorded the key as lost and has no answer to give.
		return c.repeat == Safe
	}
	return true
}

// concluded keeps "not run" from a request whose key came with it: an earlier
// sending of the key, which is not known here, may have run.
func (c *course) concluded(answer Answer) Answer {
	if c.given && answer.Code.Family() == result.NotRun {
		answer.Refusal = answer.Code
		answer.Code = result.RepeatRefused
	}
	return answer
}

// reason is the code that says why a sending did not end well.
func (o outcome) reason() result.Code {
	if o.code == result.RepeatRefused && o.refusal != 0 {
		return o.refusal
	}
	return o.code
}

func (c *course) delay(retryAfter time.Duration) time.Duration {
	doubled := float64(c.backoff.Base) * math.Exp2(float64(c.repeats-1))
	backoff := min(doubled, float64(c.backoff.Max)) * (minJitter + (1-minJitter)*c.random())
	asked := float64(retryAfter) * (1 + retryAfterSpread*c.random())
	return time.Duration(max(backoff, asked))
}

func answerTime(told time.Duration) time.Duration {
	return min(maxAnswerTime, time.Duration(answerShare*float64(told)))
}
