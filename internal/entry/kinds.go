package entry

import (
	"maps"
	"time"
)

// Pressures returns the pressure of each service of which something fresh is known.
func (s *Sender) Pressures() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pressures.Fresh(s.Clock.Now())
}

// Admitted returns the share of the requests of each kind that is let in.
func (s *Sender) Admitted() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.throttle.Shares()
}

// Keep forgets what is known of kinds that are not declared.
func (s *Sender) Keep(declared func(kind string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttle.Keep(declared)
	s.pressures.Keep(declared)
	maps.DeleteFunc(s.inner, func(kind string, _ innerKind) bool { return !declared(kind) })
	maps.DeleteFunc(s.toldAt, func(kind string, _ time.Time) bool { return !declared(kind) })
}
