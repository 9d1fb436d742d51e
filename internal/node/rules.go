package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/authn"
	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/filter"
	"github.com/dandelionfield/dandelionfield/internal/gctune"
	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// revisionTracker wakes the goroutines that wait for the next revision, and records when
// the current one took effect.
type revisionTracker struct {
	mu      sync.Mutex
	changed chan struct{}
	since   time.Time
}

const (
	// readyPeriod is how often a starting node checks whether it is ready.
	readyPeriod = 20 * time.Millisecond
	// largeBodyDivisor divides the memory for requests into the size from which on a body
	// counts as large there. With the defaults, 4.5 MiB, no body is: they permit 1 MiB.
	largeBodyDivisor = 4
	// plansWait is how long a node that is otherwise ready waits for owner plans.
	plansWait = 5 * time.Second
)

func parseDocument(document []byte) (*schema.Set, error) {
	return schema.Parse("configuration", document)
}

// applyRevision compiles a revision and puts it in force for requests.
func (n *Node) applyRevision(revision *config.Revision) {
	set := revision.Set
	matcher := schema.NewMatcher(set)
	chains := make(map[string][]string, len(set.Kinds))
	for _, kind := range set.Kinds {
		chains[kind.Name] = set.Chain(kind.Name)
	}
	splits := route.NewSplits(set.Kinds, rand.Float64)
	previous := n.rules.Load()
	n.rules.Store(&filter.Rules{
		Revision:    revision.Number,
		Limits:      set.Limits,
		Match:       matcher.Match,
		MatchPrefix: matcher.MatchPrefix,
		SplitPart:   splits.Next,
		Chain:       func(kind string) []string { return chains[kind] },
		Teams:       teamTable(set),
	})
	for _, centre := range set.DataCentres {
		if centre.Name == n.settings.DataCentre {
			n.sender.SetDistances(centre.Distances)
		}
	}
	n.sender.SetRouting(set.Routing)
	n.local.SetRouting(set.Routing)
	n.sender.SetAdmission(set.Admission)
	n.forgetUndeclaredKinds(chains)
	n.quotas.setLimits(set.Teams)
	n.sender.SetTeams(set.Teams)
	n.limitHeap(set.Limits)
	n.local.SetKeyRules(n.selfNode(), ownerRules(set.Limits), set.Limits.RecordBytes)
	if document, version := n.config.Plan(n.settings.Service); version > 0 {
		n.learnPlan(n.settings.Service, document, version)
	}
	if service := set.Service(n.settings.Service); service != nil {
		n.applyDeclaration(*service)
	}
	n.members.SetSelf(func(self *member.Member) { self.Revision = revision.Number })
	if n.adapters.Source != nil {
		n.members.SpreadRevision(context.Background(), config.SourceFollowers)
	}
	n.membersChanged()
	n.revisions.advance(n.clock.Now())
	n.metrics.Revision.Set(float64(revision.Number))
	n.logRevision(revision, previous)
}

// logRevision logs a revision that is in force. previous holds the rules before, or is nil.
func (n *Node) logRevision(revision *config.Revision, previous *filter.Rules) {
	set := revision.Set
	keysRequired := set.RequiresKeys()
	n.log.Info("revision_in_force", "revision", revision.Number, "digest", revision.Digest,
		"teams", len(set.Teams), "keys_required", keysRequired)
	if previous != nil && previous.Teams != nil && !keysRequired {
		n.log.Warn("keys_not_required", "revision", revision.Number)
	}
}

// teamTable returns the table of keys, or nil if requests need no key. Where they need one and
// no team is declared, the table is empty and all keys are unknown.
func teamTable(set *schema.Set) *authn.Table {
	if !set.RequiresKeys() {
		return nil
	}
	return authn.New(set.Teams)
}

// limitHeap sets the memory limit of the garbage collector where one body that may be declared
// takes a good part of the memory for requests. The heap could otherwise grow by several such
// bodies between two collections. Other nodes are not affected.
func (n *Node) limitHeap(limits schema.Limits) {
	if limits.MaxRequestBytes > n.settings.RequestMemory()/largeBodyDivisor {
		gctune.SetMemoryLimit(n.settings.MemoryBytes)
		return
	}
	gctune.ClearMemoryLimit()
}

// forgetUndeclaredKinds removes the state of kinds that are no longer declared. Otherwise
// every kind ever declared would take memory until the process ends.
func (n *Node) forgetUndeclaredKinds(chains map[string][]string) {
	declared := func(kind string) bool {
		_, ok := chains[kind]
		return ok
	}
	n.sender.RetainKinds(declared)
	n.local.RetainKinds(declared)
	n.metrics.RetainKinds(slices.Collect(maps.Keys(chains)))
}

