package once

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

type (
	// Verdict is the decision of a ledger on a key.
	Verdict uint8

	// Record is the exported record of one key.
	Record[A any] struct {
		Key         Key
		Kind        string
		RequestHash uint64
		// Unknown is set when the key ran or may have run and its answer is not
		// available.
		Unknown bool
		Answer  A
		// Size is the memory of the answer in bytes.
		Size int
	}

	// Stats holds the gauges and counters of a ledger.
	Stats struct {
		Records int
		Bytes   int64
		// Refused counts the keys that were rejected because of the memory bound.
		Refused int64
		// Dropped counts the answers that were dropped because of the memory bound.
		Dropped int64
	}

	// Ledger decides whether the keys that reach one node incarnation may run, and
	// records their outcomes. It is not safe for concurrent use.
	Ledger[A any] struct {
		self     Node
		rules    Rules
		maxBytes int64
		plan     Plan
		// buckets holds the records by the minute of their mint time, so that old
		// records can be dropped without a search.
		buckets     map[int64]*bucket[A]
		records     int
		answerBytes int64
		slotStates  []slotState
		// leaveMS is the mint time from which no key is accepted because the node is
		// leaving, or 0 if the node is not leaving.
		leaveMS int64
		// former holds the plans of former generations of the store, with their cuts.
		former []formerPlan
		// closed is set by Export. A closed ledger accepts no fresh keys.
		closed bool
		// forgottenMS is the mint time before which records may have been dropped
		// under an earlier, shorter key age.
		forgottenMS int64
		// latest is the highest time seen. It stands in for a clock that is set back,
		// so that a key whose record has been dropped is not accepted again.
		latest time.Time
		stats  Stats
	}

	// slotState is the state that a ledger keeps for one slot.
	slotState struct {
		// highestMS is the newest mint time of an accepted key.
		highestMS int64
		// cutMS is the mint time from which no key is accepted, because a plan that
		// ends the holding at that time may have been written. It is 0 if there is
		// no such plan.
		cutMS int64
	}
)

// These are the verdicts on a key.
const (
	// Run means that the key is now recorded as running, and the caller must run it.
	Run Verdict = iota
	// Running means that an earlier request with the key has not ended.
	Running
	// Done means that the key has run; its answer is returned with the verdict.
	Done
	// Refuse means that the key must not run now, for the reason given by the result code.
	Refuse
)

// NewLedger returns a ledger without records. maxBytes bounds the memory of its records.
func NewLedger[A any](self Node, rules Rules, maxBytes int64) *Ledger[A] {
	return &Ledger[A]{
		self:     self,
		rules:    rules,
		maxBytes: maxBytes,
		buckets:  make(map[int64]*bucket[A]),
	}
}

// ApplyPlan puts a committed plan in force if it is newer than the known plan, and then
// clears all promised cuts. The cuts were promised for a plan that was to replace the known
// one, so either the newer plan contains them or the write of the promised plan can no
// longer take effect. If the plan is of a later generation of the store, neither is sure,
// and the known plan with its cuts goes on to bound what this incarnation accepts.
func (l *Ledger[A]) ApplyPlan(p Plan) {
	if p.Compare(l.plan) <= 0 {
		return
	}
	if p.Generation > l.plan.Generation {
		l.former = append(l.former, l.formerPlan(p.AdoptedMS))
	}
	l.plan = p.clone()
	l.growSlotStates(len(p.Slots))
	for i := range l.slotStates {
		l.slotStates[i].cutMS = 0
	}
}

// Promise makes the ledger honour the cuts of next, that is, the holdings of this incarnation
// that next ends earlier or removes. The cuts apply whether or not the write of next is known
// to have taken effect. Promise returns false if next must not be written, because next is
// not derived from the known plan, takes the mint time of an accepted key away from this
// incarnation, hands over the records of a ledger that is not closed, or if this incarnation
// has a holding that it may have given up in a lost plan.
func (l *Ledger[A]) Promise(now time.Time, next Plan) bool {
	now = l.advance(now)
	if next.Version != l.plan.Version+1 || len(next.Slots) < len(l.plan.Slots) || l.LostHolding(now) {
		return false
	}
	l.growSlotStates(len(next.Slots))
	cuts := make([]int64, len(next.Slots))
	for i, slot := range l.plan.Slots {
		cut, ok := l.cut(now, slot, next.Slots[i])
		if !ok || cut != 0 && cut <= l.slotStates[i].highestMS {
			return false
		}
		cuts[i] = cut
	}
	for i, cut := range cuts {
		if cut != 0 {
			l.slotStates[i].cutMS = earliest(l.slotStates[i].cutMS, cut)
		}
	}
	return true
}

