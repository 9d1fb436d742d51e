// Package local carries attempts to the target beside this node. It has the
// last word on admission and is the only witness of what ran at the target.
package local

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/budget"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/crew"
	"github.com/dandelionfield/dandelionfield/internal/fate"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/trail"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// Settings are what a Server is made of.
type Settings struct {
	Incarnation string
	Service     string
	Target      *Target
	Clock       clock.Clock
	Metrics     *metric.Set
	Log         hclog.Logger
	Gate        *admit.Gate
	Book        *fate.Book[*relaypb.CarryResponse]
	Ledger      *once.Ledger[*relaypb.CarryResponse]
	// LedgerBytes bounds the ledger whatever is declared.
	LedgerBytes int64
	// Kind returns the declared kind of that name, or nil.
	Kind func(name string) *schema.Kind
	// Limits returns the declared bounds in force.
	Limits func() schema.Limits
	// ShedStatus returns the status by which the target says that it shed a call.
	ShedStatus func() int
	// Levels returns what this node knows of the floors of the services that a
	// call of the kind may lead to.
	Levels func(now time.Time, kind string) []*relaypb.Level
	// Learn takes in the floor of this node's own gate.
	Learn func(floor uint32)
	// Onward carries a call to another target after the one beside this node
	// refused it with the code. It may be nil.
	Onward func(ctx context.Context, c *call.Call, refused result.Code) *call.Answer
	// Revision returns the configuration revision in force here.
	Revision func() int64
	// Admits says whether the process of the target with that id takes work: OK,
	// or the code of the refusal. Nil stands for targets that do not announce
	// themselves.
	Admits func(targetID string) result.Code
	// Failures bounds the lines about attempts that did not end well; nil for none.
	Failures *trail.Limiter
	// RetryRule is the part of the budget of repeats that this node keeps for its
	// target, where all nodes share one; nil where they do not.
	RetryRule func() budget.Rule
	// Requests returns how many requests the node has taken so far, for the log; it
	// may be nil.
	Requests func() int64
	// Pressed returns the pressure of services, as far as it is known here, for
	// passing on with an answer of a kind; nil where requests do not go by it.
	Pressed func(kind string) []*relaypb.Pressed
}

// Server runs attempts at the target beside this node. One lock guards the
// gate, the book and the ledger, whose methods only compute.
type Server struct {
	settings Settings

	mu       sync.Mutex
	attempts map[string]*attempt
	waiting  map[string]*attempt
	serving  map[string]*call.Serving
	byKey    map[string]*attempt
	// refusing is set once a leaving node takes no new work.
	refusing bool
	leaving  bool
	// endBy is when all that a leaving node still takes has to have ended; zero while
	// that does not matter.
	endBy   time.Time
	origins origins
	// window is the budget of repeats; nil without a RetryRule.
	window *budget.Window
	// queued is signalled when a call begins to wait.
	queued chan struct{}
	// regulated is set once the ledger has the declared rules.
	regulated bool
	// stopped is whether the target was last seen to have stopped.
	stopped bool
	// begun counts the attempts that were carried.
	begun   int64
	watch   *watch
	running sync.WaitGroup
}

const (
	// tickPeriod is how often the gate drops expired calls and adapts while
	// calls wait. While calls run it is the same for a target that does not
	// announce itself, which the gate watches for signs of life.
	tickPeriod = 10 * time.Millisecond
	// idlePeriod takes its place otherwise. It is the interval in
	// which the gate sets its floor anew, so that a floor relaxes as fast.
	idlePeriod = 50 * time.Millisecond
	// forgetPeriod is how often old records are dropped.
	forgetPeriod = time.Second
	permille     = 1000
	// abandonAfter is how long a safe call goes on with nobody waiting for
	// it: long enough for a sender whose connection broke to ask for it, and short
	// enough that the target stops work soon after a caller has left.
	abandonAfter = 250 * time.Millisecond
)

