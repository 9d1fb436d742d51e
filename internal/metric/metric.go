// Package metric defines the metrics of a node.
package metric

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Set holds all metrics of one node, in a registry of its own.
type Set struct {
	Registry *prometheus.Registry

	Requests      *prometheus.CounterVec
	Refusals      *prometheus.CounterVec
	Retries       *prometheus.CounterVec
	RetriesDenied *prometheus.CounterVec
	Redirects     *prometheus.CounterVec
	Attempts      *prometheus.CounterVec
	FateQueries   *prometheus.CounterVec
	Replayed      prometheus.Counter
	TargetStops   prometheus.Counter
	// Unanswered counts the calls that the target seems to have dropped.
	Unanswered   prometheus.Counter
	RelaySeconds *prometheus.HistogramVec
	// RequestSeconds covers a request as a whole, QueueSeconds the wait of an attempt
	// beside the target, and TargetSeconds the time that the target takes.
	RequestSeconds *prometheus.HistogramVec
	QueueSeconds   *prometheus.HistogramVec
	TargetSeconds  *prometheus.HistogramVec
	InFlight       prometheus.Gauge
	Limit          prometheus.Gauge
	Queued         prometheus.Gauge
	Offered        prometheus.Gauge
	Floor          prometheus.Gauge
	Revision       prometheus.Gauge
	Members        prometheus.Gauge
	HeldBytes      prometheus.Gauge
	TargetHealth   prometheus.Gauge
	RecordBytes    prometheus.Gauge
	// AttemptRecordsUsed is the used share of the capacity for records of attempts, and
	// TimerLate how late the node's own timers fire, which indicates a lack of processor
	// time.
	AttemptRecordsUsed prometheus.Gauge
	TimerLate          prometheus.Histogram
	// The following four metrics show values of this node's status.
	TargetStopped    *prometheus.GaugeVec
	UnownedKeyShare  *prometheus.GaugeVec
	PendingHandovers prometheus.Gauge
	PlatformSilent   prometheus.Gauge
	// StoreRestores counts how often the platform's store came back from an older copy.
	StoreRestores prometheus.Counter
	// Pressure is the input of the throttle, and Admitted its output.
	Pressure *DynamicGauge
	Admitted *DynamicGauge
	// QuotaShare is the admitted share of the requests of each team that is being limited.
	QuotaShare *DynamicGauge
	// QuotaReports counts the reports on quotas that this node answered, by its role.
	QuotaReports *prometheus.CounterVec
	// Left counts the calls sent to another data centre, and Slow shows the targets that
	// get fewer calls for being slow. Both have values only where routing asks for it.
	Left *prometheus.CounterVec
	Slow *DynamicGauge
	// RequestMemory is what requests and answers hold, RequestMemoryLimit the bound on it, and
	// RequestMemoryWanted what requests wait for.
	RequestMemory       *ScrapedGauge
	RequestMemoryLimit  prometheus.Gauge
	RequestMemoryWanted *ScrapedGauge
	// MemoryRefusals counts the requests refused because there was no memory for them, and
	// ConnectionsClosed the connections of callers that were closed to make room. The labels
	// have the values below only.
	MemoryRefusals    *prometheus.CounterVec
	ConnectionsClosed *prometheus.CounterVec
	// kinds holds each known kind and whether it is still declared.
	kinds map[string]bool
}

const namespace = "dandelionfield"

// Reasons of refusals that share their result code with others.
const (
	// Throttled is the reason of refusals by the throttle at the entry.
	Throttled = "throttled"
	// KeyMissing and KeyUnknown are the reasons of refusals for the key of a team.
	KeyMissing = "key_missing"
	KeyUnknown = "key_unknown"
)

// Origins of requests that are refused for lack of memory.
const (
	OriginCallers = "callers"
	OriginNodes   = "nodes"
)

