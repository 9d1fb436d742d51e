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
	// roundInterval is the mean time between two rounds of a node.
	roundInterval = 300 * time.Millisecond
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

	// knockShare is the share of rounds that ask a lapsed member, at most; it
	// falls with knockMembers/n, so that n nodes do not flood one address.
	knockShare   = 0.1
	knockMembers = 3.0

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
		case <-c.Clock.After(c.jitter(roundInterval)):
		case <-c.kick:
		case <-ctx.Done():
		}
	}
	loops.Wait()
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

// Round does one round: it judges leases and exchanges with a few members.
func (c *Controller) Round(ctx context.Context) {
	c.mu.Lock()
	now := c.Clock.Now()
	c.checkFreeze(now)
	c.lastRound = now
	lapsed := c.view.Lapse(now)
	addresses := c.pickPeers()
	c.mu.Unlock()
	for _, member := range lapsed {
		c.Log.Info("lease_lapsed", "member", member.Name, "incarnation", member.Incarnation)
	}
	if len(lapsed) > 0 {
		c.notify()
	}
	for _, address := range addresses {
		c.spawn(func() { c.exchange(ctx, address, news) })
	}
}

// Answer is the server's side of an exchange.
func (c *Controller) Answer(req *relaypb.ExchangeRequest) *relaypb.ExchangeResponse {
	revision, plans := c.inForce()
	rows := fromWire(req.GetDeltas())
	// A sender whose rows add up to its hash has sent all that it has, and is
	// answered with just what it lacks.
	whole := len(rows) > 1 && HashRows(rows) == req.GetViewHash()
	c.mu.Lock()
	now := c.Clock.Now()
	changed := c.take(now, req.GetFrom(), req.GetRevision(), rows)
	if !c.ready && !slices.Contains(c.seeds, req.GetFrom()) {
		c.seeds = append(c.seeds, req.GetFrom())
	}
	resp := &relaypb.ExchangeResponse{
		ViewHash: c.view.Hash(),
		Revision: revision,
		WantFull: !c.ready,
		Plans:    plans,
	}
	switch {
	case req.GetWantFull():
		resp.Deltas = toWire(c.view.Full(now))
	case whole:
		resp.Deltas = toWire(lacking(rows, c.view.Full(now)))
	default:
		resp.Deltas = toWire(c.view.Deltas(now))
	}
	c.mu.Unlock()
	c.after(changed, req.GetFrom(), req.GetRevision(), req.GetPlans())
	return resp
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

// exchange swaps news, or whole views, with the node at the address. If news
// alone does not make the views equal, the whole view follows.
func (c *Controller) exchange(ctx context.Context, address string, sent extent) {
	req := c.request(sent)
	sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	resp, err := c.Send(sendCtx, address, req)
	if err != nil {
		c.Log.Debug("exchange_failed", "address", address, "error", err)
		return
	}
	c.mu.Lock()
	now := c.Clock.Now()
	changed := c.take(now, address, resp.GetRevision(), fromWire(resp.GetDeltas()))
	differs := c.compare(now, resp.GetViewHash())
	if req.GetWantFull() && !resp.GetWantFull() {
		c.answers[address] = true // an unready peer's view counts for nothing
	}
	wanted := (resp.GetWantFull() || differs) && sent != wholeView && c.allowFull(now)
	c.mu.Unlock()
	c.after(changed, address, resp.GetRevision(), resp.GetPlans())
	if wanted {
		c.exchange(ctx, address, wholeView)
	}
	c.becomeReady(ctx, false)
}

func (c *Controller) request(sent extent) *relaypb.ExchangeRequest {
	revision, plans := c.inForce()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	c.view.SetSelf(now, func(self *Member) { self.Revision = revision })
	rows := c.view.Deltas(now)
	switch sent {
	case ownNews:
		self := c.view.Self()
		if !slices.Contains(rows, self) {
			rows = append(rows, self)
		}
	case wholeView:
		rows = c.view.Full(now)
	}
	return &relaypb.ExchangeRequest{
		From:     c.view.Self().RelayAddress,
		Deltas:   toWire(rows),
		ViewHash: c.view.Hash(),
		Revision: revision,
		WantFull: !c.ready,
		Plans:    plans,
	}
}

// take merges what a node sent, and returns whether the view changed.
func (c *Controller) take(now time.Time, from string, revision int64, rows []Member) bool {
	changed := len(c.view.Merge(now, rows)) > 0
	if changed {
		c.changedAt = now
	}
	ended := c.view.Heard(now, from, revision)
	return changed || ended
}

// after calls the hooks, without the lock held.
func (c *Controller) after(changed bool, from string, revision int64, plans []*relaypb.PlanVersion) {
	if changed {
		c.notify()
	}
	if c.Heard != nil {
		c.Heard(from, revision, plans)
	}
}

// compare says whether another's view differs in a way that news under way
// will not end.
func (c *Controller) compare(now time.Time, other uint64) bool {
	if other == c.view.Hash() {
		c.mismatchFrom = time.Time{}
		return false
	}
	if c.mismatchFrom.IsZero() {
		c.mismatchFrom = now
	}
	return now.Sub(c.changedAt) >= settleTime || now.Sub(c.mismatchFrom) >= unsettledTime
}

func (c *Controller) allowFull(now time.Time) bool {
	if now.Before(c.nextFull) {
		return false
	}
	members := time.Duration(len(c.view.entries))
	c.nextFull = now.Add(max(fullInterval, members*fullPerMember))
	return true
}

// checkFreeze notices that the process stood still for longer than its lease.
// What it knew may be void: it catches up before it is ready again, and gives
// the others time to be heard before their leases are judged.
func (c *Controller) checkFreeze(now time.Time) {
	if c.lastRound.IsZero() || now.Sub(c.lastRound) < LeaseDuration {
		return
	}
	c.Log.Warn("woke_after_freeze", "frozen", now.Sub(c.lastRound))
	c.ready = false
	c.unreadyFrom = now
	clear(c.answers)
	c.view.PlatformDown()
	signal(c.touch)
}

// becomeReady ends the start or the wake, once the platform's table or enough
// peers have given their whole view, and the configuration is caught up with.
func (c *Controller) becomeReady(ctx context.Context, fromTable bool) {
	c.mu.Lock()
	if c.ready || c.catchingUp {
		c.mu.Unlock()
		return
	}
	known := c.others()
	enough := min(catchUpPeers, len(known))
	if c.Clock.Now().Sub(c.unreadyFrom) >= catchUpPatience {
		enough = 1
	}
	heard := fromTable || len(c.answers) > 0 && len(c.answers) >= enough
	c.catchingUp = heard
	c.mu.Unlock()
	if heard {
		c.run(func() { c.catchUp(ctx, known, fromTable) })
	}
}

func (c *Controller) catchUp(ctx context.Context, known []string, fromTable bool) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	var err error
	if c.CatchUp != nil {
		err = c.CatchUp(ctx, known)
	}
	c.mu.Lock()
	c.catchingUp = false
	if err == nil {
		c.setReady(fromTable)
	}
	c.mu.Unlock()
	if err != nil {
		c.Log.Warn("catch_up_failed", "error", err)
		return
	}
	c.notify()
}

