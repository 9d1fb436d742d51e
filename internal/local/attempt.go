package local

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/fate"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// attempt is one attempt from its arrival to its answer. It runs by itself, so
// that a sender whose connection was lost can come back and wait for it.
type attempt struct {
	server  *Server
	request *relaypb.CarryRequest
	kind    *schema.Kind
	serving *call.Serving
	handle  string
	key     once.Key
	keyed   bool
	admit   chan admit.Release
	done    chan struct{}
	answer  *relaypb.CarryResponse
	// waited and ran are the parts of its time, for the log.
	waited time.Duration
	ran    time.Duration

	mu      sync.Mutex
	waiters int
	idle    *time.Timer
	cancel  context.CancelFunc
}

// join counts one more party that waits for the answer.
func (a *attempt) join() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters++
	if a.idle != nil {
		a.idle.Stop()
	}
}

// part counts one party less. A call that may be repeated is cancelled when
// nobody has waited for it for a while; one that may not goes on to its end,
// because its record is what a repeated key will ask for.
func (a *attempt) part() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters--
	if a.waiters > 0 || a.kind == nil || a.kind.Repeat == schema.Never || a.ended() {
		return
	}
	a.idle = time.AfterFunc(abandonAfter, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.waiters == 0 && a.cancel != nil {
			a.cancel()
		}
	})
}

// ended says whether the answer is there.
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
	a.end(a.perform(ctx))
}

// perform takes the attempt through the record of its key, the gate and the
// target, in that order.
func (a *attempt) perform(ctx context.Context) *relaypb.CarryResponse {
	if a.kind == nil {
		return a.refusal(result.UnknownKind)
	}
	if a.request.Key != "" && a.kind.Repeat == schema.Never {
		if answer := a.claim(ctx); answer != nil {
			return answer
		}
	}
	if !a.mayRepeat() {
		return a.refusal(result.BudgetSpent)
	}
	began := a.server.settings.Clock.Now()
	code := a.admission(ctx)
	admitted := a.server.settings.Clock.Now()
	a.waited = admitted.Sub(began)
	a.server.settings.Metrics.QueueSeconds.WithLabelValues(a.kind.Name).Observe(a.waited.Seconds())
	if code != result.OK {
		return a.onward(ctx, a.refusal(code))
	}
	answer := a.serve(ctx)
	a.ran = a.server.settings.Clock.Now().Sub(admitted)
	a.server.settings.Metrics.TargetSeconds.WithLabelValues(a.kind.Name).Observe(a.ran.Seconds())
	return a.onward(ctx, answer)
}

// claim asks the ledger whether the key may run here. It returns nil when the
// attempt is the one that runs it.
func (a *attempt) claim(ctx context.Context) *relaypb.CarryResponse {
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
	first := s.byKey[key.Text]
	s.mu.Unlock()
	switch verdict {
	case once.Run:
		return nil
	case once.Done:
		return a.replay(recorded)
	case once.Running:
		return a.follow(ctx, first)
	}
	return a.refusal(code)
}

