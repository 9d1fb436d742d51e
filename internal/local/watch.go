package local

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/fate"
	"github.com/dandelionfield/dandelionfield/internal/metric"
)

// watch tells when the node itself, and not its target, is short of something: of
// processor time, or of room for records of attempts. Only Run uses it.
type watch struct {
	metrics *metric.Set
	log     hclog.Logger
	// latest is how late the latest timer of this second was.
	latest time.Duration
	behind bool
	// refused is how many attempts found no room up to the last look.
	refused int64
	full    bool
}

// behindAfter is how late a timer is on a node that lacks processor time.
const behindAfter = 100 * time.Millisecond

// timer takes in how late a timer fired.
func (w *watch) timer(late time.Duration) {
	w.metrics.TimerLate.Observe(max(late, 0).Seconds())
	w.latest = max(w.latest, late)
}

// look is called once a second, and logs what has changed.
func (w *watch) look(book fate.Stats, maxBytes int64) {
	w.metrics.BookUse.Set(float64(book.Bytes) / float64(max(maxBytes, 1)))
	refused := book.Refused - w.refused
	w.refused = book.Refused
	if full := refused > 0; full != w.full {
		w.full = full
		w.log.Warn("attempt_records_full", "full", full, "refused", refused,
			"entries", book.Entries, "running", book.Running, "bytes", book.Bytes, "max_bytes", maxBytes)
	}
	if behind := w.latest > behindAfter; behind != w.behind {
		w.behind = behind
		w.log.Warn("node_behind", "behind", behind, "late_ms", w.latest.Milliseconds())
	}
	w.latest = 0
}
