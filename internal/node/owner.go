package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// plans holds the latest known owner plan of each service, decoded.
	plans struct {
		mu        sync.RWMutex
		byService map[string]once.Plan
	}

	// planAdoption records when the node first met a generation of the store whose owner
	// plan has not been adopted.
	planAdoption struct {
		mu         sync.Mutex
		generation int64
		since      time.Time
		nextCheck  time.Time
	}
)

const (
	// ownerSlots is the number of slots into which the keys of a service are divided.
	ownerSlots = 12
	// claimLead is the time in which the nodes of a service learn of a slot that becomes
	// free, and one of them claims it.
	claimLead = 1500 * time.Millisecond
	// planPeriod is how often a node checks whether its plan needs a change.
	planPeriod = 500 * time.Millisecond
	// planSettleTime is how long nodes wait, after a restore of the store from an older copy,
	// for others to write the newest owner plan that they know. Each node notices the restore
	// by its polls of the configuration within 3 s, and compares the plan that it knows with
	// the store's after planCheckInterval at the latest.
	planSettleTime = 20 * time.Second
	// planCheckInterval is the mean time between two such comparisons of one node. With 530
	// nodes that makes 133 reads/s.
	planCheckInterval = 4 * time.Second
	// planTimeout bounds one change of the plan.
	planTimeout = 3 * time.Second
	// handoverTimeout bounds the handover of records to one successor.
	handoverTimeout = 3 * time.Second
	// takeoverDelay is how long a successor waits for the leaving node to commit the new
	// owner of its records to the plan, before the successor does so itself.
	takeoverDelay = 5 * time.Second
	// handoverBatch is the maximum number of records in one handover message.
	handoverBatch = 500
)

func ownerRules(limits schema.Limits) once.Rules {
	return once.Rules{
		Slots:     ownerSlots,
		Lease:     limits.OwnerLease,
		Margin:    limits.ClockMargin,
		ClaimLead: claimLead,
		KeyAge:    limits.KeyAge,
	}
}

// selfNode returns the description of this node for owner plans.
func (n *Node) selfNode() once.Node {
	return once.Node{
		Name:        n.settings.Name,
		Incarnation: n.incarnation,
		Address:     n.settings.RelayAddress,
		StartedMS:   n.started.UnixMilli(),
		Leaving:     n.leaving.Load(),
		Translated:  n.settings.RelayAddress != n.settings.RelayListen,
	}
}

// comparePlans orders the documents of two owner plans by age. One that cannot be read counts
// as newer, so that it is not written again.
func comparePlans(one, other []byte) int {
	first, err := once.DecodePlan(one)
	if err != nil {
		return 1
	}
	second, err := once.DecodePlan(other)
	if err != nil {
		return 1
	}
	return first.Compare(second)
}

// check reports whether the node is to compare the plan that it knows with the store's, and
// the time since it first met the generation.
func (a *planAdoption) check(now time.Time, generation int64) (due bool, settling time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.generation != generation || a.since.IsZero() {
		a.generation = generation
		a.since = now
		a.nextCheck = now.Add(time.Duration(rand.Float64() * float64(planCheckInterval)))
	}
	if now.Before(a.nextCheck) {
		return false, 0
	}
	a.nextCheck = now.Add(time.Duration((0.5 + rand.Float64()) * float64(planCheckInterval)))
	return true, now.Sub(a.since)
}

// learnPlan adopts an owner plan that has been committed. The ledger does not learn a plan that
// was written before a restore of the store and read after it: a write that was under way may
// have taken effect in the place of one that is lost.
func (n *Node) learnPlan(service string, document []byte, version int64) {
	plan, err := once.DecodePlan(document)
	if err != nil {
		n.log.Error("plan_unreadable", "service", service, "error", err)
		return
	}
	readIn, _ := plat.SplitVersion(version)
	if plan.Generation < max(readIn, n.config.Generation()) {
		n.plans.put(service, plan.Provisional())
		return
	}
	n.plans.put(service, plan)
	if service == n.settings.Service {
		n.local.WithLedger(func(ledger *once.Ledger[*relaypb.CarryResponse]) { ledger.ApplyPlan(plan) })
	}
}

// maintainPlan renews this node's holdings in its service's plan until the context ends,
// as long as the service has kinds that must never be repeated.
func (n *Node) maintainPlan(ctx context.Context) {
	for ctx.Err() == nil {
		if n.needsPlan() {
			n.changePlan(ctx, n.nextPlan)
			n.finishTakeovers(ctx)
		}
		select {
		case <-ctx.Done():
		case <-n.clock.After(planPeriod):
		}
	}
}

func (n *Node) nextPlan(now time.Time, plan once.Plan) (once.Plan, bool) {
	return once.Next(now, plan, n.selfNode(), n.eligibleOwners(), ownerRules(n.limits()))
}

