package once

import (
	"cmp"
	"slices"
	"time"
)

type (
	// draft is a plan that is being changed by one node.
	draft struct {
		plan    Plan
		nowMS   int64
		self    Node
		live    []Node
		rules   Rules
		changed bool
	}

	// slotCount is the number of slots that a live node holds.
	slotCount struct {
		node  Node
		slots int
	}
)

const (
	// minTenure is the shortest time for which a node holds a slot before it gives the
	// slot to another node for balance, so that a flapping member moves few slots.
	minTenure = 5 * time.Second
	// A holding is due for renewal when less than renewNumerator/renewDenominator of
	// the lease remains.
	renewNumerator   = 3
	renewDenominator = 4
	// freeMargins is the number of clock margins before the end of a holding from which
	// the holding is not renewed and its slot may be claimed. It is above cutMargins,
	// so that a renewal cannot undo the early end of a holding.
	freeMargins = 4
	// cutMargins is the smallest number of clock margins between now and the end of a
	// holding that is closed now. With two margins, the end is later than the mint time
	// of every key that was accepted.
	cutMargins = 2
)

// Next returns the plan with the changes that self should make, or false if there are none
// to write. The caller passes the plan to Ledger.Promise and then commits it, provided that
// the table still has the version of p.
//
// A node changes only its own holdings and those of a former incarnation at its own address,
// and claims slots whose last holding has ended or is about to end.
func Next(now time.Time, p Plan, self Node, members []Node, rules Rules) (Plan, bool) {
	d := &draft{plan: p.clone(), nowMS: now.UnixMilli(), self: self, rules: rules}
	d.live = liveNodes(self, members)
	if d.superseded(members) {
		return p, false
	}
	if len(d.plan.Slots) == 0 {
		d.plan.Slots = make([]Slot, rules.Slots)
	}
	if self.Leaving {
		d.closeOwn(d.live)
	} else {
		d.closePredecessors()
		d.renew()
		d.rebalance()
		d.claim()
	}
	if !d.changed {
		return p, false
	}
	return d.finish(), true
}

// CutLead returns the time between the early closing of a holding and its end.
func CutLead(rules Rules) time.Duration {
	return cutMargins*rules.Margin + rules.ClaimLead
}

// HandOver returns the plan after a handover from one node to another. The predecessor has
// closed its ledger by Export, and the successor has imported every record. The successor
// takes over the records of all holdings whose records the predecessor had, and gets the
// slots that the predecessor still holds. While a lost plan may have given these slots to
// another node, they are only closed. Either node may write the plan: after an outage of
// the platform, the successor can do so even if the predecessor is gone.
func HandOver(now time.Time, p Plan, from, to Node, rules Rules) (Plan, bool) {
	d := &draft{plan: p.clone(), nowMS: now.UnixMilli(), self: from, rules: rules}
	successors := []Node{to}
	if d.nowMS < p.LostUntilMS {
		successors = nil
	}
	d.closeOwn(successors)
	for i := range d.plan.Slots {
		for j := range d.plan.Slots[i].Holdings {
			h := &d.plan.Slots[i].Holdings[j]
			if h.Owner() == from.Incarnation {
				h.Records = to.Incarnation
				d.changed = true
			}
		}
	}
	if !d.changed {
		return p, false
	}
	return d.finish(), true
}

// superseded reports whether a later incarnation has taken over at the address of this node.
// A start time that is later by no more than the margin belongs to a former incarnation that
// started before the clock was set back.
func (d *draft) superseded(members []Node) bool {
	latestMS := d.self.StartedMS + d.marginMS()
	for _, member := range members {
		if d.sameAddress(member.Name, member.Address, member.Incarnation) && member.StartedMS > latestMS {
			return true
		}
	}
	for _, slot := range d.plan.Slots {
		for _, h := range slot.Holdings {
			if d.sameAddress(h.Name, h.Address, h.Incarnation) && h.StartedMS > latestMS {
				return true
			}
		}
	}
	return false
}

// sameAddress reports whether the given incarnation is a different incarnation of this node
// at the same address.
func (d *draft) sameAddress(name, address, incarnation string) bool {
	return name == d.self.Name && address == d.self.Address && incarnation != d.self.Incarnation
}

