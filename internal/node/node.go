// Package node assembles a node: its listeners, its filter chain and the controllers that
// keep its state up to date.
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

	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/entry"
	"github.com/dandelionfield/dandelionfield/internal/filter"
	"github.com/dandelionfield/dandelionfield/internal/gctune"
	"github.com/dandelionfield/dandelionfield/internal/httpd"
	"github.com/dandelionfield/dandelionfield/internal/link"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/loglim"
	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/setup"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// Node is one node process, which runs beside one target.
type Node struct {
	settings *setup.Node
	adapters Adapters
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
	heldAnswers *local.HeldMemory
	// memory bounds what requests and answers hold together.
	memory    *alloc.Pool
	rules     atomic.Pointer[filter.Rules]
	plans     plans
	takeovers takeovers
	adoption  planAdoption
	revisions revisionTracker
	platform  platformHealth
	quotas    *quotas

	// targetsMu serialises the updates of the sender's targets.
	targetsMu sync.Mutex

	targetPresence targetPresence
	callers        *httpd.Server
	// booted is closed once the configuration has been read at the start, and caughtUp is
	// set once that has been used to catch up.
	booted   chan struct{}
	caughtUp atomic.Bool
	// active is set once the node has announced that it is active, and stays set.
	active  atomic.Bool
	leaving atomic.Bool
	// closed is set once a leaving node accepts no more requests of callers.
	closed atomic.Bool
	// drainDeadline is the time by which all requests that a leaving node still accepts
	// must have ended. It is nil until the node enforces that limit.
	drainDeadline atomic.Pointer[time.Time]
	// drainTimeout is the drain timeout of the settings, in nanoseconds.
	drainTimeout atomic.Int64
	drain        chan struct{}
	drainOnce    sync.Once
}

// listeners are bound before anything else starts: on one host, binding proves that an
// earlier process of the same node no longer accepts connections.
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
	// closeTimeout bounds closing the servers after the drain.
	closeTimeout = 200 * time.Millisecond
)

// Run runs a node until the context ends, and then drains it.
func Run(ctx context.Context, settings *setup.Node, log hclog.Logger) error {
	return RunWith(ctx, settings, log, Adapters{})
}

// RunWith is Run with the given implementations in place of the project's own.
func RunWith(ctx context.Context, settings *setup.Node, log hclog.Logger, adapters Adapters) error {
	gctune.SetInitialPercent()
	bound, err := listen(settings)
	if err != nil {
		return err
	}
	n := New(settings, log, clock.System{}, adapters)
	return n.run(ctx, bound)
}

// New assembles a node without starting anything.
func New(settings *setup.Node, log hclog.Logger, clk clock.Clock, adapters Adapters) *Node {
	n := &Node{
		settings:    settings,
		adapters:    adapters.withDefaults(),
		log:         log,
		clock:       clk,
		metrics:     metric.New(),
		incarnation: uuid.NewString(),
		started:     clk.Now(),
		client:      relay.NewClient(),
		drain:       make(chan struct{}),
		booted:      make(chan struct{}),
		memory:      alloc.NewPool(settings.RequestMemory()),
	}
	n.quotas = newQuotas(n.incarnation, n.started)
	n.drainTimeout.Store(int64(settings.DrainTimeout))
	n.client.LocalIP = net.ParseIP(settings.RelayFrom)
	n.client.SetMemory(n.memory)
	n.client.OnSilent(n.linkSilent(loglim.NewLimiter(failureLinesPerSecond, time.Second)))
	n.platform.answered = n.started
	store := plat.NewClient(settings.PlatformAddress, plat.Limits{})
	if adapters.Store != nil {
		store = *adapters.Store
	}
	n.store = n.platform.instrument(store, clk.Now)
	n.store.NotifyRestore(n.storeRestored)
	n.config = n.newConfig()
	n.members = n.newMembers()
	n.sender = n.newSender()
	n.local = n.newLocal()
	n.metrics.Pressure.SetSource(n.sender.Pressures)
	n.metrics.Admitted.SetSource(n.sender.AdmittedShares)
	n.metrics.QuotaShare.SetSource(n.quotas.limitedShares)
	n.metrics.Slow.SetSource(n.sender.SlowTargets)
	n.metrics.RequestMemory.SetSource(func() float64 { return float64(n.memory.Held()) })
	n.metrics.RequestMemoryWanted.SetSource(func() float64 { return float64(n.memory.Wanted()) })
	n.metrics.RequestMemoryLimit.Set(float64(settings.RequestMemory()))
	n.callers = n.callerServer()
	return n
}

// linkSilent returns a callback that logs, at a limited rate, which nodes do not answer
// while calls wait for them.
func (n *Node) linkSilent(limiter *loglim.Limiter) func(address string) {
	return func(address string) {
		if suppressed, ok := limiter.Allow(n.clock.Now(), ""); ok {
			n.log.Warn("link_silent", "address", address, "left_out", suppressed)
		}
	}
}

// Drain starts a planned stop, as does the end of the context of Run.
func (n *Node) Drain() {
	n.drainOnce.Do(func() { close(n.drain) })
}

func (n *Node) run(ctx context.Context, bound *listeners) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	servers := n.serve(bound)
	go gctune.Run(work, n.clock, n.log.Named("heap"))
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

// await returns nil when the node is to leave, or the error of a server that failed.
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

// start brings a node whose listeners are bound to the active state.
func (n *Node) start(ctx context.Context) {
	if err := n.config.Boot(ctx, n.peers); err != nil {
		n.log.Error("boot_failed", "error", err)
	}
	close(n.booted)
	go n.config.Run(ctx)
	go n.becomeActive(ctx)
	go n.watchHealth(ctx)
	go n.runQuotas(ctx)
	go n.runCollector(ctx)
	if n.adapters.Source == nil {
		go n.config.RunCleaner(ctx)
	}
	if !n.targetsAnnounce() {
		go n.maintainPlan(ctx)
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

// servers groups the running servers of a node.
type servers struct {
	callers *httpd.Server
	links   *link.Server
	all     []*http.Server
	failed  chan error
}

// serverCount is how many servers a node has at most.
const serverCount = 5

func (n *Node) serve(bound *listeners) *servers {
	s := &servers{
		callers: n.callers,
		links:   &link.Server{Carry: n.carry, Memory: n.memory, Refuse: n.refuseForMemory},
		failed:  make(chan error, serverCount),
	}
	go func() {
		if err := n.callers.Serve(bound.caller); !errors.Is(err, httpd.ErrClosed) {
			s.failed <- err
		}
	}()
	s.start(link.Split(bound.relay, s.links), &http.Server{
		Handler:   n.relayHandler(),
		Protocols: relay.Protocols(),
		HTTP2:     relay.HTTP2(),
	})
	s.start(bound.admin, &http.Server{Handler: n.adminServer().Handler()})
	n.serveOptional(s, bound)
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
	for _, binding := range []struct {
		address string
		into    *net.Listener
	}{
		{settings.RelayListen, &bound.relay},
		{settings.CallerListen, &bound.caller},
		{settings.AdminListen, &bound.admin},
	} {
		listener, err := net.Listen("tcp", binding.address)
		if err != nil {
			return nil, err
		}
		*binding.into = listener
	}
	if err := listenOptional(settings.ReadyListen, &bound.ready); err != nil {
		return nil, err
	}
	if err := listenOptional(settings.ControlListen, &bound.control); err != nil {
		return nil, err
	}
	return bound, nil
}
