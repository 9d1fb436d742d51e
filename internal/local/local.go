// Package local runs attempts at the target beside this node. It makes the final
// admission decision, and it alone observes which attempts reached the target.
package local

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/budget"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/dedup"
	"github.com/dandelionfield/dandelionfield/internal/gopool"
	"github.com/dandelionfield/dandelionfield/internal/loglim"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// Settings holds the dependencies of a Server.
type Settings struct {
	Incarnation    string
	Service        string
	Target         *Target
	Clock          clock.Clock
	Metrics        *metric.Set
	Log            hclog.Logger
	Gate           *admit.Gate
	AttemptRecords *dedup.Store[*relaypb.CarryResponse]
	Ledger         *once.Ledger[*relaypb.CarryResponse]
	// Memory accounts for requests whose answers nobody waits for any more. It may be nil.
	Memory *alloc.Pool
	// LedgerBytes is the upper bound on the memory of the ledger in bytes, whatever is
	// declared.
	LedgerBytes int64
	// Kind returns the declared kind with the given name, or nil.
	Kind func(name string) *schema.Kind
	// Limits returns the declared limits in force.
	Limits func() schema.Limits
	// ShedStatus returns the HTTP status by which the target reports that it shed a call.
	ShedStatus func() int
	// Levels returns the admission floors that this node knows of the services that a
	// call of the kind may lead to.
	Levels func(now time.Time, kind string) []*relaypb.Level
	// PublishFloor receives the floor of this node's own gate.
	PublishFloor func(floor uint32)
	// Forward sends a call to another target after the local one rejected it with the
	// given code. It may be nil.
	Forward func(ctx context.Context, c *call.Call, refused result.Code) *call.Answer
	// Revision returns the configuration revision in force on this node.
	Revision func() int64
	// CheckTarget returns OK if the target process with the given id accepts work, and the
	// code to reject a call with otherwise. It is nil for targets that do not announce
	// themselves.
	CheckTarget func(targetID string) result.Code
	// FailureLimiter limits the rate of log lines about attempts that were not completed. If it
	// is nil, none are logged.
	FailureLimiter *loglim.Limiter
	// RetryRule returns the rule for the part of the shared retry budget that this node
	// keeps for its target. It is nil if the nodes share no retry budget.
	RetryRule func() budget.Rule
	// TargetCalls reports whether the target makes calls of its own, which it would make
	// again if a call to it ran again. It may be nil, which means that it may.
	TargetCalls func() bool
	// Requests returns how many requests the node has received so far, for logging. It
	// may be nil.
	Requests func() int64
	// Pressed returns the pressure of services known to this node, to be sent with an
	// answer to a call of the kind. It is nil if admission does not depend on pressure.
	Pressed func(kind string) []*relaypb.Pressed
	// ConfirmedAgeMS returns how many milliseconds ago the revision of this node was last
	// known to be the newest, to be sent with every answer. It is nil if nothing depends on
	// that.
	ConfirmedAgeMS func() *uint32
}

// Server runs attempts at the target beside this node. One mutex guards the gate, the
// attempt records and the ledger, whose methods never block.
type Server struct {
	settings Settings

	mu       sync.Mutex
	attempts map[string]*attempt
	waiting  map[string]*attempt
	serving  map[string]*call.Serving
	byKey    map[string]*attempt
	// refusing is set once a leaving node rejects new work.
	refusing bool
	leaving  bool
	// endBy is the latest deadline of attempts that a leaving node still admits. It is
	// zero if there is no such limit.
	endBy   time.Time
	origins origins
	// retryWindow is the retry budget; nil without a RetryRule.
	retryWindow *budget.Window
	// wakeup is signalled when a call is queued.
	wakeup chan struct{}
	// keyRulesSet is set once the ledger uses the declared rules.
	keyRulesSet bool
	// stopped is whether the target had stopped at the last tick.
	stopped bool
	// avoidsKnee records whether, at the last tick, the gate admitted fewer calls because the
	// target is slower when nearly full.
	avoidsKnee bool
	// started counts the attempts started so far.
	started int64
	monitor *selfMonitor
	running sync.WaitGroup
	routing schema.Routing
}

