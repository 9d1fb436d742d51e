package once

import (
	"cmp"
	"slices"
	"time"
)

type (
	// draft is a plan under change.
	draft struct {
		plan    Plan
		nowMS   int64
		self    Node
		living  []Node
		rules   Rules
		changed bool
	}

	// share is how many slots a living node holds.
	share struct {
		node  Node
		slots int
	}
)

const (
	// minTenure is the least time for which a slot is held before it is given
	// to another node for balance, so that a flapping member moves few slots.
	minTenure = 5 * time.Second
	// A holding is renewed once less than renewNumerator/renewDenominator of
	// the lease is left.
	renewNumerator   = 3
	renewDenominator = 4
	// freeMargins is the number of clock margins before its end from which a
	// holding is no longer renewed and the slot may be claimed. It is above the
	// two margins of a cut, so that no renewal takes a cut back.
	freeMargins = 4
	// cutMargins is the least number of clock margins from now to the end of a
	// holding that is closed now, so that the end is above the mint time of
	// every accepted key.
	cutMargins = 2
)

// Next returns the plan as self should change it, and false when nothing is to
// be written. The outer layer hands the plan to Ledger.Promise and then
// commits it, if the table still has the version of p.
//
// A node changes only its own holdings and those of a former incarnation at its
// own address, and claims slots whose last holding has ended or is about to.
func Next(now time.Time, p Plan, self Node, members []Node, rules Rules) (Plan, bool) {
	d := &draft{plan: p.clone(), nowMS: now.UnixMilli(), self: self, rules: rules}
	d.living = livingNodes(self, members)
	if d.superseded(members) {
		return p, false
	}
	if len(d.plan.Slots) == 0 {
		d.plan.Slots = make([]Slot, rules.Slots)
	}
	if self.Leaving {
		d.closeOwn(d.living)
	} else {
		d.closePredecessors()
		d.renew()
		d.giveUpSurplus()
		d.claim()
	}
	if !d.changed {
		return p, false
	}
	return d.finish(), true
}

// CutLead is the time from the closing of a holding to its end.
func CutLead(rules Rules) time.Duration {
	return cutMargins*rules.Margin + rules.ClaimLead
}

