// Package entry sends calls to the nodes beside their targets: it chooses the
// target, lends retry tokens, learns the fate of attempts whose connection was
// lost, and decides whether an attempt is worth repeating.
package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/budget"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// Sender sends calls for one node.
type Sender struct {
	// DataCentre is where this node is, and Service that of the target beside it.
	DataCentre string
	Service    string
	Clock      clock.Clock
	Metrics    *metric.Set
	Log        hclog.Logger
	Client     *relay.Client
	// Self is the incarnation of this node, and Beside runs an attempt at the
	// target beside it. It returns nil when the context ends first.
	Self    string
	Beside  func(ctx context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse
	Route   route.Settings
	Backoff budget.Backoff
	// Owner returns the incarnation that runs a key of a service, or the code
	// that says why there is none. Fresh keys were never sent before.
	Owner func(service string, key once.Key, fresh bool) (string, result.Code)
	// Settling says whether the owner of a key is being replaced right now, so
	// that the key will have another one soon.
	Settling func(service string, key once.Key) bool
	// Covered says whether the plan known here names an owner for the key.
	Covered func(service string, key once.Key) bool
	// Opaque is set where it is not seen which calls a target makes for which
	// call. No retry tokens are lent then, because nobody could spend them.
	Opaque bool
	// SharedBudget is set where the nodes beside the targets keep one budget of
	// repeats for all senders, in place of the allowance by completed calls.
	SharedBudget bool
	// RetryShare returns the declared share of repeats at a service.
	RetryShare func(service string) float64
	// Moved is called when an attempt shows that the view of members or plans
	// is behind: the incarnation it was addressed to is gone.
	Moved func()

	mu        sync.Mutex
	services  map[string]*service
	door      *admit.Door
	throttle  *admit.Throttle
	pressures *admit.Pressures
	// inner holds the kinds that targets call and callers do not. Those that entered
	// here were called by the target beside this node.
	inner map[string]innerKind
	// toldAt is when an answer of a kind last told of the pressure of services.
	toldAt map[string]time.Time
}

// service is what a sender knows of one service.
type service struct {
	table     *route.Table
	allowance *budget.Allowance
	// spent is when a node refused a repeat for the shared budget: first of a
	// request of a caller, second of a call that a target makes.
	spent [2]time.Time
	// share is the declared share that the allowance was made with.
	share   float64
	targets map[string]route.Target
	latency time.Duration
}

const (
	// retryBurst is how many repeats a service allows before any call of it
	// has completed.
	retryBurst = 10
	// spentFresh is how long a sender goes by a repeat that was refused for the
	// shared budget.
	spentFresh = 50 * time.Millisecond
	// latencyWeight is the weight of a new reading in the smoothed latency.
	latencyWeight = 0.2
)

// Init makes the sender ready for use.
func (s *Sender) Init(door *admit.Door) {
	s.services = map[string]*service{}
	s.door = door
	s.throttle = admit.NewThrottle()
	s.pressures = admit.NewPressures()
	s.inner = map[string]innerKind{}
	s.toldAt = map[string]time.Time{}
}

// Admits says whether a new request of a kind is let in, going by how the ones
// before ended. A call of another call always is: work has been done for it. It
// also returns the share of the kind's requests that are let in.
func (s *Sender) Admits(kind *schema.Kind) (share float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, inner := s.inner[kind.Name]; inner {
		return 1, true
	}
	now := s.Clock.Now()
	s.throttle.Press(now, kind.Name, s.pressures.Of(now, kind.Name, kind.Service))
	ok = s.throttle.Offer(now, kind.Name, kind.Importance, s.Route.Random())
	return s.throttle.Share(kind.Name), ok
}

// Ended takes in how a request that was let in ended, for the throttle.
func (s *Sender) Ended(kind *schema.Kind, code result.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttle.Ended(s.Clock.Now(), kind.Name, endOf(code))
}

// endOf says what the end of a request tells of load.
func endOf(code result.Code) admit.End {
	switch code {
	case result.OK, result.Replayed:
		return admit.Good
	case result.TimedOut, result.TargetFailed, result.PartlyRun:
		return admit.Overrun
	case result.DeadlinePassed, result.Overloaded, result.QueueExpired, result.Evicted, result.TargetShed, result.TargetStopped:
		return admit.NoRoom
	}
	return admit.Other
}

// Update puts the targets of a service in place.
func (s *Sender) Update(name string, targets []route.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.service(name)
	known.table.Update(s.Clock.Now(), targets)
	known.targets = make(map[string]route.Target, len(targets))
	for _, target := range targets {
		known.targets[target.Incarnation] = target
	}
}

// SetDistances puts the declared distances from this node's data centre in
// force. What was learned of targets is forgotten when they change.
func (s *Sender) SetDistances(distances map[string]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(s.Route.Distances, distances) {
		return
	}
	s.Route.Distances = distances
	for _, known := range s.services {
		known.table = route.New(s.Route)
		known.table.Update(s.Clock.Now(), slices.Collect(maps.Values(known.targets)))
	}
}

// Allows says whether all of these services take requests of an order now; if
// not, it names the one that does not.
func (s *Sender) Allows(services []string, order uint32) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.door.Allows(s.Clock.Now(), services, order)
}

