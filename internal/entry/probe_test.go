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
	// asked is a node that never answers an attempt, and hands over its answer
	// when it is asked for the fate.
	asked struct {
		relaypbconnect.UnimplementedRelayHandler
		began     chan struct{}
		questions chan question
	}

	// question is how long its sender lets the node wait, and waits itself.
	question struct {
		wait, left time.Duration
	}
)

// carry takes a call and never answers it.
func (a *asked) carry(ctx context.Context, _ *relaypb.CarryRequest) *relaypb.CarryResponse {
	a.began <- struct{}{}
	<-ctx.Done()
	return nil
}

func (a *asked) Fate(ctx context.Context, request *connect.Request[relaypb.FateRequest]) (*connect.Response[relaypb.FateResponse], error) {
	deadline, _ := ctx.Deadline()
	a.questions <- question{time.Duration(request.Msg.WaitMs) * time.Millisecond, time.Until(deadline)}
	body := []byte("whole")
	return connect.NewResponse(&relaypb.FateResponse{
		State: relaypb.FateState_FATE_STATE_DONE,
		Answer: &relaypb.CarryResponse{
			AttemptId: request.Msg.AttemptId, Code: uint32(result.OK), Status: 200, Body: body, Digest: xxhash.Sum64(body),
		},
	}), nil
}

// The first question about a call that may be repeated only finds out whether the
// node is alive. One that may run only once has no use for a quick no.
func TestFirstQuestionIsShortWhereAnotherTargetMayServe(t *testing.T) {
	for _, test := range []struct {
		repeat     schema.Repeat
		wait, most time.Duration
	}{
		{schema.Safe, 0, fateProbe},
		{schema.Never, fateWait, fateTimeout},
	} {
		t.Run(test.repeat.String(), func(t *testing.T) {
			is := is.New(t)
			node := &asked{began: make(chan struct{}, 1), questions: make(chan question, 9)}
			_, handler := relaypbconnect.NewRelayHandler(node)
			server := httptest.NewUnstartedServer(handler)
			server.Config.Protocols = relay.Protocols()
			server.Config.HTTP2 = relay.HTTP2()
			server.Listener = link.Split(server.Listener, &link.Server{Carry: node.carry})
			server.Start()
			t.Cleanup(server.CloseClientConnections)
			between := newWire(t, server.Listener.Addr().String())
			b := newBed(t)
			c := order()
			c.Kind.Repeat = test.repeat
			b.sender.Update(c.Kind.Service, []route.Target{{Name: "node", Incarnation: "inc-1", Address: between.listener.Addr().String()}})
			go func() {
				<-node.began
				between.silence(func(s *mute) { s.toward.Store(true); s.back.Store(true) })
			}()
			answer := b.send(c)
			is.Equal(answer.Code, result.OK)
			is.Equal(string(answer.Body), "whole")
			first := <-node.questions
			is.Equal(first.wait, test.wait)
			is.True(first.left <= test.most)
		})
	}
}
