package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

const (
	// roundInterval is the mean time between two gossip rounds of a ready node.
	roundInterval = 300 * time.Millisecond
	// unreadyInterval is the mean time between two rounds while the node is not ready.
	unreadyInterval = 100 * time.Millisecond
	// roundPeers is the usual number of members that a round exchanges with. Probes of
	// lapsed and gone members come in addition.
	roundPeers = 2
	// sendTimeout limits one exchange.
	sendTimeout = time.Second
	// maxInFlight limits the exchanges of a node that await an answer.
	maxInFlight = 8
	// crossRegionShare is the fraction of rounds that contact another region.
	crossRegionShare = 0.25

	// quietPeriod is how long a view must have been unchanged before a node sends its full
	// view to a peer whose view differs; while changes still spread, deltas resolve the
	// difference. If changes never cease, the node sends its full view once it has found no
	// peer with an equal view for mismatchLimit.
	quietPeriod   = 2 * time.Second
	mismatchLimit = 10 * time.Second
	// A full view is sent at most once per fullViewIntervalPerMember times the number of
	// members, and at most once per minFullViewInterval. With 530 members of 155 bytes that
	// is at most 82 KB in 13 s, or 6 KB/s.
	fullViewIntervalPerMember = 25 * time.Millisecond
	minFullViewInterval       = time.Second

	// lapsedShare is the largest fraction of rounds that probe a lapsed member. With n
	// other members the fraction is at most lapsedRate/n, so that n nodes do not flood one
	// address.
	lapsedShare = 0.1
	// recentlyGoneRate is used instead of lapsedRate for recently gone members, which most
	// likely restart at their address and then know no other members. Each node of a small
	// cluster probes one of them in every round; all nodes of a large cluster together
	// probe 33 times per second.
	recentlyGoneRate = 10.0
	lapsedRate       = 3.0

	// catchUpPeers is the number of peers whose full views a node needs before it becomes
	// ready, if the platform does not answer.
	catchUpPeers = 3

	// catchUpPeersTimeout is how long a node waits for catchUpPeers peers before one is
	// enough. Peers that do not answer may be dead, and while the platform is down their
	// leases do not expire.
	catchUpPeersTimeout = 10 * time.Second
	// catchUpTimeout limits one call of CatchUp.
	catchUpTimeout = 15 * time.Second

	// leaveFanout is the largest number of members that a leaving node notifies directly.
	leaveFanout = 64
	// revisionFanout is how many members a node notifies at once of a new revision, all but
	// one of them in its own data centre. What these leave out the next rounds bring.
	revisionFanout = 3
)

// payload is the part of its view that a node sends.
type payload uint8

const (
	changedRows      payload = iota // rows that changed recently
	changedAndOwnRow                // rows that changed recently, and always the node's own row
	allRows                         // all rows
)

// peers caches the relay addresses of the other members present in one generation of the
// view.
type peers struct {
	generation   uint64
	all          []string
	near         []string // addresses in the own data centre
	otherRegions []string // addresses in other regions
}

// Controller keeps a View up to date. Its fields must be set before its first use; its
// methods are safe for concurrent use.
type Controller struct {
	// Send performs an exchange with the node at a relay address.
	Send func(ctx context.Context, address string, req *relaypb.ExchangeRequest) (*relaypb.ExchangeResponse, error)
	// Store is the platform's store, which holds the lease rows.
	Store plat.Store
	Clock clock.Clock
	// Random returns a random number in [0, 1).
	Random func() float64
	// OnChange is called after changes of the view, without the lock held. OnChange may be
	// nil.
	OnChange func()
	Log      hclog.Logger

	// Revision and Plans return the configuration revision and the versions of the owner
	// plans known at this node. OnPeerVersions is called after each exchange with those of
	// the node at a relay address. All three may be nil.
	Revision       func() int64
	Plans          func() []*relaypb.PlanVersion
	OnPeerVersions func(from string, revision int64, plans []*relaypb.PlanVersion)
	// SourceAge returns how long ago the source of the configuration answered this node or
	// one that it heard from, and OnSourceAge is called with the age and the revision that a
	// peer reports. Both may be nil.
	SourceAge   func() (age time.Duration, heard bool)
	OnSourceAge func(age time.Duration, revision int64)
	// ConfirmedAgeMS returns how many milliseconds ago this node's revision was last known
	// to be the newest, for answers. Requests do not carry it: a receiver cannot tell how
	// long a message was held up in transit, whereas an answer is at least as new as the
	// request was.
	// OnConfirmed is called when a peer reports that no revision above the given one existed
	// at the given time. Both may be nil.
	ConfirmedAgeMS func() *uint32
	OnConfirmed    func(at time.Time, revision int64)
	// CatchUp is called before the node becomes ready, with the relay addresses of members,
	// to fetch the configuration in force. While CatchUp fails, the node stays unready.
	// CatchUp may be nil.
	CatchUp func(ctx context.Context, peers []string) error
	// Go runs work that may block on other nodes. If Go is nil, the work runs in a new
	// goroutine.
	Go func(work func())

	mu         sync.Mutex
	view       *View
	planGossip planGossip
	peers      peers
	seeds      []string // relay addresses that sent an exchange while the node was unready
	inFlight   int
	changedAt  time.Time // last change of the view
	// mismatchSince is when exchanges began to find only different views; zero if the last
	// one found an equal view.
	mismatchSince time.Time
	nextFullView  time.Time
	lastRound     time.Time
	ready         bool
	catchingUp    bool
	unreadySince  time.Time
	// fullViewsFrom holds the relay addresses of the ready peers that have sent their full
	// view since the node last became unready.
	fullViewsFrom map[string]bool

	roundRequests chan struct{}
	leaseRequests chan struct{}
	restores      chan struct{}
	lease         lease
}

