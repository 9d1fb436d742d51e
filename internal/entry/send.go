package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/budget"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// sending is one call on its way through its attempts.
type sending struct {
	sender *Sender
	call   *call.Call
	tried  map[string]bool
	// asked is the incarnation that the last attempt was addressed to.
	asked string
	// last names the target of the last attempt; empty when there was none.
	last string
	// unknown is the last answer that leaves open whether the call ran. Once
	// there is one, no later refusal may say "not run".
	unknown *call.Answer
	// former is the last answer before a repeat.
	former *call.Answer
	// earlier is how far the attempts came so far.
	earlier relaypb.Earlier
	repeats int
	moves   int
}

const (
	// fateWait is how long one question about an attempt may wait at the other
	// node for the attempt to end.
	fateWait = time.Second
	// fateTimeout bounds one question when the other node does not answer.
	fateTimeout = 1500 * time.Millisecond
	// fateProbe bounds the first question about a call that may be repeated: the
	// node answers it at once if it is alive, and else another target is asked
	// rather sooner than later.
	fateProbe = 200 * time.Millisecond
	// fateQuestions is how often a lost attempt is asked for when the other
	// node cannot be reached.
	fateQuestions = 3
	// ownerQuestions is how often it is looked for another owner of a key
	// while the owner is being replaced.
	ownerQuestions = 15
	// maxShedRepeats is how often a call is tried again after a target shed it.
	maxShedRepeats = 4
	// maxMoves is how often a call goes on to another target that it has not
	// reached yet.
	maxMoves = 3
	// fatePause is the time between two such questions.
	fatePause = 100 * time.Millisecond
)

func (s *sending) run(ctx context.Context) *call.Answer {
	for {
		began := s.sender.Clock.Now()
		answer := s.attempt(ctx)
		s.call.Steps = append(s.call.Steps, call.Step{Target: s.last, Code: answer.Code, Took: s.sender.Clock.Now().Sub(began)})
		if answer.Code.Family() == result.Complete {
			return answer
		}
		if answer.Code == result.BudgetSpent && s.former != nil {
			// The repeat did not take place, so that the answer before it stands.
			s.sender.noteSpent(s.call)
			return s.final(s.former)
		}
		if answer.Code.Family() == result.Unknown {
			s.unknown = answer
		}
		if !s.again(ctx, answer) {
			return s.final(answer)
		}
	}
}

// final returns the answer for the caller: "not run" only when that holds for
// every attempt of the call.
func (s *sending) final(last *call.Answer) *call.Answer {
	if last.Code.Family() == result.NotRun && s.unknown != nil {
		return s.unknown
	}
	return last
}

// again decides on one more attempt, pays for it, and waits out the backoff.
func (s *sending) again(ctx context.Context, answer *call.Answer) bool {
	if ctx.Err() != nil || !s.repeatable(ctx, answer.Code) {
		return false
	}
	s.note(answer.Code)
	if s.sender.SharedBudget {
		return s.againShared(ctx, answer)
	}
	delay := s.sender.Backoff.Delay(s.repeats)
	if !s.sender.mayRepeat(s.call, answer.Code, delay) {
		return false
	}
	if !s.call.Tokens.Spend() {
		s.sender.Metrics.RetriesDenied.WithLabelValues(s.call.Kind.Service, "tokens").Inc()
		return false
	}
	s.repeats++
	s.sender.Metrics.Retries.WithLabelValues(s.call.Kind.Service, answer.Code.String()).Inc()
	return s.wait(ctx, delay)
}

func (s *sending) wait(ctx context.Context, delay time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.sender.Clock.After(delay):
		return true
	}
}

