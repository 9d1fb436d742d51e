// Package entry sends calls to the nodes beside their targets. It chooses the target,
// passes retry tokens along, finds out what became of attempts whose connection was
// lost, and decides whether to retry.
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
	"github.com/dandelionfield/dandelionfield/internal/loglim"
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
	// DataCentre is the data centre of this node, and Service the service of the target
	// beside it.
	DataCentre string
	Service    string
	Clock      clock.Clock
	Metrics    *metric.Set
	Log        hclog.Logger
	Client     *relay.Client
	// Self is the incarnation of this node. RunLocal runs an attempt at the target beside
	// this node, and returns nil if the context ends first.
	Self     string
	RunLocal func(ctx context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse
	Route    route.Settings
	Backoff  budget.Backoff
	// Owner returns the incarnation that owns a key of a service, or the code that says
	// why the key has no owner. A fresh key was never sent before.
	Owner func(service string, key once.Key, fresh bool) (string, result.Code)
	// OwnerChanging reports whether the owner of a key is being replaced, so that the key will
	// soon have another owner.
	OwnerChanging func(service string, key once.Key) bool
	// PlanCovers reports whether the plan known to this node names an owner for the key.
	PlanCovers func(service string, key once.Key) bool
	// Opaque is set if the node cannot tell for which request a target makes a call of
	// its own. Attempts then carry no retry tokens, because nothing could spend them.
	Opaque bool
	// SharedBudget is set if the nodes beside the targets keep one retry budget for all
	// senders, in place of each sender's allowance, which grows with completed calls.
	SharedBudget bool
	// RetryShare returns the declared ratio of retries to completed calls of a service.
	RetryShare func(service string) float64
	// OnStaleView is called when an attempt shows that the local view of members or plans is
	// stale, for instance because the incarnation that it was addressed to is gone.
	OnStaleView func()
	// OnConfirmed is called when an answer reports that no revision above the given one
	// existed at the given time. It may be nil.
	OnConfirmed func(at time.Time, revision int64)

	mu        sync.Mutex
	services  map[string]*service
	floors    *admit.EntryGate
	throttle  *admit.Throttle
	fair      *admit.FairShare
	pressures *admit.Pressures
	// nestedKinds holds the kinds of which nearly all calls come from targets, as answers
	// report. Calls of these kinds that pass this node are made by the target beside it.
	nestedKinds map[string]nestedKind
	// pressureSentAt is when an answer to each kind last carried the pressure of services.
	pressureSentAt map[string]time.Time
	// routeLines bounds the log lines about the choice of targets.
	routeLines *loglim.Limiter
}

// service is the sender's state for one service.
type service struct {
	table     *route.Table
	allowance *budget.Allowance
	// retryDeniedAt holds when a node last refused a retry because the shared budget was
	// spent: at index 0 for requests of callers, at index 1 for calls that targets make.
	retryDeniedAt [2]time.Time
	// share is the declared retry share that the allowance was created with.
	share   float64
	targets map[string]route.Target
	latency time.Duration
}

const (
	// retryBurst is how many retries are allowed before any call to the service has
	// completed.
	retryBurst = 10
	// retryDenialTTL is how long a sender asks for no further retry after one was refused
	// for the shared budget.
	retryDenialTTL = 50 * time.Millisecond
	// latencyWeight is the weight of a new sample in the smoothed latency.
	latencyWeight = 0.2
)

// Init creates the sender's internal state. It must be called before any other method.
func (s *Sender) Init(entryGate *admit.EntryGate) {
	s.services = map[string]*service{}
	s.floors = entryGate
	s.throttle = admit.NewThrottle()
	s.fair = admit.NewFairShare()
	s.pressures = admit.NewPressures()
	s.nestedKinds = map[string]nestedKind{}
	s.pressureSentAt = map[string]time.Time{}
	s.routeLines = loglim.NewLimiter(1, routeLinePeriod)
}

// Admits reports whether to admit a new request, judging by how earlier ones of its kind and
// importance ended, and returns the admitted share of such requests. Of the requests of
// teams, that share is allocated to the teams fairly. Calls that targets make are always
// admitted, because work has already been done for their request.
func (s *Sender) Admits(c *call.Call) (share float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := c.Kind
	if _, nested := s.nestedKinds[kind.Name]; nested {
		return 1, true
	}
	now := s.Clock.Now()
	class := throttleClass(c)
	s.throttle.SetPressure(now, class, s.pressures.ForKind(now, kind.Name, kind.Service))
	if c.Team != "" {
		return s.throttle.AllowTeam(now, class, c.Importance, c.Team, s.fair, s.Route.Random())
	}
	ok = s.throttle.Allow(now, class, c.Importance, s.Route.Random())
	return s.throttle.Share(class), ok
}

