package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionfield/dandelionfield/internal/admin"
	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// reportTimeout bounds how long a status request waits for members that do not
	// answer.
	reportTimeout = time.Second
	// maxConcurrentReports is how many members a status request queries at the same time.
	maxConcurrentReports = 64
)

func (n *Node) adminServer() *admin.Server {
	return &admin.Server{
		Log:          n.log.Named("admin"),
		Token:        n.settings.OperatorToken,
		Registry:     n.metrics.Registry,
		Apply:        n.apply,
		Current:      n.current,
		History:      n.config.History,
		LoadRevision: n.config.Load,
		Rollback:     n.rollback,
		Watch:        n.watch,
		Status:       n.describe,
		Drain: func(context.Context) error {
			n.Drain()
			return nil
		},
		Ready: n.ready,
	}
}

// ready reports whether the node accepts requests.
func (n *Node) ready() bool {
	return n.prepared() && n.members.Self().State == member.Active
}

func (n *Node) current() (int64, *schema.Set, []byte) {
	current := n.config.Current()
	if current == nil {
		return 0, nil, nil
	}
	if n.adapters.Source != nil {
		// The platform's document may hold the keys of teams; the declarations made from it
		// hold their digests.
		return current.Number, current.Set, current.Set.Document()
	}
	return current.Number, current.Set, current.Document
}

func (n *Node) apply(ctx context.Context, document []byte, expected int64, dryRun bool) (admin.Applied, error) {
	number, _, _ := n.current()
	if dryRun {
		if expected != number {
			return admin.Applied{}, admin.NewConflict(expected, number)
		}
		return admin.Applied{Revision: number, DryRun: true}, nil
	}
	revision, err := n.config.Commit(ctx, document, expected)
	if err != nil {
		return admin.Applied{}, err
	}
	n.members.RequestRound()
	return admin.Applied{Revision: revision.Number, Digest: revision.Digest}, nil
}

// rollback commits the document of an earlier revision as a new revision. A dry run only
// loads the document and compares it with the revision in force.
func (n *Node) rollback(ctx context.Context, number, expected int64, dryRun bool) (admin.Applied, error) {
	inForce, before, _ := n.current()
	if before == nil {
		before = &schema.Set{Limits: schema.DefaultLimits()}
	}
	if dryRun {
		if expected != inForce {
			return admin.Applied{}, admin.NewConflict(expected, inForce)
		}
		former, err := n.config.Load(ctx, number)
		if err != nil {
			return admin.Applied{}, err
		}
		return admin.Applied{Revision: inForce, Digest: former.Digest, Changes: before.Diff(former.Set)}, nil
	}
	revision, err := n.config.Rollback(ctx, number, expected)
	if err != nil {
		return admin.Applied{}, err
	}
	n.members.RequestRound()
	return admin.Applied{Revision: revision.Number, Digest: revision.Digest, Changes: before.Diff(revision.Set)}, nil
}

// describe returns the node's status.
func (n *Node) describe(ctx context.Context) admin.Status {
	self := n.members.Self()
	now := n.clock.Now()
	reachable, silent := n.platform.reachability(now)
	status := admin.Status{
		Node:              n.settings.Name,
		Incarnation:       n.incarnation,
		DataCentre:        n.settings.DataCentre,
		Region:            n.settings.Region,
		Service:           n.settings.Service,
		State:             self.State.String(),
		RevisionAgeMS:     n.revisions.age(now).Milliseconds(),
		PlatformReachable: reachable,
		PlatformSilentMS:  silent.Milliseconds(),
		Refusals:          countsByLabel(n.metrics.Refusals, "reason"),
		Retries:           countsByLabel(n.metrics.Retries, "reason"),
	}
	if current := n.config.Current(); current != nil {
		status.Revision = current.Number
		status.Digest = current.Digest
	}
	members := n.members.All()
	reports := n.collectReports(ctx, members)
	if current := n.config.Current(); current != nil {
		status.Services = n.describeServices(current.Set, reports, now)
	}
	for _, m := range members {
		status.Members = append(status.Members, describeMember(m, reports[m.Incarnation], now))
	}
	status.Complete()
	return status
}

func describeMember(m member.Member, report *relaypb.ReportResponse, now time.Time) admin.Member {
	return admin.Member{
		Name:             m.Name,
		Incarnation:      m.Incarnation,
		DataCentre:       m.DataCentre,
		Service:          m.Service,
		State:            m.State.String(),
		Revision:         m.Revision,
		AdminAddress:     m.AdminAddress,
		AgeMS:            max(now.UnixMilli()-m.StartedMS, 0),
		PendingHandovers: int(report.GetPendingHandovers()),
	}
}

// updateStateMetrics sets the metrics that mirror the status of this node and its
// service.
func (n *Node) updateStateMetrics(now time.Time) {
	service := n.settings.Service
	stopped := 0.0
	if n.local.Load().Stopped > 0 {
		stopped = 1
	}
	n.metrics.TargetStopped.WithLabelValues(service).Set(stopped)
	share := 0.0
	if unownedKeys := unowned(n.plans.get(service), n.liveIncarnations(service), now); unownedKeys != nil {
		share = float64(unownedKeys.Slots) / float64(unownedKeys.Of)
	}
	n.metrics.UnownedKeyShare.WithLabelValues(service).Set(share)
	n.metrics.PendingHandovers.Set(float64(len(n.takeovers.due(now))))
	_, silent := n.platform.reachability(now)
	n.metrics.PlatformSilent.Set(silent.Seconds())
}

