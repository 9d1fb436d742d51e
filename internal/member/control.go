package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

const (
	// roundInterval is the mean time between two rounds of a node.
	roundInterval = 300 * time.Millisecond
	// unreadyInterval takes its place while the node is not ready.
	unreadyInterval = 100 * time.Millisecond
	// roundPeers is how many members a round exchanges with.
	roundPeers = 2
	// sendTimeout bounds one exchange.
	sendTimeout = time.Second
	// maxInFlight bounds the exchanges of a node that wait for an answer.
	maxInFlight = 8
	// farShare is the share of rounds that cross into another region.
	farShare = 0.25

	// settleTime is how long a view must have been unchanged before a node
	// sends it whole to one whose view differs: while news is under way, deltas
	// end the difference. Where news never ends, a difference from everybody
	// that lasts for unsettledTime is enough.
	settleTime    = 2 * time.Second
	unsettledTime = 10 * time.Second
	// A whole view is sent at most once in fullPerMember times the number of
	// members, and in fullInterval. At 530 members of 155 bytes that is 82 KB
	// in 13 s, 6 KB/s at worst.
	fullPerMember = 25 * time.Millisecond
	fullInterval  = time.Second

	// lapsedShare is the share of rounds that ask a lapsed member, at most; it falls
	// with lapsedRate/n, so that n nodes do not flood one address.
	lapsedShare = 0.1
	// leftRate takes the place of lapsedRate for those that went a short while ago,
	// which most likely start again at their address and know nobody: they are
	// asked in every round where nodes are few, and 33 times a second by all nodes
	// together where they are many.
	leftRate   = 10.0
	lapsedRate = 3.0

	// catchUpPeers is how many peers a node hears, if the platform does not
	// answer, before it trusts its view.
	catchUpPeers = 3

	// catchUpPatience is how long it waits for that many; silent peers may be
	// dead, and while the platform is down their leases do not run out.
	catchUpPatience = 10 * time.Second
	// catchUpTimeout bounds one attempt of CatchUp.
	catchUpTimeout = 15 * time.Second

	// leaveFanout is how many members a leaving node tells by itself.
	leaveFanout = 64
)

// extent is how much of its view a node sends.
type extent uint8

const (
	news      extent = iota // rows that changed lately
	ownNews                 // the same, and the node's own row in any case
	wholeView               // all rows
)

// peers holds the relay addresses of the other members present, as they were
// at one edition of the view.
type peers struct {
	edition uint64
	all     []string
	near    []string // those in the own data centre
	far     []string // those in other regions
}

// Controller keeps a View fresh. Its fields are set before its first use; its
// methods are safe for concurrent use.
type Controller struct {
	// Send carries an exchange to the node at a relay address.
	Send func(ctx context.Context, address string, req *relaypb.ExchangeRequest) (*relaypb.ExchangeResponse, error)
	// Store is the platform with the lease rows.
	Store plat.Store
	Clock clock.Clock
	// Random draws from [0, 1).
	Random func() float64
	// Changed is called after the view changed. It may be nil.
	Changed func()
	Log     hclog.Logger

	// Revision and Plans give what other packages have in force, and Heard
	// what the node at a relay address has. They may be nil.
	Revision func() int64
	Plans    func() []*relaypb.PlanVersion
	Heard    func(from string, revision int64, plans []*relaypb.PlanVersion)
	// CatchUp is called before the node becomes ready, with the relay
	// addresses of members, to learn the configuration in force. While it
	// fails the node stays unready. It may be nil.
	CatchUp func(ctx context.Context, peers []string) error
	// Go runs work that may wait for others; nil starts a goroutine.
	Go func(work func())

	mu        sync.Mutex
	view      *View
	planNews  planNews
	peers     peers
	seeds     []string // relay addresses heard from before the view is ready
	inFlight  int
	changedAt time.Time // last change of the view
	// mismatchFrom is since when no exchange found an equal view.
	mismatchFrom time.Time
	nextFull     time.Time
	lastRound    time.Time
	ready        bool
	catchingUp   bool
	unreadyFrom  time.Time
	// answers holds the relay addresses of those that gave their whole view
	// since the node was last unready.
	answers map[string]bool

	kick  chan struct{}
	touch chan struct{}
	lease lease
}

