package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/quota"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// collectQuotaReport answers a report as collector of a group. Without valid shares, it waits
// for some, but no longer than the node waits for the answer.
func (n *Node) collectQuotaReport(ctx context.Context, report quota.Report) *relaypb.QuotaResponse {
	response, collected, timeout := n.answerAsCollector(report)
	if response != nil {
		return response
	}
	select {
	case <-collected:
	case <-n.clock.After(timeout):
	case <-ctx.Done():
	}
	if response, _, _ = n.answerAsCollector(report); response != nil {
		return response
	}
	return &relaypb.QuotaResponse{}
}

// answerAsCollector answers a report if there are valid shares. If not, it returns nil, a channel
// that is closed with the next answer to the collector, and how long to wait for that.
func (n *Node) answerAsCollector(report quota.Report) (response *relaypb.QuotaResponse, collected <-chan struct{}, timeout time.Duration) {
	q := n.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	now := n.clock.Now()
	q.collector.Hear(now, report)
	notify(q.collect)
	if !q.collector.Valid(now) {
		return nil, q.collected, quota.ReportSends * quota.ReportTimeout(q.admitting)
	}
	return packQuotaReply(q.collector.Answer(now, report)), nil, 0
}

// runCollector reports the use of quotas in a group to the coordinator, while nodes of the
// group report to this one.
func (n *Node) runCollector(ctx context.Context) {
	reporter := newQuotaReporter()
	reporter.collects = true
	for ctx.Err() == nil {
		if !n.quotas.collecting(n.clock.Now()) {
			select {
			case <-n.quotas.collect:
			case <-ctx.Done():
			}
			continue
		}
		n.reportCollected(ctx, reporter)
		jitter := 1 - reportJitter/2 + reportJitter*rand.Float64()
		n.pauseFor(ctx, time.Duration(jitter*float64(quota.CollectPeriod()))-n.clock.Now().Sub(reporter.reportedAt))
	}
}

// collecting reports whether nodes reported to the collector lately.
func (q *quotas) collecting(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Active() && q.collector.Active(now)
}

// reportCollected sends a report of the collector, and puts the answer in force.
func (n *Node) reportCollected(ctx context.Context, reporter *quotaReporter) {
	now := n.clock.Now()
	reporter.reportedAt = now
	q := n.quotas
	q.mu.Lock()
	candidates := reporter.candidates(now, q.ranked)
	report := q.collector.Report(now)
	q.mu.Unlock()
	reply, by, ok := n.askQuotas(ctx, reporter, candidates, report, quota.CollectTimeout())
	q.mu.Lock()
	defer q.mu.Unlock()
	if !ok {
		q.collector.Fail(n.clock.Now())
		return
	}
	q.collector.Ack(now, reply)
	close(q.collected)
	q.collected = make(chan struct{})
	n.logAnswerer(reporter, by, false)
}
