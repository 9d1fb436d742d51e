package entry

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// Tokens lent with an attempt that reached no target are not lost, so a call with three
// tokens still finds the one live target after three that are down.
func TestUnreachableAttemptReturnsTokens(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	close(b.release)
	c := order()
	c.Kind.Repeat = schema.Safe
	live := b.proxy.listener.Addr().String()
	b.sender.Update(c.Kind.Service, []route.Target{
		{Name: "a", Incarnation: "a", Address: closedPort(t)},
		{Name: "b", Incarnation: "b", Address: closedPort(t)},
		{Name: "c", Incarnation: "c", Address: closedPort(t)},
		{Name: "z", Incarnation: "inc-1", Address: live},
	})
	state := &sendState{sender: b.sender, call: c, tried: map[string]bool{"z": true}}
	for range 3 {
		answer := state.attempt(context.Background())
		is.Equal(answer.Code, result.Unreachable)
		is.True(state.prepareRetry(context.Background(), answer))
	}
	delete(state.tried, "z")
	is.Equal(state.attempt(context.Background()).Code, result.OK)
	is.Equal(c.Tokens.Left(), 0)
}

// Attempts that reached no target put no load on the service, so retries after them are not
// charged to its allowance. Retries after refused attempts are.
func TestUnreachableAttemptsDoNotChargeAllowance(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	c := order()
	for range 2 * retryBurst {
		is.True(b.sender.mayRetry(c, result.Unreachable, 0))
	}
	// The saved retries fade over time, so that one fewer than the burst is left.
	for range retryBurst - 1 {
		is.True(b.sender.mayRetry(c, result.Overloaded, 0))
	}
	is.True(!b.sender.mayRetry(c, result.Overloaded, 0))
}

func closedPort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	is.New(t).NoErr(listener.Close())
	return listener.Addr().String()
}
