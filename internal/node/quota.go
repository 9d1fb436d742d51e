package node

import (
	"cmp"
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/quota"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// quotas holds this node's limiter, and its coordinator and collector for the case that
	// others report to it.
	quotas struct {
		mu          sync.Mutex
		limiter     *quota.Limiter
		coordinator *quota.Coordinator
		collector   *quota.Collector
		// ranked are the members in service, in the order in which they coordinate. Group are
		// those to which this node reports, in their order.
		ranked []member.Member
		group  []member.Member
		// admitting is the number of members that admit requests.
		admitting int
		// groups returns the number of groups by the number of members, see quota.Groups.
		groups func(members int) int

		// changed is signalled when teams with a limit may have been declared, and urgent
		// when the next report should be sent soon.
		changed chan struct{}
		urgent  chan struct{}
		// collect is signalled when the collector has heard from a node and has to report.
		// Collected is closed, and replaced, with each answer to its reports.
		collect   chan struct{}
		collected chan struct{}
	}

	// quotaReporter is the state of a loop that reports.
	quotaReporter struct {
		// suspects holds, by incarnation, until when a node that did not answer is left out
		// as long as others can be asked. An entry stays for doubtPeriod more, in which a
		// collector sends that node a report only once.
		suspects   map[string]time.Time
		answerer   string
		reportedAt time.Time
		collects   bool
		// roundTrips holds, by incarnation, how long the last answer took.
		roundTrips map[string]time.Duration
	}
)

const (
	// groupSizeTeam stands in a report for the number of nodes of a collector's group. No
	// declared team has an empty name.
	groupSizeTeam = ""
	// suspectPeriod is how long a node that did not answer is left out of the candidates.
	suspectPeriod = 3 * time.Second
	// doubtPeriod is how long it is remembered afterwards that the node did not answer.
	doubtPeriod = time.Minute
	// maxRoundTrips bounds the nodes whose time to an answer is remembered.
	maxRoundTrips = 64
	// reportJitter is the width of the random change of the time between two reports, as a
	// part of the period. It keeps the nodes from reporting all at once.
	reportJitter = 0.2
	// urgentPeriodDivisor divides the period into the least time between two reports.
	urgentPeriodDivisor = 4
	// permille is the unit of shares in messages.
	permille = 1000
)

func newQuotas(incarnation string, now time.Time) *quotas {
	return &quotas{
		limiter:     quota.NewLimiter(incarnation, now, rand.Float64),
		coordinator: quota.NewCoordinator(rand.Float64),
		changed:     make(chan struct{}, 1),
		urgent:      make(chan struct{}, 1),
		collector:   quota.NewCollector(incarnation, now, rand.Float64),
		groups:      quota.Groups,
		collect:     make(chan struct{}, 1),
		collected:   make(chan struct{}),
	}
}

// setLimits sets the limits of the teams that have a declared rate.
func (q *quotas) setLimits(teams []schema.Team) {
	limits := make(map[string]quota.Limit, len(teams))
	for _, team := range teams {
		if team.Rate > 0 {
			limits[team.Name] = quota.Limit{Rate: team.Rate, Burst: team.Burst}
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetLimits(limits)
	q.coordinator.SetLimits(limits)
	q.collector.SetLimits(limits)
	notify(q.changed)
}

// setMembers sets the members that coordinate and admit requests. All nodes with equal views
// get the same order. It depends on the incarnation, so that a node that restarts often does
// not coordinate again each time.
func (q *quotas) setMembers(self string, all []member.Member) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.limiter.Active() {
		return
	}
	var inService []member.Member
	admitting := 0
	for _, m := range all {
		switch m.State {
		case member.Active, member.Cold:
			inService = append(inService, m)
			admitting++
		case member.Leaving:
			admitting++
		}
	}
	slices.SortFunc(inService, func(a, b member.Member) int {
		return cmp.Compare(xxhash.Sum64String(a.Incarnation), xxhash.Sum64String(b.Incarnation))
	})
	q.ranked = inService
	q.group = reportGroup(self, inService, q.groups(admitting))
	q.admitting = admitting
	q.limiter.SetMembers(admitting)
	q.coordinator.SetMembers(admitting)
	q.collector.SetMembers(admitting)
}

// reportGroup returns the members to which this node reports, in their order. These are those
// of its group, and all where there are no groups. The first of all members coordinates, and
// collects for a group only if it is alone in it.
func reportGroup(self string, ranked []member.Member, groups int) []member.Member {
	if groups == 0 {
		return ranked
	}
	own := xxhash.Sum64String(self) % uint64(groups)
	var group []member.Member
	for i, m := range ranked {
		if i > 0 && xxhash.Sum64String(m.Incarnation)%uint64(groups) == own {
			group = append(group, m)
		}
	}
	if len(group) == 0 {
		return ranked[:min(len(ranked), 1)]
	}
	return group
}

// limitedShares returns the admitted shares of the teams that are being limited.
func (q *quotas) limitedShares() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.LimitedShares()
}