// closePredecessors ends the holdings of former incarnations at this address. A former
// incarnation accepted no key after the start of this one, and no key minted more than one
// margin ahead of its own clock, which was at most one margin ahead of the clock of this
// incarnation.
//
// For example, with a margin of 1000 ms and a start at 50000, the last accepted key was
// minted at 52000 at the latest, so the holding ends at 52001.
func (d *draft) closePredecessors() {
	if d.self.Translated {
		return
	}
	closeMS := d.self.StartedMS + 2*d.marginMS() + 1
	d.closeLast(closeMS, func(h Holding) bool {
		return h.Records == "" && d.sameAddress(h.Name, h.Address, h.Incarnation)
	})
}

// closeOwn ends the holdings of this node, which is leaving, and assigns each slot to the
// successor with the fewest slots. If the slots stayed free until other nodes claim them, an
// outage of the platform in between would leave their keys without an owner.
func (d *draft) closeOwn(successors []Node) {
	closed := d.closeLast(d.cutMS(), d.isOwn)
	slotCounts := d.slotCountsOf(successors)
	if len(slotCounts) == 0 {
		return
	}
	for _, i := range closed {
		least := fewestSlots(slotCounts)
		slotCounts[least].slots++
		d.assign(i, slotCounts[least].node)
	}
}

// assign appends a holding of the node that begins at the end of the last holding of the slot.
// Mint times since that end had no owner, and the new holding covers them, so that every key
// gets an owner eventually.
func (d *draft) assign(i int, node Node) {
	slot := &d.plan.Slots[i]
	fromMS := d.nowMS
	if last, ok := slot.last(); ok {
		fromMS = last.UntilMS
	}
	slot.Holdings = append(slot.Holdings, d.holding(node, fromMS))
	d.changed = true
}

// closeLast ends the last holdings that match at closeMS, removes the matching holdings that
// begin at or after closeMS, and returns the changed slots.
func (d *draft) closeLast(closeMS int64, match func(Holding) bool) (closed []int) {
	for i := range d.plan.Slots {
		if d.closeSlot(&d.plan.Slots[i], closeMS, match) {
			closed = append(closed, i)
		}
	}
	d.changed = d.changed || len(closed) > 0
	return closed
}

func (d *draft) closeSlot(slot *Slot, closeMS int64, match func(Holding) bool) bool {
	closed := false
	for {
		last, ok := slot.last()
		if !ok || last.UntilMS <= closeMS || !match(last) {
			return closed
		}
		closed = true
		if last.FromMS < closeMS {
			slot.Holdings[len(slot.Holdings)-1].UntilMS = closeMS
			return closed
		}
		slot.Holdings = slot.Holdings[:len(slot.Holdings)-1]
	}
}

// renew extends all holdings of this node as soon as one of them is due, so that one write
// renews all of them.
func (d *draft) renew() {
	dueMS := d.nowMS + d.leaseMS()*renewNumerator/renewDenominator
	due := false
	for _, slot := range d.plan.Slots {
		last, ok := slot.last()
		if ok && d.isOwn(last) && !d.isFree(slot) && last.UntilMS < dueMS {
			due = true
		}
	}
	if !due {
		return
	}
	for i, slot := range d.plan.Slots {
		last, ok := slot.last()
		if ok && d.isOwn(last) && !d.isFree(slot) {
			d.extend(i)
		}
	}
}

// rebalance ends holdings early while another live node holds at least two slots less
// than this one, and assigns the slots to that node in the same change. If a slot stayed free
// until the other node claims it, an outage of the platform in between would leave its keys
// without an owner. Nothing is given up while any slot is free.
func (d *draft) rebalance() {
	if slices.ContainsFunc(d.plan.Slots, d.isFree) {
		return
	}
	for i := range d.plan.Slots {
		next, ok := d.leastLoaded()
		if !ok {
			return
		}
		slot := &d.plan.Slots[i]
		last := &slot.Holdings[len(slot.Holdings)-1]
		tenureMS := d.nowMS - last.FromMS
		if !d.isOwn(*last) || tenureMS < minTenure.Milliseconds() || last.UntilMS <= d.cutMS() {
			continue
		}
		last.UntilMS = d.cutMS()
		d.assign(i, next)
	}
}

// leastLoaded returns the live node with the fewest slots, if it holds at least two slots less
// than this node.
func (d *draft) leastLoaded() (Node, bool) {
	slotCounts := d.slotCounts()
	own := slices.IndexFunc(slotCounts, func(s slotCount) bool { return s.node.Incarnation == d.self.Incarnation })
	least := fewestSlots(slotCounts)
	if slotCounts[own].slots-slotCounts[least].slots < 2 {
		return Node{}, false
	}
	return slotCounts[least].node, true
}

