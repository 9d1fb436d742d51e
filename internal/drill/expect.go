package drill

import (
	"fmt"
	"time"
)

// Expect holds the stated outcomes of a trace; a zero value states nothing.
// Whole and truthful answers and at most one run of what may not repeat are
// expected of every trace.
type Expect struct {
	// Recovery is the longest time from the end of the trigger until goodput is back.
	Recovery time.Duration `yaml:"recovery,omitempty"`
	// CriticalShare is the least share of critical requests that are good
	// during the trigger, of those that the capacity allows.
	CriticalShare float64 `yaml:"critical_share,omitempty"`
	// BottleneckShare is the least share of what the bottleneck could carry
	// during the trigger that went into good requests.
	BottleneckShare float64 `yaml:"bottleneck_share,omitempty"`
	// Repeats is the most repeats of one attempt over its whole chain.
	Repeats int `yaml:"repeats,omitempty"`
}

// missed returns a line for every stated outcome that the report misses.
func (e Expect) missed(r Report) []string {
	var lines []string
	miss := func(missed bool, format string, args ...any) {
		if missed {
			lines = append(lines, fmt.Sprintf(format, args...))
		}
	}
	miss(r.Torn > 0, "torn answers: %d", r.Torn)
	miss(r.Foreign > 0, "foreign answers: %d", r.Foreign)
	miss(r.DoubleRuns > 0, "double executions: %d", r.DoubleRuns)
	miss(r.FalseNotRun > 0, "false not run: %d", r.FalseNotRun)
	miss(len(r.Silent) > 0, "targets that were not asked what they ran: %d", len(r.Silent))
	late := r.RecoveryS == NotRecovered || r.RecoveryS > e.Recovery.Seconds()
	miss(e.Recovery > 0 && late, "recovery: %s, at most %s is stated", r.recovery(), e.Recovery)
	during := r.spell("during")
	critical := during.criticalGoodShare()
	miss(e.CriticalShare > 0 && critical < e.CriticalShare,
		"critical requests during the trigger: %.3f, at least %.3f is stated", critical, e.CriticalShare)
	bottleneck := during.bottleneckShare()
	miss(e.BottleneckShare > 0 && bottleneck < e.BottleneckShare,
		"share of the bottleneck: %.3f, at least %.3f is stated", bottleneck, e.BottleneckShare)
	miss(e.Repeats > 0 && r.MostRepeats > e.Repeats,
		"repeats of one attempt: %d, at most %d is stated", r.MostRepeats, e.Repeats)
	return lines
}

// share returns part/whole; 1 when there was nothing to share.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
