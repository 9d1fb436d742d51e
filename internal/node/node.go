// Package node wires one node together: its listeners, its filter chain and
// the controllers that keep its state up to date.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/ahead"
	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/entry"
	"github.com/dandelionfield/dandelionfield/internal/filter"
	"github.com/dandelionfield/dandelionfield/internal/heap"
	"github.com/dandelionfield/dandelionfield/internal/link"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/setup"
	"github.com/dandelionfield/dandelionfield/internal/trail"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// Node is one process beside one target.
type Node struct {
	settings *setup.Node
	doors    Doors
	log      hclog.Logger
	clock    clock.Clock
	metrics  *metric.Set

	incarnation string
	started     time.Time
	store       plat.Store
	client      *relay.Client
	config      *config.Controller
	members     *member.Controller
	sender      *entry.Sender
	local       *local.Server
	held        *local.Held
	rules       atomic.Pointer[filter.Rules]
	plans       plans
	takeovers   takeovers
	status      tracker
	platform    health

	// targets orders the views that become the sender's targets.
	targets sync.Mutex

	presence presence
	callers  *ahead.Server
	// active is set once the node has announced itself, and stays set.
	active  atomic.Bool
	leaving atomic.Bool
	// closed is set once a leaving node takes no more requests of callers.
	closed atomic.Bool
	// mustEnd is when all that a leaving node still takes has to have ended; nil while
	// that does not matter.
	mustEnd atomic.Pointer[time.Time]
	// drainTimeout is that of the settings, in nanoseconds.
	drainTimeout atomic.Int64
	drain        chan struct{}
	once         sync.Once
}

// listeners are bound before anything else: on one host, binding proves that
// an earlier process of the same node accepts nothing any more.
type listeners struct {
	caller net.Listener
	relay  net.Listener
	admin  net.Listener
	// ready and control are nil unless the settings have an address for them.
	ready   net.Listener
	control net.Listener
}

const (
	// readHeaderTimeout bounds how long a caller may take to send its headers.
	readHeaderTimeout = 5 * time.Second
	// closeTimeout bounds the closing of the listeners after the drain.
	closeTimeout = 200 * time.Millisecond
)

// Run runs a node until the context ends, and then drains it.
func Run(ctx context.Context, settings *setup.Node, log hclog.Logger) error {
	return RunWith(ctx, settings, log, Doors{})
}

// RunWith is Run with other doors than the project's own.
func RunWith(ctx context.Context, settings *setup.Node, log hclog.Logger, doors Doors) error {
	heap.Start()
	bound, err := listen(settings)
	if err != nil {
		return err
	}
	n := New(settings, log, clock.System{}, doors)
	return n.run(ctx, bound)
}

// New puts a node together without starting anything.
func New(settings *setup.Node, log hclog.Logger, clk clock.Clock, doors Doors) *Node {
	n := &Node{
		settings:    settings,
		doors:       doors.orOwn(),
		log:         log,
		clock:       clk,
		metrics:     metric.New(),
		incarnation: uuid.NewString(),
		started:     clk.Now(),
		client:      relay.NewClient(),
		drain:       make(chan struct{}),
	}
	n.drainTimeout.Store(int64(settings.DrainTimeout))
	n.client.From = net.ParseIP(settings.RelayFrom)
	n.client.OnSilent(n.linkSilent(trail.NewLimiter(failureLines, time.Second)))
	n.platform.answered = n.started
	store := plat.NewClient(settings.PlatformAddress, plat.Limits{})
	if doors.Store != nil {
		store = *doors.Store
	}
	n.store = n.platform.observed(store, clk.Now)
	n.config = n.newConfig()
	n.members = n.newMembers()
	n.sender = n.newSender()
	n.local = n.newLocal()
	n.metrics.Pressure.From(n.sender.Pressures)
	n.metrics.Admitted.From(n.sender.Admitted)
	n.callers = n.callerServer()
	return n
}

// linkSilent logs, within a bound, which nodes do not answer while calls wait for them.
func (n *Node) linkSilent(lines *trail.Limiter) func(address string) {
	return func(address string) {
		if leftOut, ok := lines.Allow(n.clock.Now(), ""); ok {
			n.log.Warn("link_silent", "address", address, "left_out", leftOut)
		}
	}
}