// New returns a server that admits work from the start.
func New(settings Settings) *Server {
	s := &Server{
		settings: settings,
		attempts: map[string]*attempt{},
		waiting:  map[string]*attempt{},
		serving:  map[string]*call.Serving{},
		byKey:    map[string]*attempt{},
		origins:  newOrigins(),
		queued:   make(chan struct{}, 1),
		watch:    &watch{metrics: settings.Metrics, log: settings.Log},
	}
	if settings.RetryRule != nil {
		s.window = budget.NewWindow(settings.RetryRule())
	}
	return s
}

// Run keeps the gate and the records up to date until the context ends.
func (s *Server) Run(ctx context.Context) {
	period := idlePeriod
	forgetAt := s.settings.Clock.Now().Add(forgetPeriod)
	for {
		due := s.settings.Clock.Now().Add(period)
		select {
		case <-ctx.Done():
			return
		case <-s.settings.Clock.After(period):
			s.watch.timer(s.settings.Clock.Now().Sub(due))
		case <-s.queued:
			// A call that waits is looked at more often from now on.
		}
		period = s.tick()
		if now := s.settings.Clock.Now(); !now.Before(forgetAt) {
			forgetAt = now.Add(forgetPeriod)
			s.forget()
		}
	}
}

// Carry takes an attempt that a node addressed to this one and waits for its
// answer. An attempt that came before is joined, never run again.
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
	verdict, recorded := s.settings.Book.Begin(now, request.AttemptId)
	switch verdict {
	case fate.Tombstoned, fate.Invalid, fate.Expired, fate.NeverSeen:
		s.mu.Unlock()
		return s.Refuse(request, result.Tombstoned)
	case fate.Full:
		s.mu.Unlock()
		return s.Refuse(request, result.MemoryBound)
	case fate.Done:
		s.mu.Unlock()
		return recorded
	case fate.Dropped:
		s.mu.Unlock()
		return s.Refuse(request, result.Lost)
	case fate.Running:
		running := s.attempts[request.AttemptId]
		s.mu.Unlock()
		return s.wait(ctx, running)
	}
	a := s.start(now, request)
	s.mu.Unlock()
	return s.wait(ctx, a)
}

// Fate says what became of an attempt, and waits for one that is running.
func (s *Server) Fate(ctx context.Context, request *relaypb.FateRequest) *relaypb.FateResponse {
	if node, _ := relay.SplitIncarnation(request.Incarnation); node != s.settings.Incarnation {
		return &relaypb.FateResponse{State: relaypb.FateState_FATE_STATE_OTHER_INCARNATION}
	}
	s.mu.Lock()
	state, recorded := s.settings.Book.Ask(s.settings.Clock.Now(), request.AttemptId)
	running := s.attempts[request.AttemptId]
	s.mu.Unlock()
	switch state {
	case fate.NeverSeen:
		return &relaypb.FateResponse{State: relaypb.FateState_FATE_STATE_NEVER_SEEN}
	case fate.Done:
		return &relaypb.FateResponse{State: relaypb.FateState_FATE_STATE_DONE, Answer: recorded}
	case fate.Dropped, fate.Expired, fate.Invalid:
		// It may have run, and its answer is gone.
		return &relaypb.FateResponse{State: relaypb.FateState_FATE_STATE_OTHER_INCARNATION}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond)
	defer cancel()
	if answer := s.wait(ctx, running); answer != nil {
		return &relaypb.FateResponse{State: relaypb.FateState_FATE_STATE_DONE, Answer: answer}
	}
	return &relaypb.FateResponse{State: relaypb.FateState_FATE_STATE_RUNNING}
}

func (s *Server) admits(targetID string) result.Code {
	if s.settings.Admits == nil {
		return result.OK
	}
	return s.settings.Admits(targetID)
}

// Restart puts the declaration of a new process of the target in force.
func (s *Server) Restart(settings admit.Settings, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.Target.Restart(connections)
	s.settings.Gate.Restart(s.settings.Clock.Now(), settings)
}

// Serving returns the attempt that a handle of the target stands for.
func (s *Server) Serving(handle string) (*call.Serving, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serving, ok := s.serving[handle]
	return serving, ok
}

