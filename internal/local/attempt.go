package local

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/dedup"
	"github.com/dandelionfield/dandelionfield/internal/link"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// attempt is one attempt from its arrival to its answer. It runs in its own goroutine,
// so that a sender that lost its connection can reconnect and wait for the answer.
type attempt struct {
	server       *Server
	request      *relaypb.CarryRequest
	kind         *schema.Kind
	serving      *call.Serving
	handle       string
	key          once.Key
	keyed        bool
	gateDecision chan admit.Release
	done         chan struct{}
	answer       *relaypb.CarryResponse
	// queueTime is the time spent waiting for a slot, and targetTime the time spent in the
	// target, for logFailure.
	queueTime  time.Duration
	targetTime time.Duration
	arrived    time.Time

	mu      sync.Mutex
	waiters int
	// unattended accounts for the memory of the request while nobody waits for its answer.
	// Otherwise the waiter accounts for it.
	unattended   *alloc.Account
	abandonTimer *time.Timer
	cancel       context.CancelFunc
	// unanswered is set once the attempt has been given up because the target seems to
	// have dropped it.
	unanswered bool
}

// addWaiter registers a goroutine that waits for the answer.
func (a *attempt) addWaiter() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters++
	if a.unattended != nil {
		a.server.settings.Memory.Release(a.unattended)
		a.unattended = nil
	}
	if a.abandonTimer != nil {
		a.abandonTimer.Stop()
	}
}

// removeWaiter undoes addWaiter. A call that is safe to retry is cancelled once it has
// had no waiter for abandonAfter. A call that is not safe to retry runs to its end,
// because a request that repeats its key is answered from its record.
func (a *attempt) removeWaiter() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters--
	if a.waiters == 0 && !a.ended() {
		a.unattended = &alloc.Account{}
		a.server.settings.Memory.Force(a.unattended, link.RequestCost(a.request))
	}
	if a.waiters > 0 || a.kind == nil || a.kind.Repeat == schema.Never || a.ended() {
		return
	}
	a.abandonTimer = time.AfterFunc(abandonAfter, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.waiters == 0 && a.cancel != nil {
			a.cancel()
		}
	})
}

// giveUp ends the wait for the answer to a call that the target seems to have dropped, so
// that its sender can try another target while there is time. Whether the call ran remains
// unknown. A call that is not safe to retry is waited for until its deadline, because
// nothing could take the place of its answer.
func (a *attempt) giveUp() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.kind == nil || a.kind.Repeat == schema.Never || a.cancel == nil {
		return
	}
	a.unanswered = true
	a.cancel()
}

// givenUp reports whether giveUp has ended the attempt.
func (a *attempt) givenUp() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unanswered
}

// ended reports whether the attempt has its answer.
func (a *attempt) ended() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

func (a *attempt) run() {
	defer a.server.running.Done()
	ctx, cancel := context.WithDeadline(context.Background(), a.serving.Deadline)
	defer cancel()
	a.mu.Lock()
	a.cancel = cancel
	a.mu.Unlock()
	a.finish(a.execute(ctx))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unattended != nil {
		a.server.settings.Memory.Release(a.unattended)
		a.unattended = nil
	}
}

// execute claims the attempt's key, acquires a slot from the gate and calls the target,
// in this order. A call with a key that the target did not run is forwarded.
func (a *attempt) execute(ctx context.Context) *relaypb.CarryResponse {
	if a.kind == nil {
		return a.refusal(result.UnknownKind)
	}
	if a.request.Key != "" && a.kind.Repeat == schema.Never {
		if answer := a.claimKey(ctx); answer != nil {
			return answer
		}
	}
	if !a.retryAllowed() {
		return a.refusal(result.BudgetSpent)
	}
	began := a.server.settings.Clock.Now()
	code := a.acquireSlot(ctx)
	admitted := a.server.settings.Clock.Now()
	a.queueTime = admitted.Sub(began)
	a.server.settings.Metrics.QueueSeconds.WithLabelValues(a.kind.Name).Observe(a.queueTime.Seconds())
	if code != result.OK {
		return a.forward(ctx, a.refusal(code))
	}
	answer := a.callTarget(ctx)
	a.targetTime = a.server.settings.Clock.Now().Sub(admitted)
	a.server.settings.Metrics.TargetSeconds.WithLabelValues(a.kind.Name).Observe(a.targetTime.Seconds())
	return a.forward(ctx, answer)
}