// New returns a controller for the node with the given row.
func New(self Member, store plat.Store, clk clock.Clock, log hclog.Logger) *Controller {
	c := &Controller{
		Store:  store,
		Clock:  clk,
		Random: rand.Float64,
		Log:    log,
		view:   NewView(self),

		planGossip: planGossip{states: make(map[string]planState)},

		unreadySince:  clk.Now(),
		fullViewsFrom: make(map[string]bool),

		roundRequests: make(chan struct{}, 1),
		leaseRequests: make(chan struct{}, 1),
		restores:      make(chan struct{}, 1),
	}
	store.NotifyRestore(c.storeRestored)
	return c
}

// Run runs gossip rounds and renews the node's lease until the context ends.
func (c *Controller) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { c.runLease(ctx) })
	for ctx.Err() == nil {
		c.Round(ctx)
		select {
		case <-c.Clock.After(c.jitter(c.interval())):
		case <-c.roundRequests:
		case <-ctx.Done():
		}
	}
	loops.Wait()
}

// interval returns the mean time to the next round. A node that is not ready needs answers
// from several peers before it accepts work, so it runs rounds more often.
func (c *Controller) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ready {
		return roundInterval
	}
	return unreadyInterval
}

// RequestRound requests a round without delay.
func (c *Controller) RequestRound() {
	signal(c.roundRequests)
}

// Ready reports whether the view is reliable. It is false after the start, and after a
// freeze of LeaseDuration or longer, until the node has caught up with the view and the
// configuration revision.
func (c *Controller) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready && c.Clock.Now().Sub(c.lastRound) < LeaseDuration
}

// Self returns the node's own row.
func (c *Controller) Self() Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Self()
}

// SetSelf changes the node's own row, and requests a round and a renewal of the lease to
// spread the change.
func (c *Controller) SetSelf(change func(*Member)) {
	if c.changeSelf(change) {
		c.RequestRound()
		signal(c.leaseRequests)
	}
}

// changeSelf changes the node's own row, and reports whether it differs from before.
func (c *Controller) changeSelf(change func(*Member)) bool {
	c.mu.Lock()
	before := c.view.Self().Version
	c.view.SetSelf(c.Clock.Now(), change)
	changed := c.view.Self().Version != before
	if changed {
		c.changedAt = c.Clock.Now()
	}
	c.mu.Unlock()
	if changed {
		c.notify()
	}
	return changed
}

// All returns the members that are neither gone, nor lapsed, nor replaced by another
// member at their address, including the node itself, sorted by name.
func (c *Controller) All() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.All(c.Clock.Now())
}

// Service returns those of All that run beside targets of the service.
func (c *Controller) Service(service string) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Service(c.Clock.Now(), service)
}

// Superseded returns the later incarnation of the node's name, if there is one.
func (c *Controller) Superseded() (Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Superseded()
}

// Hash returns the hash of the view.
func (c *Controller) Hash() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Hash()
}

// Leave announces that the node is leaving, directly to every member in a small cluster,
// or else to leaveFanout random members, whose next rounds spread the change. Leave does
// not need the platform. It returns when the exchanges are done or the context has ended.
func (c *Controller) Leave(ctx context.Context) {
	c.announce(ctx, Leaving)
}

// Depart announces that the node is gone and deletes its lease row. It is the last step of
// a node's shutdown.
func (c *Controller) Depart(ctx context.Context) {
	c.announce(ctx, Gone)
	c.deleteLease(ctx)
}

// SpreadRevision tells a few other members at once that this node has a new revision. In a
// cluster where nearly every node follows the source itself, it does nothing.
func (c *Controller) SpreadRevision(ctx context.Context, followers int) {
	for _, address := range c.pickRevisionPeers(followers) {
		c.spawn(func() { c.exchange(ctx, address, changedRows) })
	}
}

func (c *Controller) pickRevisionPeers(followers int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshPeers()
	if len(c.peers.all) <= followers {
		return nil
	}
	addresses := []string{c.pickRandom(c.peers.all)}
	if near := c.peers.near; len(near) > 0 {
		for range revisionFanout - 1 {
			addresses = append(addresses, c.pickRandom(near))
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// IsDelegate reports whether this node is one of about count nodes that use the platform on
// behalf of all others. Nodes with equal views agree on who is.
func (c *Controller) IsDelegate(count int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.IsDelegate(count)
}

func (c *Controller) announce(ctx context.Context, state State) {
	c.SetSelf(func(self *Member) { self.State = state })
	for range c.tellMembers(ctx, leaveFanout) {
		// The channel is closed after the last exchange.
	}
}

// spawn runs an exchange, unless maxInFlight exchanges already await an answer, as happens
// when members do not respond.
func (c *Controller) spawn(work func()) {
	c.mu.Lock()
	limitReached := c.inFlight >= maxInFlight
	if !limitReached {
		c.inFlight++
	}
	c.mu.Unlock()
	if limitReached {
		return
	}
	c.runAsync(func() {
		defer func() {
			c.mu.Lock()
			c.inFlight--
			c.mu.Unlock()
		}()
		work()
	})
}

func (c *Controller) runAsync(work func()) {
	if c.Go != nil {
		c.Go(work)
		return
	}
	go work()
}

func (c *Controller) notify() {
	if c.OnChange != nil {
		c.OnChange()
	}
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + c.Random()) * float64(d))
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default: // a signal is pending already
	}
}
