package entry

import (
	"slices"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// nestedKindTTL is how long after an answer to a nested call the local target still
	// counts as making such calls. It is longer than a surge in which almost no request
	// gets as far as making them.
	nestedKindTTL = 30 * time.Second
	// pressureInterval is the least time between two answers to one kind that carry the
	// pressure of services. It gives two reports in each period of the throttle, at a cost
	// of at most 3 KB/s on a node that answers three kinds.
	pressureInterval = 100 * time.Millisecond
	permille         = 1000
)

// nestedKind is the service of a kind that targets call, and the time of the last answer to
// a call of this kind sent through this node.
type nestedKind struct {
	service string
	at      time.Time
}

// learnPressure records the pressure of services that an answer reports, and which of the
// services are downstream of the kind.
func (s *Sender) learnPressure(kind *schema.Kind, response *relaypb.CarryResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	delete(s.nestedKinds, kind.Name)
	if response.Inner {
		s.nestedKinds[kind.Name] = nestedKind{service: kind.Service, at: now}
	}
	for _, pressed := range response.Pressed {
		s.pressures.Update(now, admit.PressureReport{
			Service:  pressed.Service,
			Pressure: float64(pressed.Permille) / permille,
			Age:      time.Duration(pressed.AgeMs) * time.Millisecond,
		})
		if pressed.Below {
			s.pressures.AddDownstream(now, kind.Name, pressed.Service)
		}
	}
	// The load of a leaving target says nothing about the targets that stay. Until one of
	// these answers, the pressure reported by other nodes remains in force.
	if pressure, known := s.service(kind.Service).table.Pressure(now); known {
		s.pressures.Update(now, admit.PressureReport{Service: kind.Service, Pressure: pressure})
	}
}

// PressureReports returns the pressure of services known to this node, to be passed on with the
// local target's answer to a call of the kind. It returns nil if an answer to the kind
// carried the pressure less than pressureInterval ago.
func (s *Sender) PressureReports(kind string) []*relaypb.Pressed {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if now.Sub(s.pressureSentAt[kind]) < pressureInterval {
		return nil
	}
	reports := s.pressures.Reports(now)
	if len(reports) == 0 {
		return nil
	}
	s.pressureSentAt[kind] = now
	downstream := s.downstream(now)
	pressed := make([]*relaypb.Pressed, 0, len(reports))
	for _, report := range reports {
		pressed = append(pressed, &relaypb.Pressed{
			Service:  report.Service,
			Permille: uint32(permille * report.Pressure),
			AgeMs:    uint32(report.Age.Milliseconds()),
			Below:    slices.Contains(downstream, report.Service),
		})
	}
	return pressed
}

// TargetCalls reports whether the target beside this node has lately made calls of its own.
func (s *Sender) TargetCalls() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, nested := range s.nestedKinds {
		if now.Sub(nested.at) < nestedKindTTL {
			return true
		}
	}
	return false
}

// downstream returns the services that the target beside this node calls, and those that
// these calls lead to. s.mu must be held.
func (s *Sender) downstream(now time.Time) []string {
	var services []string
	for kind, nested := range s.nestedKinds {
		if now.Sub(nested.at) < nestedKindTTL {
			services = append(services, nested.service)
			services = append(services, s.pressures.Downstream(now, kind)...)
		}
	}
	return services
}