// follow waits for another attempt that runs the same key.
func (a *attempt) follow(ctx context.Context, first *attempt) *relaypb.CarryResponse {
	if first == nil {
		return a.refusal(result.RunningStill)
	}
	select {
	case <-first.done:
		return a.replay(first.answer)
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

// admission asks the gate for a slot and waits in its queue. It returns OK
// when the call has one.
func (a *attempt) admission(ctx context.Context) result.Code {
	s := a.server
	id := a.request.AttemptId
	s.mu.Lock()
	if s.refusing || !s.endBy.IsZero() && a.serving.Deadline.After(s.endBy) {
		s.mu.Unlock()
		return result.Leaving
	}
	decision := s.settings.Gate.Offer(s.settings.Clock.Now(), admit.Call{
		ID:         id,
		Kind:       a.kind.Name,
		Importance: a.serving.Importance,
		Position:   a.position(),
		Deadline:   a.serving.Deadline,
		First:      a.request.Earlier == relaypb.Earlier_EARLIER_UNSPECIFIED,
		Waits:      a.serving.Waits,
	})
	if decision.Verdict == admit.Queued {
		s.waiting[id] = a
		s.hasten()
	}
	s.release(decision.Released)
	s.mu.Unlock()
	switch decision.Verdict {
	case admit.Admitted:
		return result.OK
	case admit.Refused:
		return decision.Code
	}
	return a.queued(ctx)
}

// position returns the call's place in the order of refusal within its importance.
// Calls that targets make do not name their request where targets announce
// themselves, so that each would draw a place of its own, and a request that needs
// several of them would fail by the worst. There they wait by arrival, behind the
// requests of callers. The lock is held.
func (a *attempt) position() uint16 {
	if a.server.settings.Admits != nil && a.server.origins.inner(a.request.Kind) {
		return 0
	}
	return a.serving.Position
}

func (a *attempt) queued(ctx context.Context) result.Code {
	select {
	case release := <-a.admit:
		return admission(release)
	case <-ctx.Done():
	}
	s := a.server
	s.mu.Lock()
	defer s.mu.Unlock()
	_, waits := s.waiting[a.request.AttemptId]
	if !waits {
		// The gate decided at the same moment; its decision stands, since it
		// may have given the call a slot that has to be returned.
		return admission(<-a.admit)
	}
	delete(s.waiting, a.request.AttemptId)
	s.release(s.settings.Gate.Cancel(s.settings.Clock.Now(), a.request.AttemptId))
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return result.DeadlinePassed
	}
	return result.Cancelled
}

func admission(release admit.Release) result.Code {
	if release.Verdict == admit.Admitted {
		return result.OK
	}
	return release.Code
}

// serve calls the target in the slot that the attempt holds, unless the process
// that it is meant for stopped taking work while the attempt was queued.
func (a *attempt) serve(ctx context.Context) *relaypb.CarryResponse {
	s := a.server
	_, targetID := relay.SplitIncarnation(a.request.Incarnation)
	code := s.admits(targetID)
	if code == result.OK && !a.takeRepeat() {
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
	facts.ShedStatus = s.settings.ShedStatus()
	facts.ChildrenRan = a.serving.ChildrenRan()
	code = fate.Classify(facts)
	below := blameless(code) && a.serving.ChildrenFailed()
	s.mu.Lock()
	s.release(s.settings.Gate.Done(s.settings.Clock.Now(), a.request.AttemptId, outcome(code, below)))
	s.mu.Unlock()
	answer := &relaypb.CarryResponse{
		Code:       uint32(code),
		Detail:     reply.Detail,
		TokensLeft: uint32(a.serving.Tokens.Left()),
		Below:      below,
	}
	if reply.Facts.BodyWhole {
		answer.Status = uint32(reply.Status)
		answer.Headers = reply.Headers
		answer.Body = reply.Body
		answer.Digest = xxhash.Sum64(reply.Body)
	}
	return answer
}

// blameless says whether an answer may be due to the calls that the target made
// rather than to the target.
func blameless(code result.Code) bool {
	switch code {
	case result.TargetShed, result.PartlyRun, result.TargetFailed, result.TimedOut:
		return true
	}
	return false
}

// end records the answer and wakes everyone who waits for it.
func (a *attempt) end(answer *relaypb.CarryResponse) {
	s := a.server
	answer = s.dress(a.request, answer)
	code := result.Code(answer.Code)
	if code.Family() == result.NotRun {
		s.settings.Metrics.Refusals.WithLabelValues(s.settings.Service, code.String()).Inc()
	}
	now := s.settings.Clock.Now()
	if code.Family() != result.Complete {
		a.noteFailure(now, code, answer)
	}
	size := len(answer.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.keyed {
		a.record(now, code, answer, size)
		delete(s.byKey, a.key.Text)
	}
	s.settings.Book.End(now, a.request.AttemptId, answer, size)
	delete(s.attempts, a.request.AttemptId)
	a.answer = answer
	close(a.done)
}

// noteFailure logs an attempt that did not end well, with what decided it here.
func (a *attempt) noteFailure(now time.Time, code result.Code, answer *relaypb.CarryResponse) {
	s := a.server
	if s.settings.Failures == nil {
		return
	}
	leftOut, ok := s.settings.Failures.Allow(now, code.String())
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
		"waited_ms", a.waited.Milliseconds(),
		"ran_ms", a.ran.Milliseconds(),
		"in_flight", answer.GetLoad().GetInFlight(),
		"limit", answer.GetLoad().GetLimit(),
		"queued", answer.GetLoad().GetQueued(),
		"detail", answer.Detail,
		"left_out", leftOut,
	)
}

// record tells the ledger how the run of the key ended. The lock is held.
func (a *attempt) record(now time.Time, code result.Code, answer *relaypb.CarryResponse, size int) {
	ledger := a.server.settings.Ledger
	switch {
	case code.Family() == result.NotRun:
		ledger.Abandon(now, a.key)
	case code == result.PartlyRun && a.serving.OnlySafeRan():
		// The target refused the call itself, and what ran for it may run
		// again: the same key may be tried once more.
		ledger.Abandon(now, a.key)
	case code == result.OK:
		ledger.Finish(now, a.key, answer, size)
	default:
		ledger.Lost(now, a.key)
	}
}

func (a *attempt) refusal(code result.Code) *relaypb.CarryResponse {
	return &relaypb.CarryResponse{
		Code:       uint32(code),
		TokensLeft: uint32(a.serving.Tokens.Left()),
	}
}

// requestHash tells requests apart that use the same key by mistake.
func (a *attempt) requestHash() uint64 {
	digest := xxhash.New()
	for _, part := range []string{a.request.Kind, a.request.Method, a.request.Path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(a.request.Body)
	return digest.Sum64()
}

// outcome tells the gate what an answer says about the target's load: nothing,
// when it is due to a call that the target made.
func outcome(code result.Code, below bool) admit.Outcome {
	if below {
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
