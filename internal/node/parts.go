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
	"github.com/dandelionfield/dandelionfield/internal/entry"
	"github.com/dandelionfield/dandelionfield/internal/fate"
	"github.com/dandelionfield/dandelionfield/internal/filter"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/internal/trail"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// attemptKeep is how long ended attempts and tombstones are kept: longer
	// than the longest deadline (1 min) and twice the largest clock margin
	// (10 s), so that no attempt runs after it was forgotten.
	attemptKeep = 90 * time.Second
	// announcedKeep and answerKeep take its place where targets announce themselves.
	// An attempt minted more than announcedKeep less the clock margin ago is refused.
	// At 1,000 attempts/s, 30 s of them take 7.7 MB.
	announcedKeep = 30 * time.Second
	answerKeep    = 3 * time.Second
	// backoffBase and backoffMax bound the wait before a repeat.
	backoffBase = 25 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
	// ownShare is the part of the budget of repeats that a node keeps for the
	// requests that came to it, runShare that for repeats of calls that may have run,
	// and slackShare the part of the fixed slack that all nodes together take.
	// The rest covers what the nodes do not see: windows that lie otherwise, and
	// calls that are made again by a call that ran again.
	ownShare   = 0.7
	runShare   = 0.15
	slackShare = 0.5
	// innerPart is the part of it that repeats of targets' calls may take where
	// requests of callers need the rest.
	innerPart = 0.4
	// failureLines is how many lines a second about failures with one result go out.
	failureLines = 10
	// bookShare is the share of a node's memory for records of attempts.
	bookShare = 4
)

func (n *Node) newConfig() *config.Controller {
	c := config.New(n.store, n.doors.Parse, n.clock, n.log.Named("config"))
	c.Name = n.settings.Name
	c.Service = n.settings.Service
	c.Source = n.doors.Source
	c.Nodes = func() int { return len(n.members.All()) }
	c.Fetch = n.fetch
	c.OnRevision = n.enforce
	c.OnPlan = n.learnPlan
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
	c.Changed = n.membersChanged
	c.Revision = n.config.Number
	c.Plans = n.config.Plans
	c.Heard = func(from string, revision int64, plans []*relaypb.PlanVersion) {
		ctx := context.Background()
		n.config.Heard(ctx, from, revision)
		n.config.HeardPlans(ctx, from, plans)
	}
	c.CatchUp = func(ctx context.Context, peers []string) error {
		return n.config.Boot(ctx, func() []string { return peers })
	}
	return c
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
		Beside: func(ctx context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse {
			return n.local.Carry(ctx, request)
		},
		Route: route.Settings{
			DataCentre: n.settings.DataCentre,
			Region:     n.settings.Region,
			Random:     rand.Float64,
		},
		Backoff:    budget.Backoff{Base: backoffBase, Max: backoffMax, Random: rand.Float64},
		Owner:      n.keeper,
		Settling:   n.settling,
		Covered:    n.covered,
		Opaque:     n.announced(),
		RetryShare: n.retryShare,
		Moved:      n.members.Kick,
	}
	s.SharedBudget = n.settings.RetryWindow > 0
	s.Init(admit.NewDoor())
	return s
}

// retryRule is the part that this node keeps of the budget of repeats that the
// nodes beside the targets of its service share. It has no part of the slack before
// it knows with how many others it shares that.
func (n *Node) retryRule() budget.Rule {
	slack := 0.0
	if n.members.Ready() {
		beside := len(n.members.Service(n.settings.Service))
		slack = float64(n.settings.RetrySlack) * slackShare / float64(max(beside, 1))
	}
	return budget.Rule{
		Share:     n.settings.RetryShare * ownShare,
		RunShare:  n.settings.RetryShare * runShare,
		Slack:     slack,
		Span:      n.settings.RetryWindow,
		InnerPart: innerPart,
	}
}

func (n *Node) newLocal() *local.Server {
	n.held = local.NewHeld(func() int64 { return n.limits().HeldBytes })
	service := schema.DefaultService()
	bookBytes := n.settings.MemoryBytes / bookShare
	target := local.NewTarget(n.settings.TargetAddress, service.Connections, n.held)
	target.Wire = n.doors.Target
	var admits func(targetID string) result.Code
	var pressed func(kind string) []*relaypb.Pressed
	var retryRule func() budget.Rule
	if n.settings.RetryWindow > 0 {
		retryRule = n.retryRule
	}
	if n.announced() {
		admits = n.admits
		pressed = n.sender.Pressed
	}
	return local.New(local.Settings{
		Incarnation: n.incarnation,
		Service:     n.settings.Service,
		Target:      target,
		Admits:      admits,
		RetryRule:   retryRule,
		Pressed:     pressed,
		Failures:    trail.NewLimiter(failureLines, time.Second),
		Clock:       n.clock,
		Metrics:     n.metrics,
		Log:         n.log.Named("local"),
		Gate:        admit.NewGate(n.gateSettings(service)),
		Book:        fate.New[*relaypb.CarryResponse](n.bookSettings(bookBytes)),
		Ledger:      once.NewLedger[*relaypb.CarryResponse](n.owner(), ownerRules(schema.DefaultLimits()), bookBytes),
		LedgerBytes: bookBytes,
		Kind:        n.kind,
		Limits:      n.limits,
		ShedStatus:  n.shedStatus,
		Levels:      n.levels,
		Learn: func(floor uint32) {
			n.sender.Learn(n.settings.Service, n.incarnation, floor)
		},
		Onward:   n.sender.Onward,
		Revision: n.config.Number,
		Requests: func() int64 { return n.callers.Taken() },
	})
}

// bookSettings say how long attempts are remembered. Where targets announce
// themselves, no caller comes back with the same request, so that only the node
// that sent an attempt asks for it, within seconds of losing the connection.
func (n *Node) bookSettings(bytes int64) fate.Settings {
	settings := fate.Settings{Keep: attemptKeep, MaxBytes: bytes, Margin: schema.MaxClockMargin}
	if n.announced() {
		settings.Keep = announcedKeep
		settings.KeepAnswers = answerKeep
	}
	return settings
}

func (n *Node) inward() *filter.Inward {
	host, _, _ := net.SplitHostPort(n.settings.TargetAddress)
	inward := &filter.Inward{
		Failures:   trail.NewLimiter(failureLines, time.Second),
		Clock:      n.clock,
		Metrics:    n.metrics,
		Log:        n.log.Named("filter"),
		Rules:      n.inForce,
		Leaving:    n.closed.Load,
		Fits:       n.fits,
		Serving:    n.local.Serving,
		TargetHost: host,
		Allows:     n.sender.Allows,
	}
	if n.announced() {
		// Where calls do not name the request that they are made for, their floors
		// say nothing at the entry of it; the throttle goes by how requests end.
		inward.Admits = n.sender.Admits
		inward.Ended = n.sender.Ended
		inward.Allows = nil
	}
	return inward
}

// levels returns the known floors along the chain of a kind.
func (n *Node) levels(now time.Time, kind string) []*relaypb.Level {
	rules := n.rules.Load()
	if rules == nil {
		return nil
	}
	return n.sender.Levels(now, rules.Chain(kind), n.incarnation)
}

// end is what the filter chain leads to.
func (n *Node) end(ctx context.Context, exchange *filter.Exchange) *call.Answer {
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
