package bench

import (
	"fmt"
	"time"
)

// Expect holds the expectations of a trace; a zero field expects nothing. Every trace is
// also expected to have no torn, foreign or false "not run" answers, no double runs of
// what may not be repeated, and no target whose executions could not be read.
type Expect struct {
	// Recovery is the longest allowed time from the end of the trigger until goodput has
	// recovered.
	Recovery time.Duration `yaml:"recovery,omitempty"`
	// CriticalShare is the lowest allowed share of good critical requests during the
	// trigger, out of those that the capacity permits.
	CriticalShare float64 `yaml:"critical_share,omitempty"`
	// BottleneckShare is the lowest allowed share of what the bottleneck could process
	// during the trigger that went into good answers.
	BottleneckShare float64 `yaml:"bottleneck_share,omitempty"`
	// Repeats is the highest allowed number of repeated calls in the call chain of one
	// caller attempt.
	Repeats int `yaml:"repeats,omitempty"`
}

// missed returns one line for each expectation that the report misses.
func (e Expect) missed(r Report) []string {
	var lines []string
	check := func(failed bool, format string, args ...any) {
		if failed {
			lines = append(lines, fmt.Sprintf(format, args...))
		}
	}
	check(r.Torn > 0, "torn answers: %d", r.Torn)
	check(r.Foreign > 0, "foreign answers: %d", r.Foreign)
	check(r.DoubleRuns > 0, "double executions: %d", r.DoubleRuns)
	check(r.FalseNotRun > 0, "false not run: %d", r.FalseNotRun)
	check(len(r.Unreachable) > 0, "targets that were not asked what they ran: %d", len(r.Unreachable))
	tooSlow := r.RecoveryS == NotRecovered || r.RecoveryS > e.Recovery.Seconds()
	check(e.Recovery > 0 && tooSlow, "recovery: %s, at most %s is stated", r.formatRecovery(), e.Recovery)
	during := r.window("during")
	critical := during.criticalGoodShare()
	check(e.CriticalShare > 0 && critical < e.CriticalShare,
		"critical requests during the trigger: %.3f, at least %.3f is stated", critical, e.CriticalShare)
	bottleneck := during.bottleneckShare()
	check(e.BottleneckShare > 0 && bottleneck < e.BottleneckShare,
		"share of the bottleneck: %.3f, at least %.3f is stated", bottleneck, e.BottleneckShare)
	check(e.Repeats > 0 && r.MaxRepeats > e.Repeats,
		"repeats of one attempt: %d, at most %d is stated", r.MaxRepeats, e.Repeats)
	return lines
}

// ratio returns part/whole, and 1 when whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
