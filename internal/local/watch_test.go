package local

import (
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/fate"
	"github.com/dandelionfield/dandelionfield/internal/metric"
)

// A node that is short of processor time or of room for records says so when it
// begins and when it ends, not each second.
func TestShortageIsLoggedOnceEachWay(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	w := &watch{metrics: metric.New(), log: hclog.New(&hclog.LoggerOptions{Output: &out})}
	lines := func() int { return strings.Count(out.String(), "\n") }
	w.timer(time.Millisecond)
	w.look(fate.Stats{}, 100)
	is.Equal(lines(), 0)
	for second := range 3 {
		w.timer(200 * time.Millisecond)
		w.look(fate.Stats{Refused: int64(second + 1), Bytes: 100}, 100)
	}
	is.Equal(lines(), 2)
	is.True(strings.Contains(out.String(), "attempt_records_full: full=true refused=1"))
	is.True(strings.Contains(out.String(), "node_behind: behind=true late_ms=200"))
	w.look(fate.Stats{Refused: 3}, 100)
	is.Equal(lines(), 4)
	is.True(strings.Contains(out.String(), "attempt_records_full: full=false"))
	is.True(strings.Contains(out.String(), "node_behind: behind=false"))
}

// The cost of calls can be told from that of the time that passes, and the part of the
// collector from the rest.
func TestUsageIsLoggedOncePerPeriod(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	w := &watch{metrics: metric.New(), log: hclog.New(&hclog.LoggerOptions{Output: &out})}
	began := time.Unix(1_800_000_000, 0)
	w.report(began, 5, 7)
	is.Equal(out.String(), "") // nothing to compare with yet
	for second := range 20 {
		w.report(began.Add(time.Duration(second+1)*time.Second), 5+int64(second), 7+2*int64(second))
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "node_usage: period_ms=10000 processor_ms="))
	is.True(strings.Contains(lines[0], "attempts=9 requests=18"))
	is.True(strings.Contains(lines[1], "attempts=10 requests=20"))
}
