package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/budget"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/dedup"
	"github.com/dandelionfield/dandelionfield/internal/entry"
	"github.com/dandelionfield/dandelionfield/internal/filter"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/loglim"
	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// attemptRetention is how long ended attempts and tombstones are kept. It exceeds the
	// longest deadline (1 min) plus twice the largest clock margin (10 s), so that no
	// attempt runs after its record has been removed.
	attemptRetention = 90 * time.Second
	// announcedAttemptRetention and answerRetention replace attemptRetention where
	// targets announce themselves. An attempt minted more than announcedAttemptRetention
	// less the clock margin ago is refused. At 1,000 attempts/s, the records of 30 s take
	// 7.7 MB.
	announcedAttemptRetention = 30 * time.Second
	answerRetention           = 3 * time.Second
	// backoffBase and backoffMax bound the wait before a retry.
	backoffBase = 25 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
	// nodeRetryShare is the part of the retry budget that a node spends on requests that
	// arrived at it, mayHaveRunShare the part for retries of calls that may have run, and
	// slackShare the part of the fixed slack that all nodes together take. The rest
	// covers retries that the nodes cannot see: those in windows with other boundaries, and
	// calls that a target makes again because a call to it ran again.
	nodeRetryShare  = 0.7
	mayHaveRunShare = 0.15
	slackShare      = 0.5
	// targetCallShare is the part of a node's budget that retries of targets' calls may
	// take where requests of callers need the rest.
	targetCallShare = 0.4
	// failureLinesPerSecond is how many lines a second are logged about failures with one
	// result.
	failureLinesPerSecond = 10
	// The records of attempts and those of keys may each take one part in
	// recordMemoryDivisor of a node's memory.
	recordMemoryDivisor = 4
	// Answers that are being read from the target, and those that wait for callers to read
	// them, may each take one part in answerMemoryDivisor of a node's memory.
	answerMemoryDivisor = 4
)

func (n *Node) newConfig() *config.Controller {
	c := config.New(n.store, n.adapters.Parse, n.clock, n.log.Named("config"))
	c.Name = n.settings.Name
	c.Service = n.settings.Service
	c.Source = n.adapters.Source
	c.Nodes = func() int { return len(n.members.All()) }
	// Before the view is ready, each node would take itself for a delegate.
	c.Follows = func() bool { return n.members.Ready() && n.members.IsDelegate(config.SourceFollowers) }
	c.Fetch = n.fetch
	if n.settings.StrictRevoke {
		c.Revoke = n.settings.Revoke
	}
	c.OnRevision = n.applyRevision
	c.OnPlan = n.learnPlan
	c.ComparePlans = comparePlans
	return c
}

func (n *Node) newMembers() *member.Controller {
	c := member.New(member.Member{
		Name:          n.settings.Name,
		Incarnation:   n.incarnation,
		StartedMS:     n.started.UnixMilli(),
		RelayAddress:  n.settings.RelayAddress,
		CallerAddress: n.settings.CallerListen,
		AdminAddress:  n.settings.AdminListen,
		DataCentre:    n.settings.DataCentre,
		Region:        n.settings.Region,
		Service:       n.settings.Service,
		State:         member.Starting,
	}, n.store, n.clock, n.log.Named("member"))
	c.Send = n.client.Exchange
	c.OnChange = n.membersChanged
	c.Revision = n.config.Number
	c.Plans = n.config.Plans
	if n.adapters.Source != nil {
		c.SourceAge = n.config.SourceAge
		c.OnSourceAge = n.config.ObserveSource
	}
	if n.settings.StrictRevoke {
		c.ConfirmedAgeMS = n.config.ConfirmedAgeMS
		c.OnConfirmed = n.config.ObserveConfirmed
	}
	c.OnPeerVersions = func(from string, revision int64, plans []*relaypb.PlanVersion) {
		ctx := context.Background()
		n.config.ObserveRevision(ctx, from, revision)
		n.config.ObservePlans(ctx, from, plans)
	}
	c.CatchUp = n.catchUp
	return c
}