// changePlan commits a change of the plan, if one is needed. Before the change is written
// to the table, the ledger gives up the holdings that the change takes from this node.
// changePlan returns false if the change could not be committed.
func (n *Node) changePlan(ctx context.Context, change func(now time.Time, plan once.Plan) (once.Plan, bool)) bool {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	service := n.settings.Service
	document, version := n.config.Plan(service)
	plan := once.Plan{Service: service}
	if len(document) > 0 {
		decoded, err := once.DecodePlan(document)
		if err != nil {
			n.log.Error("plan_unreadable", "service", service, "error", err)
			return false
		}
		plan = decoded
	}
	now := n.clock.Now()
	if generation := n.config.Generation(); plan.Generation != generation {
		if !n.mayAdopt(ctx, now, plan, generation) {
			return false
		}
		// Adoption takes no key from this node, so that there is nothing to promise. The
		// change itself is made to the adopted plan.
		n.writePlan(ctx, once.Adopt(now, plan, generation, ownerRules(n.limits())), version)
		return false
	}
	if lost, err := n.config.RestorePlan(ctx); lost {
		// A write from before the restore arrived late.
		if err != nil {
			_ = n.config.PollPlan(ctx)
		}
		return false
	}
	next, changed := change(now, plan)
	if !changed {
		return true
	}
	return n.commitPlan(ctx, now, next, version)
}

// commitPlan has the ledger promise what the next plan takes from this node, and replaces
// the plan that has the version.
func (n *Node) commitPlan(ctx context.Context, now time.Time, next once.Plan, version int64) bool {
	if !n.planIsNewest(ctx, version) {
		return false
	}
	promised := false
	n.local.WithLedger(func(ledger *once.Ledger[*relaypb.CarryResponse]) { promised = ledger.Promise(now, next) })
	if !promised {
		return false
	}
	return n.writePlan(ctx, next, version)
}

func (n *Node) writePlan(ctx context.Context, next once.Plan, version int64) bool {
	service := n.settings.Service
	if _, err := n.config.CommitPlan(ctx, service, next.Encode(), version); err != nil {
		n.log.Debug("plan_not_committed", "service", service, "error", err)
		_ = n.config.PollPlan(ctx)
		return false
	}
	return true
}

// mayAdopt reports whether this node may put the plan in force under a later generation of
// the store. Before that, each node that knows a newer plan than the store's copy writes it again,
// in the same generation as before. A node that adopted an older plan at once would make that
// one the newest.
func (n *Node) mayAdopt(ctx context.Context, now time.Time, plan once.Plan, generation int64) bool {
	if plan.Generation > generation {
		return false // this node has yet to notice the restore
	}
	due, settling := n.adoption.check(now, generation)
	if !due {
		return false
	}
	// A plan that is known to have taken effect has precedence over one whose write had no
	// answer, so the latter is offered only in the second half.
	if settling >= planSettleTime/2 {
		n.config.OfferPromisedPlan()
	}
	if err := n.config.PollPlan(ctx); err != nil {
		return false
	}
	if lost, err := n.config.RestorePlan(ctx); lost || err != nil {
		return false
	}
	return settling >= planSettleTime
}

// planIsNewest reads the plan's row before the ledger promises anything. A promise whose
// write fails holds until a newer plan is known, so in an outage of the platform the keys
// given up would have no owner until the outage ends.
func (n *Node) planIsNewest(ctx context.Context, version int64) bool {
	if err := n.config.PollPlan(ctx); err != nil {
		return false
	}
	_, newest := n.config.Plan(n.settings.Service)
	return newest == version
}

// needsPlan reports whether the node takes part in the owner plan of its service, which
// exists for kinds that must never be repeated.
func (n *Node) needsPlan() bool {
	current := n.config.Current()
	if current == nil || !n.members.Ready() || n.targetsAnnounce() {
		return false
	}
	for _, kind := range current.Set.Kinds {
		if kind.Service == n.settings.Service && kind.Repeat == schema.Never {
			return true
		}
	}
	return false
}

// eligibleOwners returns the nodes of this node's service that have passed Starting and
// so may own its keys.
func (n *Node) eligibleOwners() []once.Node {
	var nodes []once.Node
	for _, m := range n.members.Service(n.settings.Service) {
		if m.State == member.Starting {
			continue
		}
		nodes = append(nodes, once.Node{
			Name:        m.Name,
			Incarnation: m.Incarnation,
			Address:     m.RelayAddress,
			StartedMS:   m.StartedMS,
			Leaving:     m.State == member.Leaving,
		})
	}
	return nodes
}

