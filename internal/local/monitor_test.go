package local

import (
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/dedup"
	"github.com/dandelionfield/dandelionfield/internal/metric"
)

// A node that is short of CPU time or of memory for attempt records logs the start and the
// end of the shortage, not every second of it.
func TestShortageStartAndEndAreLogged(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	m := &selfMonitor{metrics: metric.New(), log: hclog.New(&hclog.LoggerOptions{Output: &out})}
	lines := func() int { return strings.Count(out.String(), "\n") }
	m.observeTimer(time.Millisecond)
	m.check(dedup.Stats{}, 100)
	is.Equal(lines(), 0)
	for second := range 3 {
		m.observeTimer(200 * time.Millisecond)
		m.check(dedup.Stats{Refused: int64(second + 1), Bytes: 100}, 100)
	}
	is.Equal(lines(), 2)
	is.True(strings.Contains(out.String(), "attempt_records_full: full=true refused=1"))
	is.True(strings.Contains(out.String(), "node_behind: behind=true late_ms=200"))
	m.check(dedup.Stats{Refused: 3}, 100)
	is.Equal(lines(), 4)
	is.True(strings.Contains(out.String(), "attempt_records_full: full=false"))
	is.True(strings.Contains(out.String(), "node_behind: behind=false"))
}

// The usage log is written once per period, with the work done in it, so that the cost of
// calls can be told from the idle cost.
func TestUsageIsLoggedOncePerPeriod(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	m := &selfMonitor{metrics: metric.New(), log: hclog.New(&hclog.LoggerOptions{Output: &out})}
	start := time.Unix(1_800_000_000, 0)
	m.reportUsage(start, 5, 7)
	is.Equal(out.String(), "") // there is no earlier report to compare with
	for second := range 20 {
		m.reportUsage(start.Add(time.Duration(second+1)*time.Second), 5+int64(second), 7+2*int64(second))
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "node_usage: period_ms=10000 processor_ms="))
	is.True(strings.Contains(lines[0], "attempts=9 requests=18"))
	is.True(strings.Contains(lines[1], "attempts=10 requests=20"))
}
