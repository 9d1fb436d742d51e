// Package fate keeps the book of attempts that are addressed to one node, and
// says what may be concluded of an attempt.
//
// An attempt id is a UUIDv7. Its mint time bounds what has to be remembered:
// an id older than Settings.Keep is never begun, so a record or a tombstone may
// be dropped after Keep however long the network holds a message back.
package fate

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

type (
	// Verdict is what the book says of an attempt. Only a Fresh one may run.
	Verdict uint8

	// State is the verdict that Ask returns: NeverSeen, Running, Done,
	// Dropped, Expired or Invalid.
	State = Verdict

	// Settings bound the book.
	Settings struct {
		// Keep is how long ended attempts and tombstones are kept. It must
		// exceed the longest declared deadline by twice Margin.
		Keep time.Duration
		// KeepAnswers is how long the answers of ended attempts are kept; 0 stands
		// for Keep.
		KeepAnswers time.Duration
		// MaxBytes bounds the memory of the whole book.
		MaxBytes int64
		// Margin is how far the clocks of two hosts may differ; 0 stands for
		// DefaultMargin.
		Margin time.Duration
	}

	// Stats are the book's gauges and counters.
	Stats struct {
		Entries    int
		Running    int
		Tombstones int
		Bytes      int64
		// Refused counts the attempts that the memory bound refused.
		Refused int64
		// Dropped counts the answers that the memory bound dropped.
		Dropped int64
	}

	// Book records attempts with answers of type A. It is not safe for
	// concurrent use.
	Book[A any] struct {
		settings Settings
		// entries holds the attempts that run or whose answer is kept, and bare the
		// verdict alone of all others, by the second in which they were minted. A busy
		// node has many more of the latter, so that they are small and hold no pointer
		// for the garbage collector to follow.
		entries map[uuid.UUID]*entry[A]
		bare    map[int64]map[bareID]Verdict
		// answered lists the ended attempts whose answer is kept, oldest first.
		answered []endedID
		// recordBytes is the cost of the attempts without their answers.
		recordBytes int64
		answerBytes int64
		// refusedThroughMS is the newest mint time that was refused without
		// leaving an entry. Nothing minted up to then is begun any more.
		refusedThroughMS int64
		// latest is the highest time seen, so that a clock that is set back
		// brings no forgotten id back to life.
		latest time.Time
		stats  Stats
	}

	entry[A any] struct {
		verdict Verdict
		answer  A
		size    int64
	}

	// bareID is the random part of an attempt's id. Should two of one second share
	// it, which is less likely than one in 2^30 with 100,000 of them, the later one is
	// not begun.
	bareID uint64

	endedID struct {
		id uuid.UUID
		// atMS is when the attempt ended, in Unix milliseconds.
		atMS int64
	}
)

// The verdicts.
const (
	// Fresh means that the attempt is recorded as running and may run now.
	Fresh Verdict = iota
	// Running means that the attempt has begun and has not ended.
	Running
	// Done means that the attempt ended with the answer that comes along.
	Done
	// Dropped means that the attempt ended and its answer was dropped to stay
	// inside the memory bound; its result is unknown.
	Dropped
	// Tombstoned means that the attempt was said to be never seen. It must not
	// run.
	Tombstoned
	// Full means that the memory bound refuses the attempt. It has not run and
	// never will.
	Full
	// NeverSeen means that the attempt has not run and never will.
	NeverSeen
	// Expired means that the id is older than Keep, so that the book may have
	// forgotten the attempt. It must not run.
	Expired
	// Invalid means that the id is no UUIDv7, or minted in the future by more
	// than the margin. It must not run.
	Invalid
)

const (
	// DefaultMargin is the clock margin where none is set.
	DefaultMargin = time.Second
	// entryBytes is the memory of one entry: id, map cell, struct, list cell.
	entryBytes = 256
	// bareBytes is the memory of a verdict alone.
	bareBytes = 48
	// compactAt is the length of the dropped head of a list that is worth a copy.
	compactAt = 1024
)