// Leave makes the ledger reject all keys that are minted later than one clock margin from
// now, or later than the newest accepted key if that is later still. The plan that Next
// returns for a leaving node can then be written at any time.
func (l *Ledger[A]) Leave(now time.Time) {
	now = l.advance(now)
	leaveMS := now.Add(l.rules.Margin).UnixMilli() + 1
	for _, state := range l.slotStates {
		leaveMS = max(leaveMS, state.highestMS+1)
	}
	l.leaveMS = earliest(l.leaveMS, leaveMS)
}

// SetKeyAge changes how long after their mint time keys are accepted. Keys that were too old
// under a shorter key age stay rejected under a longer one, because their records may have
// been dropped.
func (l *Ledger[A]) SetKeyAge(now time.Time, age time.Duration) {
	now = l.advance(now)
	l.forgottenMS = max(l.forgottenMS, now.Add(-l.rules.KeyAge).UnixMilli())
	l.rules.KeyAge = age
}

// Accept decides whether a key that reached this node may run. The returned answer is set for
// Done only.
//
// A code of the family NotRun applies to the key, not only to this request. It is returned
// only if this ledger would have the record of any run of the key, or if no ledger can have
// let the key run.
func (l *Ledger[A]) Accept(now time.Time, k Key, kind string, requestHash uint64) (Verdict, A, result.Code) {
	var none A
	now = l.advance(now)
	id, err := uuid.Parse(k.Text)
	if err != nil {
		return Refuse, none, result.KeyInvalid
	}
	if r := l.find(id, k); r != nil {
		return r.decide(kind, requestHash)
	}
	if code := l.rejection(now, k); code != 0 {
		return Refuse, none, code
	}
	if !l.makeRoom(recordBytes) {
		l.stats.Refused++
		return Refuse, none, result.MemoryBound
	}
	l.insert(id, k, &record[A]{kind: kind, requestHash: requestHash})
	slot := l.plan.slotOf(k)
	l.slotStates[slot].highestMS = max(l.slotStates[slot].highestMS, k.Minted.UnixMilli())
	return Run, none, 0
}

// rejection returns the code with which a key without a record is rejected, or 0 if the key
// may run here.
func (l *Ledger[A]) rejection(now time.Time, k Key) result.Code {
	if k.Minted.After(now.Add(2 * l.rules.Margin)) {
		// No owner accepts the key, even one whose clock is a margin ahead.
		return result.KeyFromFuture
	}
	if now.Sub(k.Minted) > l.rules.KeyAge || k.Minted.UnixMilli() < l.forgottenMS {
		return result.Forgotten
	}
	holding, ok := l.plan.Find(k)
	if !ok && l.plan.neverCovered(k) {
		return result.KeyTooOld
	}
	if !ok || holding.Owner() != l.self.Incarnation || l.closed || l.mayBeLost(holding, k) {
		return result.OwnerGone
	}
	if limitMS := earliest(l.leaveMS, l.slotStates[l.plan.slotOf(k)].cutMS); limitMS != 0 && k.Minted.UnixMilli() >= limitMS {
		// The key may already belong to a successor.
		return result.OwnerGone
	}
	if k.Minted.After(now.Add(l.rules.Margin)) {
		return result.KeyFromFuture
	}
	return 0
}

// cut compares a slot of the known plan with the same slot of the next plan. It returns the
// mint time from which this ledger loses keys, or 0 if it loses none. It returns false if
// the next plan hands its records to another incarnation before the ledger is closed.
func (l *Ledger[A]) cut(now time.Time, known, next Slot) (int64, bool) {
	oldestMS := now.Add(-l.rules.KeyAge - 2*l.rules.Margin).UnixMilli()
	cut := int64(0)
	for _, h := range known.Holdings {
		if h.Owner() != l.self.Incarnation || h.UntilMS < oldestMS {
			continue
		}
		i := slices.IndexFunc(next.Holdings, func(n Holding) bool { return n.FromMS == h.FromMS })
		if i < 0 {
			cut = earliest(cut, h.FromMS)
			continue
		}
		if next.Holdings[i].Owner() != l.self.Incarnation {
			if !l.closed {
				return 0, false
			}
			continue
		}
		if next.Holdings[i].UntilMS < h.UntilMS {
			cut = earliest(cut, next.Holdings[i].UntilMS)
		}
	}
	return cut, true
}

func (l *Ledger[A]) advance(now time.Time) time.Time {
	if now.After(l.latest) {
		l.latest = now
	}
	return l.latest
}

func (l *Ledger[A]) growSlotStates(slots int) {
	for len(l.slotStates) < slots {
		l.slotStates = append(l.slotStates, slotState{})
	}
}

// earliest returns the earlier of two times, where 0 means that there is none.
func earliest(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
