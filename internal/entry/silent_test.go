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
	"github.com/dandelionfield/dandelionfield/internal/fate"
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

// wire forwards TCP connections, and can make those that are open go silent in
// one direction or both while new ones work.
type wire struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	open     []*mute
	// still holds everything back while it is locked, as a node does that
	// stands still: connections open, and nothing is answered.
	still sync.RWMutex
}

// mute holds back what flows in a direction once it is set.
type mute struct {
	toward, back atomic.Bool
}

type relayStub struct {
	relaypbconnect.UnimplementedRelayHandler
	server *local.Server
}

// bed is one sender, one node beside a target, and the wire between them.
type bed struct {
	sender *Sender
	wire   *wire
	// began receives a value when the target begins a call; the call ends when
	// release is closed.
	began   chan struct{}
	release chan struct{}
	runs    atomic.Int32
}

func TestSilentConnectionLosesNothing(t *testing.T) {
	for name, set := range map[string]func(s *mute){
		"toward": func(s *mute) { s.toward.Store(true) },
		"back":   func(s *mute) { s.back.Store(true) },
		"both":   func(s *mute) { s.toward.Store(true); s.back.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBed(t)
			answers := make(chan *call.Answer, 1)
			go func() { answers <- b.send(order()) }()
			<-b.began
			b.wire.silence(set)
			close(b.release)
			answer := <-answers
			is.Equal(answer.Code, result.OK)
			is.Equal(string(answer.Body), "whole")
			is.Equal(b.runs.Load(), int32(1))
		})
	}
}

// A connection that was silent before the call is sent must not make the call
// run: the node never saw it, and says so for good.
func TestCallOnSilentConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	close(b.release)
	is.Equal(b.send(order()).Code, result.OK)
	<-b.began
	b.wire.silence(func(s *mute) { s.toward.Store(true) })
	c := order()
	c.Tokens = call.NewTokens(0)
	answer := b.send(c)
	is.Equal(answer.Code.Family(), result.NotRun)
	is.Equal(b.runs.Load(), int32(1))
}

// A node that stands still may go on within the deadline, and then it knows what
// became of the call. One that may run only once waits for that.
func TestCallOutlastsAStandstillOfItsNode(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newBed(t)
	answers := make(chan *call.Answer, 1)
	go func() { answers <- b.send(order()) }()
	<-b.began
	b.wire.still.Lock()
	close(b.release)
	time.Sleep(fateQuestions*(fateTimeout+fatePause) + time.Second)
	b.wire.still.Unlock()
	answer := <-answers
	is.Equal(answer.Code, result.OK)
	is.Equal(string(answer.Body), "whole")
	is.Equal(b.runs.Load(), int32(1))
}

// send sends a call within its deadline, as the filter chain does.
func (b *bed) send(c *call.Call) *call.Answer {
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	return b.sender.Send(ctx, c)
}

func newBed(t *testing.T) *bed {
	t.Helper()
	b := &bed{began: make(chan struct{}, 8), release: make(chan struct{})}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b.runs.Add(1)
		b.began <- struct{}{}
		<-b.release
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(target.Close)
	b.wire = newWire(t, serveRelay(t, newServer(target.URL)))
	b.sender = &Sender{
		Clock:      clock.System{},
		Metrics:    metric.New(),
		Log:        hclog.NewNullLogger(),
		Client:     relay.NewClient(),
		Route:      route.Settings{Random: func() float64 { return 0 }},
		Backoff:    budget.Backoff{Base: time.Millisecond, Max: time.Millisecond, Random: func() float64 { return 0 }},
		RetryShare: func(string) float64 { return 0.1 },
		Moved:      func() {},
	}
	b.sender.Init(admit.NewDoor())
	b.sender.Update(order().Kind.Service, []route.Target{{Name: "node", Incarnation: "inc-1", Address: b.wire.listener.Addr().String()}})
	return b
}

// newServer returns the node beside a target that serves orders.
func newServer(url string) *local.Server {
	kind := order().Kind
	return local.New(local.Settings{
		Incarnation: "inc-1",
		Service:     kind.Service,
		Target:      local.NewTarget(strings.TrimPrefix(url, "http://"), 10, local.NewHeld(func() int64 { return 1 << 20 })),
		Clock:       clock.System{},
		Metrics:     metric.New(),
		Log:         hclog.NewNullLogger(),
		Gate:        admit.NewGate(admit.Settings{Slots: 10, Queue: 10, QueueWait: time.Second}),
		Book:        fate.New[*relaypb.CarryResponse](fate.Settings{Keep: time.Minute, MaxBytes: 1 << 20}),
		Ledger:      once.NewLedger[*relaypb.CarryResponse](once.Node{}, once.Rules{}, 1<<20),
		Kind:        func(string) *schema.Kind { return kind },
		Limits:      schema.DefaultLimits,
		ShedStatus:  func() int { return http.StatusServiceUnavailable },
		Levels:      func(time.Time, string) []*relaypb.Level { return nil },
		Learn:       func(uint32) {},
		Revision:    func() int64 { return 1 },
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

func newWire(t *testing.T, to string) *wire {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{listener: listener, to: to}
	t.Cleanup(func() { _ = listener.Close() })
	go w.accept()
	return w
}

func (w *wire) accept() {
	for {
		near, err := w.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", w.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		s := &mute{}
		w.mu.Lock()
		w.open = append(w.open, s)
		w.mu.Unlock()
		go w.forward(far, near, &s.toward)
		go w.forward(near, far, &s.back)
	}
}

func (w *wire) silence(set func(s *mute)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.open {
		set(s)
	}
}

// forward copies until the end; what comes while it is silent is lost.
func (w *wire) forward(to io.Writer, from io.Reader, silent *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if silent.Load() {
			continue
		}
		w.still.RLock()
		_, err = to.Write(buffer[:n])
		w.still.RUnlock()
		if err != nil {
			return
		}
	}
}
