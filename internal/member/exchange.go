package member

import (
	"context"
	"slices"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

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
		Plans:    c.plansFor(req, plans),
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
	if c.view.Self().Revision != revision {
		c.view.SetSelf(now, func(self *Member) { self.Revision = revision })
		c.changedAt = now
	}
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
		Plans:    c.planNews.pick(plans, Rounds(len(c.view.entries))),
	}
}

// take merges what a node sent, and returns whether the view changed.
func (c *Controller) take(now time.Time, from string, revision int64, rows []Member) bool {
	changed := c.view.Merge(now, rows)
	c.logChanged(changed)
	if len(changed) > 0 {
		c.changedAt = now
	}
	ended := c.view.Heard(now, from, revision)
	return len(changed) > 0 || ended
}

// logChanged tells when news reached this node, for finding out how it spread.
func (c *Controller) logChanged(rows []Member) {
	if !c.Log.IsDebug() {
		return
	}
	for _, row := range rows {
		c.Log.Debug("member_changed", "member", row.Name, "state", row.State.String())
	}
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

// pickPeers chooses the addresses for one round: one member of the own data
// centre and one of all, or of another region in a share of the rounds. While
// the node knows nobody it answers those that found it, and looks for those that
// were there before.
func (c *Controller) pickPeers() []string {
	c.refreshPeers()
	all, near, wide := c.peers.all, c.peers.near, c.peers.all
	if len(all) == 0 {
		absent := append(c.view.Lapsed(), c.view.Left(c.Clock.Now())...)
		return c.withOne(slices.Clone(c.seeds), absent)
	}
	if len(near) == 0 {
		near = all
	}
	if len(c.peers.far) > 0 && c.Random() < farShare {
		wide = c.peers.far
	}
	addresses := make([]string, 0, roundPeers+2)
	if c.settled() {
		// Whoever has news comes by itself.
		near = c.either(near, wide)
	}
	addresses = append(addresses, c.choose(near))
	if second := c.choose(wide); second != addresses[0] && !c.settled() {
		addresses = append(addresses, second)
	}
	if c.Random() < min(lapsedShare, lapsedRate/float64(len(all))) {
		addresses = c.withOne(addresses, c.view.Lapsed())
	}
	if c.Random() < leftRate/float64(len(all)) {
		addresses = c.withOne(addresses, c.view.Left(c.Clock.Now()))
	}
	return addresses
}

// settled says whether this node has had no news for a while, and agreed with the last
// node that it heard.
func (c *Controller) settled() bool {
	return c.ready && c.mismatchFrom.IsZero() && c.Clock.Now().Sub(c.changedAt) >= settleTime
}

// either returns one of two lists.
func (c *Controller) either(one, other []string) []string {
	if c.Random() < 0.5 {
		return one
	}
	return other
}

// withOne adds the address of one of the members, if there are any.
func (c *Controller) withOne(addresses []string, members []Member) []string {
	if len(members) == 0 {
		return addresses
	}
	return append(addresses, members[c.index(len(members))].RelayAddress)
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