// New returns the metrics of one node, registered together with the usual
// process and runtime collectors.
func New() *Set {
	s := &Set{Registry: prometheus.NewRegistry(), kinds: map[string]bool{}}
	s.Requests = counters("requests_total", "Requests answered to callers and targets, by kind and result.", "kind", "result")
	s.Refusals = counters("refusals_total", "Calls refused, by service and reason.", "service", "reason")
	s.Retries = counters("retries_total", "Repeated attempts sent, by service and the reason of the repeat.", "service", "reason")
	s.RetriesDenied = counters("retries_denied_total", "Repeats that were not sent, by service and what forbade them.", "service", "reason")
	s.Redirects = counters("moves_total", "Attempts sent on to another target after one that was not reached, by service.", "service")
	s.Attempts = counters("attempts_total", "Attempts sent to nodes, by service.", "service")
	s.FateQueries = counters("fate_asked_total", "Attempts whose connection was lost, by what the other node said.", "answer")
	s.Replayed = prometheus.NewCounter(options("replayed_total", "Answers taken from the record of an idempotency key."))
	s.TargetStops = prometheus.NewCounter(options("target_stops_total", "Times the target stopped answering while it held calls."))
	s.Unanswered = prometheus.NewCounter(options("unanswered_total", "Calls that the target did not answer while it answered later ones."))
	s.RelaySeconds = histograms("attempt_seconds", "Time from sending an attempt to its answer, by service.", "service")
	s.RequestSeconds = histograms("request_seconds", "Time from a request's arrival to its answer, by kind.", "kind")
	s.QueueSeconds = histograms("queue_seconds", "Time that an attempt waited beside the target, by kind.", "kind")
	s.TargetSeconds = histograms("target_seconds", "Time that the target took for an attempt, by kind.", "kind")
	s.InFlight = gauge("in_flight", "Calls that the target is at work on.")
	s.Limit = gauge("limit", "Calls that the target is given at the same time.")
	s.Queued = gauge("queued", "Calls that wait for the target.")
	s.Offered = gauge("offered_calls", "Calls that the target would be at work on if all that arrive were taken.")
	s.Floor = gauge("floor", "Order below which calls are refused.")
	s.Revision = gauge("revision", "Configuration revision in force.")
	s.Members = gauge("members", "Nodes in the view.")
	s.HeldBytes = gauge("held_bytes", "Bytes of answers held until whole.")
	s.TargetHealth = gauge("target_health", "1 when the target's health endpoint says so; decides nothing.")
	s.RecordBytes = gauge("record_bytes", "Bytes of idempotency and attempt records.")
	s.AttemptRecordsUsed = gauge("attempt_records_used", "Used share of the room for records of attempts; at 1 attempts are refused.")
	s.TimerLate = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      "timer_late_seconds",
		Help:      "How late the node's timers fire; late ones tell of a lack of processor time.",
		Buckets:   prometheus.ExponentialBuckets(0.001, 2, 11),
	})
	s.TargetStopped = gauges("target_stopped", "1 while the target has stopped, by its service.", "service")
	s.UnownedKeyShare = gauges("unowned_key_share", "Share of fresh idempotency keys without a living owner, of the node's own service.", "service")
	s.PendingHandovers = gauge("pending_handovers", "Handovers taken over that the owner plan does not show yet.")
	s.PlatformSilent = gauge("platform_silent_seconds", "Time since the platform last answered; 0 while it answers.")
	s.StoreRestores = prometheus.NewCounter(options("store_restores_total", "Times the platform's store came back from an older copy."))
	s.Pressure = newDynamicGauge("service_pressure", "Load offered to a service over what it takes, as far as this node has heard of late; above 1 it is full.", "service")
	s.Admitted = newDynamicGauge("admitted_share", "Share of the requests of a kind that this node lets in.", "kind")
	s.QuotaShare = newDynamicGauge("quota_share", "Share of the requests of a team that its quota admits, of the teams that are being limited.", "team")
	s.QuotaReports = counters("quota_reports_total", "Reports on quotas that this node answered, as coordinator or as collector of a group.", "role")
	s.Left = counters("calls_left_total", "Calls sent to another data centre, by service and reason.", "service", "reason")
	s.Slow = newDynamicGauge("target_relative_time", "Time that a target takes for a call relative to the others of its service, for targets that get fewer calls for it.", "target")
	s.RequestMemory = newScrapedGauge("request_memory_bytes", "Bytes held for requests and answers.")
	s.RequestMemoryLimit = gauge("request_memory_limit_bytes", "Bound on the bytes held for requests and answers; one large request may exceed it.")
	s.RequestMemoryWanted = newScrapedGauge("request_memory_wanted_bytes", "Bytes that requests wait for.")
	s.MemoryRefusals = counters("memory_refusals_total", "Requests refused for lack of memory, by who sent them: callers or nodes.", "origin")
	s.ConnectionsClosed = counters("connections_closed_total", "Connections of callers closed to make room, by reason.", "reason")
	s.register()
	return s
}

func (s *Set) register() {
	s.Registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		s.Requests, s.Refusals, s.Retries, s.RetriesDenied, s.Redirects, s.Attempts, s.FateQueries,
		s.Replayed, s.TargetStops, s.Unanswered, s.RelaySeconds, s.RequestSeconds, s.QueueSeconds, s.TargetSeconds, s.InFlight, s.Limit, s.Queued, s.Offered, s.Floor,
		s.Revision, s.Members, s.HeldBytes, s.TargetHealth, s.RecordBytes, s.AttemptRecordsUsed, s.TimerLate,
		s.TargetStopped, s.UnownedKeyShare, s.PendingHandovers, s.PlatformSilent, s.StoreRestores,
		s.Pressure, s.Admitted, s.QuotaShare, s.QuotaReports, s.Left, s.Slow,
		s.RequestMemory, s.RequestMemoryLimit, s.RequestMemoryWanted, s.MemoryRefusals, s.ConnectionsClosed,
	)
}

func options(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(options(name, help), labels)
}

// histograms returns a histogram with buckets from 1 ms to 8 s.
func histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   prometheus.ExponentialBuckets(0.001, 2, 14),
	}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}
