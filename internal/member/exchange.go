package member

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// Round runs one gossip round: it marks members whose leases have expired and exchanges
// with a few members.
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
		c.spawn(func() { c.exchange(ctx, address, changedRows) })
	}
}

// HandleExchange handles the server's side of an exchange.
func (c *Controller) HandleExchange(req *relaypb.ExchangeRequest) *relaypb.ExchangeResponse {
	// The ages are read before the revision. The revision may rise in between, for which the
	// ages still hold, but not the other way round.
	sourceAge := c.sourceAgeMS()
	var confirmedAge *uint32
	if c.ConfirmedAgeMS != nil {
		confirmedAge = c.ConfirmedAgeMS()
	}
	revision, plans := c.localVersions()
	rows := fromWire(req.GetDeltas())
	// If the hash of the rows equals the sender's view hash, the sender has sent its full
	// view, and the answer carries only the rows that it lacks.
	isFullView := len(rows) > 1 && HashRows(rows) == req.GetViewHash()
	c.mu.Lock()
	now := c.Clock.Now()
	changed := c.applyExchange(now, req.GetFrom(), req.GetRevision(), rows)
	if !c.ready && !slices.Contains(c.seeds, req.GetFrom()) {
		c.seeds = append(c.seeds, req.GetFrom())
	}
	resp := &relaypb.ExchangeResponse{
		ViewHash: c.view.Hash(),
		Revision: revision,
		WantFull: !c.ready,
		Plans:    c.plansFor(req, plans),

		SourceAgeMs:    sourceAge,
		ConfirmedAgeMs: confirmedAge,
	}
	switch {
	case req.GetWantFull():
		resp.Deltas = toWire(c.view.Full(now))
	case isFullView:
		resp.Deltas = toWire(missingRows(rows, c.view.Full(now)))
	default:
		resp.Deltas = toWire(c.view.Deltas(now))
	}
	c.mu.Unlock()
	c.observeSourceAge(req.SourceAgeMs, req.GetRevision())
	c.runHooks(changed, req.GetFrom(), req.GetRevision(), req.GetPlans())
	return resp
}

// exchange swaps changed rows, or full views, with the node at the address, and reports
// whether that node has answered. If the views still differ after changed rows were sent,
// or the peer asks for it, the full view follows.
func (c *Controller) exchange(ctx context.Context, address string, sent payload) bool {
	req := c.request(sent)
	sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	sentAt := c.Clock.Now()
	resp, err := c.Send(sendCtx, address, req)
	if err != nil {
		c.Log.Debug("exchange_failed", "address", address, "error", err)
		return false
	}
	c.mu.Lock()
	now := c.Clock.Now()
	changed := c.applyExchange(now, address, resp.GetRevision(), fromWire(resp.GetDeltas()))
	differs := c.diverged(now, resp.GetViewHash())
	if req.GetWantFull() && !resp.GetWantFull() {
		c.fullViewsFrom[address] = true // the view of an unready peer does not count
	}
	sendFullView := (resp.GetWantFull() || differs) && sent != allRows && c.allowFullView(now)
	c.mu.Unlock()
	c.observeSourceAge(resp.SourceAgeMs, resp.GetRevision())
	c.runHooks(changed, address, resp.GetRevision(), resp.GetPlans())
	if resp.ConfirmedAgeMs != nil && c.OnConfirmed != nil {
		c.OnConfirmed(sentAt.Add(-time.Duration(resp.GetConfirmedAgeMs())*time.Millisecond), resp.GetRevision())
	}
	if sendFullView {
		c.exchange(ctx, address, allRows)
	}
	c.becomeReady(ctx, false)
	return true
}

func (c *Controller) request(sent payload) *relaypb.ExchangeRequest {
	sourceAge := c.sourceAgeMS() // before the revision, see HandleExchange
	revision, plans := c.localVersions()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if c.view.Self().Revision != revision {
		c.view.SetSelf(now, func(self *Member) { self.Revision = revision })
		c.changedAt = now
	}
	rows := c.view.Deltas(now)
	switch sent {
	case changedAndOwnRow:
		self := c.view.Self()
		if !slices.Contains(rows, self) {
			rows = append(rows, self)
		}
	case allRows:
		rows = c.view.Full(now)
	}
	return &relaypb.ExchangeRequest{
		From:     c.view.Self().RelayAddress,
		Deltas:   toWire(rows),
		ViewHash: c.view.Hash(),
		Revision: revision,
		WantFull: !c.ready,
		Plans:    c.planGossip.pick(plans, RetransmitLimit(len(c.view.entries))),

		SourceAgeMs: sourceAge,
	}
}

// sourceAgeMS returns the age of the last answer of the configuration's source for a
// message, nil if there was none.
func (c *Controller) sourceAgeMS() *uint32 {
	if c.SourceAge == nil {
		return nil
	}
	age, heard := c.SourceAge()
	if !heard {
		return nil
	}
	ms := uint32(min(age.Milliseconds(), math.MaxUint32))
	return &ms
}

// observeSourceAge passes on the age that a message reports, if it reports one, and the
// revision of its sender.
func (c *Controller) observeSourceAge(ms *uint32, revision int64) {
	if ms != nil && c.OnSourceAge != nil {
		c.OnSourceAge(time.Duration(*ms)*time.Millisecond, revision)
	}
}

// applyExchange merges the rows and the revision that a node sent, and reports whether the
// view changed.
func (c *Controller) applyExchange(now time.Time, from string, revision int64, rows []Member) bool {
	changed := c.view.Merge(now, rows)
	c.logChanged(changed)
	if len(changed) > 0 {
		c.changedAt = now
	}
	lapseEnded := c.view.Contacted(now, from, revision)
	return len(changed) > 0 || lapseEnded
}

