package local

import (
	"time"

	"github.com/dandelionfield/dandelionfield/internal/budget"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// retryRule returns the current rule of the retry budget, which changes with the members
// of the mesh. The node beside a target keeps the budget for all senders, because only
// this node sees every attempt that reaches the target. A sender with few requests of
// its own can retry them from the budget that the others leave unused.
func (s *Server) retryRule() budget.Rule {
	if s.settings.RetryRule == nil {
		return budget.Rule{}
	}
	return s.settings.RetryRule()
}

// countRequest counts an attempt towards the retry budget if it is the first of its call.
// s.mu must be held.
func (s *Server) countRequest(now time.Time, request *relaypb.CarryRequest) {
	if s.retryWindow == nil || request.Earlier != relaypb.Earlier_EARLIER_UNSPECIFIED {
		return
	}
	s.retryWindow.Request(now, s.origins.isInternal(request.Kind))
}

// retryAllowed reports whether the attempt is no retry or the budget has one left for it.
// It is checked before queueing, so that no retry waits for a slot that it may not use.
func (a *attempt) retryAllowed() bool {
	return a.withinRetryBudget((*budget.Window).Allows)
}

// takeRetry reports whether the attempt is no retry or could take one from the budget. It
// is the last step before the target is called, because only retries that reach the
// target count.
func (a *attempt) takeRetry() bool {
	return a.withinRetryBudget((*budget.Window).TryRetry)
}

// withinRetryBudget calls check for an attempt that is a retry, and returns true for any
// other attempt.
func (a *attempt) withinRetryBudget(check func(w *budget.Window, now time.Time, retry budget.Retry) bool) bool {
	s := a.server
	if s.retryWindow == nil || a.request.Earlier < relaypb.Earlier_EARLIER_SHED {
		return true
	}
	makesCalls := s.settings.TargetCalls == nil || s.settings.TargetCalls()
	s.mu.Lock()
	defer s.mu.Unlock()
	return check(s.retryWindow, s.settings.Clock.Now(), budget.Retry{
		MayHaveRun: a.request.Earlier == relaypb.Earlier_EARLIER_RAN && makesCalls,
		Inner:      s.origins.isInternal(a.request.Kind),
	})
}
