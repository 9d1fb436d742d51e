package once

import (
	"math"
	"slices"
	"time"
)

// formerPlan is the last plan of a former generation of the store that a ledger knew, if any.
type formerPlan struct {
	plan Plan
	// cutsMS holds the cuts that were promised for each slot.
	cutsMS []int64
	// adoptedMS is when the plan that replaced this one was adopted. What is lost was
	// written before.
	adoptedMS int64
	// extendedMS is the least end of a holding that no lost plan can have claimed, because
	// its slot did not become free before.
	extendedMS int64
}

// Adopt returns the plan under a generation of the store that came back from an older copy.
// The plan in the copy, or none, is what is left of a sequence of plans of which the later
// ones may be lost. Those may have assigned mint times to other incarnations, which ran keys
// of them and may be gone or cut off. Each of their holdings ends at LostUntilMS at the
// latest, because it was written before now and a renewal extends it by one lease.
//
// A holder that is alive knows whether it gave up its holding, so holdings go on. Until
// LostUntilMS, however, a slot that is free is reserved and has no owner.
func Adopt(now time.Time, p Plan, generation int64, rules Rules) Plan {
	adopted := p.clone()
	adopted.Generation = generation
	adopted.Version++
	// Holdings that were claimed before begin earlier by every clock, and those that are given
	// to a node from now on begin later, see cutMS.
	adopted.AdoptedMS = now.Add(rules.Margin).UnixMilli() + 1
	adopted.LostUntilMS = max(p.LostUntilMS, now.Add(rules.Lease+2*rules.Margin).UnixMilli()+1)
	return adopted
}

// Provisional returns the plan for routing until it is adopted under the present generation
// of the store. It does not tell which keys no lost plan has covered.
func (p Plan) Provisional() Plan {
	p.LostUntilMS = math.MaxInt64
	return p
}

// reserve assigns the mint times of a free slot that a lost plan may have assigned to nobody,
// and reports whether there were any. Without a holding for them, a request in these times
// would be refused as one that cannot have run.
func (d *draft) reserve(i int) bool {
	slot := &d.plan.Slots[i]
	fromMS := d.nowMS - d.rules.KeyAge.Milliseconds() - 2*d.marginMS()
	if last, ok := slot.last(); ok {
		fromMS = last.UntilMS
	}
	if fromMS >= d.plan.LostUntilMS {
		return false
	}
	slot.Holdings = append(slot.Holdings, Holding{FromMS: fromMS, UntilMS: d.plan.LostUntilMS})
	d.changed = true
	return true
}

func (l *Ledger[A]) formerPlan(adoptedMS int64) formerPlan {
	windowMS := freeMargins*l.rules.Margin.Milliseconds() + l.rules.ClaimLead.Milliseconds()
	former := formerPlan{
		plan:       l.plan,
		adoptedMS:  adoptedMS,
		extendedMS: adoptedMS + windowMS + 2*l.rules.Margin.Milliseconds(),
	}
	for i := range l.plan.Slots {
		former.cutsMS = append(former.cutsMS, l.slotStates[i].cutMS)
	}
	return former
}

// mayBeLost reports whether a plan that the store has lost may have assigned the key to
// another incarnation: the holding is from before a plan was adopted, and the plan that this
// ledger knew before does not give the key to this incarnation.
func (l *Ledger[A]) mayBeLost(h Holding, k Key) bool {
	return slices.ContainsFunc(l.former, func(f formerPlan) bool {
		return h.FromMS < f.adoptedMS && !f.assigns(k, l.self.Incarnation)
	})
}

// LostHolding reports whether the plan has a holding of this incarnation that goes on although
// a lost plan may have given its mint times to another incarnation. Such a holding is neither
// extended nor given to another node.
func (l *Ledger[A]) LostHolding(now time.Time) bool {
	for i, slot := range l.plan.Slots {
		last, ok := slot.last()
		if !ok || last.Incarnation != l.self.Incarnation || last.Records != "" || last.UntilMS <= now.UnixMilli() {
			continue
		}
		ended := func(f formerPlan) bool {
			return last.FromMS < f.adoptedMS && !f.mayExtend(i, l.self.Incarnation)
		}
		if slices.ContainsFunc(l.former, ended) {
			return true
		}
	}
	return false
}

// assigns reports whether the plan gives the key to an incarnation, also if the incarnation
// has extended its holding since.
func (f formerPlan) assigns(k Key, incarnation string) bool {
	if len(f.plan.Slots) == 0 {
		return false
	}
	i := f.plan.slotOf(k)
	mintedMS := k.Minted.UnixMilli()
	if last, ok := f.plan.Slots[i].last(); ok && mintedMS >= last.UntilMS {
		return f.mayExtend(i, incarnation)
	}
	holding, ok := f.plan.Find(k)
	return ok && holding.Owner() == incarnation && (f.cutsMS[i] == 0 || mintedMS < f.cutsMS[i])
}

// mayExtend reports whether the incarnation may have extended its holding of a slot. While a
// slot is not free, only its holder can end the holding, so no lost plan has claimed it.
func (f formerPlan) mayExtend(slot int, incarnation string) bool {
	if slot >= len(f.plan.Slots) || f.cutsMS[slot] != 0 {
		return false
	}
	last, ok := f.plan.Slots[slot].last()
	return ok && last.Owner() == incarnation && last.UntilMS > f.extendedMS
}