// liveIncarnations returns the incarnations of the service that are members.
func (n *Node) liveIncarnations(service string) map[string]bool {
	live := map[string]bool{}
	for _, m := range n.members.Service(service) {
		live[m.Incarnation] = true
	}
	return live
}

// describeServices takes the load of each target from the report of the node beside it,
// so that the status does not depend on which targets this node has called itself.
func (n *Node) describeServices(set *schema.Set, reports map[string]*relaypb.ReportResponse, now time.Time) []admin.Service {
	services := make([]admin.Service, 0, len(set.Services))
	for _, declared := range set.Services {
		service := admin.Service{Name: declared.Name}
		ejected := n.ejected(declared.Name, now)
		for _, m := range n.members.Service(declared.Name) {
			service.Targets = append(service.Targets, describeTarget(m, reports[m.Incarnation], ejected[m.Incarnation]))
		}
		service.Unowned = unowned(n.plans.get(declared.Name), n.liveIncarnations(declared.Name), now)
		services = append(services, service)
	}
	return services
}

// unowned describes the part of the keys minted now that has no live owner. It returns
// nil if every key has one.
func unowned(plan once.Plan, live map[string]bool, now time.Time) *admin.Unowned {
	result := &admin.Unowned{Of: len(plan.Slots), Lost: []string{}}
	var latestMS int64
	for _, slot := range plan.Slots {
		untilMS, owned := ownedAt(slot, live, now.UnixMilli(), &result.Lost)
		if owned {
			continue
		}
		result.Slots++
		latestMS = max(latestMS, untilMS)
	}
	if result.Slots == 0 {
		return nil
	}
	if latestMS > now.UnixMilli() {
		result.Until = time.UnixMilli(latestMS).UTC().Format(time.RFC3339)
	}
	return result
}

// ownedAt reports whether the keys of a slot that are minted at nowMS have a live owner
// and, if not, until when they have none. It appends the names of holders that are not
// live to lost; a slot that is reserved after a restore of the store has no holder.
func ownedAt(slot once.Slot, live map[string]bool, nowMS int64, lost *[]string) (untilMS int64, owned bool) {
	untilMS = nowMS
	for _, holding := range slot.Holdings {
		if holding.UntilMS <= untilMS || holding.FromMS > untilMS {
			continue
		}
		if live[holding.Owner()] {
			return untilMS, untilMS == nowMS
		}
		untilMS = holding.UntilMS
		if holding.Name != "" && !slices.Contains(*lost, holding.Name) {
			*lost = append(*lost, holding.Name)
		}
	}
	return untilMS, false
}

func describeTarget(m member.Member, report *relaypb.ReportResponse, ejected bool) admin.Target {
	target := admin.Target{Node: m.Name, State: targetState(m.State), Ejected: ejected}
	if report == nil {
		target.State = admin.StateSilent
		return target
	}
	target.InFlight = int(report.Load.InFlight)
	target.Limit = int(report.Load.Limit)
	target.Queued = int(report.Load.Queued)
	target.Floor = report.Floor
	target.StoppedMS = int64(report.Load.StoppedMs)
	return target
}

// ejected returns for each incarnation whether this node currently sends it no calls.
func (n *Node) ejected(service string, now time.Time) map[string]bool {
	ejected := map[string]bool{}
	for _, state := range n.sender.Targets(service) {
		ejected[state.Target.Incarnation] = state.EjectedUntil.After(now)
	}
	return ejected
}

// collectReports requests the reports of all members concurrently. A member that does not
// answer within reportTimeout is absent from the result.
func (n *Node) collectReports(ctx context.Context, members []member.Member) map[string]*relaypb.ReportResponse {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var mu sync.Mutex
	reports := map[string]*relaypb.ReportResponse{}
	var group errgroup.Group
	group.SetLimit(maxConcurrentReports)
	for _, m := range members {
		group.Go(func() error {
			response, err := n.client.ControlClient(m.RelayAddress).Report(ctx, connect.NewRequest(&relaypb.ReportRequest{}))
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			reports[m.Incarnation] = response.Msg
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

func targetState(state member.State) string {
	if state == member.Active || state == member.Cold {
		return admin.StateReady
	}
	return state.String()
}

// countsByLabel sums a counter for each value of one label.
func countsByLabel(counter *prometheus.CounterVec, label string) []admin.Count {
	metrics := make(chan prometheus.Metric)
	go func() {
		counter.Collect(metrics)
		close(metrics)
	}()
	sums := map[string]int64{}
	var order []string
	for m := range metrics {
		var sample dto.Metric
		if m.Write(&sample) != nil {
			continue
		}
		for _, pair := range sample.Label {
			if pair.GetName() != label {
				continue
			}
			if _, ok := sums[pair.GetValue()]; !ok {
				order = append(order, pair.GetValue())
			}
			sums[pair.GetValue()] += int64(sample.Counter.GetValue())
		}
	}
	list := make([]admin.Count, 0, len(order))
	for _, reason := range order {
		list = append(list, admin.Count{Reason: reason, Count: sums[reason]})
	}
	return list
}
