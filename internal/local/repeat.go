package local

import (
	"time"

	"github.com/dandelionfield/dandelionfield/internal/budget"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// The node beside a target keeps the budget of repeats for all senders, since it
// alone sees every attempt that reaches the target: a sender that has few requests
// of its own repeats them from what others have left.

// retryRule returns the rule as it is now; it changes with the members.
func (s *Server) retryRule() budget.Rule {
	if s.settings.RetryRule == nil {
		return budget.Rule{}
	}
	return s.settings.RetryRule()
}

// requested counts an attempt that is the first of its call. The lock is held.
func (s *Server) requested(now time.Time, request *relaypb.CarryRequest) {
	if s.window == nil || request.Earlier != relaypb.Earlier_EARLIER_UNSPECIFIED {
		return
	}
	s.window.Request(now, s.origins.inner(request.Kind))
}

// mayRepeat says whether the budget has a repeat left for the attempt, if it is
// one, so that none waits for a slot in vain.
func (a *attempt) mayRepeat() bool {
	return a.underBudget((*budget.Window).Allows)
}

// takeRepeat takes a repeat from the budget if the attempt is one. It is the last
// step before the target: only what reaches it counts.
func (a *attempt) takeRepeat() bool {
	return a.underBudget((*budget.Window).TryRepeat)
}

func (a *attempt) underBudget(has func(w *budget.Window, now time.Time, repeat budget.Repeat) bool) bool {
	s := a.server
	if s.window == nil || a.request.Earlier < relaypb.Earlier_EARLIER_SHED {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return has(s.window, s.settings.Clock.Now(), budget.Repeat{
		Ran:   a.request.Earlier == relaypb.Earlier_EARLIER_RAN,
		Inner: s.origins.inner(a.request.Kind),
	})
}
