package once

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

type (
	// Verdict is what the ledger says of a key.
	Verdict uint8

	// Record is one key's record on its way to another ledger.
	Record[A any] struct {
		Key         Key
		Kind        string
		RequestHash uint64
		// Unknown is set when the key ran or may have run and its answer is not
		// at hand.
		Unknown bool
		Answer  A
		// Size is the memory of the answer in bytes.
		Size int
	}

	// Stats are the ledger's gauges and counters.
	Stats struct {
		Records int
		Bytes   int64
		// Refused counts the keys that the memory bound refused.
		Refused int64
		// Dropped counts the answers that the memory bound dropped.
		Dropped int64
	}

	// Ledger decides the keys that reach one node incarnation, and records what
	// became of them. It is not safe for concurrent use.
	Ledger[A any] struct {
		self     Node
		rules    Rules
		maxBytes int64
		plan     Plan
		// minutes holds the records by the minute of their mint time, so that
		// old ones are dropped without a search.
		minutes     map[int64]*minute[A]
		records     int
		answerBytes int64
		promises    []promise
		// leaveMS is the mint time from which nothing is accepted because the
		// node is leaving; 0 when it isn't.
		leaveMS int64
		// closed is set by Export: no fresh key is accepted from then on.
		closed bool
		// forgottenMS is the mint time below which records may have been dropped
		// under an earlier, shorter key age.
		forgottenMS int64
		// latest is the highest time seen, so that a clock that is set back
		// brings no forgotten key back to life.
		latest time.Time
		stats  Stats
	}

	// promise is what the ledger has to remember of one slot.
	promise struct {
		// highestMS is the newest mint time that was accepted.
		highestMS int64
		// cutMS is the mint time from which nothing is accepted because a plan
		// that cuts the holding may have been written; 0 when there is none.
		cutMS int64
	}
)

// The verdicts.
const (
	// Run means that the key is recorded as running and the caller runs it now.
	Run Verdict = iota
	// Running means that an earlier request with the key has not ended.
	Running
	// Done means that the key ran and its answer comes along.
	Done
	// Refuse means that the key does not run now, for the reason in the code.
	Refuse
)

// NewLedger returns an empty ledger whose records take up to maxBytes.
func NewLedger[A any](self Node, rules Rules, maxBytes int64) *Ledger[A] {
	return &Ledger[A]{
		self:     self,
		rules:    rules,
		maxBytes: maxBytes,
		minutes:  make(map[int64]*minute[A]),
	}
}

// Learn takes in a plan that was committed. Older ones change nothing. A newer one
// ends the promised cuts: they were made for a plan that was to replace the one
// known so far, so either the newer one has them or that write can never take
// effect.
func (l *Ledger[A]) Learn(p Plan) {
	if p.Version <= l.plan.Version {
		return
	}
	l.plan = p.clone()
	l.fitPromises(len(p.Slots))
	for i := range l.promises {
		l.promises[i].cutMS = 0
	}
}

// Promise makes the ledger honour the cuts that next makes in its holdings,
// whether or not the write of next is known to have taken effect. It returns
// false when next must not be written: because it was not made from the plan that
// was learned last, takes away a mint time that was accepted, or hands over the
// records of a ledger that isn't closed.
func (l *Ledger[A]) Promise(now time.Time, next Plan) bool {
	now = l.advance(now)
	if next.Version != l.plan.Version+1 || len(next.Slots) < len(l.plan.Slots) {
		return false
	}
	l.fitPromises(len(next.Slots))
	cuts := make([]int64, len(next.Slots))
	for i, slot := range l.plan.Slots {
		cut, ok := l.cut(now, slot, next.Slots[i])
		if !ok || cut != 0 && cut <= l.promises[i].highestMS {
			return false
		}
		cuts[i] = cut
	}
	for i, cut := range cuts {
		if cut != 0 {
			l.promises[i].cutMS = lowest(l.promises[i].cutMS, cut)
		}
	}
	return true
}