const (
	permille = 1000
	// abandonAfter is how long a call that is safe to retry continues without a waiter. It
	// is long enough for a sender that lost its connection to ask for the answer, and short
	// enough that the target stops work soon after a caller has gone.
	abandonAfter = 250 * time.Millisecond
)

// New returns a server that admits work immediately.
func New(settings Settings) *Server {
	s := &Server{
		settings: settings,
		attempts: map[string]*attempt{},
		waiting:  map[string]*attempt{},
		serving:  map[string]*call.Serving{},
		byKey:    map[string]*attempt{},
		origins:  newOrigins(),
		wakeup:   make(chan struct{}, 1),
		monitor:  &selfMonitor{metrics: settings.Metrics, log: settings.Log},
	}
	if settings.RetryRule != nil {
		s.retryWindow = budget.NewWindow(settings.RetryRule())
	}
	return s
}

// Carry runs an attempt that a node addressed to this one and returns its answer. It is
// idempotent: an attempt that was received before is waited for, never run again.
func (s *Server) Carry(ctx context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse {
	node, targetID := relay.SplitIncarnation(request.Incarnation)
	if node != s.settings.Incarnation {
		return s.Refuse(request, result.OtherIncarnation)
	}
	if code := s.admits(targetID); code != result.OK {
		return s.Refuse(request, code)
	}
	now := s.settings.Clock.Now()
	s.mu.Lock()
	verdict, recorded := s.settings.AttemptRecords.Begin(now, request.AttemptId)
	switch verdict {
	case dedup.Tombstoned, dedup.Invalid, dedup.Expired, dedup.NeverSeen:
		s.mu.Unlock()
		return s.Refuse(request, result.Tombstoned)
	case dedup.Full:
		s.mu.Unlock()
		return s.Refuse(request, result.MemoryBound)
	case dedup.Done:
		s.mu.Unlock()
		return recorded
	case dedup.Dropped:
		s.mu.Unlock()
		return s.Refuse(request, result.Lost)
	case dedup.Running:
		running := s.attempts[request.AttemptId]
		s.mu.Unlock()
		return s.wait(ctx, running)
	}
	a := s.start(now, request)
	s.mu.Unlock()
	return s.wait(ctx, a)
}

// Fate returns the state of an attempt. For a running one it waits for the answer, for as
// long as the request asks.
func (s *Server) Fate(ctx context.Context, request *relaypb.FateRequest) *relaypb.FateResponse {
	if node, _ := relay.SplitIncarnation(request.Incarnation); node != s.settings.Incarnation {
		return &relaypb.FateResponse{State: relaypb.FateState_FATE_STATE_OTHER_INCARNATION}
	}
	s.mu.Lock()
	state, recorded := s.settings.AttemptRecords.Query(s.settings.Clock.Now(), request.AttemptId)
	running := s.attempts[request.AttemptId]
	s.mu.Unlock()
	switch state {
	case dedup.NeverSeen:
		return &relaypb.FateResponse{State: relaypb.FateState_FATE_STATE_NEVER_SEEN}
	case dedup.Done:
		return &relaypb.FateResponse{State: relaypb.FateState_FATE_STATE_DONE, Answer: recorded}
	case dedup.Dropped, dedup.Expired, dedup.Invalid:
		// The attempt may have run, but its answer is no longer stored.
		return &relaypb.FateResponse{State: relaypb.FateState_FATE_STATE_OTHER_INCARNATION}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond)
	defer cancel()
	if answer := s.wait(ctx, running); answer != nil {
		return &relaypb.FateResponse{State: relaypb.FateState_FATE_STATE_DONE, Answer: answer}
	}
	return &relaypb.FateResponse{State: relaypb.FateState_FATE_STATE_RUNNING}
}

// admits returns OK if the target process accepts work, and the rejection code otherwise.
func (s *Server) admits(targetID string) result.Code {
	if s.settings.CheckTarget == nil {
		return result.OK
	}
	return s.settings.CheckTarget(targetID)
}

// Restart applies the declaration of a new process of the target.
func (s *Server) Restart(settings admit.Settings, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.Target.Restart(connections)
	s.settings.Gate.Restart(s.settings.Clock.Now(), settings)
}

// Serving returns the attempt in flight at the target that the context handle names.
func (s *Server) Serving(handle string) (*call.Serving, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serving, ok := s.serving[handle]
	return serving, ok
}

// Leave marks the node as leaving, which all later answers report.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// StopAdmission stops admission, also of new idempotency keys. Admitted and queued attempts
// continue.
func (s *Server) StopAdmission() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
	s.settings.Ledger.Leave(s.settings.Clock.Now())
}

