package entry

import (
	"time"

	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// routeLinePeriod is the time in which a node logs one line at most about each service
	// whose calls leave the data centre, and one about its slow targets.
	routeLinePeriod = 10 * time.Second
	// slowTargetRatio is the service time relative to other targets from which on a target is
	// reported as held back.
	slowTargetRatio = 1.5
)

// SetRouting sets how targets and data centres are chosen from now on.
func (s *Sender) SetRouting(routing schema.Routing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Route.MeasureSpeed = routing.MeasureSpeed
	s.Route.SpillByCost = routing.SpillByCost
	for _, state := range s.services {
		state.table.SetPolicy(routing.MeasureSpeed, routing.SpillByCost)
	}
}

// SlowTargets returns, by name, the relative time of each target that gets fewer calls
// because it is slower than the others.
func (s *Sender) SlowTargets() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	slow := map[string]float64{}
	if !s.Route.MeasureSpeed {
		return slow
	}
	for _, state := range s.services {
		for _, target := range state.table.Targets(s.Clock.Now()) {
			if target.RelativeTime >= slowTargetRatio {
				slow[target.Target.Name] = target.RelativeTime
			}
		}
	}
	return slow
}

// recordLeave counts a call that leaves the data centre, and logs some of them. A service
// without targets here is not logged, because all its calls leave. s.mu must be held.
func (s *Sender) recordLeave(now time.Time, service string, target route.Target, leave route.Leave) {
	if leave.Reason == "" {
		return
	}
	s.Metrics.Left.WithLabelValues(service, string(leave.Reason)).Inc()
	if leave.Reason == route.NoTargetHere {
		return
	}
	if leftOut, ok := s.routeLines.Allow(now, "leave "+service); ok {
		s.Log.Info("calls_leave", "service", service, "reason", string(leave.Reason), "to", target.DataCentre,
			"here_ms", leave.Here.Milliseconds(), "there_ms", leave.There.Milliseconds(), "left_out", leftOut)
	}
}

// logSlow logs a target that gets fewer calls because it is slow. s.mu must be held.
func (s *Sender) logSlow(now time.Time, service string, target route.Target, table *route.Table) {
	ratio := table.RelativeTime(now, target.Name)
	if ratio < slowTargetRatio {
		return
	}
	if leftOut, ok := s.routeLines.Allow(now, "slow "+service); ok {
		s.Log.Info("target_held_back", "service", service, "target", target.Name, "relative_time", ratio, "left_out", leftOut)
	}
}