// Leave promises to accept nothing that is minted from now on, but for the
// clock margin. The plan that Next makes for a leaving node can then be
// written at any time.
func (l *Ledger[A]) Leave(now time.Time) {
	now = l.advance(now)
	leaveMS := now.Add(l.rules.Margin).UnixMilli() + 1
	for _, p := range l.promises {
		leaveMS = max(leaveMS, p.highestMS+1)
	}
	l.leaveMS = lowest(l.leaveMS, leaveMS)
}

// SetKeyAge changes how long keys are accepted. After a longer age is declared,
// keys that were too old before stay refused: their records may be gone.
func (l *Ledger[A]) SetKeyAge(now time.Time, age time.Duration) {
	now = l.advance(now)
	l.forgottenMS = max(l.forgottenMS, now.Add(-l.rules.KeyAge).UnixMilli())
	l.rules.KeyAge = age
}

// Accept decides a key that reached this node. The answer is set for Done only.
//
// Codes of the family NotRun hold for the key, not only for this request: they
// are returned only where this ledger is the one that would know of a run, or
// where no ledger can have run the key.
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
	if code := l.refusal(now, k); code != 0 {
		return Refuse, none, code
	}
	if !l.makeRoom(recordBytes) {
		l.stats.Refused++
		return Refuse, none, result.MemoryBound
	}
	l.insert(id, k, &record[A]{kind: kind, requestHash: requestHash})
	slot := l.plan.slotOf(k)
	l.promises[slot].highestMS = max(l.promises[slot].highestMS, k.Minted.UnixMilli())
	return Run, none, 0
}

// refusal returns why a key without a record doesn't run here, or 0.
func (l *Ledger[A]) refusal(now time.Time, k Key) result.Code {
	if k.Minted.After(now.Add(2 * l.rules.Margin)) {
		// Too far ahead for any owner, whose clock may be a margin ahead.
		return result.KeyFromFuture
	}
	if now.Sub(k.Minted) > l.rules.KeyAge || k.Minted.UnixMilli() < l.forgottenMS {
		return result.Forgotten
	}
	holding, ok := l.plan.Find(k)
	if !ok && l.plan.passedBy(k) {
		return result.KeyTooOld
	}
	if !ok || holding.Keeper() != l.self.Incarnation || l.closed {
		return result.OwnerGone
	}
	if limitMS := lowest(l.leaveMS, l.promises[l.plan.slotOf(k)].cutMS); limitMS != 0 && k.Minted.UnixMilli() >= limitMS {
		// A successor may have the key already.
		return result.OwnerGone
	}
	if k.Minted.After(now.Add(l.rules.Margin)) {
		return result.KeyFromFuture
	}
	return 0
}

// cut compares the slot as known with the slot in the next plan. It returns the
// mint time from which this ledger loses keys, 0 when it loses none, and false
// when its records would go to another keeper before it is closed.
func (l *Ledger[A]) cut(now time.Time, known, next Slot) (int64, bool) {
	oldestMS := now.Add(-l.rules.KeyAge - 2*l.rules.Margin).UnixMilli()
	cut := int64(0)
	for _, h := range known.Holdings {
		if h.Keeper() != l.self.Incarnation || h.UntilMS < oldestMS {
			continue
		}
		i := slices.IndexFunc(next.Holdings, func(n Holding) bool { return n.FromMS == h.FromMS })
		if i < 0 {
			cut = lowest(cut, h.FromMS)
			continue
		}
		if next.Holdings[i].Keeper() != l.self.Incarnation {
			if !l.closed {
				return 0, false
			}
			continue
		}
		if next.Holdings[i].UntilMS < h.UntilMS {
			cut = lowest(cut, next.Holdings[i].UntilMS)
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

func (l *Ledger[A]) fitPromises(slots int) {
	for len(l.promises) < slots {
		l.promises = append(l.promises, promise{})
	}
}

// lowest returns the lower of two times of which 0 stands for none.
func lowest(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