func (c *Controller) setReady(fromTable bool) {
	c.ready = true
	c.seeds = nil
	c.view.Settle()
	c.Log.Info("view_ready", "members", len(c.view.names()), "from_table", fromTable)
}

// pickPeers chooses the addresses for one round: one member of the own data
// centre and one of all, or of another region in a share of the rounds. While
// the node knows nobody it answers those that found it.
func (c *Controller) pickPeers() []string {
	c.refreshPeers()
	all, near, wide := c.peers.all, c.peers.near, c.peers.all
	if len(all) == 0 {
		return slices.Clone(c.seeds)
	}
	if len(near) == 0 {
		near = all
	}
	if len(c.peers.far) > 0 && c.Random() < farShare {
		wide = c.peers.far
	}
	addresses := make([]string, 0, roundPeers+1)
	addresses = append(addresses, c.choose(near))
	if second := c.choose(wide); second != addresses[0] {
		addresses = append(addresses, second)
	}
	if lapsed := c.view.Lapsed(); len(lapsed) > 0 && c.Random() < min(knockShare, knockMembers/float64(len(all))) {
		addresses = append(addresses, lapsed[c.index(len(lapsed))].RelayAddress)
	}
	return addresses
}

func (c *Controller) refreshPeers() {
	if c.peers.edition == c.view.edition {
		return
	}
	self := c.view.Self()
	next := peers{edition: c.view.edition}
	for _, name := range c.view.names() {
		row := &c.view.entries[name].row
		if name == self.Name {
			continue
		}
		next.all = append(next.all, row.RelayAddress)
		if row.DataCentre == self.DataCentre {
			next.near = append(next.near, row.RelayAddress)
		}
		if row.Region != self.Region {
			next.far = append(next.far, row.RelayAddress)
		}
	}
	c.peers = next
}

// others returns the relay addresses of the other members present.
func (c *Controller) others() []string {
	c.refreshPeers()
	return slices.Clone(c.peers.all)
}

func (c *Controller) inForce() (int64, []*relaypb.PlanVersion) {
	var revision int64
	var plans []*relaypb.PlanVersion
	if c.Revision != nil {
		revision = c.Revision()
	}
	if c.Plans != nil {
		plans = c.Plans()
	}
	return revision, plans
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

func (c *Controller) choose(addresses []string) string {
	return addresses[c.index(len(addresses))]
}

func (c *Controller) index(n int) int {
	return min(int(c.Random()*float64(n)), n-1)
}

func (c *Controller) shuffle(addresses []string) {
	for i := len(addresses) - 1; i > 0; i-- {
		j := c.index(i + 1)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
}

// jitter returns a time between half and one and a half of d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + c.Random()) * float64(d))
}

// lacking returns the rows of ours that are newer than theirs.
func lacking(theirs, ours []Member) []Member {
	known := make(map[string]Member, len(theirs))
	for _, row := range theirs {
		known[row.Name] = row
	}
	var rows []Member
	for _, row := range ours {
		their, ok := known[row.Name]
		if !ok || newer(row, their) {
			rows = append(rows, row)
		}
	}
	return rows
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default: // one is waiting already
	}
}