// SetEndBy makes the server reject attempts whose deadline is after end. Their senders try
// other nodes.
func (s *Server) SetEndBy(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endBy = end
}

// Drained returns a channel that is closed when no attempt is running.
func (s *Server) Drained() <-chan struct{} {
	drained := make(chan struct{})
	go func() {
		s.running.Wait()
		close(drained)
	}()
	return drained
}

// Load returns the load of the target.
func (s *Server) Load() admit.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings.Gate.Load(s.settings.Clock.Now())
}

// Floor returns the admission floor of the target: calls of a lower order are rejected
// before they are sent.
func (s *Server) Floor() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings.Gate.Floor(s.settings.Clock.Now())
}

// SetConnections changes the maximum number of connections to the target.
func (s *Server) SetConnections(connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.Target.SetConnections(connections)
}

// Resize applies a changed declaration of the service.
func (s *Server) Resize(settings admit.Settings, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.Target.SetConnections(connections)
	s.settings.Gate.Resize(s.settings.Clock.Now(), settings)
}

// SetRouting sets how the service's targets are chosen, which decides what is measured here.
func (s *Server) SetRouting(routing schema.Routing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routing = routing
	s.settings.Gate.SetMeasured(routing.MeasureSpeed)
}

// SetKeyRules applies the declared limits on idempotency keys. Only the key age may change
// later. The clock margin and the memory for records are taken from the first
// declaration, because promises made with one margin do not hold with another.
func (s *Server) SetKeyRules(self once.Node, rules once.Rules, recordBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keyRulesSet {
		s.settings.Ledger.SetKeyAge(s.settings.Clock.Now(), rules.KeyAge)
		return
	}
	s.keyRulesSet = true
	s.settings.Ledger = once.NewLedger[*relaypb.CarryResponse](self, rules, min(recordBytes, s.settings.LedgerBytes))
}

// RetainKinds drops the statistics of kinds that are not declared.
func (s *Server) RetainKinds(declared func(kind string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.retain(declared)
	s.settings.Gate.RetainKinds(declared)
}

// WithLedger calls use with the ledger of idempotency keys while it holds the server's mutex.
func (s *Server) WithLedger(use func(ledger *once.Ledger[*relaypb.CarryResponse])) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use(s.settings.Ledger)
}

// start starts an attempt that was just added to the attempt records. s.mu must be held.
func (s *Server) start(now time.Time, request *relaypb.CarryRequest) *attempt {
	a := &attempt{
		server:       s,
		request:      request,
		kind:         s.kindOf(request),
		handle:       uuid.NewString(),
		arrived:      now,
		done:         make(chan struct{}),
		gateDecision: make(chan admit.Release, 1),
		serving: &call.Serving{
			RequestID:     request.RequestId,
			Importance:    schema.Importance(request.Importance),
			Position:      uint16(request.Position),
			Deadline:      now.Add(time.Duration(request.TimeLeftMs) * time.Millisecond),
			Tokens:        call.NewTokens(int(request.Tokens)),
			OnChildChange: s.recordLiveness,
		},
	}
	s.attempts[request.AttemptId] = a
	s.started++
	s.origins.count(request.Kind, request.CallerService)
	s.countRequest(now, request)
	s.running.Add(1)
	gopool.Go(a.run)
	return a
}