// HandOver returns the plan after from has closed its ledger by Export and to
// has imported every record: to keeps the records of all that from kept, and
// takes the slots that from still holds. Either of the two may write it,
// so that to can do it when the platform is back and from is gone.
func HandOver(now time.Time, p Plan, from, to Node, rules Rules) (Plan, bool) {
	d := &draft{plan: p.clone(), nowMS: now.UnixMilli(), self: from, rules: rules}
	d.closeOwn([]Node{to})
	for i := range d.plan.Slots {
		for j := range d.plan.Slots[i].Holdings {
			h := &d.plan.Slots[i].Holdings[j]
			if h.Keeper() == from.Incarnation {
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

// superseded says whether a later incarnation has taken over at the address. A
// start that is later by less than the margin is a former incarnation's, from
// before the clock was set back.
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

// sameAddress says whether the incarnation is another one of the same node at
// the same address.
func (d *draft) sameAddress(name, address, incarnation string) bool {
	return name == d.self.Name && address == d.self.Address && incarnation != d.self.Incarnation
}

// closePredecessors ends the holdings of a former incarnation at this address.
// It accepted nothing after the start of this one, and nothing minted more than
// a margin ahead of its clock, which was at most a margin ahead of this one's.
//
// With Margin 1000 and a start at 50000: the last key accepted was minted at
// 52000 at the latest, so the holding ends at 52001.
func (d *draft) closePredecessors() {
	if d.self.Translated {
		return
	}
	closeMS := d.self.StartedMS + 2*d.marginMS() + 1
	d.closeLast(closeMS, func(h Holding) bool {
		return h.Records == "" && d.sameAddress(h.Name, h.Address, h.Incarnation)
	})
}

// closeOwn ends the node's own holdings, as it is leaving, and gives each slot to
// the one of the heirs that holds the least. Were the slots left free until the
// others claim them, an outage of the platform in between would leave their keys
// without an owner.
func (d *draft) closeOwn(heirs []Node) {
	closed := d.closeLast(d.cutMS(), d.isOwn)
	shares := d.sharesOf(heirs)
	if len(shares) == 0 {
		return
	}
	for _, i := range closed {
		least := leastShare(shares)
		shares[least].slots++
		d.give(i, shares[least].node)
	}
}

// give appends a holding of the node that begins where the slot's last one ends.
// The mint times in between belonged to nobody, so that no key waits for an owner
// for ever.
func (d *draft) give(i int, node Node) {
	slot := &d.plan.Slots[i]
	fromMS := d.nowMS
	if last, ok := slot.last(); ok {
		fromMS = last.UntilMS
	}
	slot.Holdings = append(slot.Holdings, d.holding(node, fromMS))
	d.changed = true
}

// closeLast ends the last holdings that match at closeMS, removes those that
// would begin only then, and returns the slots in which it did so.
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

// renew extends all of the node's holdings once one of them is due.
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

// giveUpSurplus ends holdings early while another living node holds at least
// two slots less, and gives each to that node in the same change: were it left
// free until the other claims it, an outage of the platform in between would
// leave its keys without an owner. It waits until no slot is free.
func (d *draft) giveUpSurplus() {
	if slices.ContainsFunc(d.plan.Slots, d.isFree) {
		return
	}
	for i := range d.plan.Slots {
		next, ok := d.needier()
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
		d.give(i, next)
	}
}

// needier returns the living node with the least slots, if it holds at least two
// less than this one.
func (d *draft) needier() (Node, bool) {
	shares := d.shares()
	mine := slices.IndexFunc(shares, func(s share) bool { return s.node.Incarnation == d.self.Incarnation })
	least := leastShare(shares)
	if shares[mine].slots-shares[least].slots < 2 {
		return Node{}, false
	}
	return shares[least].node, true
}

// holding returns a holding of a node from a mint time on.
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

// claim takes the free slots that fall to this node. Every node computes the
// same distribution, so that those with the same view seldom collide.
func (d *draft) claim() {
	shares := d.shares()
	for i, slot := range d.plan.Slots {
		if !d.isFree(slot) {
			continue
		}
		least := leastShare(shares)
		shares[least].slots++
		if shares[least].node.Incarnation == d.self.Incarnation {
			d.take(i)
		}
	}
}

// take makes a free slot this node's.
func (d *draft) take(i int) {
	if last, ok := d.plan.Slots[i].last(); ok && d.isOwn(last) {
		d.extend(i)
		return
	}
	d.give(i, d.self)
}

func (d *draft) extend(i int) {
	holdings := d.plan.Slots[i].Holdings
	holdings[len(holdings)-1].UntilMS = d.nowMS + d.leaseMS()
	d.changed = true
}

// finish drops the holdings whose keys are too old at every node, but for the
// last of each slot, which says where the next one begins.
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

// isFree says whether the slot's last holding has ended or was cut to end soon.
func (d *draft) isFree(slot Slot) bool {
	last, ok := slot.last()
	windowMS := freeMargins*d.marginMS() + d.rules.ClaimLead.Milliseconds()
	return !ok || last.UntilMS <= d.nowMS+windowMS
}

// cutMS is the end of a holding that is closed now: above the mint time of
// every key that the holder has accepted.
func (d *draft) cutMS() int64 {
	return d.nowMS + CutLead(d.rules).Milliseconds() + 1
}

// shares counts the slots of each living node that are not free.
func (d *draft) shares() []share {
	return d.sharesOf(d.living)
}

func (d *draft) sharesOf(nodes []Node) []share {
	held := make(map[string]int)
	for _, slot := range d.plan.Slots {
		if last, ok := slot.last(); ok && !d.isFree(slot) && last.Records == "" {
			held[last.Incarnation]++
		}
	}
	shares := make([]share, 0, len(nodes))
	for _, node := range nodes {
		shares = append(shares, share{node, held[node.Incarnation]})
	}
	return shares
}

func (d *draft) marginMS() int64 {
	return d.rules.Margin.Milliseconds()
}

func (d *draft) leaseMS() int64 {
	return d.rules.Lease.Milliseconds()
}

func leastShare(shares []share) int {
	least := 0
	for i, s := range shares {
		if s.slots < shares[least].slots {
			least = i
		}
	}
	return least
}

// livingNodes returns self and the members that may hold slots, by name, with
// the latest incarnation only of each name and address, which is self at its own.
func livingNodes(self Node, members []Node) []Node {
	var living []Node
	for _, node := range append([]Node{self}, members...) {
		known := slices.IndexFunc(living, func(n Node) bool {
			return n.Name == node.Name && n.Address == node.Address
		})
		if known < 0 {
			living = append(living, node)
		} else if known > 0 && node.StartedMS > living[known].StartedMS {
			living[known] = node
		}
	}
	living = slices.DeleteFunc(living, func(n Node) bool { return n.Leaving })
	slices.SortFunc(living, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return living
}
