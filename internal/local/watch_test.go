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
