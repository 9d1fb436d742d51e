package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// A target whose address another process has taken over is ejected, and the load that this
// process reports is not recorded for the target.
func TestReplacedTargetIsEjected(t *testing.T) {
	is := is.New(t)
	s := &Sender{Clock: clock.System{}, Metrics: metric.New(), RetryShare: func(string) float64 { return 0.1 }}
	s.Route.Random = func() float64 { return 0.5 }
	s.Init(admit.NewEntryGate())
	state := &sendState{sender: s, call: order()}
	service := state.call.Kind.Service
	lost := route.Target{Name: "lost", Incarnation: "a"}
	s.Update(service, []route.Target{lost, {Name: "other", Incarnation: "b"}})
	for range 4 {
		state.handleResponse(lost, &relaypb.CarryRequest{}, &relaypb.CarryResponse{
			Code: uint32(result.OtherIncarnation),
			Load: &relaypb.Load{Limit: 40},
		}, time.Millisecond, call.NewTokens(0).Lend(false))
	}
	is.Equal(s.Targets(service)[0].Target.Name, "lost")
	is.True(!s.Targets(service)[0].EjectedUntil.IsZero())
	is.Equal(s.Targets(service)[0].Reported.Limit, 0)
}
