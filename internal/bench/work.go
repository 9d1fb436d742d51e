package bench

import "github.com/dandelionfield/dandelionfield/pkg/schema"

// requestWork holds the executions of all targets for one request of a caller.
type requestWork struct {
	// needed is the number of runs of each kind that a good answer needs.
	needed map[string]int
	byKind map[string]Execution
	// arrived counts the calls that reached targets, by attempt and kind.
	arrived map[string]map[string]int
	calls   int
	kind    *schema.Kind
}

// addExecutions adds the executions to the report. A request counts as a double run when
// the work of a kind that may never be repeated started more than once over all its
// attempts. An attempt counts as a false "not run" when its answer said so and any target
// had started work for it.
func (r *Report) addExecutions(mesh *schema.Set, outcomes []Outcome, byTarget []Executions) {
	requests := make(map[string]*requestWork, len(outcomes))
	toldNotRun := map[string]bool{}
	for _, outcome := range outcomes {
		requests[outcome.ID] = newRequestWork(mesh, outcome)
		for i, attempt := range outcome.Attempts {
			if attempt.toldNotRun() {
				toldNotRun[attemptID(outcome.ID, i)] = true
			}
		}
	}
	falseNotRun := map[string]bool{}
	for _, target := range byTarget {
		for attempt, executions := range target.ByRequest {
			request := requests[requestID(attempt)]
			if request == nil {
				continue
			}
			for _, execution := range executions {
				request.add(attempt, execution)
				if toldNotRun[attempt] && execution.Runs > 0 {
					falseNotRun[attempt] = true
				}
			}
		}
	}
	r.FalseNotRun = len(falseNotRun)
	r.addWork(mesh, requests)
}

func (r *Report) addWork(mesh *schema.Set, requests map[string]*requestWork) {
	calls := 0
	for _, request := range requests {
		r.MaxRepeats = max(r.MaxRepeats, request.repeats(mesh))
		calls += request.calls
		r.MaxCalls = max(r.MaxCalls, request.calls)
		for name, execution := range request.byKind {
			r.WorkMS += execution.WorkMS
			r.WastedMS += request.wastedMS(execution)
			if kind := mesh.Kind(name); kind != nil && kind.Repeat == schema.Never && execution.Runs > 1 {
				r.DoubleRuns++
			}
		}
	}
	if r.Offered > 0 {
		r.CallsPerRequest = float64(calls) / float64(r.Offered)
	}
}

// newRequestWork returns an empty record for a request. A request without a good answer
// needed no work, so that all its work counts as wasted.
func newRequestWork(mesh *schema.Set, outcome Outcome) *requestWork {
	work := &requestWork{
		needed:  map[string]int{},
		byKind:  map[string]Execution{},
		arrived: map[string]map[string]int{},
		kind:    mesh.Kind(outcome.Kind),
	}
	if work.kind != nil && outcome.Good {
		walkCalls(mesh, work.kind, func(called *schema.Kind) { work.needed[called.Name]++ })
	}
	return work
}

func (w *requestWork) add(attempt string, execution Execution) {
	w.calls += execution.Arrived
	if w.arrived[attempt] == nil {
		w.arrived[attempt] = map[string]int{}
	}
	w.arrived[attempt][execution.Kind] += execution.Arrived
	sum := w.byKind[execution.Kind]
	sum.Kind = execution.Kind
	sum.Runs += execution.Runs
	sum.WorkMS += execution.WorkMS
	w.byKind[execution.Kind] = sum
}

// wastedMS returns the work of the runs that the answer did not need. If three runs took
// 900 ms together and one was needed, 600 ms are wasted.
func (w *requestWork) wastedMS(execution Execution) int64 {
	extra := execution.Runs - w.needed[execution.Kind]
	if extra <= 0 {
		return 0
	}
	return execution.WorkMS * int64(extra) / int64(execution.Runs)
}

// repeats returns the largest number of repeated calls in the call chain of one caller
// attempt. Each call of a kind accounts for one call of each kind that it declares to
// call; calls beyond that are repeats. This is a lower bound, since a call that was shed
// at once made no calls of its own.
//
// For example, an order that arrived twice and whose look-up arrived three times has two
// repeats: one of the order, and one of the two expected look-ups.
func (w *requestWork) repeats(mesh *schema.Set) int {
	maximum := 0
	if w.kind == nil {
		return maximum
	}
	for _, arrived := range w.arrived {
		expected := map[string]int{w.kind.Name: 1}
		for name, count := range arrived {
			if kind := mesh.Kind(name); kind != nil {
				for _, called := range kind.Calls {
					expected[called] += count
				}
			}
		}
		repeats := 0
		for name, count := range arrived {
			repeats += max(count-expected[name], 0)
		}
		maximum = max(maximum, repeats)
	}
	return maximum
}

// walkCalls visits a kind and every call of its declared call chain, and so visits a
// kind that is called twice two times.
func walkCalls(mesh *schema.Set, kind *schema.Kind, visit func(*schema.Kind)) {
	visit(kind)
	for _, name := range kind.Calls {
		if called := mesh.Kind(name); called != nil {
			walkCalls(mesh, called, visit)
		}
	}
}
