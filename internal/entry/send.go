package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/budget"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/httpc"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// sendState tracks one call across its attempts.
type sendState struct {
	sender *Sender
	call   *call.Call
	tried  map[string]bool
	// lastIncarnation is the incarnation that the last attempt was addressed to.
	lastIncarnation string
	// lastTarget is the name of the last attempt's target, or empty if no target was found.
	lastTarget string
	// linksFull is set once the remaining targets can be reached over full links only.
	linksFull bool
	// unknown is the last answer that leaves open whether the call ran. Once it is set, no
	// later refusal may be reported as "not run".
	unknown *call.Answer
	// beforeRetry is the answer that led to the last retry.
	beforeRetry *call.Answer
	// earlier is how far any of the earlier attempts got.
	earlier   relaypb.Earlier
	retries   int
	redirects int
}

const (
	// maxOwnerLookups is how often the owner of a key is looked up while it is being
	// replaced.
	maxOwnerLookups = 15
	// maxShedRetries is how often a call is retried after a target shed it.
	maxShedRetries = 4
	// maxRedirects is how often a call goes to another target because it was not passed to
	// the one before.
	maxRedirects = 3
	// pollInterval is the pause between two fate queries or two owner lookups.
	pollInterval = 100 * time.Millisecond
)

// run makes attempts until one completes or no retry is permitted.
func (s *sendState) run(ctx context.Context) *call.Answer {
	for {
		began := s.sender.Clock.Now()
		answer := s.attempt(ctx)
		s.call.Steps = append(s.call.Steps, call.Step{Target: s.lastTarget, Code: answer.Code, Took: s.sender.Clock.Now().Sub(began)})
		if answer.Code.Family() == result.Complete {
			return answer
		}
		if answer.Code == result.BudgetSpent && s.beforeRetry != nil {
			// The retry did not take place, so the answer before it stands.
			s.sender.recordRetryDenial(s.call)
			return s.final(s.beforeRetry)
		}
		if answer.Code.Family() == result.Unknown {
			s.unknown = answer
		}
		if !s.prepareRetry(ctx, answer) {
			return s.final(answer)
		}
	}
}

// final returns the answer for the caller. It is "not run" only if no attempt of the call
// may have run.
func (s *sendState) final(last *call.Answer) *call.Answer {
	if last.Code.Family() == result.NotRun && s.unknown != nil {
		return s.unknown
	}
	return last
}

// prepareRetry decides whether to make another attempt. If so, it charges the retry
// budgets and waits for the backoff.
func (s *sendState) prepareRetry(ctx context.Context, answer *call.Answer) bool {
	if ctx.Err() != nil || !s.retryable(ctx, answer.Code) {
		return false
	}
	s.recordProgress(answer.Code)
	if s.sender.SharedBudget {
		return s.prepareRetryShared(ctx, answer)
	}
	delay := s.sender.Backoff.Delay(s.retries)
	if !s.sender.mayRetry(s.call, answer.Code, delay) {
		return false
	}
	if !s.call.Tokens.Spend() {
		s.sender.Metrics.RetriesDenied.WithLabelValues(s.call.Kind.Service, "tokens").Inc()
		return false
	}
	s.retries++
	s.sender.Metrics.Retries.WithLabelValues(s.call.Kind.Service, answer.Code.String()).Inc()
	return s.wait(ctx, delay)
}

// wait sleeps for the delay and reports whether it passed before the context ended.
func (s *sendState) wait(ctx context.Context, delay time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.sender.Clock.After(delay):
		return true
	}
}

// prepareRetryShared is prepareRetry for the case that all nodes share one retry budget. A
// call that was not sent to a target tries the next one free of charge. A call that reached
// a target and was rejected has not run and may try several targets. A call that may have
// run also costs a retry token.
func (s *sendState) prepareRetryShared(ctx context.Context, answer *call.Answer) bool {
	code := answer.Code
	if unsent(code) {
		return s.redirect()
	}
	rejected := code == result.TargetShed || code == result.Misdirected
	if rejected && s.retries >= maxShedRetries {
		return false
	}
	delay := s.sender.Backoff.Delay(s.retries)
	if rejected {
		delay = s.delayAfterShed()
	}
	if !s.sender.mayRetryShared(s.call, delay) {
		return false
	}
	if !rejected && !s.call.Tokens.Spend() {
		s.sender.Metrics.RetriesDenied.WithLabelValues(s.call.Kind.Service, "tokens").Inc()
		return false
	}
	s.retries++
	s.beforeRetry = answer
	s.sender.Metrics.Retries.WithLabelValues(s.call.Kind.Service, code.String()).Inc()
	return s.wait(ctx, delay)
}

