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

	minute[A any] struct {
		records     map[uuid.UUID]*record[A]
		answerBytes int64
	}

	record[A any] struct {
		state       recordState
		kind        string
		requestHash uint64
		answer      A
		size        int64
	}

	recordState uint8

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

const (
	running recordState = iota
	done
	unknown
)

const (
	// recordBytes is the memory of one record without its answer.
	recordBytes = 192
	minuteMS    = int64(time.Minute / time.Millisecond)
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

// Finish records the answer, of size bytes, of a key that ran to an end.
func (l *Ledger[A]) Finish(now time.Time, k Key, answer A, size int) {
	l.advance(now)
	m, r := l.open(k)
	if r == nil || r.state == done {
		return
	}
	if !l.makeRoom(int64(size)) {
		r.state = unknown
		l.stats.Dropped++
		return
	}
	r.state = done
	r.answer = answer
	r.size = int64(size)
	m.answerBytes += r.size
	l.answerBytes += r.size
}

// Lost records that the key ran or may have run, with an unknown outcome. It
// never runs again.
func (l *Ledger[A]) Lost(now time.Time, k Key) {
	l.advance(now)
	if _, r := l.open(k); r != nil && r.state == running {
		r.state = unknown
	}
}

// Abandon drops the record of a key that provably did not run. It may run again.
func (l *Ledger[A]) Abandon(now time.Time, k Key) {
	l.advance(now)
	m, r := l.open(k)
	if r == nil || r.state != running {
		return
	}
	id, _ := uuid.Parse(k.Text)
	delete(m.records, id)
	l.records--
}

// Forget drops the records of keys that are too old to be accepted anywhere.
// The margins cover a successor's clock that is behind this one.
func (l *Ledger[A]) Forget(now time.Time) {
	now = l.advance(now)
	oldestMS := now.Add(-l.rules.KeyAge - 2*l.rules.Margin).UnixMilli()
	for number, m := range l.minutes {
		if (number+1)*minuteMS > oldestMS {
			continue
		}
		l.records -= len(m.records)
		l.answerBytes -= m.answerBytes
		delete(l.minutes, number)
	}
}

// Export closes the ledger and returns its records for a handover. Fresh keys
// are refused from then on, while repeats are still answered. A key that is
// still running is exported as unknown.
func (l *Ledger[A]) Export() []Record[A] {
	l.closed = true
	records := make([]Record[A], 0, l.records)
	for _, m := range l.minutes {
		for id, r := range m.records {
			records = append(records, Record[A]{
				Key:         keyOf(id),
				Kind:        r.kind,
				RequestHash: r.requestHash,
				Unknown:     r.state != done,
				Answer:      r.answer,
				Size:        int(r.size),
			})
		}
	}
	return records
}

// Import takes in records of the ledger of another incarnation. It returns
// false when this ledger is itself closed, or is the one that the records come
// from. The keys that from never saw may run here once a plan names this
// incarnation as the keeper of its records.
func (l *Ledger[A]) Import(from string, records []Record[A]) bool {
	if l.closed || from == l.self.Incarnation {
		return false
	}
	for _, imported := range records {
		l.importOne(imported)
	}
	return true
}

// Stats returns the ledger's gauges and counters.
func (l *Ledger[A]) Stats() Stats {
	stats := l.stats
	stats.Records = l.records
	stats.Bytes = l.bytes()
	return stats
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

func (l *Ledger[A]) importOne(imported Record[A]) {
	id, err := uuid.Parse(imported.Key.Text)
	if err != nil {
		return
	}
	if r := l.find(id, imported.Key); r == nil {
		// The record goes in above the bound too: without it the key could
		// run again.
		l.insert(id, imported.Key, &record[A]{
			state:       unknown,
			kind:        imported.Kind,
			requestHash: imported.RequestHash,
		})
	}
	if !imported.Unknown {
		l.Finish(l.latest, imported.Key, imported.Answer, imported.Size)
	}
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

func (l *Ledger[A]) find(id uuid.UUID, k Key) *record[A] {
	m, ok := l.minutes[minuteOf(k)]
	if !ok {
		return nil
	}
	return m.records[id]
}

// open returns the key's record and its minute, or nil.
func (l *Ledger[A]) open(k Key) (*minute[A], *record[A]) {
	id, err := uuid.Parse(k.Text)
	if err != nil {
		return nil, nil
	}
	return l.minutes[minuteOf(k)], l.find(id, k)
}

func (l *Ledger[A]) insert(id uuid.UUID, k Key, r *record[A]) {
	number := minuteOf(k)
	m, ok := l.minutes[number]
	if !ok {
		m = &minute[A]{records: make(map[uuid.UUID]*record[A])}
		l.minutes[number] = m
	}
	m.records[id] = r
	l.records++
}

func (l *Ledger[A]) bytes() int64 {
	return int64(l.records)*recordBytes + l.answerBytes
}

// makeRoom drops the answers of the oldest minutes until need more bytes fit,
// and says whether they do. A repeat of a key whose answer was dropped gets an
// unknown result; refusing new keys for as long as KeyAge would cost more.
func (l *Ledger[A]) makeRoom(need int64) bool {
	if int64(l.records)*recordBytes+need > l.maxBytes {
		return false
	}
	for l.bytes()+need > l.maxBytes {
		l.dropOldestAnswers()
	}
	return true
}

func (l *Ledger[A]) dropOldestAnswers() {
	var oldest *minute[A]
	oldestNumber := int64(0)
	for number, m := range l.minutes {
		if m.answerBytes > 0 && (oldest == nil || number < oldestNumber) {
			oldest = m
			oldestNumber = number
		}
	}
	var none A
	for _, r := range oldest.records {
		if r.size > 0 {
			r.state = unknown
			r.answer = none
			r.size = 0
			l.stats.Dropped++
		}
	}
	l.answerBytes -= oldest.answerBytes
	oldest.answerBytes = 0
}

// decide answers a key that is on record.
func (r *record[A]) decide(kind string, requestHash uint64) (Verdict, A, result.Code) {
	var none A
	if r.kind != kind || r.requestHash != requestHash {
		return Refuse, none, result.KeyReused
	}
	switch r.state {
	case running:
		return Running, none, result.RunningStill
	case done:
		return Done, r.answer, result.Replayed
	default:
		return Refuse, none, result.Lost
	}
}

// lowest returns the lower of two times of which 0 stands for none.
func lowest(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func minuteOf(k Key) int64 {
	return k.Minted.UnixMilli() / minuteMS
}
