package local

import (
	"context"
	"errors"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

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