// againShared is again where all nodes share one budget of repeats. A call that
// was not sent to a target moves on for nothing. One that a target shed has not
// run, and may try several; one that may have run costs a retry token too.
func (s *sending) againShared(ctx context.Context, answer *call.Answer) bool {
	code := answer.Code
	if unsent(code) {
		return s.move()
	}
	shed := code == result.TargetShed
	if shed && s.repeats >= maxShedRepeats {
		return false
	}
	delay := s.sender.Backoff.Delay(s.repeats)
	if shed {
		delay = s.afterShed()
	}
	if !s.sender.mayRepeatShared(s.call, delay) {
		return false
	}
	if !shed && !s.call.Tokens.Spend() {
		s.sender.Metrics.RetriesDenied.WithLabelValues(s.call.Kind.Service, "tokens").Inc()
		return false
	}
	s.repeats++
	s.former = answer
	s.sender.Metrics.Retries.WithLabelValues(s.call.Kind.Service, code.String()).Inc()
	return s.wait(ctx, delay)
}

// note keeps how far the attempts of the call came.
func (s *sending) note(code result.Code) {
	reached := relaypb.Earlier_EARLIER_RAN
	switch {
	case unsent(code):
		reached = relaypb.Earlier_EARLIER_UNSENT
	case code.Family() == result.NotRun:
		reached = relaypb.Earlier_EARLIER_SHED
	}
	s.earlier = max(s.earlier, reached)
}

// afterShed lets the call try targets again once all have shed it, and returns
// the wait before that: none while there is another target.
func (s *sending) afterShed() time.Duration {
	s.sender.mu.Lock()
	targets := len(s.sender.service(s.call.Kind.Service).targets)
	s.sender.mu.Unlock()
	if len(s.tried) < targets {
		return 0
	}
	clear(s.tried)
	return s.sender.Backoff.Delay(1)
}

// move goes on to another target at once after one that the call did not reach.
// That is no repeat, as nothing was sent to a target, but it is bounded: each
// move costs the nodes a message.
func (s *sending) move() bool {
	s.moves++
	if s.moves > maxMoves {
		return false
	}
	s.sender.Metrics.Moves.WithLabelValues(s.call.Kind.Service).Inc()
	return true
}

// unsent says whether a code means that the call was not sent to any target.
func unsent(code result.Code) bool {
	switch code {
	case result.Overloaded, result.QueueExpired, result.Evicted, result.TargetStopped, result.MemoryBound,
		result.Leaving, result.OtherIncarnation, result.Unreachable, result.Tombstoned, result.NoConfiguration:
		return true
	}
	return false
}

// repeatable says whether a call that ended with a code may be sent again.
func (s *sending) repeatable(ctx context.Context, code result.Code) bool {
	switch code {
	case result.TargetShed:
		return s.sender.SharedBudget || s.elsewhere()
	case result.Overloaded, result.QueueExpired, result.Evicted, result.TargetStopped, result.MemoryBound:
		// The service is overloaded: only another target may take the call,
		// and only while the service as a whole does not refuse its order.
		return s.elsewhere()
	case result.Leaving, result.OtherIncarnation, result.Unreachable, result.Tombstoned, result.NoConfiguration:
		s.sender.Moved()
		return true
	case result.NoOwner, result.OwnerGone, result.OwnerUnclear:
		return s.reowned(ctx)
	case result.TargetFailed:
		// Where many fail together, load is the likely cause, and repeats add to it.
		return s.call.Kind.Repeat == schema.Safe && s.sender.calm(s.call.Kind.Name)
	case result.Lost, result.AnswerTruncated, result.PartlyRun:
		return s.call.Kind.Repeat == schema.Safe
	}
	return false
}

// reowned says whether the key has another living owner than the one that was
// tried, and waits a little for one that is about to take over. An owner runs a
// key only if no other one may, so that sending the key to the owner of a newer
// plan is safe whatever became of it before.
func (s *sending) reowned(ctx context.Context) bool {
	key, err := once.ParseKey(s.call.Key)
	if err != nil {
		return false
	}
	for range ownerQuestions {
		s.sender.Moved()
		keeper, code := s.sender.keeper(s.call)
		if code == result.OK && keeper != s.asked {
			return true
		}
		if !s.sender.Settling(s.call.Kind.Service, key) || ctx.Err() != nil {
			return false
		}
		s.pause(ctx)
	}
	return false
}

