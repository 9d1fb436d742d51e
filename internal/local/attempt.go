package local

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/dedup"
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

	mu           sync.Mutex
	waiters      int
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

// claimKey asks the ledger whether the key may run here. It returns nil if this attempt
// is the one to run it, and the answer to the attempt otherwise.
func (a *attempt) claimKey(ctx context.Context) *relaypb.CarryResponse {
	key, err := once.ParseKey(a.request.Key)
	if err != nil {
		return a.refusal(result.KeyInvalid)
	}
	s := a.server
	s.mu.Lock()
	verdict, recorded, code := s.settings.Ledger.Accept(s.settings.Clock.Now(), key, a.kind.Name, a.requestHash())
	if verdict == once.Run {
		a.key = key
		a.keyed = true
		s.byKey[key.Text] = a
	}
	running := s.byKey[key.Text]
	s.mu.Unlock()
	switch verdict {
	case once.Run:
		return nil
	case once.Done:
		return a.replay(recorded)
	case once.Running:
		return a.awaitRunning(ctx, running)
	}
	return a.refusal(code)
}

// awaitRunning waits for the attempt that already runs the same key and returns its
// answer as a replay.
func (a *attempt) awaitRunning(ctx context.Context, running *attempt) *relaypb.CarryResponse {
	if running == nil {
		return a.refusal(result.RunningStill)
	}
	select {
	case <-running.done:
		return a.replay(running.answer)
	case <-ctx.Done():
		return a.refusal(result.RunningStill)
	}
}

func (a *attempt) replay(recorded *relaypb.CarryResponse) *relaypb.CarryResponse {
	if recorded == nil {
		return a.refusal(result.Lost)
	}
	a.server.settings.Metrics.Replayed.Inc()
	code := recorded.Code
	if result.Code(code) == result.OK {
		code = uint32(result.Replayed)
	}
	return &relaypb.CarryResponse{
		Code:       code,
		Status:     recorded.Status,
		Headers:    recorded.Headers,
		Body:       recorded.Body,
		Digest:     recorded.Digest,
		Detail:     recorded.Detail,
		TokensLeft: a.request.Tokens,
		Replayed:   true,
	}
}

// acquireSlot asks the gate for a slot, and waits in its queue if necessary. It returns
// OK once the call holds a slot.
func (a *attempt) acquireSlot(ctx context.Context) result.Code {
	s := a.server
	id := a.request.AttemptId
	s.mu.Lock()
	if s.refusing || !s.endBy.IsZero() && a.serving.Deadline.After(s.endBy) {
		s.mu.Unlock()
		return result.Leaving
	}
	decision := s.settings.Gate.Offer(s.settings.Clock.Now(), admit.Call{
		ID:               id,
		Kind:             a.kind.Name,
		Importance:       a.serving.Importance,
		Position:         a.position(),
		Deadline:         a.serving.Deadline,
		FirstAttempt:     a.request.Earlier == relaypb.Earlier_EARLIER_UNSPECIFIED,
		AwaitsDownstream: a.serving.WaitsForChild,
	})
	if decision.Verdict == admit.Queued {
		s.waiting[id] = a
		s.wake()
	}
	s.release(decision.Released)
	s.mu.Unlock()
	switch decision.Verdict {
	case admit.Admitted:
		return result.OK
	case admit.Refused:
		return decision.Code
	}
	return a.awaitSlot(ctx)
}

// position returns the call's position in the shedding order within its importance. The
// calls made by targets that announce themselves do not name the request that they belong
// to. Each would draw a position of its own, and a request that needs several such calls
// would fail by the worst position drawn. These calls therefore all get position 0: they
// are queued in order of arrival, behind the requests of callers. The server's mutex must
// be held.
func (a *attempt) position() uint16 {
	if a.server.settings.CheckTarget != nil && a.server.origins.isInternal(a.request.Kind) {
		return 0
	}
	return a.serving.Position
}

func (a *attempt) awaitSlot(ctx context.Context) result.Code {
	select {
	case release := <-a.gateDecision:
		return releaseCode(release)
	case <-ctx.Done():
	}
	s := a.server
	s.mu.Lock()
	defer s.mu.Unlock()
	_, queued := s.waiting[a.request.AttemptId]
	if !queued {
		// The gate decided concurrently. Its decision stands, because it may have
		// given the call a slot that must be released.
		return releaseCode(<-a.gateDecision)
	}
	delete(s.waiting, a.request.AttemptId)
	s.release(s.settings.Gate.Cancel(s.settings.Clock.Now(), a.request.AttemptId))
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return result.DeadlinePassed
	}
	return result.Cancelled
}

func releaseCode(release admit.Release) result.Code {
	if release.Verdict == admit.Admitted {
		return result.OK
	}
	return release.Code
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

// recordKey records in the ledger how the run of the key ended. The server's mutex must
// be held.
func (a *attempt) recordKey(now time.Time, code result.Code, answer *relaypb.CarryResponse, size int) {
	ledger := a.server.settings.Ledger
	switch {
	case code.Family() == result.NotRun:
		ledger.Abandon(now, a.key)
	case code == result.PartlyRun && a.serving.OnlySafeRan():
		// The target shed the call itself, and the calls that ran on its behalf
		// are all safe to retry. The key may therefore be tried again.
		ledger.Abandon(now, a.key)
	case code == result.OK:
		ledger.Finish(now, a.key, answer, size)
	default:
		ledger.MarkLost(now, a.key)
	}
}

func (a *attempt) refusal(code result.Code) *relaypb.CarryResponse {
	return &relaypb.CarryResponse{
		Code:       uint32(code),
		TokensLeft: uint32(a.serving.Tokens.Left()),
	}
}

// requestHash returns a hash by which the ledger detects different requests with the
// same key.
func (a *attempt) requestHash() uint64 {
	digest := xxhash.New()
	for _, part := range []string{a.request.Kind, a.request.Method, a.request.Path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(a.request.Body)
	return digest.Sum64()
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
