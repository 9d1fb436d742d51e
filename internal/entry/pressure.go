package entry

import (
	"slices"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// innerFresh is how long a call of the target shows that it makes such calls. It
	// outlasts a surge in which next to no request gets as far.
	innerFresh = 30 * time.Second
	// toldEvery is how often answers of one kind tell of the pressure of services:
	// twice in a period of the throttle, so that it costs 3 KB/s at most at a node
	// that answers three kinds.
	toldEvery = 100 * time.Millisecond
	permille  = 1000
)

// innerKind is a kind that targets call: its service, and when a call entered here.
type innerKind struct {
	service string
	at      time.Time
}

// learnPressure takes in what an answer says of the pressure of services, and of
// those that the kind leads to.
func (s *Sender) learnPressure(kind *schema.Kind, response *relaypb.CarryResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	delete(s.inner, kind.Name)
	if response.Inner {
		s.inner[kind.Name] = innerKind{service: kind.Service, at: now}
	}
	for _, pressed := range response.Pressed {
		s.pressures.Hear(now, admit.Heard{
			Service:  pressed.Service,
			Pressure: float64(pressed.Permille) / permille,
			Age:      time.Duration(pressed.AgeMs) * time.Millisecond,
		})
		if pressed.Below {
			s.pressures.Leads(now, kind.Name, pressed.Service)
		}
	}
	// The answer of a target that leaves says nothing of those that stay. What others
	// told of them is in force meanwhile.
	if pressure, known := s.service(kind.Service).table.Pressure(now); known {
		s.pressures.Hear(now, admit.Heard{Service: kind.Service, Pressure: pressure})
	}
}

// Pressed returns what this node knows of the pressure of services, for passing on
// with an answer of the target beside it to a call of the kind; nothing if one has
// just told of it.
func (s *Sender) Pressed(kind string) []*relaypb.Pressed {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if now.Sub(s.toldAt[kind]) < toldEvery {
		return nil
	}
	told := s.pressures.Told(now)
	if len(told) == 0 {
		return nil
	}
	s.toldAt[kind] = now
	below := s.below(now)
	pressed := make([]*relaypb.Pressed, 0, len(told))
	for _, heard := range told {
		pressed = append(pressed, &relaypb.Pressed{
			Service:  heard.Service,
			Permille: uint32(permille * heard.Pressure),
			AgeMs:    uint32(heard.Age.Milliseconds()),
			Below:    slices.Contains(below, heard.Service),
		})
	}
	return pressed
}

// below returns the services that the target beside this node calls, and those that
// its calls lead to. The lock is held.
func (s *Sender) below(now time.Time) []string {
	var services []string
	for kind, called := range s.inner {
		if now.Sub(called.at) < innerFresh {
			services = append(services, called.service)
			services = append(services, s.pressures.Below(now, kind)...)
		}
	}
	return services
}
