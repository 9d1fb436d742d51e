package entry

import (
	"context"
	"net/http"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/dedup"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// A retry that the node beside the target refuses for the shared budget did not take
// place: the answer before it goes to the caller, and the next call asks for no retry so
// soon after.
func TestDeniedRetryReturnsPreviousAnswer(t *testing.T) {
	is := is.New(t)
	var earlier []relaypb.Earlier
	s := newLocalSender(func(request *relaypb.CarryRequest) *relaypb.CarryResponse {
		earlier = append(earlier, request.Earlier)
		if request.Earlier != relaypb.Earlier_EARLIER_UNSPECIFIED {
			return &relaypb.CarryResponse{AttemptId: request.AttemptId, Code: uint32(result.BudgetSpent)}
		}
		body := []byte("the target's own words")
		return &relaypb.CarryResponse{
			AttemptId: request.AttemptId, Code: uint32(result.TargetShed),
			Status: http.StatusServiceUnavailable, Body: body, Digest: xxhash.Sum64(body), TokensLeft: request.Tokens,
		}
	})
	s.SharedBudget = true
	for range 2 {
		c := order()
		c.Kind = &schema.Kind{Name: "look", Service: c.Kind.Service, Repeat: schema.Safe}
		answer := s.Send(context.Background(), c)
		is.Equal(answer.Code, result.TargetShed)
		is.Equal(string(answer.Body), "the target's own words")
	}
	is.Equal(earlier, []relaypb.Earlier{
		relaypb.Earlier_EARLIER_UNSPECIFIED, relaypb.Earlier_EARLIER_SHED, relaypb.Earlier_EARLIER_UNSPECIFIED,
	})
}

// A call that another process rejected at the target's address has reached a server, so
// sending it again is charged to the shared budget. Otherwise each request would go to all
// targets of a service whose processes are not those that their nodes know.
func TestMisdirectedCallIsChargedToSharedBudget(t *testing.T) {
	is := is.New(t)
	var earlier []relaypb.Earlier
	s := newLocalSender(func(request *relaypb.CarryRequest) *relaypb.CarryResponse {
		earlier = append(earlier, request.Earlier)
		code := dedup.Classify(dedup.Facts{Sent: true, Status: http.StatusMisdirectedRequest, OtherIncarnation: true})
		if request.Earlier != relaypb.Earlier_EARLIER_UNSPECIFIED {
			code = result.BudgetSpent
		}
		return &relaypb.CarryResponse{AttemptId: request.AttemptId, Code: uint32(code), TokensLeft: request.Tokens}
	})
	s.SharedBudget = true
	s.Update(order().Kind.Service, []route.Target{{Name: "one", Incarnation: s.Self + "/1"}, {Name: "two", Incarnation: s.Self + "/2"}})
	answer := s.Send(context.Background(), order())
	is.Equal(answer.Code.Family(), result.NotRun)
	is.Equal(earlier, []relaypb.Earlier{relaypb.Earlier_EARLIER_UNSPECIFIED, relaypb.Earlier_EARLIER_SHED})
}
