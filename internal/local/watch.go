package local

import (
	"runtime/metrics"
	"syscall"
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
	// used is what the process had used at the last report, and reported when that was.
	used     usage
	reported time.Time
}

// usage is the processor time that the process has used and what for.
type usage struct {
	processor time.Duration
	// collector is the part of the garbage collector.
	collector time.Duration
	// attempts is how many were carried to the target, and requests how many were taken
	// from callers and from the target.
	attempts int64
	requests int64
}

const (
	// usageEvery is the time between two reports of what the process uses.
	usageEvery = 10 * time.Second

	collectorMetric = "/cpu/classes/gc/total:cpu-seconds"
)

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

// report logs, every usageEvery, what the process has used since the last report, so
// that the cost of calls can be told from that of the time that passes.
func (w *watch) report(now time.Time, attempts, requests int64) {
	if !w.reported.IsZero() && now.Sub(w.reported) < usageEvery {
		return
	}
	used := usage{processor: processorTime(), collector: collectorTime(), attempts: attempts, requests: requests}
	if !w.reported.IsZero() {
		w.log.Info("node_usage",
			"period_ms", now.Sub(w.reported).Milliseconds(),
			"processor_ms", (used.processor - w.used.processor).Milliseconds(),
			"collector_ms", (used.collector - w.used.collector).Milliseconds(),
			"attempts", attempts-w.used.attempts,
			"requests", requests-w.used.requests,
		)
	}
	w.used = used
	w.reported = now
}

// processorTime returns the processor time of this process, 0 where the system does
// not tell it.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// collectorTime returns the processor time of the garbage collector as the runtime
// estimates it.
func collectorTime() time.Duration {
	samples := []metrics.Sample{{Name: collectorMetric}}
	metrics.Read(samples)
	return time.Duration(samples[0].Value.Float64() * float64(time.Second))
}
