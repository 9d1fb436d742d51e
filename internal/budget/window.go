package budget

import "time"

type (
	// Rule limits the retries that reach the targets of a service to a share of the
	// requests for the service.
	Rule struct {
		// Share is the largest number of retries per request in any Span. Slack is
		// the number of further retries allowed in the same Span.
		Share float64
		Slack float64
		Span  time.Duration
		// MayHaveRunShare is the part of Share for retries of calls that may have run. Each
		// of these retries makes the target's own calls again, which count as requests
		// for the services that they go to.
		MayHaveRunShare float64
		// InnerFraction is the part of the budget that is available for retries of calls
		// made by targets if requests of callers need the rest. The retry of a
		// request of a caller completes the request, whereas a call made by a target
		// is one of several that must all succeed.
		InnerFraction float64
	}

	// Retry describes a retry of a call to a target of the service.
	Retry struct {
		// MayHaveRun is set if an earlier attempt may have run, and the target would make
		// calls of its own again.
		MayHaveRun bool
		// Inner is set if the call is made by a target rather than by a caller.
		Inner bool
	}

	// Window enforces the part of a retry budget that belongs to the node of one target.
	// Each node allows retries to its target as a share of the requests that reached this
	// target, so that all nodes together keep to the rule of the service without
	// communication, whichever nodes send the retries.
	//
	// The rule must hold in every span, whenever it begins, and one retry falls into many
	// overlapping spans. The share given to a node must therefore be below three quarters
	// of the share that applies to the service.
	Window struct {
		rule  Rule
		slots [windowParts + 1]windowSlot
		at    int64 // number of the newest slot
	}

	// windowSlot holds the counts of one part of a span.
	windowSlot struct {
		requests   float64
		direct     float64 // requests made by callers
		retries    float64
		mayHaveRun float64 // retries of calls that may have run
		inner      float64 // retries of calls made by targets
	}
)

// windowParts is the number of parts into which a span is divided for counting.
const windowParts = 20

// NewWindow returns a window that has counted no requests.
func NewWindow(rule Rule) *Window {
	return &Window{rule: rule}
}

// SetRule replaces the rule. All counts are reset if the span changes.
func (w *Window) SetRule(rule Rule) {
	if rule.Span != w.rule.Span {
		*w = Window{}
	}
	w.rule = rule
}

// Request counts a request for the service. inner is set if a target makes the request.
func (w *Window) Request(now time.Time, inner bool) {
	slot := w.slot(now)
	slot.requests++
	if !inner {
		slot.direct++
	}
}

// Allows reports whether a retry may reach the target now.
func (w *Window) Allows(now time.Time, retry Retry) bool {
	w.slot(now)
	received, spent := w.received(), w.spent()
	limit := w.rule.Share*received.requests + w.rule.Slack
	switch {
	case spent.retries+1 > limit:
		return false
	case retry.MayHaveRun && spent.mayHaveRun+1 > w.rule.MayHaveRunShare*received.requests+w.rule.Slack:
		return false
	case retry.Inner:
		reserved := min((1-w.rule.InnerFraction)*limit, received.direct)
		return spent.inner+1 <= limit-reserved
	}
	return true
}

// TryRetry counts a retry and returns true, or returns false if the budget does not allow the
// retry.
func (w *Window) TryRetry(now time.Time, retry Retry) bool {
	if !w.Allows(now, retry) {
		return false
	}
	slot := w.slot(now)
	slot.retries++
	if retry.MayHaveRun {
		slot.mayHaveRun++
	}
	if retry.Inner {
		slot.inner++
	}
	return true
}

// slot returns the slot for the given time, and clears the slots between the newest one so far
// and this one.
func (w *Window) slot(now time.Time) *windowSlot {
	number := now.UnixNano() / int64(w.rule.Span/windowParts)
	size := int64(len(w.slots))
	if number > w.at {
		for passed := max(w.at+1, number-size+1); passed <= number; passed++ {
			w.slots[passed%size] = windowSlot{}
		}
		w.at = number
	}
	return &w.slots[w.at%size]
}

// slotBefore returns the slot that is the given number of parts before the newest.
func (w *Window) slotBefore(parts int64) windowSlot {
	size := int64(len(w.slots))
	return w.slots[((w.at-parts)%size+size)%size]
}

// received returns the sum of the requests in the last span. For every span that contains a
// retry sent now, at least three quarters of these requests fall into one of three spans: that
// span, the span before it, or the span halfway between the two.
func (w *Window) received() windowSlot {
	var sum windowSlot
	for part := range int64(windowParts) {
		slot := w.slotBefore(part)
		sum.requests += slot.requests
		sum.direct += slot.direct
	}
	return sum
}

// spent returns the sum of the retries in the last span and in the part before it.
func (w *Window) spent() windowSlot {
	var sum windowSlot
	for part := range int64(windowParts + 1) {
		slot := w.slotBefore(part)
		sum.retries += slot.retries
		sum.mayHaveRun += slot.mayHaveRun
		sum.inner += slot.inner
	}
	return sum
}