// recordProgress records how far the attempts of the call have got.
func (s *sendState) recordProgress(code result.Code) {
	reached := relaypb.Earlier_EARLIER_RAN
	switch {
	case unsent(code):
		reached = relaypb.Earlier_EARLIER_UNSENT
	case code.Family() == result.NotRun:
		reached = relaypb.Earlier_EARLIER_SHED
	}
	s.earlier = max(s.earlier, reached)
}

// delayAfterShed returns the delay before a retry of a call that a target shed: none while
// an untried target remains. Once all targets have been tried, it makes them eligible
// again.
func (s *sendState) delayAfterShed() time.Duration {
	s.sender.mu.Lock()
	targets := len(s.sender.service(s.call.Kind.Service).targets)
	s.sender.mu.Unlock()
	if len(s.tried) < targets {
		return 0
	}
	clear(s.tried)
	return s.sender.Backoff.Delay(1)
}

// redirect reports whether the call may go to another target at once because it was not
// passed to the last one. A redirect is no retry, since nothing was sent to a target, but
// redirects are bounded because each costs the nodes a message.
func (s *sendState) redirect() bool {
	s.redirects++
	if s.redirects > maxRedirects {
		return false
	}
	s.sender.Metrics.Redirects.WithLabelValues(s.call.Kind.Service).Inc()
	return true
}

// unsent reports whether a code means that the attempt was not passed to a target.
func unsent(code result.Code) bool {
	switch code {
	case result.Overloaded, result.QueueExpired, result.Evicted, result.TargetStopped, result.MemoryBound,
		result.Leaving, result.OtherIncarnation, result.Unreachable, result.Tombstoned, result.NoConfiguration:
		return true
	}
	return false
}

// retryable reports whether the call may be sent again after an attempt that ended with a
// code.
func (s *sendState) retryable(ctx context.Context, code result.Code) bool {
	switch code {
	case result.TargetShed:
		return s.sender.SharedBudget || s.hasOtherTarget()
	case result.Overloaded, result.QueueExpired, result.Evicted, result.TargetStopped, result.MemoryBound:
		// The target is overloaded. Another one may take the call, provided that the
		// service as a whole does not refuse requests of its order.
		return !s.linksFull && s.hasOtherTarget()
	case result.Leaving, result.OtherIncarnation, result.Misdirected, result.Unreachable, result.Tombstoned, result.NoConfiguration:
		s.sender.OnStaleView()
		return true
	case result.NoOwner, result.OwnerGone, result.OwnerUnclear:
		return s.awaitNewOwner(ctx)
	case result.TargetFailed:
		// If many calls fail at once, load is the likely cause, and retries would add to it.
		return s.call.Kind.Repeat == schema.Safe && s.sender.isHealthy(s.call)
	case result.Lost, result.AnswerTruncated, result.PartlyRun:
		return s.call.Kind.Repeat == schema.Safe
	}
	return false
}

// awaitNewOwner reports whether the key has a live owner other than the one tried last. It
// waits up to maxOwnerLookups times pollInterval while the owner is being replaced. An owner
// runs a key only if no other owner may, so sending the key to the owner in a newer
// plan is safe whatever became of the earlier attempt.
func (s *sendState) awaitNewOwner(ctx context.Context) bool {
	key, err := once.ParseKey(s.call.Key)
	if err != nil {
		return false
	}
	for range maxOwnerLookups {
		s.sender.OnStaleView()
		owner, code := s.sender.ownerOf(s.call)
		if code == result.OK && owner != s.lastIncarnation {
			return true
		}
		if !s.sender.OwnerChanging(s.call.Kind.Service, key) || ctx.Err() != nil {
			return false
		}
		s.pause(ctx)
	}
	return false
}