// elsewhere says whether a refused call has another target to go to.
func (s *sending) elsewhere() bool {
	if s.call.Key != "" && s.call.Kind.Repeat == schema.Never {
		return false
	}
	s.sender.mu.Lock()
	targets := len(s.sender.service(s.call.Kind.Service).targets)
	s.sender.mu.Unlock()
	if len(s.tried) >= targets {
		return false
	}
	order := admit.Order(s.call.Importance, s.call.Position)
	_, ok := s.sender.Allows([]string{s.call.Kind.Service}, order)
	return ok
}

// attempt sends the call once.
func (s *sending) attempt(ctx context.Context) *call.Answer {
	target, code := s.sender.choose(s.call, s.tried)
	s.last = target.Name
	if code != result.OK {
		s.sender.Metrics.Refusals.WithLabelValues(s.call.Kind.Service, code.String()).Inc()
		return call.Refuse(code, "")
	}
	s.tried[target.Name] = true
	s.asked = target.Incarnation
	loan := s.call.Tokens.Lend(!s.sender.Opaque)
	request := s.sender.request(s.call, target, loan.Tokens, s.earlier)
	s.sender.Metrics.Attempts.WithLabelValues(s.call.Kind.Service).Inc()
	began := s.sender.Clock.Now()
	response, err := s.sender.carry(ctx, target, request)
	var lost route.Outcome
	if err != nil {
		response, code, lost = s.settle(ctx, target, request, err)
	}
	took := s.sender.Clock.Now().Sub(began)
	s.sender.Metrics.RelaySeconds.WithLabelValues(s.call.Kind.Service).Observe(took.Seconds())
	if response == nil {
		if code == result.Unreachable {
			// It has not run and never will, so the loan was not touched.
			s.call.Tokens.Return(loan, loan.Tokens)
		}
		s.sender.ended(s.call, target, route.Report{Outcome: lost, Latency: took})
		return call.Refuse(code, "")
	}
	return s.take(target, request, response, took, loan)
}

// take checks an answer and learns from it.
func (s *sending) take(target route.Target, request *relaypb.CarryRequest, response *relaypb.CarryResponse, took time.Duration, loan *budget.Loan) *call.Answer {
	s.sender.learn(response.Levels)
	code := s.entryCode(result.Code(response.Code))
	report := route.Report{Outcome: outcome(code), Latency: took}
	if response.Below {
		report.Outcome = route.Blameless
	}
	if load := response.Load; load != nil && code != result.OtherIncarnation {
		report.Known = true
		report.InFlight = int(load.InFlight)
		report.Limit = int(load.Limit)
		report.Queued = int(load.Queued)
		report.Offered = float64(load.OfferedPermille) / permille
		report.Leaving = load.Leaving
	}
	s.sender.ended(s.call, target, report)
	if s.sender.Opaque {
		s.sender.learnPressure(s.call.Kind, response)
	}
	if !s.whole(request, response) {
		// A foreign or damaged answer says nothing of this attempt; the loan
		// is forfeited with it.
		return call.Refuse(result.AnswerTruncated, "the answer's digest or attempt does not match")
	}
	s.call.Tokens.Return(loan, int(response.TokensLeft))
	return &call.Answer{
		Code:   code,
		Detail: response.Detail,
		Status: int(response.Status),
		Header: local.Unpack(response.Headers),
		Body:   response.Body,
	}
}

// entryCode is what the code of a node says at the entry. A node that is not the
// owner of a key as far as it knows cannot tell that the owner is gone; and a key
// that was never sent before cannot have run elsewhere.
func (s *sending) entryCode(code result.Code) result.Code {
	switch {
	case code != result.OwnerGone:
		return code
	case s.call.KeyFresh:
		return result.NoOwner
	}
	return result.OwnerUnclear
}

// whole says whether an answer belongs to the attempt and is undamaged.
func (s *sending) whole(request *relaypb.CarryRequest, response *relaypb.CarryResponse) bool {
	if response.AttemptId != request.AttemptId {
		return false
	}
	if response.Status == 0 {
		return len(response.Body) == 0
	}
	return xxhash.Sum64(response.Body) == response.Digest
}