// New returns a controller for the node with that row.
func New(self Member, store plat.Store, clk clock.Clock, log hclog.Logger) *Controller {
	return &Controller{
		Store:  store,
		Clock:  clk,
		Random: rand.Float64,
		Log:    log,
		view:   NewView(self),

		planNews: planNews{rows: make(map[string]planRow)},

		unreadyFrom: clk.Now(),
		answers:     make(map[string]bool),

		kick:  make(chan struct{}, 1),
		touch: make(chan struct{}, 1),
	}
}

// Run exchanges with others and keeps the lease until the context ends.
func (c *Controller) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { c.runLease(ctx) })
	for ctx.Err() == nil {
		c.Round(ctx)
		select {
		case <-c.Clock.After(c.jitter(c.interval())):
		case <-c.kick:
		case <-ctx.Done():
		}
	}
	loops.Wait()
}

// interval is the mean time to the next round. A node that is not ready has to
// hear several others before it takes work, and goes round faster.
func (c *Controller) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ready {
		return roundInterval
	}
	return unreadyInterval
}

// Kick asks for a round at once.
func (c *Controller) Kick() {
	signal(c.kick)
}

// Ready says whether the view can be trusted: it is false from the start, and
// after a freeze that outlasted the lease, until the view and the revision
// have been learned anew.
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

// SetSelf changes the node's own row and spreads it.
func (c *Controller) SetSelf(change func(*Member)) {
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
		c.Kick()
		signal(c.touch)
	}
}

// All returns the members that are neither gone nor lapsed, the node itself
// among them.
func (c *Controller) All() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.All(c.Clock.Now())
}

// Service returns those of All that stand beside targets of the service.
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

// Leave spreads that the node is leaving: to every member when they are few,
// else to a part of them that the next rounds multiply. It does not need the
// platform. It returns once the members were told or the context ended.
func (c *Controller) Leave(ctx context.Context) {
	c.announce(ctx, Leaving)
}

// Depart spreads that the node is gone, and deletes its lease row. It is the
// last thing that a node does.
func (c *Controller) Depart(ctx context.Context) {
	c.announce(ctx, Gone)
	c.deleteLease(ctx)
}

func (c *Controller) announce(ctx context.Context, state State) {
	c.SetSelf(func(self *Member) { self.State = state })
	c.mu.Lock()
	addresses := c.others()
	c.mu.Unlock()
	c.shuffle(addresses)
	addresses = addresses[:min(len(addresses), leaveFanout)]
	var told sync.WaitGroup
	for _, address := range addresses {
		told.Add(1)
		c.run(func() {
			defer told.Done()
			c.exchange(ctx, address, ownNews)
		})
	}
	told.Wait()
}

// spawn runs an exchange unless too many wait already, as they do when members
// are silent.
func (c *Controller) spawn(work func()) {
	c.mu.Lock()
	full := c.inFlight >= maxInFlight
	if !full {
		c.inFlight++
	}
	c.mu.Unlock()
	if full {
		return
	}
	c.run(func() {
		defer func() {
			c.mu.Lock()
			c.inFlight--
			c.mu.Unlock()
		}()
		work()
	})
}

func (c *Controller) run(work func()) {
	if c.Go != nil {
		c.Go(work)
		return
	}
	go work()
}

func (c *Controller) notify() {
	if c.Changed != nil {
		c.Changed()
	}
}

// jitter returns a time between half and one and a half of d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + c.Random()) * float64(d))
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default: // one is waiting already
	}
}