func (q *quotas) returnUnit(team string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Return(team)
}

// admitTeam decides on a request of a team by its quota.
func (n *Node) admitTeam(team string) quota.Verdict {
	q := n.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	verdict := q.limiter.Admit(n.clock.Now(), team)
	if verdict.Urgent {
		notify(q.urgent)
	}
	return verdict
}

func newQuotaReporter() *quotaReporter {
	return &quotaReporter{suspects: map[string]time.Time{}, roundTrips: map[string]time.Duration{}}
}

// runQuotas reports the use of quotas until the context ends. Without a team that has a
// limit, it only waits for one.
func (n *Node) runQuotas(ctx context.Context) {
	reporter := newQuotaReporter()
	for ctx.Err() == nil {
		active, inUse, memberCount := n.quotas.state()
		if !active {
			select {
			case <-n.quotas.changed:
			case <-ctx.Done():
			}
			continue
		}
		period := quota.Period(memberCount)
		wait := time.Duration((1 - reportJitter/2 + reportJitter*rand.Float64()) * float64(period))
		if reporter.reportedAt.IsZero() && n.active.Load() {
			// A node without shares admits hardly anything.
			wait = readyPeriod
		}
		if !inUse {
			wait = min(wait, quota.IdlePeriod(memberCount)/2)
		}
		select {
		case <-n.clock.After(wait):
		case <-n.quotas.urgent:
			n.pauseFor(ctx, period/urgentPeriodDivisor-n.clock.Now().Sub(reporter.reportedAt))
		case <-ctx.Done():
			return
		}
		n.reportQuotas(ctx, reporter)
	}
}

func (n *Node) pauseFor(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-n.clock.After(d):
	case <-ctx.Done():
	}
}

func (q *quotas) state() (active, inUse bool, memberCount int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Active(), q.limiter.InUse(), q.admitting
}

// reportQuotas sends a report if one is due, and puts the answer in force.
func (n *Node) reportQuotas(ctx context.Context, reporter *quotaReporter) {
	now := n.clock.Now()
	q := n.quotas
	q.mu.Lock()
	candidates := reporter.candidates(now, q.group)
	idle := !q.limiter.InUse() && now.Sub(reporter.reportedAt) < quota.IdlePeriod(q.admitting)-quota.Period(q.admitting)/2
	if idle || len(candidates) == 0 || !n.active.Load() {
		q.mu.Unlock()
		return
	}
	report := q.limiter.Report(now)
	timeout := quota.ReportTimeout(q.admitting)
	q.mu.Unlock()
	reporter.reportedAt = now
	reply, by, ok := n.askQuotas(ctx, reporter, candidates, report, timeout)
	q.mu.Lock()
	defer q.mu.Unlock()
	if !ok {
		q.limiter.Fail(n.clock.Now())
		return
	}
	q.limiter.Ack(now, reply)
	n.logAnswerer(reporter, by, q.groups(q.admitting) > 0)
}

// askQuotas sends a report to the candidates in turn, until one answers.
func (n *Node) askQuotas(ctx context.Context, reporter *quotaReporter, candidates []member.Member, report quota.Report, timeout time.Duration) (quota.Reply, member.Member, bool) {
	for _, candidate := range candidates {
		wait, sends := reporter.pace(candidate.Incarnation, timeout)
		reply, took, ok := n.sendQuotaReport(ctx, candidate, report, wait, sends)
		if ok {
			delete(reporter.suspects, candidate.Incarnation)
			reporter.learnRoundTrip(candidate.Incarnation, took)
			return reply, candidate, true
		}
		reporter.suspects[candidate.Incarnation] = n.clock.Now().Add(suspectPeriod)
	}
	return quota.Reply{}, member.Member{}, false
}