// ownerOf returns the incarnation that runs requests with a key, or the result code that
// says why no incarnation does.
func (n *Node) ownerOf(service string, key once.Key, fresh bool) (string, result.Code) {
	isLive := func(incarnation string) bool {
		for _, m := range n.members.Service(service) {
			if m.Incarnation == incarnation {
				return true
			}
		}
		return false
	}
	plan := n.plans.get(service)
	holding, code := once.Route(n.clock.Now(), plan, key, !fresh, isLive, ownerRules(n.limits()))
	if code != 0 {
		return "", code
	}
	return holding.Owner(), result.OK
}

// ownerKnown reports whether the plan known locally names an owner for a key.
func (n *Node) ownerKnown(service string, key once.Key) bool {
	_, ok := n.plans.get(service).Find(key)
	return ok
}

// ownerChanging reports whether the node that holds a key is leaving, or has been
// replaced by another process that is about to end its holdings.
func (n *Node) ownerChanging(service string, key once.Key) bool {
	holding, ok := n.plans.get(service).Find(key)
	if !ok {
		return false
	}
	for _, m := range n.members.Service(service) {
		if m.Name == holding.Name {
			return m.State == member.Leaving || m.Incarnation != holding.Incarnation
		}
	}
	return false
}

// handOver transfers this node's records to a successor before the node stops, and
// reports whether a successor took them.
func (n *Node) handOver(ctx context.Context) bool {
	if !n.needsPlan() {
		return false
	}
	var records []once.Record[*relaypb.CarryResponse]
	lost := false
	n.local.WithLedger(func(ledger *once.Ledger[*relaypb.CarryResponse]) {
		lost = ledger.LostHolding(n.clock.Now())
		records = ledger.Export()
	})
	if lost {
		n.log.Warn("handover_refused", "records", len(records))
		return false
	}
	for _, successor := range n.eligibleOwners() {
		if successor.Leaving || successor.Incarnation == n.incarnation {
			continue
		}
		if !n.sendRecords(ctx, successor, records) {
			continue
		}
		n.commitHandover(ctx, successor)
		return true
	}
	n.log.Warn("handover_failed", "records", len(records))
	return false
}

func (n *Node) commitHandover(ctx context.Context, successor once.Node) {
	const tries = 5
	change := func(now time.Time, plan once.Plan) (once.Plan, bool) {
		return once.HandOver(now, plan, n.selfNode(), successor, ownerRules(n.limits()))
	}
	for range tries {
		if n.changePlan(ctx, change) {
			n.log.Info("handed_over", "successor", successor.Name)
			return
		}
	}
	n.log.Warn("handover_not_committed", "successor", successor.Name)
}

// sendRecords sends records to a successor in batches, and reports whether all were
// accepted.
func (n *Node) sendRecords(ctx context.Context, successor once.Node, records []once.Record[*relaypb.CarryResponse]) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for {
		batch := records[:min(handoverBatch, len(records))]
		records = records[len(batch):]
		request := &relaypb.HandoverRequest{
			FromIncarnation: n.incarnation,
			ToIncarnation:   successor.Incarnation,
			Records:         packRecords(n.settings.Service, batch),
			Last:            len(records) == 0,
		}
		response, err := n.client.ControlClient(successor.Address).Handover(ctx, connect.NewRequest(request))
		if err != nil || !response.Msg.Accepted {
			return false
		}
		if len(records) == 0 {
			return true
		}
	}
}

func packRecords(service string, records []once.Record[*relaypb.CarryResponse]) []*relaypb.OwnerRecord {
	packed := make([]*relaypb.OwnerRecord, 0, len(records))
	for _, record := range records {
		packed = append(packed, &relaypb.OwnerRecord{
			Key:         record.Key.Text,
			Service:     service,
			Kind:        record.Kind,
			RequestHash: record.RequestHash,
			Answer:      record.Answer,
			Unknown:     record.Unknown,
			MintedMs:    record.Key.Minted.UnixMilli(),
		})
	}
	return packed
}

func unpackRecords(packed []*relaypb.OwnerRecord) []once.Record[*relaypb.CarryResponse] {
	records := make([]once.Record[*relaypb.CarryResponse], 0, len(packed))
	for _, record := range packed {
		key, err := once.ParseKey(record.Key)
		if err != nil {
			continue
		}
		records = append(records, once.Record[*relaypb.CarryResponse]{
			Key:         key,
			Kind:        record.Kind,
			RequestHash: record.RequestHash,
			Unknown:     record.Unknown,
			Answer:      record.Answer,
			Size:        len(record.GetAnswer().GetBody()),
		})
	}
	return records
}

func (p *plans) put(service string, plan once.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byService == nil {
		p.byService = map[string]once.Plan{}
	}
	p.byService[service] = plan
}

func (p *plans) get(service string) once.Plan {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.byService[service]
}
