package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	dto "github.com/prometheus/client_model/go"

	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// ownerView is an entry node's view of the owner of one key.
type ownerView struct {
	name     string
	owner    string
	covered  bool
	changing bool
	// answer is the code that the owner's node returns, or 0 if no node is asked.
	answer result.Code
	want   result.Code
}

// OwnerGone is returned only for an owner that the plan names and that is not being
// replaced. In all other cases a later view may name another owner.
func TestOwnerGoneRequiresPlan(t *testing.T) {
	for _, view := range []ownerView{
		{name: "named and gone", covered: true, want: result.OwnerGone},
		{name: "no plan covers the key", want: result.OwnerUnclear},
		{name: "being replaced", covered: true, changing: true, want: result.OwnerUnclear},
		{name: "known but no target", owner: "elsewhere", covered: true, want: result.OwnerUnclear},
		{name: "asked node is not the owner", owner: localIncarnation, covered: true, answer: result.OwnerGone, want: result.OwnerUnclear},
	} {
		t.Run(view.name, func(t *testing.T) {
			is := is.New(t)
			s := newLocalSender(func(request *relaypb.CarryRequest) *relaypb.CarryResponse {
				return &relaypb.CarryResponse{AttemptId: request.AttemptId, Code: uint32(view.answer)}
			})
			s.Owner = func(string, once.Key, bool) (string, result.Code) {
				if view.owner == "" {
					return "", result.OwnerGone
				}
				return view.owner, result.OK
			}
			s.PlanCovers = func(string, once.Key) bool { return view.covered }
			s.OwnerChanging = func(string, once.Key) bool { return view.changing }
			c := order()
			c.Key = once.Mint(time.Now()).Text
			c.Tokens = call.NewTokens(0)
			is.Equal(s.Send(context.Background(), c).Code, view.want)
			if view.answer == 0 {
				is.Equal(refusals(t, s, c.Kind.Service, view.want), 1.0) // counted under the code's name
			}
			is.True(s.Targets(c.Kind.Service)[0].EjectedUntil.IsZero())
		})
	}
}

// A call with a key that was never sent before cannot have run, whichever node owns the key.
func TestFreshKeyWithoutOwnerIsNotRun(t *testing.T) {
	for _, owner := range []string{"elsewhere", localIncarnation} { // no target here, and a node that is not the owner
		is := is.New(t)
		s := newLocalSender(func(request *relaypb.CarryRequest) *relaypb.CarryResponse {
			return &relaypb.CarryResponse{AttemptId: request.AttemptId, Code: uint32(result.OwnerGone)}
		})
		s.Owner = func(string, once.Key, bool) (string, result.Code) { return owner, result.OK }
		s.OwnerChanging = func(string, once.Key) bool { return false }
		c := order()
		c.Key = once.Mint(time.Now()).Text
		c.KeyFresh = true
		is.Equal(s.Send(context.Background(), c).Code, result.NoOwner)
		// NoOwner does not count against the target.
		is.Equal(outcomeOf(result.NoOwner), route.Blameless)
	}
}

// OwnerUnclear does not count against the target, so any number of such answers does not
// eject it.
func TestUnclearOwnerIsBlameless(t *testing.T) {
	is := is.New(t)
	is.Equal(outcomeOf(result.OwnerUnclear), route.Blameless)
}

func refusals(t *testing.T, s *Sender, service string, code result.Code) float64 {
	t.Helper()
	var metric dto.Metric
	if err := s.Metrics.Refusals.WithLabelValues(service, code.String()).Write(&metric); err != nil {
		t.Fatal(err)
	}
	return metric.GetCounter().GetValue()
}