// Leave marks the node as leaving: its answers say so from now on.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// RefuseNew ends admission, also of fresh keys; what was admitted or queued
// goes on.
func (s *Server) RefuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
	s.settings.Ledger.Leave(s.settings.Clock.Now())
}

// EndBy has attempts that may go on beyond a time refused; their senders go elsewhere
// with them.
func (s *Server) EndBy(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endBy = end
}

// Drained returns a channel that is closed when no attempt is left.
func (s *Server) Drained() <-chan struct{} {
	drained := make(chan struct{})
	go func() {
		s.running.Wait()
		close(drained)
	}()
	return drained
}

// Load returns what the target is at work on.
func (s *Server) Load() admit.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings.Gate.Load(s.settings.Clock.Now())
}

// Floor returns the target's level of admission.
func (s *Server) Floor() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings.Gate.Floor(s.settings.Clock.Now())
}

// SetConnections puts another bound on the connections to the target in force.
func (s *Server) SetConnections(connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.Target.SetConnections(connections)
}

// Resize puts another declaration of the service in force.
func (s *Server) Resize(settings admit.Settings, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.Target.SetConnections(connections)
	s.settings.Gate.Resize(s.settings.Clock.Now(), settings)
}

// Regulate puts the declared bounds on idempotency keys in force. The clock
// margin and the bytes for records are taken from the first declaration only:
// promises that were made with one margin do not hold under another.
func (s *Server) Regulate(self once.Node, rules once.Rules, recordBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.regulated {
		s.settings.Ledger.SetKeyAge(s.settings.Clock.Now(), rules.KeyAge)
		return
	}
	s.regulated = true
	s.settings.Ledger = once.NewLedger[*relaypb.CarryResponse](self, rules, min(recordBytes, s.settings.LedgerBytes))
}

// Keep forgets what is known of kinds that are not declared.
func (s *Server) Keep(declared func(kind string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.keep(declared)
	s.settings.Gate.Keep(declared)
}

// Ledger runs a function on the idempotency records under the server's lock.
func (s *Server) Ledger(use func(ledger *once.Ledger[*relaypb.CarryResponse])) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use(s.settings.Ledger)
}

// tick adapts the gate, and returns the time until it is to do so again.
func (s *Server) tick() time.Duration {
	load, floor := s.adapt()
	s.settings.Learn(floor)
	s.settings.Metrics.InFlight.Set(float64(load.InFlight))
	s.settings.Metrics.Limit.Set(float64(load.Limit))
	s.settings.Metrics.Queued.Set(float64(load.Queued))
	s.settings.Metrics.Offered.Set(load.Offered)
	s.settings.Metrics.Floor.Set(float64(floor))
	if load.Queued > 0 || load.InFlight > 0 && s.settings.Admits == nil {
		return tickPeriod
	}
	return idlePeriod
}

// hasten has the gate looked at soon, as a call waits.
func (s *Server) hasten() {
	if len(s.waiting) > 1 {
		return // it is looked at often already
	}
	select {
	case s.queued <- struct{}{}:
	default:
	}
}

// adapt lets the gate follow the time, and returns its load and its floor.
func (s *Server) adapt() (admit.Load, uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Clock.Now()
	s.release(s.settings.Gate.Tick(now))
	s.noteStop()
	return s.settings.Gate.Load(now), s.settings.Gate.Floor(now)
}

// noteStop logs and counts that the target has stopped, or goes on. The lock
// is held.
func (s *Server) noteStop() {
	stopped := s.settings.Gate.Stopped()
	if stopped == s.stopped {
		return
	}
	s.stopped = stopped
	if stopped {
		s.settings.Log.Warn("target_stopped", "service", s.settings.Service)
		s.settings.Metrics.TargetStops.Inc()
		return
	}
	s.settings.Log.Info("target_goes_on", "service", s.settings.Service)
}

// sign notes that the target has shown that it works.
func (s *Server) sign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.Gate.Sign(s.settings.Clock.Now())
}