// settle finds out what became of an attempt that brought no answer. It
// returns the answer when the other node still has it, and otherwise the code
// and what the loss shows of the target.
func (s *sending) settle(ctx context.Context, target route.Target, request *relaypb.CarryRequest, err error) (*relaypb.CarryResponse, result.Code, route.Outcome) {
	if relay.NeverSent(err) {
		return nil, result.Unreachable, s.blame(ctx, route.Unreachable)
	}
	if relay.TooLarge(err) {
		return nil, result.AnswerTooLarge, route.Blameless
	}
	// A node whose connection stood until the deadline answers pings, so it is
	// not silent; its target was too slow.
	outcome := route.Failed
	if s.call.Kind.Repeat == schema.Safe {
		if _, err := s.ask(ctx, target, request, 0, fateProbe); err != nil {
			return nil, s.lost(ctx), s.blame(ctx, route.Silent)
		}
	}
	for question := 0; question < fateQuestions; {
		if ctx.Err() != nil {
			break
		}
		fate, err := s.ask(ctx, target, request, fateWait, fateTimeout)
		if err != nil {
			if !s.patient(err) {
				question++
			}
			outcome = route.Silent
			s.pause(ctx)
			continue
		}
		s.sender.Metrics.FateAsked.WithLabelValues(fate.State.String()).Inc()
		switch fate.State {
		case relaypb.FateState_FATE_STATE_NEVER_SEEN:
			return nil, result.Unreachable, route.Blameless
		case relaypb.FateState_FATE_STATE_DONE:
			return fate.Answer, result.OK, route.Complete
		case relaypb.FateState_FATE_STATE_OTHER_INCARNATION:
			return nil, result.Lost, route.Blameless
		}
		outcome = route.Failed
	}
	return nil, s.lost(ctx), s.blame(ctx, outcome)
}

// blame is what a loss shows of the target: nothing when the caller went away.
func (s *sending) blame(ctx context.Context, outcome route.Outcome) route.Outcome {
	if s.lost(ctx) == result.CancelledLate {
		return route.Blameless
	}
	return outcome
}

// patient says whether to go on asking a node that does not answer. One that can
// be connected to stands still, and may go on: then it knows what became of the
// call. A call that may run only once has nowhere else to go meanwhile.
func (s *sending) patient(err error) bool {
	return s.call.Kind.Repeat == schema.Never && !relay.NeverSent(err)
}

// lost is the code for an attempt that may have run and whose answer is not to be had.
func (s *sending) lost(ctx context.Context) result.Code {
	switch {
	case !s.sender.Clock.Now().Before(s.call.Deadline):
		return result.TimedOut
	case ctx.Err() != nil:
		return result.CancelledLate
	}
	return result.Lost
}

func (s *sending) ask(ctx context.Context, target route.Target, request *relaypb.CarryRequest, wait, timeout time.Duration) (*relaypb.FateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := s.sender.Client.To(target.Address).Fate(ctx, connect.NewRequest(&relaypb.FateRequest{
		AttemptId:   request.AttemptId,
		Incarnation: request.Incarnation,
		WaitMs:      uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (s *sending) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.sender.Clock.After(fatePause):
	}
}

// outcome tells the route what an answer says about the target.
func outcome(code result.Code) route.Outcome {
	switch code {
	case result.Unreachable, result.OtherIncarnation:
		// Another process at the address says nothing of the one that was meant,
		// but that it is not there.
		return route.Unreachable
	case result.PartlyRun, result.Cancelled, result.CancelledLate, result.NoOwner, result.OwnerUnclear, result.BudgetSpent:
		return route.Blameless
	case result.TargetStopped:
		return route.Failed
	}
	switch code.Family() {
	case result.Complete:
		return route.Complete
	case result.NotRun:
		return route.Refused
	}
	return route.Failed
}
