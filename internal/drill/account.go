package drill

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// recoveryBucket is the width of the intervals in which recovery is looked for.
	recoveryBucket = 500 * time.Millisecond
	// recoveryShare is how much of the goodput from before the trigger counts
	// as recovered.
	recoveryShare = 0.95
	// recoveryRun is how many intervals in a row have to be recovered, so that
	// one lucky interval is not taken for recovery.
	recoveryRun = 3

	// NotRecovered stands for a recovery time that the trace did not see.
	NotRecovered = -1.0

	longestLatency    = 10 * time.Minute
	significantDigits = 3
)

type (
	// Try is one attempt of a caller.
	Try struct {
		// Result is the name of the result code, or what the caller saw when
		// there was none, such as "timeout" or "http_503".
		Result string `json:"result"`
		Code   int    `json:"code"`
		Status int    `json:"status"`
		// At is when the attempt was sent, from the start of the trace.
		At time.Duration `json:"at_ns"`
		// RetryAfter is how long the answer told the caller to wait.
		RetryAfter time.Duration `json:"-"`
		// Torn is set for an answer that claimed success and was not whole.
		Torn bool `json:"torn,omitempty"`
		// Foreign is set for a whole answer that belongs to another request.
		Foreign bool `json:"foreign,omitempty"`
	}

	// Outcome is what became of one whole request.
	Outcome struct {
		ID    string        `json:"id"`
		Kind  string        `json:"kind"`
		Phase string        `json:"phase"`
		At    time.Duration `json:"at_ns"`
		// Took runs from the first attempt to the last answer.
		Took  time.Duration `json:"took_ns"`
		Good  bool          `json:"good"`
		Tries []Try         `json:"tries"`
	}

	// Line is the count of one kind in one phase.
	Line struct {
		Phase   string  `json:"phase"`
		Kind    string  `json:"kind"`
		Offered int     `json:"offered"`
		Good    int     `json:"good"`
		Share   float64 `json:"share"`
		// GoodPerSecond is the goodput over the length of the phase.
		GoodPerSecond float64 `json:"good_per_second"`
		P50MS         float64 `json:"p50_ms"`
		P99MS         float64 `json:"p99_ms"`
	}

	// Spell is the part of a run before, during or after the trigger.
	Spell struct {
		Name    string  `json:"name"`
		Seconds float64 `json:"seconds"`
		Offered int     `json:"offered"`
		// Good counts the requests that arrived in the spell and ended well,
		// whenever that was.
		Good            int `json:"good"`
		CriticalOffered int `json:"critical_offered"`
		CriticalGood    int `json:"critical_good"`
		// Kinds counts the requests of each kind.
		Kinds map[string]KindCount `json:"kinds"`
		// Demand is how many calls a second of each service the requests would
		// take, by the calls that their kinds declare, if all were good and
		// none repeated.
		Demand map[string]float64 `json:"demand"`
		// CriticalDemand is the part of Demand that critical requests make.
		CriticalDemand map[string]float64 `json:"critical_demand"`
		// Answered counts the good answers that came within the spell, to
		// requests of this spell or an earlier one.
		Answered int `json:"answered"`
		// Useful is how many calls a second went into those answers.
		Useful map[string]float64 `json:"useful"`
		// Capacity is how many calls a second each service can work on, by its
		// declared slots and the slow factor that is switched on.
		Capacity map[string]float64 `json:"capacity"`
	}

	// KindCount counts the requests of one kind that arrived in a spell.
	KindCount struct {
		Seconds float64 `json:"seconds"`
		Offered int     `json:"offered"`
		Good    int     `json:"good"`
	}

	// Report is what a run showed.
	Report struct {
		Spells   []Spell        `json:"spells"`
		Lines    []Line         `json:"lines"`
		Moments  []Moment       `json:"moments"`
		Offered  int            `json:"offered"`
		Good     int            `json:"good"`
		Refusals map[string]int `json:"refusals"`
		// TriesPerRequest is the mean number of attempts of callers.
		TriesPerRequest float64 `json:"tries_per_request"`
		// CallsPerRequest is the mean number of calls that reached targets.
		CallsPerRequest float64 `json:"calls_per_request"`
		MostCalls       int     `json:"most_calls"`
		// MostRepeats is the most calls that one attempt of a caller repeated
		// over its whole chain.
		MostRepeats int   `json:"most_repeats"`
		WorkMS      int64 `json:"work_ms"`
		// WastedMS is the work done for requests without a good answer, and
		// the work of runs that a good answer did not need.
		WastedMS    int64   `json:"wasted_ms"`
		RecoveryS   float64 `json:"recovery_s"`
		Torn        int     `json:"torn"`
		Foreign     int     `json:"foreign"`
		DoubleRuns  int     `json:"double_runs"`
		FalseNotRun int     `json:"false_not_run"`
		// LateP99MS is how late requests were sent after their time in the trace.
		// A host that is too busy for the load itself shows here.
		LateP99MS float64 `json:"late_p99_ms"`
		// Use is what the nodes took; nil when it was not measured.
		Use *NodeUse `json:"use,omitempty"`
		// Silent names the targets whose executions could not be read; what
		// they ran is missing from this report.
		Silent []string `json:"silent,omitempty"`
		// Missed says which of the trace's stated outcomes the run missed.
		Missed []string `json:"missed,omitempty"`
	}
)

