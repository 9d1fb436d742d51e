package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// An answer carries the pressure of services. The node passes the pressure on with its age
// and marks as below only the services that its own target calls or that these calls lead
// to, not others that an answer happens to mention.
func TestSenderPassesOnPressure(t *testing.T) {
	for _, inner := range []bool{false, true} {
		is := is.New(t)
		clock := &fakeClock{now: time.Now()}
		s := newLocalSender(func(request *relaypb.CarryRequest) *relaypb.CarryResponse {
			response := completeResponse(request, nil)
			response.Inner = inner
			response.Pressed = []*relaypb.Pressed{
				{Service: "scheduler", Permille: 2000, AgeMs: 100, Below: true},
				{Service: "elsewhere", Permille: 1500, AgeMs: 100},
			}
			return response
		})
		s.Clock = clock
		s.Opaque = true
		is.Equal(len(s.PressureReports("order")), 0) // nothing is known yet
		is.Equal(s.Send(context.Background(), order()).Code, result.OK)

		clock.now = clock.now.Add(200 * time.Millisecond)
		pressed := s.PressureReports("order")
		is.Equal(len(pressed), 2)
		is.Equal(pressed[0].Service, "scheduler")
		is.Equal(pressed[0].Permille, uint32(2000))
		is.Equal(pressed[0].AgeMs, uint32(300))
		is.Equal(pressed[0].Below, inner)
		is.Equal(pressed[1].Service, "elsewhere")
		is.Equal(pressed[1].Below, false)
		is.Equal(len(s.PressureReports("order")), 0) // the answer before has just carried it
		is.Equal(len(s.PressureReports("other")), 2)

		clock.now = clock.now.Add(time.Second)
		is.Equal(len(s.PressureReports("order")), 0) // stale values are dropped
	}
}

// If the only target with a recent report is leaving, its load says nothing about the
// targets that stay, so the pressure reported by others remains in force.
func TestLeavingTargetKeepsReportedPressure(t *testing.T) {
	is := is.New(t)
	s := newLocalSender(func(request *relaypb.CarryRequest) *relaypb.CarryResponse {
		response := completeResponse(request, nil)
		response.Load = &relaypb.Load{InFlight: 1, Limit: 4, OfferedPermille: 1000, Leaving: true}
		response.Pressed = []*relaypb.Pressed{{Service: order().Kind.Service, Permille: 1800, AgeMs: 20}}
		return response
	})
	s.Clock = &fakeClock{now: time.Now()}
	s.Opaque = true
	is.Equal(s.Send(context.Background(), order()).Code, result.OK)
	pressed := s.PressureReports("order")
	is.Equal(len(pressed), 1)
	is.Equal(pressed[0].Permille, uint32(1800))
}

// The metrics show recent values and no stale ones.
func TestMetricsOmitStalePressures(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{now: time.Now()}
	s := newLocalSender(func(request *relaypb.CarryRequest) *relaypb.CarryResponse {
		response := completeResponse(request, nil)
		response.Pressed = []*relaypb.Pressed{{Service: "scheduler", Permille: 1250, AgeMs: 100}}
		return response
	})
	s.Clock = clock
	s.Opaque = true
	s.Metrics.Pressure.SetSource(s.Pressures)
	s.Metrics.Admitted.SetSource(s.AdmittedShares)
	kind := order().Kind
	_, admitted := s.Admits(order())
	is.True(admitted)
	is.Equal(s.Send(context.Background(), order()).Code, result.OK)
	is.Equal(gauges(t, s, "dandelionfield_service_pressure")["scheduler"], 1.25)
	is.Equal(gauges(t, s, "dandelionfield_admitted_share")[kind.Name], 1.0)

	clock.now = clock.now.Add(time.Second)
	is.Equal(len(gauges(t, s, "dandelionfield_service_pressure")), 0)
}

// completeResponse returns the response to an attempt that a target has answered with 200.
func completeResponse(request *relaypb.CarryRequest, body []byte) *relaypb.CarryResponse {
	return &relaypb.CarryResponse{
		AttemptId: request.AttemptId,
		Code:      uint32(result.OK),
		Status:    http.StatusOK,
		Body:      body,
		Digest:    xxhash.Sum64(body),
	}
}

// gauges returns the values of a metric by the value of its only label.
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
