package entry

import (
	"maps"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// Pressures returns the pressure of each service for which a recent value is known.
func (s *Sender) Pressures() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pressures.Fresh(s.Clock.Now())
}

// AdmittedShares returns the admitted share of the requests of each kind.
func (s *Sender) AdmittedShares() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.throttle.Shares()
}

// SetAdmission sets how requests are throttled from now on.
func (s *Sender) SetAdmission(admission schema.Admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttle.SetStaggered(admission.Staggered)
}

// RetainKinds discards the state of kinds that are no longer declared.
func (s *Sender) RetainKinds(declared func(kind string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttle.RetainKinds(declared)
	s.pressures.RetainKinds(declared)
	for _, state := range s.services {
		state.table.RetainKinds(declared)
	}
	maps.DeleteFunc(s.nestedKinds, func(kind string, _ nestedKind) bool { return !declared(kind) })
	maps.DeleteFunc(s.pressureSentAt, func(kind string, _ time.Time) bool { return !declared(kind) })
}
