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

// ownerView is what an entry node knows of the owner of one key.
type ownerView struct {
	name     string
	keeper   string
	covered  bool
	settling bool
	// answer is the code of the node that is asked, if one is.
	answer result.Code
	want   result.Code
}

// "The owner is gone" is said only of an owner that the plan names and that
// nobody replaces. Everything else may look different in a moment.
func TestOwnerIsGoneOnlyWhereThePlanNamesIt(t *testing.T) {
	for _, view := range []ownerView{
		{name: "named and gone", covered: true, want: result.OwnerGone},
		{name: "no plan covers the key", want: result.OwnerUnclear},
		{name: "being replaced", covered: true, settling: true, want: result.OwnerUnclear},
		{name: "known but no target", keeper: "elsewhere", covered: true, want: result.OwnerUnclear},
		{name: "asked, and not the owner", keeper: near, covered: true, answer: result.OwnerGone, want: result.OwnerUnclear},
	} {
		t.Run(view.name, func(t *testing.T) {
			is := is.New(t)
			s := newNear(func(request *relaypb.CarryRequest) *relaypb.CarryResponse {
				return &relaypb.CarryResponse{AttemptId: request.AttemptId, Code: uint32(view.answer)}
			})
			s.Owner = func(string, once.Key, bool) (string, result.Code) {
				if view.keeper == "" {
					return "", result.OwnerGone
				}
				return view.keeper, result.OK
			}
			s.Covered = func(string, once.Key) bool { return view.covered }
			s.Settling = func(string, once.Key) bool { return view.settling }
			c := order()
			c.Key = once.Mint(time.Now()).Text
			c.Tokens = call.NewTokens(0)
			is.Equal(s.Send(context.Background(), c).Code, view.want)
			if view.answer == 0 {
				is.Equal(refused(t, s, c.Kind.Service, view.want), 1.0) // counted by its name
			}
			is.True(s.Targets(c.Kind.Service)[0].EjectedUntil.IsZero())
		})
	}
}

// A key that was never sent before cannot have run, whoever its owner is.
func TestFreshKeyWithoutOwnerIsNotRun(t *testing.T) {
	for _, keeper := range []string{"elsewhere", near} { // no target here, and a node that is not the owner
		is := is.New(t)
		s := newNear(func(request *relaypb.CarryRequest) *relaypb.CarryResponse {
			return &relaypb.CarryResponse{AttemptId: request.AttemptId, Code: uint32(result.OwnerGone)}
		})
		s.Owner = func(string, once.Key, bool) (string, result.Code) { return keeper, result.OK }
		s.Settling = func(string, once.Key) bool { return false }
		c := order()
		c.Key = once.Mint(time.Now()).Text
		c.KeyFresh = true
		is.Equal(s.Send(context.Background(), c).Code, result.NoOwner)
		// Nor does it say anything against the target.
		is.Equal(outcome(result.NoOwner), route.Blameless)
	}
}

// Answers that say nothing against a target do not eject it, however many.
func TestUnclearOwnerIsBlameless(t *testing.T) {
	is := is.New(t)
	is.Equal(outcome(result.OwnerUnclear), route.Blameless)
}

func refused(t *testing.T, s *Sender, service string, code result.Code) float64 {
	t.Helper()
	var metric dto.Metric
	if err := s.Metrics.Refusals.WithLabelValues(service, code.String()).Write(&metric); err != nil {
		t.Fatal(err)
	}
	return metric.GetCounter().GetValue()
}