// becomeActive announces the node as a target once it has the configuration, a view of
// the members, and the owner plans of idempotency keys. It waits for the plans no longer
// than plansWait, since a service without live targets has none.
func (n *Node) becomeActive(ctx context.Context) {
	for waited := time.Duration(0); !n.prepared() || (!n.targetsAnnounce() && !n.plansKnown() && waited < plansWait); {
		select {
		case <-ctx.Done():
			return
		case <-n.clock.After(readyPeriod):
		}
		if n.prepared() {
			waited += readyPeriod
		}
	}
	n.members.SetSelf(func(self *member.Member) {
		if self.State == member.Starting {
			self.State = member.Active
		}
	})
	n.active.Store(true)
	notify(n.quotas.urgent)
	n.log.Info("node_active", "node", n.settings.Name, "revision", n.config.Number())
}

// prepared reports whether the node has the configuration and a trusted view of the
// members, and is not leaving.
func (n *Node) prepared() bool {
	return n.rules.Load() != nil && n.members.Ready() && !n.leaving.Load()
}

// activeRules returns the rules for requests, or nil if the node accepts none. It accepts
// none until it is active, because it may not know the owners of keys before, and none
// after a freeze that outlasted its lease until it has learned the current configuration.
func (n *Node) activeRules() *filter.Rules {
	if !n.active.Load() || n.closed.Load() || !n.members.Ready() {
		return nil
	}
	return n.rules.Load()
}

// plansKnown reports whether the owner plans are known of every service that has kinds
// that must never be repeated.
func (n *Node) plansKnown() bool {
	current := n.config.Current()
	if current == nil {
		return false
	}
	for _, kind := range current.Set.Kinds {
		if kind.Repeat != schema.Never {
			continue
		}
		if _, version := n.config.Plan(kind.Service); version == 0 {
			return false
		}
	}
	return true
}

// membersChanged gives the sender the targets of every declared service. Each call takes
// its view of the members under the lock, so that the latest view stays in force.
func (n *Node) membersChanged() {
	n.checkSuperseded()
	n.learnDepartures()
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	current := n.config.Current()
	if current == nil {
		return
	}
	byService := map[string][]route.Target{}
	all := n.members.All()
	for _, m := range all {
		if m.State != member.Active && m.State != member.Cold && m.State != member.Leaving {
			continue
		}
		if n.targetsAnnounce() && m.TargetID == "" {
			continue
		}
		byService[m.Service] = append(byService[m.Service], route.Target{
			Name:        m.Name,
			Incarnation: relay.JoinIncarnation(m.Incarnation, m.TargetID),
			Slots:       m.TargetSlots,
			Address:     m.RelayAddress,
			DataCentre:  m.DataCentre,
			Region:      m.Region,
			Leaving:     m.State == member.Leaving,
			Cold:        m.State == member.Cold,
		})
	}
	for _, service := range current.Set.Services {
		n.sender.Update(service.Name, byService[service.Name])
	}
	n.quotas.setMembers(n.incarnation, all)
	n.metrics.Members.Set(float64(len(all)))
}

// checkSuperseded drains the node if a later process has its name.
func (n *Node) checkSuperseded() {
	if later, ok := n.members.Superseded(); ok {
		n.log.Warn("superseded", "node", n.settings.Name, "by", later.Incarnation)
		n.Drain()
	}
}

func (n *Node) kind(name string) *schema.Kind {
	current := n.config.Current()
	if current == nil {
		return nil
	}
	return current.Set.Kind(name)
}

// applyDeclaration applies the declaration of the node's own service to its target. The
// slots of a target that announces itself come from its heartbeats, which may arrive
// before the declaration.
func (n *Node) applyDeclaration(service schema.Service) {
	if n.targetsAnnounce() {
		n.local.SetConnections(service.Connections)
		return
	}
	n.local.Resize(n.gateSettings(service), service.Connections)
}

func (n *Node) declared(service string) schema.Service {
	if current := n.config.Current(); current != nil {
		if declared := current.Set.Service(service); declared != nil {
			return *declared
		}
	}
	return schema.DefaultService()
}

func (n *Node) shedStatus() int {
	return n.declared(n.settings.Service).ShedStatus
}

func (n *Node) retryShare(service string) float64 {
	return n.declared(service).RetryShare
}

// watch blocks until a revision newer than after is in force.
func (n *Node) watch(ctx context.Context, after int64) (int64, *schema.Set, error) {
	for {
		changed := n.revisions.wait()
		if current := n.config.Current(); current != nil && current.Number > after {
			return current.Number, current.Set, nil
		}
		select {
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		case <-changed:
		}
	}
}

// advance records that a new revision took effect and wakes the waiting goroutines.
func (t *revisionTracker) advance(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since = now
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// wait returns a channel that is closed at the next revision.
func (t *revisionTracker) wait() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// age returns the time since the revision in force took effect.
func (t *revisionTracker) age(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since.IsZero() {
		return 0
	}
	return now.Sub(t.since)
}
