package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/budget"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/dedup"
	"github.com/dandelionfield/dandelionfield/internal/link"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/relaypb/relaypbconnect"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// proxy forwards TCP connections. It can drop the data of the open ones, in one direction or
// both, while new connections work.
type proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	flags    []*dropFlags // of each connection
	// stall blocks all forwarding while it is locked. The proxy then acts like a paused
	// node: connections open, but nothing is answered.
	stall sync.RWMutex
}

// dropFlags selects the directions in which a connection drops all data.
type dropFlags struct {
	toServer, toClient atomic.Bool
}

// relayStub serves the relay interface of a node beside a target.
type relayStub struct {
	relaypbconnect.UnimplementedRelayHandler
	server *local.Server
}

// testbed is a sender, a node beside a target, and the proxy between the two.
type testbed struct {
	sender *Sender
	proxy  *proxy
	// began receives a value when the target begins a call. The call ends when release is
	// closed.
	began   chan struct{}
	release chan struct{}
	runs    atomic.Int32
}

// If a connection goes silent after the target began a call, the call's answer still arrives
// and the call runs only once.
func TestSilentConnectionKeepsAnswer(t *testing.T) {
	for name, set := range map[string]func(f *dropFlags){
		"toward": func(f *dropFlags) { f.toServer.Store(true) },
		"back":   func(f *dropFlags) { f.toClient.Store(true) },
		"both":   func(f *dropFlags) { f.toServer.Store(true); f.toClient.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t)
			answers := make(chan *call.Answer, 1)
			go func() { answers <- b.send(order()) }()
			<-b.began
			b.proxy.dropData(set)
			close(b.release)
			answer := <-answers
			is.Equal(answer.Code, result.OK)
			is.Equal(string(answer.Body), "whole")
			is.Equal(b.runs.Load(), int32(1))
		})
	}
}

// A call sent over a connection that is already silent must not run. The node never saw
// the attempt, says so, and will not run it later.
func TestCallOnSilentConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	close(b.release)
	is.Equal(b.send(order()).Code, result.OK)
	<-b.began
	b.proxy.dropData(func(f *dropFlags) { f.toServer.Store(true) })
	c := order()
	c.Tokens = call.NewTokens(0)
	answer := b.send(c)
	is.Equal(answer.Code.Family(), result.NotRun)
	is.Equal(b.runs.Load(), int32(1))
}

// A paused node may resume before the deadline and then knows what became of the call. A
// call that may run only once waits for this.
func TestCallWaitsForPausedNode(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newTestbed(t)
	answers := make(chan *call.Answer, 1)
	go func() { answers <- b.send(order()) }()
	<-b.began
	b.proxy.stall.Lock()
	close(b.release)
	time.Sleep(maxFateQueries*(fateTimeout+pollInterval) + time.Second)
	b.proxy.stall.Unlock()
	answer := <-answers
	is.Equal(answer.Code, result.OK)
	is.Equal(string(answer.Body), "whole")
	is.Equal(b.runs.Load(), int32(1))
}

// send sends a call with its deadline on the context, as the filter chain does.
func (b *testbed) send(c *call.Call) *call.Answer {
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	return b.sender.Send(ctx, c)
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	b := &testbed{began: make(chan struct{}, 8), release: make(chan struct{})}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b.runs.Add(1)
		b.began <- struct{}{}
		<-b.release
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(target.Close)
	b.proxy = newProxy(t, serveRelay(t, newServer(target.URL)))
	b.sender = &Sender{
		Clock:       clock.System{},
		Metrics:     metric.New(),
		Log:         hclog.NewNullLogger(),
		Client:      relay.NewClient(),
		Route:       route.Settings{Random: func() float64 { return 0 }},
		Backoff:     budget.Backoff{Base: time.Millisecond, Max: time.Millisecond, Random: func() float64 { return 0 }},
		RetryShare:  func(string) float64 { return 0.1 },
		OnStaleView: func() {},
	}
	b.sender.Init(admit.NewEntryGate())
	b.sender.Update(order().Kind.Service, []route.Target{{Name: "node", Incarnation: "inc-1", Address: b.proxy.listener.Addr().String()}})
	return b
}

// newServer returns the server of a node beside a target of the service orders.
func newServer(url string) *local.Server {
	kind := order().Kind
	return local.New(local.Settings{
		Incarnation:    "inc-1",
		Service:        kind.Service,
		Target:         local.NewTarget(strings.TrimPrefix(url, "http://"), 10, local.NewHeldMemory(func() int64 { return 1 << 20 })),
		Clock:          clock.System{},
		Metrics:        metric.New(),
		Log:            hclog.NewNullLogger(),
		Gate:           admit.NewGate(admit.Settings{Slots: 10, Queue: 10, QueueWait: time.Second}),
		AttemptRecords: dedup.New[*relaypb.CarryResponse](dedup.Settings{Retention: time.Minute, MaxBytes: 1 << 20}),
		Ledger:         once.NewLedger[*relaypb.CarryResponse](once.Node{}, once.Rules{}, 1<<20),
		Kind:           func(string) *schema.Kind { return kind },
		Limits:         schema.DefaultLimits,
		ShedStatus:     func() int { return http.StatusServiceUnavailable },
		Levels:         func(time.Time, string) []*relaypb.Level { return nil },
		PublishFloor:   func(uint32) {},
		Revision:       func() int64 { return 1 },
	})
}

func serveRelay(t *testing.T, server *local.Server) string {
	t.Helper()
	mux := http.NewServeMux()
	path, handler := relaypbconnect.NewRelayHandler(&relayStub{server: server})
	mux.Handle(path, handler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := &http.Server{Handler: mux, Protocols: relay.Protocols(), HTTP2: relay.HTTP2()}
	links := &link.Server{Carry: server.Carry}
	go func() { _ = served.Serve(link.Split(listener, links)) }()
	t.Cleanup(func() { _ = served.Close() })
	return listener.Addr().String()
}

func order() *call.Call {
	return &call.Call{
		RequestID: uuid.NewString(),
		Kind:      &schema.Kind{Name: "place_order", Service: "orders", Repeat: schema.Never},
		Deadline:  time.Now().Add(20 * time.Second),
		Tokens:    call.NewTokens(3),
		Method:    http.MethodPost,
		Path:      "/orders",
	}
}

func (r *relayStub) Carry(ctx context.Context, request *connect.Request[relaypb.CarryRequest]) (*connect.Response[relaypb.CarryResponse], error) {
	answer := r.server.Carry(ctx, request.Msg)
	if answer == nil {
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	return connect.NewResponse(answer), nil
}

func (r *relayStub) Fate(ctx context.Context, request *connect.Request[relaypb.FateRequest]) (*connect.Response[relaypb.FateResponse], error) {
	return connect.NewResponse(r.server.Fate(ctx, request.Msg)), nil
}

func newProxy(t *testing.T, to string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, to: to}
	t.Cleanup(func() { _ = listener.Close() })
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = client.Close()
			continue
		}
		f := &dropFlags{}
		p.mu.Lock()
		p.flags = append(p.flags, f)
		p.mu.Unlock()
		go p.forward(server, client, &f.toServer)
		go p.forward(client, server, &f.toClient)
	}
}

func (p *proxy) dropData(set func(f *dropFlags)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.flags {
		set(f)
	}
}

// forward copies until the connection ends. Data that arrives while drop is set is lost.
func (p *proxy) forward(to io.Writer, from io.Reader, drop *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if drop.Load() {
			continue
		}
		p.stall.RLock()
		_, err = to.Write(buffer[:n])
		p.stall.RUnlock()
		if err != nil {
			return
		}
	}
}
