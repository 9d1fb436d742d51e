package local

import (
	"runtime/metrics"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/dedup"
	"github.com/dandelionfield/dandelionfield/internal/metric"
)

// selfMonitor detects when the node itself, rather than its target, lacks CPU time or
// memory for attempt records. It is used by the goroutine of Run only.
type selfMonitor struct {
	metrics *metric.Set
	log     hclog.Logger
	// maxLate is the largest delay of a timer since the last check.
	maxLate time.Duration
	behind  bool
	// refused is the number of attempts that had been rejected for lack of memory at the
	// last check.
	refused int64
	full    bool
	// lastUsage is the usage at the last report, and lastReport the time of that report.
	lastUsage  usage
	lastReport time.Time
}

// usage is the CPU time that the process has used so far, and the work done with it.
type usage struct {
	cpu time.Duration
	// gc is the share of the garbage collector in cpu.
	gc time.Duration
	// attempts counts the attempts that the node has started, and requests the requests
	// that it has received from callers and from the target.
	attempts int64
	requests int64
}

const (
	// usagePeriod is the time between two usage reports.
	usagePeriod = 10 * time.Second

	gcCPUMetric = "/cpu/classes/gc/total:cpu-seconds"
)

// lateThreshold is the timer delay above which the node counts as short of CPU time.
const lateThreshold = 100 * time.Millisecond

// observeTimer records by how much a timer fired late.
func (m *selfMonitor) observeTimer(late time.Duration) {
	m.metrics.TimerLate.Observe(max(late, 0).Seconds())
	m.maxLate = max(m.maxLate, late)
}

// check logs each start and end of a shortage. It is called once a second.
func (m *selfMonitor) check(records dedup.Stats, maxBytes int64) {
	m.metrics.AttemptRecordsUsed.Set(float64(records.Bytes) / float64(max(maxBytes, 1)))
	refused := records.Refused - m.refused
	m.refused = records.Refused
	if full := refused > 0; full != m.full {
		m.full = full
		m.log.Warn("attempt_records_full", "full", full, "refused", refused,
			"entries", records.Entries, "running", records.Running, "bytes", records.Bytes, "max_bytes", maxBytes)
	}
	if behind := m.maxLate > lateThreshold; behind != m.behind {
		m.behind = behind
		m.log.Warn("node_behind", "behind", behind, "late_ms", m.maxLate.Milliseconds())
	}
	m.maxLate = 0
}

// reportUsage logs every usagePeriod what the process has used since the last report,
// together with the work done, so that the cost per call can be told from the idle cost.
func (m *selfMonitor) reportUsage(now time.Time, attempts, requests int64) {
	if !m.lastReport.IsZero() && now.Sub(m.lastReport) < usagePeriod {
		return
	}
	used := usage{cpu: cpuTime(), gc: gcTime(), attempts: attempts, requests: requests}
	if !m.lastReport.IsZero() {
		m.log.Info("node_usage",
			"period_ms", now.Sub(m.lastReport).Milliseconds(),
			"processor_ms", (used.cpu - m.lastUsage.cpu).Milliseconds(),
			"collector_ms", (used.gc - m.lastUsage.gc).Milliseconds(),
			"attempts", attempts-m.lastUsage.attempts,
			"requests", requests-m.lastUsage.requests,
		)
	}
	m.lastUsage = used
	m.lastReport = now
}

// cpuTime returns the CPU time that this process has used, or 0 if the system does not
// report it.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// gcTime returns the CPU time that the garbage collector has used, as estimated by the
// runtime.
func gcTime() time.Duration {
	samples := []metrics.Sample{{Name: gcCPUMetric}}
	metrics.Read(samples)
	return time.Duration(samples[0].Value.Float64() * float64(time.Second))
}
