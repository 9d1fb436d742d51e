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

// As many targets as a request has tokens may be down before the last one is
// found: what was lent with an attempt that reached nobody is not lost.
func TestUnreachedAttemptKeepsItsLoan(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	close(b.release)
	c := order()
	c.Kind.Repeat = schema.Safe
	live := b.wire.listener.Addr().String()
	b.sender.Update(c.Kind.Service, []route.Target{
		{Name: "a", Incarnation: "a", Address: closedPort(t)},
		{Name: "b", Incarnation: "b", Address: closedPort(t)},
		{Name: "c", Incarnation: "c", Address: closedPort(t)},
		{Name: "z", Incarnation: "inc-1", Address: live},
	})
	one := &sending{sender: b.sender, call: c, tried: map[string]bool{"z": true}}
	for range 3 {
		answer := one.attempt(context.Background())
		is.Equal(answer.Code, result.Unreachable)
		is.True(one.again(context.Background(), answer))
	}
	delete(one.tried, "z")
	is.Equal(one.attempt(context.Background()).Code, result.OK)
	is.Equal(c.Tokens.Left(), 0)
}

// Attempts that reached no target were no load to the service, so that they
// leave its allowance to others; those that it refused do not.
func TestUnreachedAttemptsLeaveTheAllowance(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	c := order()
	for range 2 * retryBurst {
		is.True(b.sender.mayRepeat(c, result.Unreachable, 0))
	}
	// The last of the burst has faded by a little.
	for range retryBurst - 1 {
		is.True(b.sender.mayRepeat(c, result.Overloaded, 0))
	}
	is.True(!b.sender.mayRepeat(c, result.Overloaded, 0))
}

func closedPort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	is.New(t).NoErr(listener.Close())
	return listener.Addr().String()
}