// hasOtherTarget reports whether a refused call can go to a target not tried yet.
func (s *sendState) hasOtherTarget() bool {
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

// attempt chooses a target and sends the call to it once.
func (s *sendState) attempt(ctx context.Context) *call.Answer {
	target, code := s.sender.choose(s.call, s.tried)
	s.lastTarget = target.Name
	if code != result.OK {
		s.linksFull = code == result.Overloaded
		s.sender.Metrics.Refusals.WithLabelValues(s.call.Kind.Service, code.String()).Inc()
		return call.Refuse(code, "")
	}
	s.tried[target.Name] = true
	s.lastIncarnation = target.Incarnation
	loan := s.call.Tokens.Lend(!s.sender.Opaque)
	request := s.sender.newRequest(s.call, target, loan.Tokens, s.earlier)
	s.sender.Metrics.Attempts.WithLabelValues(s.call.Kind.Service).Inc()
	began := s.sender.Clock.Now()
	response, err := s.sender.carry(ctx, target, request)
	var lost route.Outcome
	if err != nil {
		response, code, lost = s.resolveLost(ctx, target, request, err)
	}
	s.sender.learnConfirmed(began, request, response)
	took := s.sender.Clock.Now().Sub(began)
	s.sender.Metrics.RelaySeconds.WithLabelValues(s.call.Kind.Service).Observe(took.Seconds())
	if response == nil {
		if code == result.Unreachable {
			// The attempt has not run and never will, so none of its tokens were spent.
			s.call.Tokens.Return(loan, loan.Tokens)
		}
		s.sender.ended(s.call, target, route.Report{Outcome: lost, Latency: took})
		return call.Refuse(code, "")
	}
	return s.handleResponse(target, request, response, took, loan)
}

// handleResponse checks a response, records the floors, load and pressure that it carries,
// and converts it to an answer.
func (s *sendState) handleResponse(target route.Target, request *relaypb.CarryRequest, response *relaypb.CarryResponse, took time.Duration, loan *budget.Loan) *call.Answer {
	s.sender.learnFloors(response.Levels)
	code := s.callerCode(result.Code(response.Code))
	report := route.Report{Outcome: outcomeOf(code), Latency: took}
	if response.Below {
		report.Outcome = route.Blameless
	}
	if load := response.Load; load != nil && code != result.OtherIncarnation && code != result.Misdirected {
		report.HasLoad = true
		report.InFlight = int(load.InFlight)
		report.Limit = int(load.Limit)
		report.Queued = int(load.Queued)
		report.Offered = float64(load.OfferedPermille) / permille
		report.Leaving = load.Leaving
		report.Kind = s.call.Kind.Name
		report.KindTime = time.Duration(load.KindUs) * time.Microsecond
		report.Pace = float64(load.PacePermille) / permille
		report.MeanTime = time.Duration(load.MeanUs) * time.Microsecond
		report.Held = time.Duration(load.HeldUs) * time.Microsecond
		report.Bytes = len(request.Body) + len(response.Body)
	}
	s.sender.ended(s.call, target, report)
	if s.sender.Opaque {
		s.sender.learnPressure(s.call.Kind, response)
	}
	if !s.isIntact(request, response) {
		// A damaged response, or one to another attempt, says nothing about this attempt.
		// The lent tokens are forfeited with it.
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

// callerCode converts the code of a node to the code for the caller. A node that does not
// own a key by its own view cannot tell that the key's owner is gone, and a key that was
// never sent before cannot have run elsewhere.
func (s *sendState) callerCode(code result.Code) result.Code {
	switch {
	case code != result.OwnerGone:
		return code
	case s.call.KeyFresh:
		return result.NoOwner
	}
	return result.OwnerUnclear
}

// isIntact reports whether a response belongs to the attempt and is undamaged. A complete
// answer has the status of a target.
func (s *sendState) isIntact(request *relaypb.CarryRequest, response *relaypb.CarryResponse) bool {
	if response.AttemptId != request.AttemptId {
		return false
	}
	if response.Status == 0 {
		return len(response.Body) == 0 && result.Code(response.Code).Family() != result.Complete
	}
	if !httpc.IsFinalStatus(int(response.Status)) {
		return false
	}
	return xxhash.Sum64(response.Body) == response.Digest
}

func (s *sendState) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.sender.Clock.After(pollInterval):
	}
}

// outcomeOf returns what the code of an answer says about the target.
func outcomeOf(code result.Code) route.Outcome {
	switch code {
	case result.Unreachable, result.OtherIncarnation, result.Misdirected:
		// An answer from another process at the address only shows that the intended one
		// is gone.
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
