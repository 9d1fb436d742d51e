// Package fate keeps the book of attempts that are addressed to one node, and
// says what may be concluded of an attempt.
//
// An attempt id is a UUIDv7. Its mint time bounds what has to be remembered:
// an id older than Settings.Keep is never begun, so a record or a tombstone may
// be dropped after Keep however long the network holds a message back.
package fate

import (
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
		entries  map[string]*entry[A]
		// ended lists the ids of ended attempts and tombstones, oldest first.
		ended []endedID
		// nextAnswer is the index in ended of the oldest answer still held.
		nextAnswer int
		// bareBytes is the cost of the entries without their answers.
		bareBytes   int64
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

	endedID struct {
		id string
		at time.Time
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
	// compactAt is the length of the dropped head of ended that is worth a copy.
	compactAt = 1024
)

// New returns an empty book.
func New[A any](s Settings) *Book[A] {
	if s.Margin == 0 {
		s.Margin = DefaultMargin
	}
	return &Book[A]{settings: s, entries: make(map[string]*entry[A])}
}

// Begin records a fresh attempt as running. The answer is set for Done only.
func (b *Book[A]) Begin(now time.Time, attempt string) (Verdict, A) {
	var none A
	now = b.advance(now)
	if e, ok := b.entries[attempt]; ok {
		return e.verdict, e.answer
	}
	minted, ok := b.mintTime(now, attempt)
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
	b.bareBytes += entryBytes
	b.entries[attempt] = &entry[A]{verdict: Running}
	b.stats.Running++
	return Fresh, none
}

// End records the answer, of size bytes, of an attempt that was running. A
// second end of the same attempt changes nothing.
func (b *Book[A]) End(now time.Time, attempt string, answer A, size int) {
	now = b.advance(now)
	e, ok := b.entries[attempt]
	if !ok || e.verdict != Running {
		return
	}
	b.stats.Running--
	b.ended = append(b.ended, endedID{attempt, now})
	if !b.makeRoom(int64(size)) {
		e.verdict = Dropped
		b.stats.Dropped++
		return
	}
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
	if e, ok := b.entries[attempt]; ok {
		if e.verdict == Tombstoned {
			return NeverSeen, none
		}
		return e.verdict, e.answer
	}
	minted, ok := b.mintTime(now, attempt)
	if !ok {
		return Invalid, none
	}
	if b.expired(now, minted) {
		return Expired, none
	}
	if minted.UnixMilli() <= b.refusedThroughMS {
		return NeverSeen, none
	}
	if !b.makeRoom(entryBytes) {
		b.refuseThrough(minted)
		return NeverSeen, none
	}
	b.bareBytes += entryBytes
	b.entries[attempt] = &entry[A]{verdict: Tombstoned}
	b.ended = append(b.ended, endedID{attempt, now})
	b.stats.Tombstones++
	return NeverSeen, none
}

// Forget drops the ended attempts and tombstones that are past Keep.
func (b *Book[A]) Forget(now time.Time) {
	now = b.advance(now)
	if keep := b.settings.KeepAnswers; keep > 0 {
		for b.nextAnswer < len(b.ended) && now.Sub(b.ended[b.nextAnswer].at) > keep {
			b.dropOldestAnswer()
		}
	}
	dropped := 0
	for dropped < len(b.ended) && now.Sub(b.ended[dropped].at) > b.settings.Keep {
		b.remove(b.ended[dropped].id)
		dropped++
	}
	b.ended = b.ended[dropped:]
	b.nextAnswer = max(0, b.nextAnswer-dropped)
	if dropped > compactAt {
		b.ended = append([]endedID(nil), b.ended...)
	}
}

// Stats returns the book's gauges and counters.
func (b *Book[A]) Stats() Stats {
	stats := b.stats
	stats.Entries = len(b.entries)
	stats.Bytes = b.bareBytes + b.answerBytes
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

// mintTime returns the time inside the id, and false for an id that the book
// cannot judge by its time.
func (b *Book[A]) mintTime(now time.Time, attempt string) (time.Time, bool) {
	id, err := uuid.Parse(attempt)
	if err != nil || id.Version() != 7 || id.String() != attempt {
		return time.Time{}, false
	}
	minted := time.Unix(id.Time().UnixTime())
	return minted, !minted.After(now.Add(b.settings.Margin))
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
	if b.bareBytes+need > b.settings.MaxBytes {
		return false
	}
	for b.bareBytes+b.answerBytes+need > b.settings.MaxBytes {
		b.dropOldestAnswer()
	}
	return true
}

func (b *Book[A]) dropOldestAnswer() {
	var none A
	e := b.entries[b.ended[b.nextAnswer].id]
	b.nextAnswer++
	if e.verdict != Done {
		return
	}
	b.answerBytes -= e.size
	e.verdict = Dropped
	e.answer = none
	e.size = 0
	b.stats.Dropped++
}

func (b *Book[A]) remove(id string) {
	e := b.entries[id]
	if e.verdict == Tombstoned {
		b.stats.Tombstones--
	}
	b.answerBytes -= e.size
	b.bareBytes -= entryBytes
	delete(b.entries, id)
}