// holding returns a holding of the node that begins at the mint time fromMS.
func (d *draft) holding(node Node, fromMS int64) Holding {
	return Holding{
		Name:        node.Name,
		Incarnation: node.Incarnation,
		Address:     node.Address,
		StartedMS:   node.StartedMS,
		FromMS:      fromMS,
		UntilMS:     max(fromMS, d.nowMS) + d.leaseMS(),
	}
}

// claim takes the free slots that the distribution assigns to this node. All nodes compute
// the same distribution, so that nodes with the same view rarely write conflicting changes.
func (d *draft) claim() {
	slotCounts := d.slotCounts()
	for i, slot := range d.plan.Slots {
		if !d.isFree(slot) {
			continue
		}
		least := fewestSlots(slotCounts)
		slotCounts[least].slots++
		if slotCounts[least].node.Incarnation == d.self.Incarnation {
			d.claimSlot(i)
		}
	}
}

// claimSlot assigns a free slot to this node, or reserves it for the holders that a lost plan
// may have named.
func (d *draft) claimSlot(i int) {
	if d.reserve(i) {
		return
	}
	if last, ok := d.plan.Slots[i].last(); ok && d.isOwn(last) {
		d.extend(i)
		return
	}
	d.assign(i, d.self)
}

func (d *draft) extend(i int) {
	holdings := d.plan.Slots[i].Holdings
	holdings[len(holdings)-1].UntilMS = d.nowMS + d.leaseMS()
	d.changed = true
}

// finish drops the holdings whose keys are too old by the clock of every node, and increments
// the version. The last holding of a slot is kept, because the next one begins at its end.
func (d *draft) finish() Plan {
	oldestMS := d.nowMS - d.rules.KeyAge.Milliseconds() - 2*d.marginMS()
	for i := range d.plan.Slots {
		slot := &d.plan.Slots[i]
		for len(slot.Holdings) > 1 && slot.Holdings[0].UntilMS < oldestMS {
			slot.Holdings = slot.Holdings[1:]
		}
	}
	d.plan.Version++
	return d.plan
}

func (d *draft) isOwn(h Holding) bool {
	return h.Incarnation == d.self.Incarnation && h.Records == ""
}

// isFree reports whether the last holding of the slot has ended or ends soon.
func (d *draft) isFree(slot Slot) bool {
	last, ok := slot.last()
	windowMS := freeMargins*d.marginMS() + d.rules.ClaimLead.Milliseconds()
	return !ok || last.UntilMS <= d.nowMS+windowMS
}

// cutMS returns the end of a holding that is closed now. It is later than the mint time of
// every key that the holder has accepted.
func (d *draft) cutMS() int64 {
	return d.nowMS + CutLead(d.rules).Milliseconds() + 1
}

// slotCounts counts the slots of each live node, without free slots.
func (d *draft) slotCounts() []slotCount {
	return d.slotCountsOf(d.live)
}

func (d *draft) slotCountsOf(nodes []Node) []slotCount {
	held := make(map[string]int)
	for _, slot := range d.plan.Slots {
		if last, ok := slot.last(); ok && !d.isFree(slot) && last.Records == "" {
			held[last.Incarnation]++
		}
	}
	slotCounts := make([]slotCount, 0, len(nodes))
	for _, node := range nodes {
		slotCounts = append(slotCounts, slotCount{node, held[node.Incarnation]})
	}
	return slotCounts
}

func (d *draft) marginMS() int64 {
	return d.rules.Margin.Milliseconds()
}

func (d *draft) leaseMS() int64 {
	return d.rules.Lease.Milliseconds()
}

func fewestSlots(slotCounts []slotCount) int {
	least := 0
	for i, s := range slotCounts {
		if s.slots < slotCounts[least].slots {
			least = i
		}
	}
	return least
}

// liveNodes returns self and the members that may hold slots, sorted by name. Of several
// incarnations with the same name and address, only the latest is included; at the address of
// self, that is self.
func liveNodes(self Node, members []Node) []Node {
	var live []Node
	for _, node := range append([]Node{self}, members...) {
		known := slices.IndexFunc(live, func(n Node) bool {
			return n.Name == node.Name && n.Address == node.Address
		})
		if known < 0 {
			live = append(live, node)
		} else if known > 0 && node.StartedMS > live[known].StartedMS {
			live[known] = node
		}
	}
	live = slices.DeleteFunc(live, func(n Node) bool { return n.Leaving })
	slices.SortFunc(live, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return live
}
