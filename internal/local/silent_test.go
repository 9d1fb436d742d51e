package local

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	dto "github.com/prometheus/client_model/go"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// silentCase is a node beside a target that drops some requests: it answers neither them
// nor anything else on their connections.
type silentCase struct {
	server *Server
	// closed receives the id of each dropped request when the node closes its connection.
	closed chan string
}

const dropPrefix = "drop-"

func newSilentCase(t *testing.T, repeat schema.Repeat) *silentCase {
	t.Helper()
	c := &silentCase{closed: make(chan string, 10)}
	target := newScriptedTarget(t, func(_ *scriptedTarget, conn net.Conn, reader *bufio.Reader) {
		for {
			id, ok := readRequestID(reader)
			switch {
			case !ok:
				return
			case strings.HasPrefix(id, dropPrefix):
				_, _ = io.Copy(io.Discard, reader)
				c.closed <- id
				return
			}
			_, _ = io.WriteString(conn, success(id))
		}
	})
	kind := &schema.Kind{Name: "k", Service: "s", Repeat: repeat}
	c.server = newServer(target.listener.Addr().String(), kind, schema.DefaultLimits())
	c.server.settings.Target.Wire = testWire()
	c.server.settings.PublishFloor = func(uint32) {}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.server.Run(ctx)
	return c
}

// carry sends a request with an id and returns the result and how long it took.
func (c *silentCase) carry(id string, deadline time.Duration) (result.Code, time.Duration) {
	begin := time.Now()
	answer := c.server.Carry(context.Background(), &relaypb.CarryRequest{
		AttemptId:   uuid.Must(uuid.NewV7()).String(),
		RequestId:   id,
		Incarnation: incarnation,
		Kind:        "k",
		Method:      "GET",
		Path:        "/x",
		TimeLeftMs:  uint32(deadline.Milliseconds()),
	})
	return result.Code(answer.Code), time.Since(begin)
}

// serve sends requests that the target answers until stop is closed.
func (c *silentCase) serve(t *testing.T, stop <-chan struct{}) {
	t.Helper()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		if code, _ := c.carry("served", 5*time.Second); code != result.OK {
			t.Errorf("a request beside the dropped ones: %s", code)
			return
		}
	}
}

// dropped sends requests that the target drops, beside others that it answers, and returns
// how each of the dropped ones ended.
func (c *silentCase) dropped(t *testing.T, requests int, deadline time.Duration) (codes []result.Code, longest time.Duration) {
	t.Helper()
	stop := make(chan struct{})
	served := make(chan struct{})
	go func() {
		defer close(served)
		c.serve(t, stop)
	}()
	time.Sleep(1500 * time.Millisecond) // the node learns how long calls take
	type end struct {
		code result.Code
		took time.Duration
	}
	ends := make(chan end, requests)
	for range requests {
		go func() {
			code, took := c.carry(dropPrefix+"1", deadline)
			ends <- end{code, took}
		}()
	}
	for range requests {
		e := <-ends
		codes = append(codes, e.code)
		longest = max(longest, e.took)
	}
	close(stop)
	<-served
	return codes, longest
}

// A safe call that the target dropped ends while there is time to send it elsewhere. It may
// have run, so it is never reported as not run. Its connection is closed.
func TestDroppedSafeCallEndsEarly(t *testing.T) {
	is := is.New(t)
	c := newSilentCase(t, schema.Safe)
	codes, took := c.dropped(t, 3, 5*time.Second)
	is.Equal(codes, []result.Code{result.Lost, result.Lost, result.Lost})
	is.True(took < 2*time.Second)
	for range codes {
		is.Equal(<-c.closed, dropPrefix+"1")
	}
	var metric dto.Metric
	is.NoErr(c.server.settings.Metrics.Unanswered.Write(&metric))
	is.Equal(metric.GetCounter().GetValue(), 3.0)
}

// A dropped call that must not run twice is waited for until its deadline and then reported
// as unknown. The target has four slots: three dropped calls must not keep others from
// being served.
func TestDroppedUnsafeCallIsUnknown(t *testing.T) {
	is := is.New(t)
	c := newSilentCase(t, schema.Never)
	codes, took := c.dropped(t, 3, time.Second)
	is.Equal(codes, []result.Code{result.TimedOut, result.TimedOut, result.TimedOut})
	is.True(took >= time.Second)
	is.Equal(result.TimedOut.Family(), result.Unknown)
}

// A node that leaves cuts no call off: it waits for the answer of each.
func TestLeavingNodeWaitsForUnansweredCalls(t *testing.T) {
	is := is.New(t)
	c := newSilentCase(t, schema.Safe)
	c.server.Leave()
	codes, took := c.dropped(t, 1, time.Second)
	is.Equal(codes, []result.Code{result.TimedOut})
	is.True(took >= time.Second)
}