// throttleClass returns the name under which the throttle keeps the state of requests like
// this one. Only a team replaces the importance of a kind; a call that a target makes inherits
// that of its request, but has the state of its kind.
func throttleClass(c *call.Call) string {
	if c.Team == "" {
		return c.Kind.Name
	}
	return admit.ThrottleClass(c.Kind, c.Importance)
}

// SetTeams sets the declared teams, whose rates are their weights in the admitted share.
func (s *Sender) SetTeams(teams []schema.Team) {
	rates := make(map[string]float64, len(teams))
	for _, team := range teams {
		rates[team.Name] = team.Rate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fair.SetRates(rates, len(teams))
}

// RecordEnd records for the throttle how an admitted request ended and how long it took.
func (s *Sender) RecordEnd(c *call.Call, code result.Code, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttle.RecordEnd(s.Clock.Now(), throttleClass(c), loadSignal(code), took)
}

// loadSignal returns what the result of a request tells the throttle about load.
func loadSignal(code result.Code) admit.RequestEnd {
	switch code {
	case result.OK, result.Replayed:
		return admit.Succeeded
	case result.TimedOut, result.TargetFailed, result.PartlyRun:
		return admit.LoadFailure
	case result.DeadlinePassed, result.Overloaded, result.QueueExpired, result.Evicted, result.TargetShed, result.TargetStopped:
		return admit.OwnServiceFull
	}
	return admit.Unrelated
}

// Update replaces the list of targets of a service.
func (s *Sender) Update(name string, targets []route.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.service(name)
	state.table.Update(s.Clock.Now(), targets)
	state.targets = make(map[string]route.Target, len(targets))
	for _, target := range targets {
		state.targets[target.Incarnation] = target
	}
}

// SetDistances sets the declared distances from this node's data centre. If they change,
// everything learned about the targets is discarded.
func (s *Sender) SetDistances(distances map[string]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(s.Route.Distances, distances) {
		return
	}
	s.Route.Distances = distances
	for _, state := range s.services {
		state.table = route.New(s.Route)
		state.table.Update(s.Clock.Now(), slices.Collect(maps.Values(state.targets)))
	}
}

// Allows reports whether all of the services currently accept requests of an order. If
// not, it returns the name of a service that refuses.
func (s *Sender) Allows(services []string, order uint32) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floors.Allows(s.Clock.Now(), services, order)
}