// Levels returns what is known of the floors of services, to be passed on. The
// floors of one node are left out: it adds its own, which is newer.
func (s *Sender) Levels(now time.Time, services []string, without string) []*relaypb.Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	floors := s.door.FloorsOf(now, services)
	levels := make([]*relaypb.Level, 0, len(floors)+1)
	for _, floor := range floors {
		if floor.Node == without {
			continue
		}
		levels = append(levels, &relaypb.Level{
			Service: floor.Service,
			Node:    floor.Node,
			Floor:   floor.Floor,
			AgeMs:   uint32(floor.Age.Milliseconds()),
		})
	}
	return levels
}

// Targets returns the state of a service's targets, for status.
func (s *Sender) Targets(name string) []route.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service(name).table.Targets(s.Clock.Now())
}

// Send carries a call to its end: complete, not run, or unknown.
func (s *Sender) Send(ctx context.Context, c *call.Call) *call.Answer {
	sending := &sending{sender: s, call: c, tried: map[string]bool{}}
	return sending.run(ctx)
}

// service returns what is known of a service. The lock is held.
func (s *Sender) service(name string) *service {
	known, ok := s.services[name]
	if !ok {
		known = &service{
			table:   route.New(s.Route),
			targets: map[string]route.Target{},
		}
		known.declare(s.RetryShare(name))
		s.services[name] = known
	}
	return known
}

// declare makes a new allowance when another share of repeats is declared.
func (s *service) declare(share float64) {
	if s.allowance != nil && s.share == share {
		return
	}
	s.share = share
	s.allowance = budget.NewAllowance(share, retryBurst)
}

