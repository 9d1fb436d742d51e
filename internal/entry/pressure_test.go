package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// An answer tells of the pressure of services. The node passes it on with its age,
// and says which of the services its own target calls: those that the target's own
// calls lead to, and none of which it heard by chance.
func TestAnswersBringThePressureOfServices(t *testing.T) {
	for _, inner := range []bool{false, true} {
		is := is.New(t)
		clock := &hasty{now: time.Now()}
		s := newNear(func(request *relaypb.CarryRequest) *relaypb.CarryResponse {
			return &relaypb.CarryResponse{
				AttemptId: request.AttemptId,
				Code:      uint32(result.OK),
				Inner:     inner,
				Pressed: []*relaypb.Pressed{
					{Service: "scheduler", Permille: 2000, AgeMs: 100, Below: true},
					{Service: "elsewhere", Permille: 1500, AgeMs: 100},
				},
			}
		})
		s.Clock = clock
		s.Opaque = true
		is.Equal(len(s.Pressed("order")), 0) // nothing is known yet
		is.Equal(s.Send(context.Background(), order()).Code, result.OK)

		clock.now = clock.now.Add(200 * time.Millisecond)
		pressed := s.Pressed("order")
		is.Equal(len(pressed), 2)
		is.Equal(pressed[0].Service, "scheduler")
		is.Equal(pressed[0].Permille, uint32(2000))
		is.Equal(pressed[0].AgeMs, uint32(300))
		is.Equal(pressed[0].Below, inner)
		is.Equal(pressed[1].Service, "elsewhere")
		is.Equal(pressed[1].Below, false)
		is.Equal(len(s.Pressed("order")), 0) // the answer before has just told it
		is.Equal(len(s.Pressed("other")), 2)

		clock.now = clock.now.Add(time.Second)
		is.Equal(len(s.Pressed("order")), 0) // nobody goes by what is old
	}
}

// The only target of which a node has heard of late leaves. Its answer says nothing
// of the targets that stay, so that what others told of them stays in force.
func TestAnswerOfALeavingTargetKeepsThePressureThatOthersTold(t *testing.T) {
	is := is.New(t)
	s := newNear(func(request *relaypb.CarryRequest) *relaypb.CarryResponse {
		return &relaypb.CarryResponse{
			AttemptId: request.AttemptId,
			Code:      uint32(result.OK),
			Load:      &relaypb.Load{InFlight: 1, Limit: 4, OfferedPermille: 1000, Leaving: true},
			Pressed:   []*relaypb.Pressed{{Service: order().Kind.Service, Permille: 1800, AgeMs: 20}},
		}
	})
	s.Clock = &hasty{now: time.Now()}
	s.Opaque = true
	is.Equal(s.Send(context.Background(), order()).Code, result.OK)
	pressed := s.Pressed("order")
	is.Equal(len(pressed), 1)
	is.Equal(pressed[0].Permille, uint32(1800))
}

// The metrics show what is known of late, and nothing that is old.
func TestMetricsShowFreshPressures(t *testing.T) {
	is := is.New(t)
	clock := &hasty{now: time.Now()}
	s := newNear(func(request *relaypb.CarryRequest) *relaypb.CarryResponse {
		return &relaypb.CarryResponse{
			AttemptId: request.AttemptId,
			Code:      uint32(result.OK),
			Pressed:   []*relaypb.Pressed{{Service: "scheduler", Permille: 1250, AgeMs: 100}},
		}
	})
	s.Clock = clock
	s.Opaque = true
	s.Metrics.Pressure.From(s.Pressures)
	s.Metrics.Admitted.From(s.Admitted)
	kind := order().Kind
	_, admitted := s.Admits(kind)
	is.True(admitted)
	is.Equal(s.Send(context.Background(), order()).Code, result.OK)
	is.Equal(gauges(t, s, "dandelionfield_service_pressure")["scheduler"], 1.25)
	is.Equal(gauges(t, s, "dandelionfield_admitted_share")[kind.Name], 1.0)

	clock.now = clock.now.Add(time.Second)
	is.Equal(len(gauges(t, s, "dandelionfield_service_pressure")), 0)
}

// gauges returns the values of a metric by its one label.
func gauges(t *testing.T, s *Sender, name string) map[string]float64 {
	t.Helper()
	families, err := s.Metrics.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			values[metric.GetLabel()[0].GetValue()] = metric.GetGauge().GetValue()
		}
	}
	return values
}