func (s *Server) forget() {
	rule := s.retryRule()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Clock.Now()
	s.origins.fade()
	if s.window != nil {
		s.window.SetRule(rule)
	}
	load := s.settings.Gate.Load(now)
	s.settings.Log.Debug("gate_load", "in_flight", load.InFlight, "limit", load.Limit, "queued", load.Queued, "offered", load.Offered, "cold", load.Cold)
	s.settings.Book.Forget(now)
	s.settings.Ledger.Forget(now)
	book := s.settings.Book.Stats()
	s.settings.Metrics.RecordBytes.Set(float64(book.Bytes + s.settings.Ledger.Stats().Bytes))
	s.watch.look(book, s.settings.Book.MaxBytes())
	s.watch.report(now, s.begun, s.requests())
	s.settings.Metrics.HeldBytes.Set(float64(s.settings.Target.HeldBytes()))
}

func (s *Server) requests() int64 {
	if s.settings.Requests == nil {
		return 0
	}
	return s.settings.Requests()
}

// start begins an attempt of which the book has just been told. The lock is held.
func (s *Server) start(now time.Time, request *relaypb.CarryRequest) *attempt {
	a := &attempt{
		server:  s,
		request: request,
		kind:    s.kindOf(request),
		handle:  uuid.NewString(),
		done:    make(chan struct{}),
		admit:   make(chan admit.Release, 1),
		serving: &call.Serving{
			RequestID:  request.RequestId,
			Importance: schema.Importance(request.Importance),
			Position:   uint16(request.Position),
			Deadline:   now.Add(time.Duration(request.TimeLeftMs) * time.Millisecond),
			Tokens:     call.NewTokens(int(request.Tokens)),
			Moved:      s.sign,
		},
	}
	s.attempts[request.AttemptId] = a
	s.begun++
	s.origins.count(request.Kind, request.CallerService)
	s.requested(now, request)
	s.running.Add(1)
	crew.Go(a.run)
	return a
}

// kindOf returns the declared kind of an attempt, or what the attempt itself says
// of it: its sender may have a newer revision.
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

// release passes on the gate's decisions about queued calls. The lock is held.
func (s *Server) release(releases []admit.Release) {
	for _, release := range releases {
		if a, ok := s.waiting[release.ID]; ok {
			delete(s.waiting, release.ID)
			a.admit <- release
		}
	}
}

// wait returns the attempt's answer, or nil when the context ends first.
func (s *Server) wait(ctx context.Context, a *attempt) *relaypb.CarryResponse {
	if a == nil {
		return nil
	}
	a.join()
	defer a.part()
	select {
	case <-a.done:
		return a.answer
	case <-ctx.Done():
		return nil
	}
}

// Refuse answers an attempt that is not taken at all.
func (s *Server) Refuse(request *relaypb.CarryRequest, code result.Code) *relaypb.CarryResponse {
	s.settings.Metrics.Refusals.WithLabelValues(s.settings.Service, code.String()).Inc()
	return s.dress(request, &relaypb.CarryResponse{Code: uint32(code), TokensLeft: request.Tokens})
}

// dress adds to an answer what every answer tells of the node.
func (s *Server) dress(request *relaypb.CarryRequest, answer *relaypb.CarryResponse) *relaypb.CarryResponse {
	now := s.settings.Clock.Now()
	levels := s.settings.Levels(now, request.Kind)
	if s.settings.Pressed != nil {
		answer.Pressed = s.settings.Pressed(request.Kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.settings.Gate.Load(now)
	answer.AttemptId = request.AttemptId
	answer.Inner = s.settings.Admits != nil && s.origins.inner(request.Kind)
	answer.Revision = s.settings.Revision()
	answer.Levels = levels
	answer.Levels = append(answer.Levels, &relaypb.Level{
		Service: s.settings.Service,
		Node:    s.settings.Incarnation,
		Floor:   s.settings.Gate.Floor(now),
	})
	answer.Load = PackLoad(load, s.leaving)
	return answer
}

// PackLoad returns a load in the form that travels between nodes.
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