// Drain makes the node leave, as the end of its context does.
func (n *Node) Drain() {
	n.once.Do(func() { close(n.drain) })
}

func (n *Node) run(ctx context.Context, bound *listeners) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	servers := n.serve(bound)
	go heap.Run(work, n.clock, n.log.Named("heap"))
	go n.local.Run(work)
	go n.members.Run(work)
	go n.start(work)
	n.log.Info("node_started",
		"node", n.settings.Name,
		"incarnation", n.incarnation,
		"service", n.settings.Service,
		"data_centre", n.settings.DataCentre,
		"callers", n.settings.CallerListen,
		"relay", n.settings.RelayListen,
		"admin", n.settings.AdminListen,
	)
	if err := n.await(ctx, servers.failed); err != nil {
		return err
	}
	n.leave(work)
	servers.close()
	n.log.Info("node_stopped", "node", n.settings.Name, "incarnation", n.incarnation)
	return nil
}

// await returns when the node is to leave, or with the error of a server.
func (n *Node) await(ctx context.Context, failed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.drain:
			return nil
		case err := <-failed:
			return err
		case settings := <-n.settings.Reloads:
			n.reload(settings)
		}
	}
}

// start takes the node from its binding to its first call.
func (n *Node) start(ctx context.Context) {
	if err := n.config.Boot(ctx, n.peers); err != nil {
		n.log.Error("boot_failed", "error", err)
	}
	go n.config.Run(ctx)
	go n.becomeActive(ctx)
	go n.watchHealth(ctx)
	if n.doors.Source == nil {
		go n.config.RunCleaner(ctx)
	}
	if !n.announced() {
		go n.keepPlan(ctx)
	}
}

// peers returns the relay addresses of all other nodes.
func (n *Node) peers() []string {
	var addresses []string
	for _, m := range n.members.All() {
		if m.Name != n.settings.Name {
			addresses = append(addresses, m.RelayAddress)
		}
	}
	return addresses
}

// servers are the servers of a node.
type servers struct {
	callers *ahead.Server
	links   *link.Server
	all     []*http.Server
	failed  chan error
}

// serverCount is how many servers a node has at most.
const serverCount = 5

func (n *Node) serve(bound *listeners) *servers {
	s := &servers{
		callers: n.callers,
		links:   &link.Server{Carry: n.carry},
		failed:  make(chan error, serverCount),
	}
	go func() {
		if err := n.callers.Serve(bound.caller); !errors.Is(err, ahead.ErrClosed) {
			s.failed <- err
		}
	}()
	s.start(link.Split(bound.relay, s.links), &http.Server{
		Handler:   n.relayHandler(),
		Protocols: relay.Protocols(),
		HTTP2:     relay.HTTP2(),
	})
	s.start(bound.admin, &http.Server{Handler: n.adminServer().Handler()})
	n.serveDoors(s, bound)
	return s
}

func (s *servers) start(listener net.Listener, server *http.Server) {
	server.ReadHeaderTimeout = readHeaderTimeout
	s.all = append(s.all, server)
	go func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			s.failed <- err
		}
	}()
}

func (s *servers) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	s.callers.Shutdown(ctx)
	s.links.Close(ctx)
	for _, server := range s.all {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}

func (n *Node) limits() schema.Limits {
	rules := n.rules.Load()
	if rules == nil {
		return schema.DefaultLimits()
	}
	return rules.Limits
}

func listen(settings *setup.Node) (*listeners, error) {
	bound := &listeners{}
	for _, one := range []struct {
		address string
		into    *net.Listener
	}{
		{settings.RelayListen, &bound.relay},
		{settings.CallerListen, &bound.caller},
		{settings.AdminListen, &bound.admin},
	} {
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			return nil, err
		}
		*one.into = listener
	}
	if err := listenOptional(settings.ReadyListen, &bound.ready); err != nil {
		return nil, err
	}
	if err := listenOptional(settings.ControlListen, &bound.control); err != nil {
		return nil, err
	}
	return bound, nil
}