// callTarget calls the target in the slot that the attempt holds, and releases the slot.
// It rejects the attempt if the addressed process stopped accepting work while the
// attempt was queued, or if the retry budget is spent.
func (a *attempt) callTarget(ctx context.Context) *relaypb.CarryResponse {
	s := a.server
	_, targetID := relay.SplitIncarnation(a.request.Incarnation)
	code := s.admits(targetID)
	if code == result.OK && !a.takeRetry() {
		code = result.BudgetSpent
	}
	if code != result.OK {
		s.mu.Lock()
		s.release(s.settings.Gate.Done(s.settings.Clock.Now(), a.request.AttemptId, admit.Abandoned))
		s.mu.Unlock()
		return a.refusal(code)
	}
	s.mu.Lock()
	s.serving[a.handle] = a.serving
	s.mu.Unlock()
	reply := s.settings.Target.Call(ctx, a.handle, a.request, s.settings.Limits())
	s.mu.Lock()
	delete(s.serving, a.handle)
	s.mu.Unlock()
	facts := reply.Facts
	if facts.Cancelled && a.givenUp() {
		facts.Cancelled = false
		reply.Detail = "the target answered later calls, but not this one"
	}
	facts.ShedStatus = s.settings.ShedStatus()
	facts.ChildCallsRan = a.serving.ChildrenRan()
	code = dedup.Classify(facts)
	downstream := maybeDownstream(code) && a.serving.ChildrenFailed()
	s.mu.Lock()
	s.release(s.settings.Gate.Done(s.settings.Clock.Now(), a.request.AttemptId, outcome(code, downstream)))
	s.mu.Unlock()
	answer := &relaypb.CarryResponse{
		Code:       uint32(code),
		Detail:     reply.Detail,
		TokensLeft: uint32(a.serving.Tokens.Left()),
		Below:      downstream,
	}
	if reply.Facts.BodyComplete {
		answer.Status = uint32(reply.Status)
		answer.Headers = reply.Headers
		answer.Body = reply.Body
		answer.Digest = xxhash.Sum64(reply.Body)
	}
	return answer
}

// maybeDownstream reports whether an answer with this code may be caused by the calls
// that the target made rather than by the target itself.
func maybeDownstream(code result.Code) bool {
	switch code {
	case result.TargetShed, result.PartlyRun, result.TargetFailed, result.TimedOut:
		return true
	}
	return false
}

// finish records the answer and wakes all waiters.
func (a *attempt) finish(answer *relaypb.CarryResponse) {
	s := a.server
	answer = s.addNodeState(a.request, answer)
	if answer.Load.PacePermille > 0 {
		answer.Load.HeldUs = uint32(max(s.settings.Clock.Now().Sub(a.arrived).Microseconds(), 1))
	}
	code := result.Code(answer.Code)
	if code.Family() == result.NotRun {
		s.settings.Metrics.Refusals.WithLabelValues(s.settings.Service, code.String()).Inc()
	}
	now := s.settings.Clock.Now()
	if code.Family() != result.Complete {
		a.logFailure(now, code, answer)
	}
	size := len(answer.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.keyed {
		a.recordKey(now, code, answer, size)
		delete(s.byKey, a.key.Text)
	}
	s.settings.AttemptRecords.End(now, a.request.AttemptId, answer, size)
	delete(s.attempts, a.request.AttemptId)
	a.answer = answer
	close(a.done)
}

// logFailure logs an attempt that was not completed, with the state that led to its
// result on this node.
func (a *attempt) logFailure(now time.Time, code result.Code, answer *relaypb.CarryResponse) {
	s := a.server
	if s.settings.FailureLimiter == nil {
		return
	}
	leftOut, ok := s.settings.FailureLimiter.Allow(now, code.String())
	if !ok {
		return
	}
	_, targetID := relay.SplitIncarnation(a.request.Incarnation)
	s.settings.Log.Info("attempt_failed",
		"request", a.request.RequestId,
		"attempt", a.request.AttemptId,
		"kind", a.request.Kind,
		"from", a.request.CallerService,
		"target", targetID,
		"result", code.String(),
		"status", answer.Status,
		"waited_ms", a.queueTime.Milliseconds(),
		"ran_ms", a.targetTime.Milliseconds(),
		"in_flight", answer.GetLoad().GetInFlight(),
		"limit", answer.GetLoad().GetLimit(),
		"queued", answer.GetLoad().GetQueued(),
		"detail", answer.Detail,
		"left_out", leftOut,
	)
}

func (a *attempt) refusal(code result.Code) *relaypb.CarryResponse {
	return &relaypb.CarryResponse{
		Code:       uint32(code),
		TokensLeft: uint32(a.serving.Tokens.Left()),
	}
}

// outcome maps a result to what it tells the gate about the target's load. A failure
// caused by a call that the target made says nothing about that load.
func outcome(code result.Code, downstream bool) admit.Outcome {
	if downstream {
		return admit.Abandoned
	}
	switch code {
	case result.OK, result.AnswerTooLarge:
		return admit.Completed
	case result.TargetShed, result.PartlyRun:
		return admit.Shed
	case result.TimedOut:
		return admit.TimedOut
	case result.Cancelled, result.CancelledLate:
		return admit.Abandoned
	}
	return admit.Failed
}
