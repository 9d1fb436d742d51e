package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// fateWait is how long the other node may hold a fate query while the attempt runs.
	fateWait = time.Second
	// fateTimeout bounds one fate query if the other node does not answer.
	fateTimeout = 1500 * time.Millisecond
	// fateProbeTimeout bounds the first fate query for a call that is safe to retry. A live
	// node answers at once. If the node does not, another target should be tried soon.
	fateProbeTimeout = 200 * time.Millisecond
	// maxFateQueries is how many fate queries for a lost attempt may go unanswered.
	maxFateQueries = 3
)

// resolveLost finds out what became of an attempt that ended without an answer. It returns
// the answer if the other node still has it, and otherwise the code and the outcome to
// record for the target.
func (s *sendState) resolveLost(ctx context.Context, target route.Target, request *relaypb.CarryRequest, err error) (*relaypb.CarryResponse, result.Code, route.Outcome) {
	if relay.NeverSent(err) {
		return nil, result.Unreachable, s.lossOutcome(ctx, route.Unreachable)
	}
	if relay.TooLarge(err) {
		return nil, result.AnswerTooLarge, route.Blameless
	}
	// A node whose connection stayed open until the deadline has answered pings, so it is
	// not silent: its target was too slow.
	outcome := route.Failed
	if s.call.Kind.Repeat == schema.Safe {
		if _, err := s.queryFate(ctx, target, request, 0, fateProbeTimeout); err != nil {
			return nil, s.lossCode(ctx), s.lossOutcome(ctx, route.Silent)
		}
	}
	for unanswered := 0; unanswered < maxFateQueries; {
		if ctx.Err() != nil {
			break
		}
		fate, err := s.queryFate(ctx, target, request, fateWait, fateTimeout)
		if err != nil {
			if !s.keepAsking(err) {
				unanswered++
			}
			outcome = route.Silent
			s.pause(ctx)
			continue
		}
		s.sender.Metrics.FateQueries.WithLabelValues(fate.State.String()).Inc()
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
	return nil, s.lossCode(ctx), s.lossOutcome(ctx, outcome)
}

// lossOutcome returns the outcome to record for a target whose answer was lost. It is
// Blameless if the caller went away.
func (s *sendState) lossOutcome(ctx context.Context, outcome route.Outcome) route.Outcome {
	if s.lossCode(ctx) == result.CancelledLate {
		return route.Blameless
	}
	return outcome
}

// keepAsking reports whether a fate query that failed does not count towards
// maxFateQueries. A node that accepts connections but does not answer may only be paused;
// once it resumes, it knows what became of the call. A call that may run only once has no
// other target in the meantime.
func (s *sendState) keepAsking(err error) bool {
	return s.call.Kind.Repeat == schema.Never && !relay.NeverSent(err)
}

// lossCode returns the code for an attempt that may have run and whose answer is lost.
func (s *sendState) lossCode(ctx context.Context) result.Code {
	switch {
	case !s.sender.Clock.Now().Before(s.call.Deadline):
		return result.TimedOut
	case ctx.Err() != nil:
		return result.CancelledLate
	}
	return result.Lost
}

// queryFate asks the node beside the target what became of an attempt. The node may hold
// the query for wait until the attempt ends.
func (s *sendState) queryFate(ctx context.Context, target route.Target, request *relaypb.CarryRequest, wait, timeout time.Duration) (*relaypb.FateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := s.sender.Client.CallClient(target.Address).Fate(ctx, connect.NewRequest(&relaypb.FateRequest{
		AttemptId:   request.AttemptId,
		Incarnation: request.Incarnation,
		WaitMs:      uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