// logChanged logs when changed rows reached this node, so that their spread through the
// cluster can be traced.
func (c *Controller) logChanged(rows []Member) {
	if !c.Log.IsDebug() {
		return
	}
	for _, row := range rows {
		c.Log.Debug("member_changed", "member", row.Name, "state", row.State.String())
	}
}

// runHooks calls OnChange if the view changed, and OnPeerVersions. The caller must not
// hold the lock.
func (c *Controller) runHooks(changed bool, from string, revision int64, plans []*relaypb.PlanVersion) {
	if changed {
		c.notify()
	}
	if c.OnPeerVersions != nil {
		c.OnPeerVersions(from, revision, plans)
	}
}

// diverged records the result of comparing the view hash with a peer's, and reports
// whether the views differ in a way that deltas still in flight will not resolve.
func (c *Controller) diverged(now time.Time, other uint64) bool {
	if other == c.view.Hash() {
		c.mismatchSince = time.Time{}
		return false
	}
	if c.mismatchSince.IsZero() {
		c.mismatchSince = now
	}
	return now.Sub(c.changedAt) >= quietPeriod || now.Sub(c.mismatchSince) >= mismatchLimit
}

func (c *Controller) allowFullView(now time.Time) bool {
	if now.Before(c.nextFullView) {
		return false
	}
	members := time.Duration(len(c.view.entries))
	c.nextFullView = now.Add(max(minFullViewInterval, members*fullViewIntervalPerMember))
	return true
}

// pickPeers selects the addresses for one round: one member of the own data centre, and
// one of all members or, in a share of the rounds, of another region. A quiescent node
// contacts only one of the two. While the node knows no other members, it contacts the
// nodes that sent it an exchange and probes a member that has lapsed or is recently gone.
func (c *Controller) pickPeers() []string {
	c.refreshPeers()
	all, near, candidates := c.peers.all, c.peers.near, c.peers.all
	if len(all) == 0 {
		absent := append(c.view.Lapsed(), c.view.RecentlyGone(c.Clock.Now())...)
		return c.appendRandom(slices.Clone(c.seeds), absent)
	}
	if len(near) == 0 {
		near = all
	}
	if len(c.peers.otherRegions) > 0 && c.Random() < crossRegionShare {
		candidates = c.peers.otherRegions
	}
	addresses := make([]string, 0, roundPeers+2)
	if c.quiescent() {
		// Nodes that have changes contact this node on their own.
		near = c.pickEither(near, candidates)
	}
	addresses = append(addresses, c.pickRandom(near))
	if second := c.pickRandom(candidates); second != addresses[0] && !c.quiescent() {
		addresses = append(addresses, second)
	}
	if c.Random() < min(lapsedShare, lapsedRate/float64(len(all))) {
		addresses = c.appendRandom(addresses, c.view.Lapsed())
	}
	if c.Random() < recentlyGoneRate/float64(len(all)) {
		addresses = c.appendRandom(addresses, c.view.RecentlyGone(c.Clock.Now()))
	}
	return addresses
}

// quiescent reports whether the node is ready, its view has not changed for quietPeriod,
// and the last peer that answered an exchange had an equal view.
func (c *Controller) quiescent() bool {
	return c.ready && c.mismatchSince.IsZero() && c.Clock.Now().Sub(c.changedAt) >= quietPeriod
}

// pickEither returns one of two lists at random.
func (c *Controller) pickEither(one, other []string) []string {
	if c.Random() < 0.5 {
		return one
	}
	return other
}

// appendRandom appends the address of a random member of the list, if there is one.
func (c *Controller) appendRandom(addresses []string, members []Member) []string {
	if len(members) == 0 {
		return addresses
	}
	return append(addresses, members[c.randomIndex(len(members))].RelayAddress)
}

func (c *Controller) refreshPeers() {
	if c.peers.generation == c.view.generation {
		return
	}
	self := c.view.Self()
	next := peers{generation: c.view.generation}
	for _, name := range c.view.presentNames() {
		row := &c.view.entries[name].row
		if name == self.Name {
			continue
		}
		next.all = append(next.all, row.RelayAddress)
		if row.DataCentre == self.DataCentre {
			next.near = append(next.near, row.RelayAddress)
		}
		if row.Region != self.Region {
			next.otherRegions = append(next.otherRegions, row.RelayAddress)
		}
	}
	c.peers = next
}

// peerAddresses returns the relay addresses of the other members present.
func (c *Controller) peerAddresses() []string {
	c.refreshPeers()
	return slices.Clone(c.peers.all)
}

func (c *Controller) localVersions() (int64, []*relaypb.PlanVersion) {
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

func (c *Controller) pickRandom(addresses []string) string {
	return addresses[c.randomIndex(len(addresses))]
}

func (c *Controller) randomIndex(n int) int {
	return min(int(c.Random()*float64(n)), n-1)
}

func (c *Controller) shuffle(addresses []string) {
	for i := len(addresses) - 1; i > 0; i-- {
		j := c.randomIndex(i + 1)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
}

// missingRows returns the rows of ours that theirs lacks or has in an older version.
func missingRows(theirs, ours []Member) []Member {
	known := make(map[string]Member, len(theirs))
	for _, row := range theirs {
		known[row.Name] = row
	}
	var rows []Member
	for _, row := range ours {
		other, ok := known[row.Name]
		if !ok || newer(row, other) {
			rows = append(rows, row)
		}
	}
	return rows
}
