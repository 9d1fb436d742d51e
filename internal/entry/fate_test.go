package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/link"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/relaypb/relaypbconnect"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// fateNode is a node that never answers an attempt, but returns its answer to a fate
	// query.
	fateNode struct {
		relaypbconnect.UnimplementedRelayHandler
		began   chan struct{}
		queries chan fateQuery
	}

	// fateQuery is a fate query that the node received: wait is how long the node may hold
	// it, and left how long the sender waits for the response.
	fateQuery struct {
		wait, left time.Duration
	}
)

// carry accepts a call and never answers it.
func (n *fateNode) carry(ctx context.Context, _ *relaypb.CarryRequest) *relaypb.CarryResponse {
	n.began <- struct{}{}
	<-ctx.Done()
	return nil
}

func (n *fateNode) Fate(ctx context.Context, request *connect.Request[relaypb.FateRequest]) (*connect.Response[relaypb.FateResponse], error) {
	deadline, _ := ctx.Deadline()
	n.queries <- fateQuery{time.Duration(request.Msg.WaitMs) * time.Millisecond, time.Until(deadline)}
	body := []byte("whole")
	return connect.NewResponse(&relaypb.FateResponse{
		State: relaypb.FateState_FATE_STATE_DONE,
		Answer: &relaypb.CarryResponse{
			AttemptId: request.Msg.AttemptId, Code: uint32(result.OK), Status: 200, Body: body, Digest: xxhash.Sum64(body),
		},
	}), nil
}

// The first fate query for a call that is safe to retry only checks whether the node is
// alive. For a call that may run only once, such a probe is of no use, since it has no
// other target.
func TestFirstFateQueryTimeout(t *testing.T) {
	for _, test := range []struct {
		repeat        schema.Repeat
		wait, maxLeft time.Duration
	}{
		{schema.Safe, 0, fateProbeTimeout},
		{schema.Never, fateWait, fateTimeout},
	} {
		t.Run(test.repeat.String(), func(t *testing.T) {
			is := is.New(t)
			node := &fateNode{began: make(chan struct{}, 1), queries: make(chan fateQuery, 9)}
			_, handler := relaypbconnect.NewRelayHandler(node)
			server := httptest.NewUnstartedServer(handler)
			server.Config.Protocols = relay.Protocols()
			server.Config.HTTP2 = relay.HTTP2()
			server.Listener = link.Split(server.Listener, &link.Server{Carry: node.carry})
			server.Start()
			t.Cleanup(server.CloseClientConnections)
			proxied := newProxy(t, server.Listener.Addr().String())
			b := newTestbed(t)
			c := order()
			c.Kind.Repeat = test.repeat
			b.sender.Update(c.Kind.Service, []route.Target{{Name: "node", Incarnation: "inc-1", Address: proxied.listener.Addr().String()}})
			go func() {
				<-node.began
				proxied.dropData(func(f *dropFlags) { f.toServer.Store(true); f.toClient.Store(true) })
			}()
			answer := b.send(c)
			is.Equal(answer.Code, result.OK)
			is.Equal(string(answer.Body), "whole")
			first := <-node.queries
			is.Equal(first.wait, test.wait)
			is.True(first.left <= test.maxLeft)
		})
	}
}
