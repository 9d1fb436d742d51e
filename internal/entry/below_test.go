package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

const failedAnswers = 10

// A target is ejected for answers that fail by themselves, and not for those
// that fail because of the calls below it.
func TestFailureBelowDoesNotEject(t *testing.T) {
	for name, below := range map[string]bool{"own": false, "below": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := order()
			s := &Sender{
				Clock:      clock.System{},
				Metrics:    metric.New(),
				Route:      route.Settings{Random: func() float64 { return 0 }},
				RetryShare: func(string) float64 { return 0.1 },
			}
			s.Init(admit.NewDoor())
			target := route.Target{Name: "node", Incarnation: "inc-1"}
			s.Update(c.Kind.Service, []route.Target{target, {Name: "other", Incarnation: "inc-2"}})
			for range failedAnswers {
				answer := takeFailure(s, c, target, below)
				is.Equal(answer.Header.Get(local.BelowHeader), "")
			}
			is.Equal(s.Targets(c.Kind.Service)[0].EjectedUntil.IsZero(), below)
		})
	}
}

func takeFailure(s *Sender, c *call.Call, target route.Target, below bool) *call.Answer {
	response := &relaypb.CarryResponse{Code: uint32(result.TargetFailed)}
	if below {
		response.Headers = []*relaypb.Header{{Name: local.BelowHeader, Value: "true"}}
	}
	one := &sending{sender: s, call: c}
	return one.take(target, s.request(c, target, 0), response, time.Millisecond, c.Tokens.Lend())
}

// A caller that leaves says nothing against the target.
func TestCallerThatLeftIsBlameless(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	one := &sending{sender: &Sender{Clock: clock.System{}}, call: order()}
	_, code, outcome := one.settle(ctx, route.Target{}, &relaypb.CarryRequest{}, ctx.Err())
	is.Equal(code, result.CancelledLate)
	is.Equal(outcome, route.Blameless)
}
