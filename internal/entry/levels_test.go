package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

const highFloor = 1 << 17

// An answer brings the floors of the services further down the chain, and the
// next request is refused at the door by them. They are passed on with their age,
// but for that of the node which adds its own.
func TestAnswersBringTheFloorsOfTheChain(t *testing.T) {
	is := is.New(t)
	clock := &hasty{now: time.Now()}
	s := newNear(func(request *relaypb.CarryRequest) *relaypb.CarryResponse {
		return &relaypb.CarryResponse{AttemptId: request.AttemptId, Code: uint32(result.OK), Levels: []*relaypb.Level{
			{Service: "stock", Node: "inc-stock", Floor: highFloor, AgeMs: 100},
			{Service: "orders", Node: near, Floor: 0},
		}}
	})
	s.Clock = clock
	chain := []string{"orders", "stock"}
	_, ok := s.Allows(chain, highFloor-1)
	is.True(ok) // nothing is known yet
	is.Equal(s.Send(context.Background(), order()).Code, result.OK)

	refusing, ok := s.Allows(chain, highFloor-1)
	is.True(!ok)
	is.Equal(refusing, "stock")
	_, ok = s.Allows(chain, highFloor)
	is.True(ok) // the floor itself is let in
	_, ok = s.Allows([]string{"orders"}, 0)
	is.True(ok) // what does not go there is let in

	clock.now = clock.now.Add(200 * time.Millisecond)
	passed := s.Levels(clock.now, chain, near)
	is.Equal(len(passed), 1)
	is.Equal(passed[0].Service, "stock")
	is.Equal(passed[0].Floor, uint32(highFloor))
	is.Equal(passed[0].AgeMs, uint32(300)) // so that a floor does not stay young by being passed on
}
