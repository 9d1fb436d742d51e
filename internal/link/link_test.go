package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/relaypb/relaypbconnect"
)

// echo answers calls by connect-go as the server of the link does.
type echo struct {
	relaypbconnect.UnimplementedRelayHandler
}

var quick = Watch{PingAfter: 300 * time.Millisecond, PingTimeout: 300 * time.Millisecond, Idle: time.Second}

func (echo) Carry(ctx context.Context, request *connect.Request[relaypb.CarryRequest]) (*connect.Response[relaypb.CarryResponse], error) {
	return connect.NewResponse(answer(ctx, request.Msg)), nil
}

func answer(_ context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse {
	return &relaypb.CarryResponse{AttemptId: request.AttemptId, Code: 100, Status: 200, Body: request.Body}
}

// serve returns the address of a server of links, and of HTTP beside them.
func serve(t testing.TB, server *Server) string {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_, handler := relaypbconnect.NewRelayHandler(echo{})
	beside := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	beside.Protocols = new(http.Protocols)
	beside.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = beside.Serve(Split(raw, server)) }()
	t.Cleanup(func() { _ = beside.Close() })
	return raw.Addr().String()
}

func newPool() *Pool {
	return NewPool((&net.Dialer{Timeout: time.Second}).DialContext, quick)
}

func withinSeconds(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestEachCallGetsItsOwnAnswer(t *testing.T) {
	address := serve(t, &Server{Carry: func(ctx context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse {
		time.Sleep(time.Duration(len(request.Body)%7) * time.Millisecond) // answers overtake each other
		return answer(ctx, request)
	}})
	pool := newPool()
	const calls = 200
	errs := make(chan error, calls)
	for i := range calls {
		go func() {
			request := &relaypb.CarryRequest{AttemptId: fmt.Sprint(i), Body: make([]byte, i*500)}
			response, err := pool.Carry(withinSeconds(t), address, request)
			if err == nil && (response.AttemptId != request.AttemptId || len(response.Body) != len(request.Body)) {
				err = errors.New("another call's answer")
			}
			errs <- err
		}()
	}
	for range calls {
		is.New(t).NoErr(<-errs)
	}
}

func TestCallerThatLeavesEndsTheCall(t *testing.T) {
	is := is.New(t)
	began, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	address := serve(t, &Server{Carry: func(ctx context.Context, _ *relaypb.CarryRequest) *relaypb.CarryResponse {
		began <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return nil
	}})
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-began
		leave()
	}()
	_, err := newPool().Carry(ctx, address, &relaypb.CarryRequest{})
	is.True(errors.Is(err, context.Canceled))
	is.True(!errors.Is(err, ErrNeverTaken)) // it had been taken
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the call goes on at the other node")
	}
}

// A node that closes answers what it has taken, and callers may send the rest elsewhere.
func TestClosingNodeTakesNoFurtherCall(t *testing.T) {
	is := is.New(t)
	began, release := make(chan struct{}, 1), make(chan struct{})
	server := &Server{Carry: func(ctx context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse {
		began <- struct{}{}
		<-release
		return answer(ctx, request)
	}}
	address := serve(t, server)
	pool := newPool()
	first := make(chan error, 1)
	go func() {
		_, err := pool.Carry(withinSeconds(t), address, &relaypb.CarryRequest{})
		first <- err
	}()
	<-began
	closed := make(chan struct{})
	go func() {
		server.Close(withinSeconds(t))
		close(closed)
	}()
	for {
		if s := pool.slot(address); !s.client.Usable() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, err := pool.Carry(withinSeconds(t), address, &relaypb.CarryRequest{})
	is.True(errors.Is(err, ErrNeverTaken))
	close(release)
	is.NoErr(<-first)
	<-closed
}

func TestMessagesThatAreTooLarge(t *testing.T) {
	is := is.New(t)
	address := serve(t, &Server{Carry: func(ctx context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse {
		if request.AttemptId == "long answer" {
			return &relaypb.CarryResponse{Body: make([]byte, maxFrameBytes+1)}
		}
		return answer(ctx, request)
	}})
	pool := newPool()
	_, err := pool.Carry(withinSeconds(t), address, &relaypb.CarryRequest{Body: make([]byte, maxFrameBytes+1)})
	is.True(errors.Is(err, ErrTooLarge))
	_, err = pool.Carry(withinSeconds(t), address, &relaypb.CarryRequest{AttemptId: "long answer"})
	is.True(errors.Is(err, ErrTooLarge))
	_, err = pool.Carry(withinSeconds(t), address, &relaypb.CarryRequest{}) // the connection still serves
	is.NoErr(err)
}

// A node of another version speaks HTTP/2 only; nothing of a call reaches it here.
func TestNodeWithoutLinks(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked.Add(1) }))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	_, err := newPool().Carry(withinSeconds(t), server.Listener.Addr().String(), &relaypb.CarryRequest{})
	is.True(errors.Is(err, ErrOtherProtocol))
	is.Equal(asked.Load(), int32(0))
}

func TestClosedPortTookNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is := is.New(t)
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = newPool().Carry(withinSeconds(t), address, &relaypb.CarryRequest{})
	is.True(errors.Is(err, ErrNeverTaken))
}

// A connection that nobody uses is closed, and pings keep no connection open.
func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	address := serve(t, &Server{Carry: answer})
	pool := newPool()
	_, err := pool.Carry(withinSeconds(t), address, &relaypb.CarryRequest{})
	is.NoErr(err)
	client := pool.slot(address).client
	for end := time.Now().Add(5 * time.Second); client.Usable(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("still open")
		}
	}
}

// HTTP/2 took more than half of the memory and processor time of a call between
// nodes, with which the nodes beside a busy service had none left.
func TestCallOnALinkCostsAFractionOfHTTP2(t *testing.T) {
	is := is.New(t)
	address := serve(t, &Server{Carry: answer})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	byConnect := relaypbconnect.NewRelayClient(&http.Client{Transport: &http.Transport{Protocols: protocols}}, "http://"+address)
	pool := newPool()
	request := &relaypb.CarryRequest{AttemptId: "a", Method: http.MethodGet, Path: "/rope/1", Body: make([]byte, 400)}
	const calls = 300
	onLink := testing.AllocsPerRun(calls, func() {
		_, err := pool.Carry(context.Background(), address, request)
		is.NoErr(err)
	})
	onHTTP2 := testing.AllocsPerRun(calls, func() {
		_, err := byConnect.Carry(context.Background(), connect.NewRequest(request))
		is.NoErr(err)
	})
	t.Logf("allocations of a call: %.0f on a link, %.0f by HTTP/2", onLink, onHTTP2)
	is.True(onLink*3 < onHTTP2)
}

// countingConn counts what goes out.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// A connection without a call costs nothing: a node has one to each other node that it
// calls now and then, and pings on all of them took a tenth of its processor time.
func TestNothingIsSentWithoutACall(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	address := serve(t, &Server{Carry: answer})
	pool := NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, &sent}, err
	}, Watch{PingAfter: 50 * time.Millisecond, PingTimeout: 50 * time.Millisecond, Idle: 10 * time.Second})
	_, err := pool.Carry(withinSeconds(t), address, &relaypb.CarryRequest{})
	is.NoErr(err)
	before := sent.Load()
	time.Sleep(500 * time.Millisecond)
	is.Equal(sent.Load(), before)
	_, err = pool.Carry(withinSeconds(t), address, &relaypb.CarryRequest{})
	is.NoErr(err)
}

// A call that takes long on a connection that works is not taken for a silent one.
func TestLongCallIsWaitedFor(t *testing.T) {
	is := is.New(t)
	address := serve(t, &Server{Carry: func(ctx context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse {
		time.Sleep(time.Second)
		return answer(ctx, request)
	}})
	pool := NewPool((&net.Dialer{}).DialContext, Watch{PingAfter: 50 * time.Millisecond, PingTimeout: 100 * time.Millisecond, Idle: time.Second})
	_, err := pool.Carry(withinSeconds(t), address, &relaypb.CarryRequest{})
	is.NoErr(err)
}

// A node that takes a call and falls silent is given up soon, and named.
func TestSilentNodeIsGivenUpAndNamed(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, hello)
		time.Sleep(10 * time.Second)
	}()
	named := make(chan string, 10)
	pool := newPool()
	pool.Silent = func(address string) { named <- address }
	began := time.Now()
	_, err = pool.Carry(withinSeconds(t), listener.Addr().String(), &relaypb.CarryRequest{})
	is.True(errors.Is(err, ErrSilent))
	is.True(time.Since(began) < 2*time.Second)
	is.Equal(<-named, listener.Addr().String())
}