// New returns an empty book.
func New[A any](s Settings) *Book[A] {
	if s.Margin == 0 {
		s.Margin = DefaultMargin
	}
	return &Book[A]{settings: s, entries: map[uuid.UUID]*entry[A]{}, bare: map[int64]map[bareID]Verdict{}}
}

// Begin records a fresh attempt as running. The answer is set for Done only.
func (b *Book[A]) Begin(now time.Time, attempt string) (Verdict, A) {
	var none A
	now = b.advance(now)
	id, minted, ok := b.parse(now, attempt)
	if verdict, answer, known := b.known(id); known {
		return verdict, answer
	}
	if !ok {
		return Invalid, none
	}
	if b.expired(now, minted) {
		return Expired, none
	}
	if minted.UnixMilli() <= b.refusedThroughMS {
		b.stats.Refused++
		return Full, none
	}
	if !b.makeRoom(entryBytes) {
		b.refuseThrough(minted)
		b.stats.Refused++
		return Full, none
	}
	b.recordBytes += entryBytes
	b.entries[id] = &entry[A]{verdict: Running}
	b.stats.Running++
	return Fresh, none
}

// End records the answer, of size bytes, of an attempt that was running. A
// second end of the same attempt changes nothing.
func (b *Book[A]) End(now time.Time, attempt string, answer A, size int) {
	now = b.advance(now)
	id, _, _ := b.parse(now, attempt)
	e, ok := b.entries[id]
	if !ok || e.verdict != Running {
		return
	}
	b.stats.Running--
	if !b.makeRoom(int64(size)) {
		b.strip(id)
		return
	}
	b.answered = append(b.answered, endedID{id, now.UnixMilli()})
	e.verdict = Done
	e.answer = answer
	e.size = int64(size)
	b.answerBytes += e.size
}

// Ask says what became of an attempt. NeverSeen makes sure that the attempt is
// refused if it arrives later.
func (b *Book[A]) Ask(now time.Time, attempt string) (State, A) {
	var none A
	now = b.advance(now)
	id, minted, ok := b.parse(now, attempt)
	if verdict, answer, known := b.known(id); known {
		if verdict == Tombstoned {
			verdict = NeverSeen
		}
		return verdict, answer
	}
	if !ok {
		return Invalid, none
	}
	if b.expired(now, minted) {
		return Expired, none
	}
	if minted.UnixMilli() <= b.refusedThroughMS {
		return NeverSeen, none
	}
	if !b.makeRoom(bareBytes) {
		b.refuseThrough(minted)
		return NeverSeen, none
	}
	b.keepBare(id, Tombstoned)
	b.stats.Tombstones++
	return NeverSeen, none
}

// Forget drops the answers that are past KeepAnswers, and the attempts and
// tombstones that are past Keep.
func (b *Book[A]) Forget(now time.Time) {
	now = b.advance(now)
	if keep := b.settings.KeepAnswers; keep > 0 {
		for len(b.answered) > 0 && b.answered[0].past(now, keep) {
			b.dropOldestAnswer()
		}
	}
	past := 0
	for past < len(b.answered) && b.answered[past].past(now, b.settings.Keep) {
		b.removeEntry(b.answered[past].id)
		past++
	}
	b.answered = b.answered[past:]
	if past > compactAt {
		b.answered = append([]endedID(nil), b.answered...)
	}
	for second, verdicts := range b.bare {
		if b.expired(now, time.Unix(second+1, 0)) {
			b.removeBare(second, verdicts)
		}
	}
}

func (e endedID) past(now time.Time, keep time.Duration) bool {
	return now.UnixMilli()-e.atMS > keep.Milliseconds()
}

// Stats returns the book's gauges and counters.
func (b *Book[A]) Stats() Stats {
	stats := b.stats
	stats.Entries = len(b.entries) + b.bareCount()
	stats.Bytes = b.recordBytes + b.answerBytes
	return stats
}

// MaxBytes returns the bound on the memory of the book.
func (b *Book[A]) MaxBytes() int64 {
	return b.settings.MaxBytes
}

