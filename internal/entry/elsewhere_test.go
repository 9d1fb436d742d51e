package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// SendElsewhere sends a call to a target other than the one beside this node. Its first
// attempt is a retry and costs a token, unless the target beside this node has stopped.
func TestSendElsewhereChargesRetries(t *testing.T) {
	for _, test := range []struct {
		refused result.Code
		tokens  int
		code    result.Code
		runs    int32
		left    int
	}{
		{result.TargetStopped, 0, result.OK, 1, 0},
		{result.Overloaded, 0, result.Overloaded, 0, 0},
		{result.Overloaded, 2, result.OK, 1, 1},
	} {
		t.Run(test.refused.String(), func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t)
			close(b.release)
			other := route.Target{Name: "node", Incarnation: "inc-1", Address: b.proxy.listener.Addr().String()}
			beside := route.Target{Name: "beside", Incarnation: "inc-0", Address: "127.0.0.1:1"}
			b.sender.Self = beside.Incarnation
			b.sender.Update(order().Kind.Service, []route.Target{beside, other})
			c := order()
			c.Tokens = call.NewTokens(test.tokens)
			answer := b.sender.SendElsewhere(t.Context(), c, test.refused)
			is.Equal(answer.Code, test.code)
			is.Equal(b.runs.Load(), test.runs)
			is.Equal(c.Tokens.Left(), test.left)
		})
	}
}