// pace returns how long to wait for an answer before a report is sent again, and how often it
// is sent. Where answers take longer than the timeout, as between regions, a report is sent
// less often in the same time. A collector asks a node that did not answer before only once.
func (r *quotaReporter) pace(incarnation string, timeout time.Duration) (wait time.Duration, sends int) {
	whole := quota.ReportSends * timeout
	roundTrip, known := r.roundTrips[incarnation]
	usual := roundTrip * 3 / 2
	if _, doubtful := r.suspects[incarnation]; doubtful && r.collects {
		if !known {
			return whole, 1
		}
		return min(max(usual, timeout), whole), 1
	}
	wait = min(max(usual, timeout), whole/2)
	return wait, int(whole / wait)
}

func (r *quotaReporter) learnRoundTrip(incarnation string, took time.Duration) {
	if _, known := r.roundTrips[incarnation]; !known && len(r.roundTrips) >= maxRoundTrips {
		clear(r.roundTrips)
	}
	r.roundTrips[incarnation] = took
}

// candidates returns the members to send a report to in turn, without those that did not
// answer lately.
func (r *quotaReporter) candidates(now time.Time, members []member.Member) []member.Member {
	maps.DeleteFunc(r.suspects, func(_ string, until time.Time) bool { return now.Sub(until) >= doubtPeriod })
	var candidates, suspected []member.Member
	for _, m := range members {
		if now.Before(r.suspects[m.Incarnation]) {
			suspected = append(suspected, m)
			continue
		}
		candidates = append(candidates, m)
		if len(candidates) == quota.ReportNodes {
			break
		}
	}
	if len(candidates) == 0 {
		return suspected[:min(len(suspected), 1)]
	}
	return candidates
}

// logAnswerer logs a change of the node that answers reports: the coordinator, or the collector.
func (n *Node) logAnswerer(reporter *quotaReporter, answerer member.Member, isCollector bool) {
	if reporter.answerer == answerer.Incarnation {
		return
	}
	reporter.answerer = answerer.Incarnation
	if isCollector {
		n.log.Info("quota_collector", "node", answerer.Name, "incarnation", answerer.Incarnation)
		return
	}
	n.log.Info("quota_coordinator", "node", answerer.Name, "incarnation", answerer.Incarnation)
}

// sendQuotaReport sends a report to a member, or handles it here if this node is that member.
// A report without an answer in time is sent again: nodes that change the coordinator for
// a single slow answer would have different ones, each with a part of the limits.
func (n *Node) sendQuotaReport(ctx context.Context, to member.Member, report quota.Report, wait time.Duration, sends int) (reply quota.Reply, took time.Duration, ok bool) {
	request := packQuotaReport(report)
	if to.Incarnation == n.incarnation {
		response := n.handleQuotaReport(ctx, request)
		return unpackQuotaReply(response), 0, response.Coordinates
	}
	type answer struct {
		response *relaypb.QuotaResponse
		took     time.Duration
	}
	answers := make(chan answer, sends)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(sends)*wait)
	defer cancel()
	pending := 0
	for range sends {
		pending++
		go func() {
			sentAt := n.clock.Now()
			response := n.callQuota(ctx, to.RelayAddress, request)
			answers <- answer{response, n.clock.Now().Sub(sentAt)}
		}()
		select {
		case a := <-answers:
			pending--
			if a.response != nil {
				return unpackQuotaReply(a.response), a.took, a.response.Coordinates
			}
		case <-n.clock.After(wait):
		}
	}
	for ; pending > 0; pending-- {
		if a := <-answers; a.response != nil {
			return unpackQuotaReply(a.response), a.took, a.response.Coordinates
		}
	}
	n.client.Drop(to.RelayAddress)
	return quota.Reply{}, 0, false
}