func (b *Book[A]) advance(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

// known returns what is recorded of an attempt.
func (b *Book[A]) known(id uuid.UUID) (Verdict, A, bool) {
	var none A
	if e, ok := b.entries[id]; ok {
		return e.verdict, e.answer, true
	}
	verdict, ok := b.bare[mintSecond(id)][bare(id)]
	return verdict, none, ok
}

// keepBare records a verdict without an answer.
func (b *Book[A]) keepBare(id uuid.UUID, verdict Verdict) {
	second := mintSecond(id)
	if b.bare[second] == nil {
		b.bare[second] = map[bareID]Verdict{}
	}
	b.bare[second][bare(id)] = verdict
	b.recordBytes += bareBytes
}

func (b *Book[A]) bareCount() int {
	count := 0
	for _, verdicts := range b.bare {
		count += len(verdicts)
	}
	return count
}

func mintSecond(id uuid.UUID) int64 {
	second, _ := id.Time().UnixTime()
	return second
}

func bare(id uuid.UUID) bareID {
	return bareID(binary.BigEndian.Uint64(id[8:]))
}

// parse returns an id and the time inside it, and false for an id that the book
// cannot judge by its time.
func (b *Book[A]) parse(now time.Time, attempt string) (uuid.UUID, time.Time, bool) {
	id, err := uuid.Parse(attempt)
	if err != nil || id.Version() != 7 || !canonical(id, attempt) {
		return uuid.Nil, time.Time{}, false
	}
	minted := time.Unix(id.Time().UnixTime())
	return id, minted, !minted.After(now.Add(b.settings.Margin))
}

// canonical says whether an id was written in its usual form.
func canonical(id uuid.UUID, text string) bool {
	return id.String() == text
}

// expired says whether the book may have forgotten an attempt with this mint
// time. Its end was recorded at the earliest Margin before the mint time, as
// the two clocks differ, and is kept for Keep from then on.
//
// With Keep 60 s and Margin 1 s: minted at 100 by a clock that is 1 s ahead,
// ended here at 99, forgotten after 159. From 159 on the id is expired.
func (b *Book[A]) expired(now, minted time.Time) bool {
	return now.Sub(minted) >= b.settings.Keep-b.settings.Margin
}

// refuseThrough stands in for an entry that does not fit: it refuses every
// unrecorded attempt minted up to the given time. That refuses more than the
// one attempt, but only while the book is full anyway.
func (b *Book[A]) refuseThrough(minted time.Time) {
	b.refusedThroughMS = max(b.refusedThroughMS, minted.UnixMilli())
}

// makeRoom drops the oldest answers until need more bytes fit, and says
// whether they do.
func (b *Book[A]) makeRoom(need int64) bool {
	stripped := b.recordBytes - int64(len(b.answered))*(entryBytes-bareBytes)
	if stripped+need > b.settings.MaxBytes {
		return false
	}
	for b.recordBytes+b.answerBytes+need > b.settings.MaxBytes {
		b.dropOldestAnswer()
	}
	return true
}

func (b *Book[A]) dropOldestAnswer() {
	oldest := b.answered[0]
	b.answered = b.answered[1:]
	b.answerBytes -= b.entries[oldest.id].size
	b.strip(oldest.id)
}

// strip leaves nothing of an ended attempt but that it has been.
func (b *Book[A]) strip(id uuid.UUID) {
	delete(b.entries, id)
	b.recordBytes -= entryBytes
	b.keepBare(id, Dropped)
	b.stats.Dropped++
}

func (b *Book[A]) removeEntry(id uuid.UUID) {
	b.answerBytes -= b.entries[id].size
	b.recordBytes -= entryBytes
	delete(b.entries, id)
}

// removeBare forgets the verdicts of one second, whose attempts have all expired.
func (b *Book[A]) removeBare(second int64, verdicts map[bareID]Verdict) {
	for _, verdict := range verdicts {
		if verdict == Tombstoned {
			b.stats.Tombstones--
		}
	}
	b.recordBytes -= bareBytes * int64(len(verdicts))
	delete(b.bare, second)
}