// kindOf returns the declared kind of an attempt. If the kind is not declared on this
// node, it is derived from the attempt, whose sender may have a newer revision.
func (s *Server) kindOf(request *relaypb.CarryRequest) *schema.Kind {
	if kind := s.settings.Kind(request.Kind); kind != nil {
		return kind
	}
	kind := &schema.Kind{Name: request.Kind, Service: s.settings.Service, Repeat: schema.Never}
	if request.Repeatable {
		kind.Repeat = schema.Safe
	}
	return kind
}

// release delivers the gate's decisions about queued calls. s.mu must be held.
func (s *Server) release(releases []admit.Release) {
	for _, release := range releases {
		if a, ok := s.waiting[release.ID]; ok {
			delete(s.waiting, release.ID)
			a.gateDecision <- release
		}
	}
}

// wait returns the attempt's answer, or nil if the context ends first.
func (s *Server) wait(ctx context.Context, a *attempt) *relaypb.CarryResponse {
	if a == nil {
		return nil
	}
	a.addWaiter()
	defer a.removeWaiter()
	select {
	case <-a.done:
		return a.answer
	case <-ctx.Done():
		return nil
	}
}

// Refuse returns the answer to an attempt that is rejected before it starts.
func (s *Server) Refuse(request *relaypb.CarryRequest, code result.Code) *relaypb.CarryResponse {
	s.settings.Metrics.Refusals.WithLabelValues(s.settings.Service, code.String()).Inc()
	return s.addNodeState(request, &relaypb.CarryResponse{Code: uint32(code), TokensLeft: request.Tokens})
}

// addNodeState adds the load, floors and revision of this node to an answer. Every answer
// carries them.
func (s *Server) addNodeState(request *relaypb.CarryRequest, answer *relaypb.CarryResponse) *relaypb.CarryResponse {
	now := s.settings.Clock.Now()
	levels := s.settings.Levels(now, request.Kind)
	if s.settings.Pressed != nil {
		answer.Pressed = s.settings.Pressed(request.Kind)
	}
	if s.settings.ConfirmedAgeMS != nil {
		// The age is read before the revision, for which it then holds.
		answer.ConfirmedAgeMs = s.settings.ConfirmedAgeMS()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.settings.Gate.Load(now)
	answer.AttemptId = request.AttemptId
	answer.Inner = s.settings.CheckTarget != nil && s.origins.isInternal(request.Kind)
	answer.Revision = s.settings.Revision()
	answer.Levels = levels
	answer.Levels = append(answer.Levels, &relaypb.Level{
		Service: s.settings.Service,
		Node:    s.settings.Incarnation,
		Floor:   s.settings.Gate.Floor(now),
	})
	answer.Load = PackLoad(load, s.leaving)
	s.addSpeed(now, request.Kind, answer.Load)
	return answer
}

// addSpeed adds how fast the target is to its load, as far as the declared routing uses it.
// s.mu must be held.
func (s *Server) addSpeed(now time.Time, kind string, load *relaypb.Load) {
	if !s.routing.MeasureSpeed && !s.routing.SpillByCost {
		return
	}
	speed := s.settings.Gate.Speed(now, kind)
	load.KindUs = uint32(speed.KindTime.Microseconds())
	load.PacePermille = uint32(permille * speed.Pace)
	load.MeanUs = uint32(speed.Mean.Microseconds())
}

// PackLoad converts a load to the relay protocol.
func PackLoad(load admit.Load, leaving bool) *relaypb.Load {
	return &relaypb.Load{
		InFlight:        uint32(load.InFlight),
		Limit:           uint32(load.Limit),
		Queued:          uint32(load.Queued),
		OfferedPermille: uint32(permille * load.Offered),
		Cold:            load.Cold,
		Leaving:         leaving,
		StoppedMs:       uint32(load.Stopped.Milliseconds()),
	}
}