// callQuota returns the answer to a report, or nil if there is none.
func (n *Node) callQuota(ctx context.Context, address string, request *relaypb.QuotaRequest) *relaypb.QuotaResponse {
	response, err := n.client.ControlClient(address).Quota(ctx, connect.NewRequest(request))
	if err != nil {
		n.log.Debug("quota_report_failed", "address", address, "error", err)
		return nil
	}
	return response.Msg
}

// handleQuotaReport answers a report as coordinator, or as collector of a group. Any node that
// is in service and knows of limits may do either: each coordinator allocates only the part of
// the nodes whose reports reach it.
func (n *Node) handleQuotaReport(ctx context.Context, request *relaypb.QuotaRequest) *relaypb.QuotaResponse {
	if !n.active.Load() || n.leaving.Load() || !n.members.Ready() {
		return &relaypb.QuotaResponse{}
	}
	report := unpackQuotaReport(request)
	if response := n.coordinateQuotas(report); response != nil {
		return response
	}
	n.metrics.QuotaReports.WithLabelValues("collector").Inc()
	return n.collectQuotaReport(ctx, report)
}

// coordinateQuotas answers a report as coordinator. It returns nil if it is one to a collector.
func (n *Node) coordinateQuotas(report quota.Report) *relaypb.QuotaResponse {
	q := n.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case !q.limiter.Active():
		return &relaypb.QuotaResponse{}
	case report.Nodes == 0 && q.groups(q.admitting) > 0:
		return nil
	}
	n.metrics.QuotaReports.WithLabelValues("coordinator").Inc()
	return packQuotaReply(q.coordinator.Handle(n.clock.Now(), report))
}

// packQuotaReport adds the number of nodes of a collector's report as the demand of
// groupSizeTeam.
func packQuotaReport(report quota.Report) *relaypb.QuotaRequest {
	request := &relaypb.QuotaRequest{
		From:     report.From,
		Sequence: report.Sequence,
		PeriodMs: uint32(report.Period.Milliseconds()),
	}
	if report.Nodes > 0 {
		request.Usage = append(request.Usage, &relaypb.QuotaUsage{Team: groupSizeTeam, Demand: uint32(report.Nodes)})
	}
	for _, usage := range report.Usage {
		request.Usage = append(request.Usage, &relaypb.QuotaUsage{
			Team:     usage.Team,
			Demand:   uint32(usage.Demand),
			Admitted: int32(usage.Admitted),
		})
	}
	return request
}

func unpackQuotaReport(request *relaypb.QuotaRequest) quota.Report {
	report := quota.Report{
		From:     request.From,
		Sequence: request.Sequence,
		Period:   time.Duration(request.PeriodMs) * time.Millisecond,
	}
	for _, usage := range request.Usage {
		if usage.Team == groupSizeTeam {
			report.Nodes = int(usage.Demand)
			continue
		}
		report.Usage = append(report.Usage, quota.Usage{
			Team:     usage.Team,
			Demand:   int(usage.Demand),
			Admitted: int(usage.Admitted),
		})
	}
	return report
}

// packQuotaReply rounds shares at random, so that a share below a thousandth has its effect
// in the mean of all nodes.
func packQuotaReply(reply quota.Reply) *relaypb.QuotaResponse {
	response := &relaypb.QuotaResponse{Coordinates: true, ValidMs: uint32(reply.Valid.Milliseconds())}
	for _, share := range reply.Shares {
		response.Shares = append(response.Shares, &relaypb.QuotaShare{
			Team:          share.Team,
			AdmitPermille: uint32(math.Floor(share.Admit*permille + rand.Float64())),
			Most:          uint32(share.Most),
		})
	}
	return response
}

func unpackQuotaReply(response *relaypb.QuotaResponse) quota.Reply {
	reply := quota.Reply{Valid: time.Duration(response.ValidMs) * time.Millisecond}
	for _, share := range response.Shares {
		reply.Shares = append(reply.Shares, quota.Share{
			Team:  share.Team,
			Admit: float64(share.AdmitPermille) / permille,
			Most:  int(share.Most),
		})
	}
	return reply
}

// notify signals a channel that holds one signal.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default: // a signal is pending already
	}
}
