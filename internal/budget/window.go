package budget

import "time"

type (
	// Rule bounds the repeats that reach the targets of a service, as a share of
	// the requests for it.
	Rule struct {
		// Share is the most repeats to a request, and Slack how many more there
		// may be, in any Span.
		Share float64
		Slack float64
		Span  time.Duration
		// RunShare is the part of Share for repeats of calls that may have run.
		// Each of these makes its own calls again, which count where they arrive.
		RunShare float64
		// InnerPart is the part of the budget that repeats of calls made by targets
		// may take where requests of callers need the rest. A repeated request of a
		// caller is answered; a call that a target makes is one of several that
		// must all succeed.
		InnerPart float64
	}

	// Repeat is a call that is to reach a target of the service once more.
	Repeat struct {
		// Ran is set where an earlier attempt may have run.
		Ran bool
		// Inner is set where a target makes the call, and not a caller.
		Inner bool
	}

	// Window is the part of a budget for repeats that one target's node keeps. All
	// nodes share the budget: a node lets its target have the share of the requests
	// that came to it, so that the sum over all nodes keeps to the rule without a
	// word between them, whoever sends.
	//
	// The rule holds in spans that begin at any moment, and a repeat of now falls
	// into many of them. So the rule that a node is given has to stay below three
	// quarters of the one for all.
	Window struct {
		rule  Rule
		slots [windowParts + 1]windowSlot
		at    int64 // number of the newest slot
	}

	// windowSlot counts what was sent in one part of a span.
	windowSlot struct {
		requests float64
		direct   float64 // those of callers among the requests
		repeats  float64
		runs     float64
		inner    float64 // those of targets' calls among the repeats
	}
)

// windowParts is how many parts a span is counted in.
const windowParts = 20

// NewWindow returns a window without requests.
func NewWindow(rule Rule) *Window {
	return &Window{rule: rule}
}

// SetRule puts another rule in force.
func (w *Window) SetRule(rule Rule) {
	if rule.Span != w.rule.Span {
		*w = Window{}
	}
	w.rule = rule
}

// Request counts a request for the service; inner is set where a target makes it.
func (w *Window) Request(now time.Time, inner bool) {
	slot := w.slot(now)
	slot.requests++
	if !inner {
		slot.direct++
	}
}

// Allows says whether a repeat may reach the target now.
func (w *Window) Allows(now time.Time, repeat Repeat) bool {
	w.slot(now)
	known, spent := w.known(), w.spent()
	whole := w.rule.Share*known.requests + w.rule.Slack
	switch {
	case spent.repeats+1 > whole:
		return false
	case repeat.Ran && spent.runs+1 > w.rule.RunShare*known.requests+w.rule.Slack:
		return false
	case repeat.Inner:
		kept := min((1-w.rule.InnerPart)*whole, known.direct)
		return spent.inner+1 <= whole-kept
	}
	return true
}

// TryRepeat takes one repeat from the budget, and reports whether there was one.
func (w *Window) TryRepeat(now time.Time, repeat Repeat) bool {
	if !w.Allows(now, repeat) {
		return false
	}
	slot := w.slot(now)
	slot.repeats++
	if repeat.Ran {
		slot.runs++
	}
	if repeat.Inner {
		slot.inner++
	}
	return true
}

// slot returns the slot of the time, and clears those that have passed since.
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

// back returns the slot that lies parts behind the newest.
func (w *Window) back(parts int64) windowSlot {
	size := int64(len(w.slots))
	return w.slots[((w.at-parts)%size+size)%size]
}

// known sums up the requests of the last span. In whatever span a repeat of now is
// counted, at least three quarters of these requests are counted with it: in that
// span, the one before, or the one in between.
func (w *Window) known() windowSlot {
	var sum windowSlot
	for part := range int64(windowParts) {
		slot := w.back(part)
		sum.requests += slot.requests
		sum.direct += slot.direct
	}
	return sum
}

// spent sums up the repeats of the last span and the part before it.
func (w *Window) spent() windowSlot {
	var sum windowSlot
	for part := range int64(windowParts + 1) {
		slot := w.back(part)
		sum.repeats += slot.repeats
		sum.runs += slot.runs
		sum.inner += slot.inner
	}
	return sum
}
