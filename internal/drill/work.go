package drill

import "github.com/dandelionfield/dandelionfield/pkg/schema"

// requestWork is what all targets did for one whole request.
type requestWork struct {
	// needed is how many runs of each kind its answer takes.
	needed map[string]int
	byKind map[string]Execution
	// arrived counts the calls at targets by attempt and kind.
	arrived map[string]map[string]int
	calls   int
	kind    *schema.Kind
}

// addExecutions counts what ran. A request of a kind that may never repeat ran
// double when its work began twice under any of its attempts. An attempt whose
// answer said "not run" was false when any target began work under its name.
func (r *Report) addExecutions(mesh *schema.Set, outcomes []Outcome, done []Executions) {
	requests := make(map[string]*requestWork, len(outcomes))
	refused := map[string]bool{}
	for _, outcome := range outcomes {
		requests[outcome.ID] = newRequestWork(mesh, outcome)
		for i, try := range outcome.Tries {
			if try.notRun() {
				refused[attemptName(outcome.ID, i)] = true
			}
		}
	}
	ranFalsely := map[string]bool{}
	for _, target := range done {
		for attempt, executions := range target.ByRequest {
			request := requests[baseRequest(attempt)]
			if request == nil {
				continue
			}
			for _, execution := range executions {
				request.add(attempt, execution)
				if refused[attempt] && execution.Runs > 0 {
					ranFalsely[attempt] = true
				}
			}
		}
	}
	r.FalseNotRun = len(ranFalsely)
	r.addWork(mesh, requests)
}

func (r *Report) addWork(mesh *schema.Set, requests map[string]*requestWork) {
	calls := 0
	for _, request := range requests {
		r.MostRepeats = max(r.MostRepeats, request.repeats(mesh))
		calls += request.calls
		r.MostCalls = max(r.MostCalls, request.calls)
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

// newRequestWork returns the record of a request. One without a good answer
// needed no work at all.
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

// wastedMS returns the work of the runs that the answer did not need. Of three
// runs that took 900 ms together, where one was needed, 600 ms are wasted.
func (w *requestWork) wastedMS(execution Execution) int64 {
	extra := execution.Runs - w.needed[execution.Kind]
	if extra <= 0 {
		return 0
	}
	return execution.WorkMS * int64(extra) / int64(execution.Runs)
}

// repeats returns the most calls that one attempt of the caller repeated over
// the whole chain. Each call of a kind accounts for one call of each kind that
// it declares to call; what arrived beyond that was a repeat. A call that was
// shed at once made none of its own, so there may have been more repeats.
//
// An order that arrived twice, and made its look-up three times in all, repeated
// twice: itself once, and one of the two look-ups.
func (w *requestWork) repeats(mesh *schema.Set) int {
	most := 0
	if w.kind == nil {
		return most
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
		most = max(most, repeats)
	}
	return most
}

// walkCalls visits a kind and every call down its declared chain, a kind that is
// called twice twice.
func walkCalls(mesh *schema.Set, kind *schema.Kind, visit func(*schema.Kind)) {
	visit(kind)
	for _, name := range kind.Calls {
		if called := mesh.Kind(name); called != nil {
			walkCalls(mesh, called, visit)
		}
	}
}
