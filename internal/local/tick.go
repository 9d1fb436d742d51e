package local

import (
	"context"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/admit"
)

const (
	// tickPeriod is the time between two ticks of the gate, which drop expired calls and
	// adapt its limit, while calls are queued. It also applies while calls are in flight
	// at a target that does not announce itself, because the gate then has to detect
	// whether the target still works.
	tickPeriod = 10 * time.Millisecond
	// idlePeriod is the time between two ticks otherwise. It equals the interval at which
	// the gate updates its floor, so that the floor drops equally fast on an idle node.
	idlePeriod = 50 * time.Millisecond
	// maintenancePeriod is the time between two calls of maintain.
	maintenancePeriod = time.Second
)

// Run ticks the gate and drops expired records until the context ends.
func (s *Server) Run(ctx context.Context) {
	period := idlePeriod
	maintainAt := s.settings.Clock.Now().Add(maintenancePeriod)
	for {
		due := s.settings.Clock.Now().Add(period)
		select {
		case <-ctx.Done():
			return
		case <-s.settings.Clock.After(period):
			s.monitor.observeTimer(s.settings.Clock.Now().Sub(due))
		case <-s.wakeup:
			// A call was queued: tick at once, and then every tickPeriod.
		}
		period = s.tick()
		if now := s.settings.Clock.Now(); !now.Before(maintainAt) {
			maintainAt = now.Add(maintenancePeriod)
			s.maintain()
		}
	}
}

// tick updates the gate, the floor and the gauges, and returns the time until the next
// tick.
func (s *Server) tick() time.Duration {
	load, floor := s.tickGate()
	s.settings.PublishFloor(floor)
	s.settings.Metrics.InFlight.Set(float64(load.InFlight))
	s.settings.Metrics.Limit.Set(float64(load.Limit))
	s.settings.Metrics.Queued.Set(float64(load.Queued))
	s.settings.Metrics.Offered.Set(load.Offered)
	s.settings.Metrics.Floor.Set(float64(floor))
	if load.Queued > 0 || load.InFlight > 0 && s.settings.CheckTarget == nil {
		return tickPeriod
	}
	return idlePeriod
}

// wake makes Run tick soon, because a call was queued.
func (s *Server) wake() {
	if len(s.waiting) > 1 {
		return // Run already ticks every tickPeriod.
	}
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// tickGate advances the gate to the present time, and returns its load and its floor.
func (s *Server) tickGate() (admit.Load, uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Clock.Now()
	s.giveUpUnanswered(now)
	s.release(s.settings.Gate.Tick(now))
	s.logStopped()
	s.logKnee()
	return s.settings.Gate.Load(now), s.settings.Gate.Floor(now)
}

// giveUpUnanswered gives up the calls that the target seems to have dropped. A leaving node
// waits for them, since it could not be told from one that cuts calls off. s.mu must be held.
func (s *Server) giveUpUnanswered(now time.Time) {
	for _, id := range s.settings.Gate.FindUnanswered(now) {
		s.settings.Metrics.Unanswered.Inc()
		if a := s.attempts[id]; a != nil && !s.leaving {
			a.giveUp()
		}
	}
}

// logStopped logs when the target stops or resumes work, and counts the stops. s.mu must
// be held.
func (s *Server) logStopped() {
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

// logKnee logs when the gate begins to admit fewer calls because the target is slower when
// nearly full, and when it admits as many as there are slots again. s.mu must be held.
func (s *Server) logKnee() {
	avoids := s.settings.Gate.AvoidsKnee()
	if avoids == s.avoidsKnee {
		return
	}
	s.avoidsKnee = avoids
	s.settings.Log.Info("target_knee", "service", s.settings.Service, "avoided", avoids)
}

// recordLiveness tells the gate that the target has shown activity.
func (s *Server) recordLiveness() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.Gate.RecordActivity(s.settings.Clock.Now())
}

// maintain drops expired records, updates the retry budget and exports statistics.
func (s *Server) maintain() {
	rule := s.retryRule()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Clock.Now()
	s.origins.decay()
	if s.retryWindow != nil {
		s.retryWindow.SetRule(rule)
	}
	load := s.settings.Gate.Load(now)
	s.settings.Log.Debug("gate_load", "in_flight", load.InFlight, "limit", load.Limit, "queued", load.Queued, "offered", load.Offered, "cold", load.Cold)
	s.settings.AttemptRecords.Forget(now)
	s.settings.Ledger.Forget(now)
	records := s.settings.AttemptRecords.Stats()
	s.settings.Metrics.RecordBytes.Set(float64(records.Bytes + s.settings.Ledger.Stats().Bytes))
	s.monitor.check(records, s.settings.AttemptRecords.MaxBytes())
	s.monitor.reportUsage(now, s.started, s.requests())
	s.settings.Metrics.HeldBytes.Set(float64(s.settings.Target.HeldBytes()))
}

func (s *Server) requests() int64 {
	if s.settings.Requests == nil {
		return 0
	}
	return s.settings.Requests()
}