// catchUp brings the configuration up to date before the node accepts work: at its start by
// waiting until start has read it, and after a freeze by reading it anew.
func (n *Node) catchUp(ctx context.Context, peers []string) error {
	if n.caughtUp.Load() {
		return n.config.Boot(ctx, func() []string { return peers })
	}
	select {
	case <-n.booted:
		n.caughtUp.Store(true)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Node) newSender() *entry.Sender {
	s := &entry.Sender{
		DataCentre: n.settings.DataCentre,
		Service:    n.settings.Service,
		Clock:      n.clock,
		Metrics:    n.metrics,
		Log:        n.log.Named("entry"),
		Client:     n.client,
		Self:       n.incarnation,
		RunLocal: func(ctx context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse {
			return n.local.Carry(ctx, request)
		},
		Route: route.Settings{
			DataCentre: n.settings.DataCentre,
			Region:     n.settings.Region,
			Random:     rand.Float64,
		},
		Backoff:       budget.Backoff{Base: backoffBase, Max: backoffMax, Random: rand.Float64},
		Owner:         n.ownerOf,
		OwnerChanging: n.ownerChanging,
		PlanCovers:    n.ownerKnown,
		Opaque:        n.targetsAnnounce(),
		RetryShare:    n.retryShare,
		OnStaleView:   n.members.RequestRound,
	}
	s.SharedBudget = n.settings.RetryWindow > 0
	if n.settings.StrictRevoke {
		s.OnConfirmed = n.config.ObserveConfirmed
	}
	s.Init(admit.NewEntryGate())
	return s
}

// retryBudgetRule returns this node's part of the retry budget that the nodes beside the
// targets of its service share. The part includes no slack until the node knows how many
// nodes share the slack.
func (n *Node) retryBudgetRule() budget.Rule {
	slack := 0.0
	if n.members.Ready() {
		nodeCount := len(n.members.Service(n.settings.Service))
		slack = float64(n.settings.RetrySlack) * slackShare / float64(max(nodeCount, 1))
	}
	return budget.Rule{
		Share:           n.settings.RetryShare * nodeRetryShare,
		MayHaveRunShare: n.settings.RetryShare * mayHaveRunShare,
		Slack:           slack,
		Span:            n.settings.RetryWindow,
		InnerFraction:   targetCallShare,
	}
}

func (n *Node) newLocal() *local.Server {
	n.heldAnswers = local.NewHeldMemory(func() int64 {
		limits := n.limits()
		return max(min(limits.HeldBytes, n.settings.MemoryBytes/answerMemoryDivisor), limits.MaxAnswerBytes)
	})
	n.heldAnswers.Pool = n.memory
	service := schema.DefaultService()
	recordBytes := n.settings.MemoryBytes / recordMemoryDivisor
	target := local.NewTarget(n.settings.TargetAddress, service.Connections, n.heldAnswers)
	target.Wire = n.adapters.TargetWire
	var checkTarget func(targetID string) result.Code
	var pressureReports func(kind string) []*relaypb.Pressed
	var targetCalls func() bool
	var retryRule func() budget.Rule
	if n.settings.RetryWindow > 0 {
		retryRule = n.retryBudgetRule
	}
	if n.targetsAnnounce() {
		checkTarget = n.admits
		pressureReports = n.sender.PressureReports
		targetCalls = n.sender.TargetCalls
	}
	var confirmedAge func() *uint32
	if n.settings.StrictRevoke {
		confirmedAge = n.config.ConfirmedAgeMS
	}
	return local.New(local.Settings{
		Incarnation:    n.incarnation,
		Service:        n.settings.Service,
		Target:         target,
		CheckTarget:    checkTarget,
		RetryRule:      retryRule,
		Pressed:        pressureReports,
		ConfirmedAgeMS: confirmedAge,
		TargetCalls:    targetCalls,
		FailureLimiter: loglim.NewLimiter(failureLinesPerSecond, time.Second),
		Clock:          n.clock,
		Metrics:        n.metrics,
		Log:            n.log.Named("local"),
		Gate:           admit.NewGate(n.gateSettings(service)),
		AttemptRecords: dedup.New[*relaypb.CarryResponse](n.attemptRecordSettings(recordBytes)),
		Ledger:         once.NewLedger[*relaypb.CarryResponse](n.selfNode(), ownerRules(schema.DefaultLimits()), recordBytes),
		LedgerBytes:    recordBytes,
		Memory:         n.memory,
		Kind:           n.kind,
		Limits:         n.limits,
		ShedStatus:     n.shedStatus,
		Levels:         n.knownFloors,
		PublishFloor: func(floor uint32) {
			n.sender.LearnFloor(n.settings.Service, n.incarnation, floor)
		},
		Forward:  n.sender.SendElsewhere,
		Revision: n.config.Number,
		Requests: func() int64 { return n.callers.RequestsRead() },
	})
}

// attemptRecordSettings returns how long attempts are recorded. Where targets announce
// themselves, no caller sends the same request again, so only the node that sent an
// attempt asks for its outcome, within seconds of losing the connection.
func (n *Node) attemptRecordSettings(bytes int64) dedup.Settings {
	settings := dedup.Settings{Retention: attemptRetention, MaxBytes: bytes, Margin: schema.MaxClockMargin}
	if n.targetsAnnounce() {
		settings.Retention = announcedAttemptRetention
		settings.AnswerRetention = answerRetention
	}
	return settings
}

func (n *Node) inboundFilters() *filter.Inbound {
	host, _, _ := net.SplitHostPort(n.settings.TargetAddress)
	inbound := &filter.Inbound{
		FailureLimiter: loglim.NewLimiter(failureLinesPerSecond, time.Second),
		Clock:          n.clock,
		Metrics:        n.metrics,
		Log:            n.log.Named("filter"),
		Rules:          n.activeRules,
		Leaving:        n.closed.Load,
		EndsInTime:     n.endsInTime,
		Serving:        n.local.Serving,
		TargetHost:     host,
		ChainAdmits:    n.sender.Allows,
		TeamHeader:     n.adapters.TargetWire.TeamHeader,
		Confirmed:      n.config.Confirmed,
		KeyLimiter:     loglim.NewLimiter(failureLinesPerSecond, time.Second),
		AdmitTeam:      n.admitTeam,
		ReturnUnit:     n.quotas.returnUnit,
		QuotaLimiter:   loglim.NewLimiter(failureLinesPerSecond, time.Second),
	}
	if n.targetsAnnounce() {
		// Where calls do not name the request that they are made for, their floors cannot
		// be applied at the request's entry. The throttle uses the results of requests.
		inbound.Throttle = n.sender.Admits
		inbound.Ended = n.sender.RecordEnd
		inbound.ChainAdmits = nil
		inbound.UnnamedCalls = true
	}
	return inbound
}

// knownFloors returns the known admission floors along the call chain of a kind.
func (n *Node) knownFloors(now time.Time, kind string) []*relaypb.Level {
	rules := n.rules.Load()
	if rules == nil {
		return nil
	}
	return n.sender.Levels(now, rules.Chain(kind), n.incarnation)
}

// dispatch is the final handler of the filter chain. It sends the call to a target.
func (n *Node) dispatch(ctx context.Context, exchange *filter.Exchange) *call.Answer {
	return n.sender.Send(ctx, exchange.Call)
}

func (n *Node) gateSettings(service schema.Service) admit.Settings {
	return admit.Settings{
		Slots:     service.Slots,
		Queue:     service.Queue,
		QueueWait: service.QueueWait,
		ColdStart: service.ColdStart,
		Started:   n.started,
	}
}