// Levels returns the known floors of the services, to be passed on with an answer. It
// leaves out the floors of the node named by exclude, which adds its own, newer ones.
func (s *Sender) Levels(now time.Time, services []string, exclude string) []*relaypb.Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	floors := s.floors.LevelsOf(now, services)
	levels := make([]*relaypb.Level, 0, len(floors)+1)
	for _, floor := range floors {
		if floor.Node == exclude {
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

// Targets returns the state of a service's targets for the status page.
func (s *Sender) Targets(name string) []route.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service(name).table.Targets(s.Clock.Now())
}

// Send makes attempts of a call until one completes or none may follow. The result is
// complete, not run, or unknown.
func (s *Sender) Send(ctx context.Context, c *call.Call) *call.Answer {
	state := &sendState{sender: s, call: c, tried: map[string]bool{}}
	return state.run(ctx)
}

// service returns the state of a service and creates it if needed. s.mu must be held.
func (s *Sender) service(name string) *service {
	state, ok := s.services[name]
	if !ok {
		state = &service{
			table:   route.New(s.Route),
			targets: map[string]route.Target{},
		}
		state.setRetryShare(s.RetryShare(name))
		s.services[name] = state
	}
	return state
}

// setRetryShare replaces the allowance if the declared retry share has changed.
func (s *service) setRetryShare(share float64) {
	if s.allowance != nil && s.share == share {
		return
	}
	s.share = share
	s.allowance = budget.NewAllowance(share, retryBurst)
}

// choose picks the target of the next attempt. A call with an idempotency key, of a kind
// that may run only once, goes to the owner of its key and nowhere else.
func (s *Sender) choose(c *call.Call, tried map[string]bool) (route.Target, result.Code) {
	if c.Key != "" && c.Kind.Repeat == schema.Never {
		return s.chooseOwner(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	table := s.service(c.Kind.Service).table
	target, ok := table.Choose(now, tried)
	switch {
	case table.LinksFull():
		return route.Target{}, result.Overloaded
	case !ok:
		return route.Target{}, result.NoTarget
	}
	s.recordLeave(now, c.Kind.Service, target, table.LastLeave())
	return target, result.OK
}

// chooseOwner returns the target beside the node that owns the call's key.
func (s *Sender) chooseOwner(c *call.Call) (route.Target, result.Code) {
	owner, code := s.ownerOf(c)
	if code != result.OK {
		return route.Target{}, code
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	target, ok := s.service(c.Kind.Service).table.ChooseIncarnation(s.Clock.Now(), owner)
	switch {
	case ok:
		return target, result.OK
	case c.KeyFresh:
		return route.Target{}, result.NoOwner
	}
	return route.Target{}, result.OwnerUnclear
}

// ownerOf returns the incarnation that owns the call's key. It returns OwnerGone only if
// the plan names the owner and no replacement is under way. Otherwise the record may be at
// a node that is not known here yet.
func (s *Sender) ownerOf(c *call.Call) (string, result.Code) {
	key, err := once.ParseKey(c.Key)
	if err != nil {
		return "", result.KeyInvalid
	}
	service := c.Kind.Service
	owner, code := s.Owner(service, key, c.KeyFresh)
	if code == result.OwnerGone && (!s.PlanCovers(service, key) || s.OwnerChanging(service, key)) {
		code = result.OwnerUnclear
	}
	return owner, code
}

// ended records the outcome of an attempt in the routing table and the allowance.
func (s *Sender) ended(c *call.Call, target route.Target, report route.Report) {
	report.Incarnation = target.Incarnation
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.service(c.Kind.Service)
	state.table.Ended(now, target.Name, report)
	s.logSlow(now, c.Kind.Service, target, state.table)
	if report.Outcome != route.Complete {
		return
	}
	state.allowance.Completed(now)
	state.latency += time.Duration(latencyWeight * float64(report.Latency-state.latency))
}

// LearnFloor records the current floor of one node for its service.
func (s *Sender) LearnFloor(service, node string, floor uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floors.Learn(s.Clock.Now(), service, node, floor, 0)
}

// isHealthy reports whether most requests of the kind and importance of a call succeed.
func (s *Sender) isHealthy(c *call.Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.throttle.MostlySucceeds(throttleClass(c))
}

// learnFloors records the floors that came with an answer.
func (s *Sender) learnFloors(levels []*relaypb.Level) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, level := range levels {
		age := time.Duration(level.AgeMs) * time.Millisecond
		s.floors.Learn(now, level.Service, level.Node, level.Floor, age)
	}
}

// mayRetryShared is mayRetry for the case that all nodes share one retry budget. The node
// beside the target decides. For retryDenialTTL after such a node has refused a similar
// retry, asking again is of no use.
func (s *Sender) mayRetryShared(c *call.Call, delay time.Duration) bool {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.service(c.Kind.Service)
	if !budget.FitsDeadline(now, c.Deadline, delay, state.latency) {
		s.Metrics.RetriesDenied.WithLabelValues(c.Kind.Service, "deadline").Inc()
		return false
	}
	if now.Sub(*s.lastRetryDenial(c)) < retryDenialTTL {
		s.Metrics.RetriesDenied.WithLabelValues(c.Kind.Service, "budget").Inc()
		return false
	}
	return true
}

// lastRetryDenial returns when a retry like that of the call was last refused for the
// shared budget. s.mu must be held.
func (s *Sender) lastRetryDenial(c *call.Call) *time.Time {
	state := s.service(c.Kind.Service)
	if _, nested := s.nestedKinds[c.Kind.Name]; nested {
		return &state.retryDeniedAt[1]
	}
	return &state.retryDeniedAt[0]
}

// recordRetryDenial records that a node refused a retry for the shared budget.
func (s *Sender) recordRetryDenial(c *call.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*s.lastRetryDenial(c) = s.Clock.Now()
	s.Metrics.RetriesDenied.WithLabelValues(c.Kind.Service, "budget").Inc()
}

// mayRetry reports whether the service's allowance and the time to the deadline permit a
// retry after the delay. An attempt that reached no target put no load on the service, so
// a retry after it is not charged to the allowance.
func (s *Sender) mayRetry(c *call.Call, code result.Code, delay time.Duration) bool {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.service(c.Kind.Service)
	state.setRetryShare(s.RetryShare(c.Kind.Service))
	if !budget.FitsDeadline(now, c.Deadline, delay, state.latency) {
		s.Metrics.RetriesDenied.WithLabelValues(c.Kind.Service, "deadline").Inc()
		return false
	}
	if code != result.Unreachable && !state.allowance.TryRetry(now) {
		s.Metrics.RetriesDenied.WithLabelValues(c.Kind.Service, "allowance").Inc()
		return false
	}
	return true
}

func (s *Sender) newRequest(c *call.Call, target route.Target, tokens int, earlier relaypb.Earlier) *relaypb.CarryRequest {
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
		Team:             c.Team,
	}
}

// carry sends an attempt to the node beside its target. If that is this node itself, the
// attempt runs in the same way but without a socket.
func (s *Sender) carry(ctx context.Context, target route.Target, request *relaypb.CarryRequest) (*relaypb.CarryResponse, error) {
	if node, _ := relay.SplitIncarnation(target.Incarnation); node == s.Self {
		response := s.RunLocal(ctx, request)
		if response == nil {
			return nil, ctx.Err()
		}
		return response, nil
	}
	return s.Client.Carry(ctx, target.Address, request)
}