// Account counts a run: the outcomes that callers saw against the executions
// that the targets recorded.
func Account(config LoadConfig, mesh *schema.Set, outcomes []Outcome, done []Executions) Report {
	report := Report{
		Refusals:  map[string]int{},
		Spells:    spells(config, mesh, outcomes),
		Moments:   moments(config.Phases, outcomes),
		RecoveryS: Recovery(outcomes, config.Trigger),
	}
	tries := 0
	for _, outcome := range outcomes {
		report.Offered++
		tries += len(outcome.Tries)
		if outcome.Good {
			report.Good++
		}
		for _, try := range outcome.Tries {
			report.addTry(try)
		}
	}
	report.Lines = lines(config.Phases, outcomes)
	report.addExecutions(mesh, outcomes, done)
	if report.Offered > 0 {
		report.TriesPerRequest = float64(tries) / float64(report.Offered)
	}
	report.Missed = config.Expect.missed(report)
	return report
}

// Recovery returns the seconds from the end of the trigger until goodput is
// back, or NotRecovered. Goodput is the share of arrivals of an interval that
// ended well, so that the random number of arrivals does not move it.
//
// With 100% good before the trigger, and 40%, 80%, 96%, 97% and 99% in the half
// seconds after its end, the recovery time is 1 s.
func Recovery(outcomes []Outcome, trigger Trigger) float64 {
	before, _ := shareGood(outcomes, 0, trigger.From)
	last := time.Duration(0)
	for _, outcome := range outcomes {
		last = max(last, outcome.At)
	}
	run, first := 0, time.Duration(0)
	for from := trigger.To; from <= last; from += recoveryBucket {
		now, seen := shareGood(outcomes, from, from+recoveryBucket)
		if !seen {
			continue
		}
		if now < recoveryShare*before {
			run = 0
			continue
		}
		if run == 0 {
			first = from
		}
		run++
		if run == recoveryRun {
			return (first - trigger.To).Seconds()
		}
	}
	return NotRecovered
}

// shareGood returns the share of requests that arrived in [from, to) and ended
// well, and whether any arrived.
func shareGood(outcomes []Outcome, from, to time.Duration) (float64, bool) {
	offered, good := 0, 0
	for _, outcome := range outcomes {
		if outcome.At < from || outcome.At >= to {
			continue
		}
		offered++
		if outcome.Good {
			good++
		}
	}
	if offered == 0 {
		return 0, false
	}
	return share(good, offered), true
}

func (r *Report) addTry(try Try) {
	if try.Torn {
		r.Torn++
	}
	if try.Foreign {
		r.Foreign++
	}
	if !try.good() {
		r.Refusals[try.Result]++
	}
}

func (t Try) good() bool {
	return t.Status == statusOK && !t.Torn && !t.Foreign
}

func (t Try) sent() bool {
	return t.Result != loadBound && t.Result != kindNotDeclared
}

// notRun says whether the answer told that this sending ran nowhere.
func (t Try) notRun() bool {
	code := result.Code(t.Code)
	return code.Family() == result.NotRun || code == result.RepeatRefused
}

// lines counts each kind in each phase, in the order of the phases and then of
// the names.
func lines(phases []Phase, outcomes []Outcome) []Line {
	type cell struct{ phase, kind string }
	found := map[cell]*Line{}
	latency := map[cell]*hdrhistogram.Histogram{}
	for _, outcome := range outcomes {
		at := cell{outcome.Phase, outcome.Kind}
		line := found[at]
		if line == nil {
			line = &Line{Phase: outcome.Phase, Kind: outcome.Kind}
			found[at] = line
			latency[at] = hdrhistogram.New(1, longestLatency.Microseconds(), significantDigits)
		}
		line.Offered++
		if outcome.Good {
			line.Good++
			_ = latency[at].RecordValue(outcome.Took.Microseconds())
		}
	}
	list := make([]Line, 0, len(found))
	for at, line := range found {
		index := slices.IndexFunc(phases, func(p Phase) bool { return p.Name == line.Phase })
		if index >= 0 {
			line.GoodPerSecond = float64(line.Good) / phases[index].Duration.Seconds()
		}
		line.Share = float64(line.Good) / float64(line.Offered)
		line.P50MS = milliseconds(latency[at].ValueAtQuantile(50))
		line.P99MS = milliseconds(latency[at].ValueAtQuantile(99))
		list = append(list, *line)
	}
	place := func(l Line) int {
		return slices.IndexFunc(phases, func(p Phase) bool { return p.Name == l.Phase })
	}
	slices.SortFunc(list, func(a, b Line) int {
		if place(a) != place(b) {
			return place(a) - place(b)
		}
		return strings.Compare(a.Kind, b.Kind)
	})
	return list
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / 1000
}