// choose picks the target of the next attempt. A keyed call of a kind that may
// run only once goes to the owner of its key and nowhere else.
func (s *Sender) choose(c *call.Call, tried map[string]bool) (route.Target, result.Code) {
	if c.Key != "" && c.Kind.Repeat == schema.Never {
		return s.owner(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	target, ok := s.service(c.Kind.Service).table.Choose(s.Clock.Now(), tried)
	if !ok {
		return route.Target{}, result.NoTarget
	}
	return target, result.OK
}

// owner returns the target beside the owner of the call's key.
func (s *Sender) owner(c *call.Call) (route.Target, result.Code) {
	keeper, code := s.keeper(c)
	if code != result.OK {
		return route.Target{}, code
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	target, ok := s.service(c.Kind.Service).table.ChooseNamed(s.Clock.Now(), keeper)
	switch {
	case ok:
		return target, result.OK
	case c.KeyFresh:
		return route.Target{}, result.NoOwner
	}
	return route.Target{}, result.OwnerUnclear
}

// keeper returns the incarnation that runs the call's key. That the owner is
// gone is said only of an owner that the plan names and that nobody is about to
// replace: otherwise the record may stand at a node that is not known here yet.
func (s *Sender) keeper(c *call.Call) (string, result.Code) {
	key, err := once.ParseKey(c.Key)
	if err != nil {
		return "", result.KeyInvalid
	}
	service := c.Kind.Service
	keeper, code := s.Owner(service, key, c.KeyFresh)
	if code == result.OwnerGone && (!s.Covered(service, key) || s.Settling(service, key)) {
		code = result.OwnerUnclear
	}
	return keeper, code
}

// ended tells the route and the allowance what an attempt showed.
func (s *Sender) ended(c *call.Call, target route.Target, report route.Report) {
	report.Incarnation = target.Incarnation
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.service(c.Kind.Service)
	known.table.Ended(now, target.Name, report)
	if report.Outcome != route.Complete {
		return
	}
	known.allowance.Completed(now)
	known.latency += time.Duration(latencyWeight * float64(report.Latency-known.latency))
}

// Learn takes in the floor of one node for its service as it is now.
func (s *Sender) Learn(service, node string, floor uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.door.Learn(s.Clock.Now(), service, node, floor, 0)
}

// calm says whether the requests of a kind mostly end well.
func (s *Sender) calm(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.throttle.Calm(kind)
}

func (s *Sender) learn(levels []*relaypb.Level) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, level := range levels {
		age := time.Duration(level.AgeMs) * time.Millisecond
		s.door.Learn(now, level.Service, level.Node, level.Floor, age)
	}
}

// mayRepeatShared is mayRepeat where all nodes share one budget of repeats. The
// node beside the target has the last word; while it has just refused such a
// repeat, there is no use in asking again.
func (s *Sender) mayRepeatShared(c *call.Call, delay time.Duration) bool {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.service(c.Kind.Service)
	if !budget.Worthwhile(now, c.Deadline, delay, known.latency) {
		s.Metrics.RetriesDenied.WithLabelValues(c.Kind.Service, "deadline").Inc()
		return false
	}
	if now.Sub(*s.budgetSpent(c)) < spentFresh {
		s.Metrics.RetriesDenied.WithLabelValues(c.Kind.Service, "budget").Inc()
		return false
	}
	return true
}

// budgetSpent returns when a repeat like that of the call was last refused for the
// shared budget. The lock is held.
func (s *Sender) budgetSpent(c *call.Call) *time.Time {
	known := s.service(c.Kind.Service)
	if _, inner := s.inner[c.Kind.Name]; inner {
		return &known.spent[1]
	}
	return &known.spent[0]
}

// noteSpent notes that a node refused a repeat for the shared budget.
func (s *Sender) noteSpent(c *call.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*s.budgetSpent(c) = s.Clock.Now()
	s.Metrics.RetriesDenied.WithLabelValues(c.Kind.Service, "budget").Inc()
}

// mayRepeat says whether the service's allowance and the time left admit one
// more repeat after a delay. An attempt that reached no target was no load to
// the service, so that the next one is not taken from its allowance.
func (s *Sender) mayRepeat(c *call.Call, code result.Code, delay time.Duration) bool {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.service(c.Kind.Service)
	known.declare(s.RetryShare(c.Kind.Service))
	if !budget.Worthwhile(now, c.Deadline, delay, known.latency) {
		s.Metrics.RetriesDenied.WithLabelValues(c.Kind.Service, "deadline").Inc()
		return false
	}
	if code != result.Unreachable && !known.allowance.TryRepeat(now) {
		s.Metrics.RetriesDenied.WithLabelValues(c.Kind.Service, "allowance").Inc()
		return false
	}
	return true
}

func (s *Sender) request(c *call.Call, target route.Target, tokens int, earlier relaypb.Earlier) *relaypb.CarryRequest {
	return &relaypb.CarryRequest{
		AttemptId:        uuid.Must(uuid.NewV7()).String(),
		RequestId:        c.RequestID,
		Incarnation:      target.Incarnation,
		Service:          c.Kind.Service,
		Kind:             c.Kind.Name,
		Importance:       uint32(c.Importance),
		Position:         uint32(c.Position),
		Tokens:           uint32(tokens),
		TimeLeftMs:       uint32(max(c.Deadline.Sub(s.Clock.Now()).Milliseconds(), 0)),
		Key:              c.Key,
		Method:           c.Method,
		Path:             c.Path,
		Host:             c.Host,
		CallerService:    s.Service,
		Repeatable:       c.Kind.Repeat == schema.Safe,
		Headers:          local.Pack(c.Header),
		Body:             c.Body,
		OriginDataCentre: s.DataCentre,
		Revision:         c.Revision,
		Earlier:          earlier,
	}
}

// carry hands an attempt to the node beside its target. When that is this node
// itself, the attempt takes the same way without a socket.
func (s *Sender) carry(ctx context.Context, target route.Target, request *relaypb.CarryRequest) (*relaypb.CarryResponse, error) {
	if node, _ := relay.SplitIncarnation(target.Incarnation); node == s.Self {
		response := s.Beside(ctx, request)
		if response == nil {
			return nil, ctx.Err()
		}
		return response, nil
	}
	return s.Client.Carry(ctx, target.Address, request)
}
