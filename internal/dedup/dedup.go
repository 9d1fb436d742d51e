// Package dedup records the attempts that are addressed to one node, so that each of
// them runs at most once, and determines the result code of an attempt.
//
// An attempt id is a UUIDv7, and its mint time bounds what has to be remembered. An id
// that is older than the retention period never begins, so its record or tombstone may
// be dropped after that period, however long the network delays a message.
package dedup

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

type (
	// Verdict is the recorded status of an attempt. Only a Fresh attempt may run.
	Verdict uint8

	// State is a verdict that answers a status query: NeverSeen, Running, Done,
	// Dropped, Expired or Invalid.
	State = Verdict

	// Settings configure the retention, the memory bound and the clock tolerance.
	Settings struct {
		// Retention is the retention period of ended attempts and tombstones. It must
		// exceed the longest declared deadline by twice Margin.
		Retention time.Duration
		// AnswerRetention is the retention period of the answers of ended attempts. With
		// 0, an answer is kept as long as its attempt.
		AnswerRetention time.Duration
		// MaxBytes bounds the memory of all records and answers.
		MaxBytes int64
		// Margin is the largest difference between the clocks of two hosts; 0 stands
		// for DefaultMargin.
		Margin time.Duration
	}

	// Stats holds gauges and counters.
	Stats struct {
		Entries    int
		Running    int
		Tombstones int
		Bytes      int64
		// Refused counts the attempts that were rejected because of the memory bound.
		Refused int64
		// Dropped counts the answers that were dropped because of the memory bound.
		Dropped int64
	}

	// Store records attempts and their answers of type A. It is not safe for
	// concurrent use.
	Store[A any] struct {
		settings Settings
		// entries holds the attempts that are running or whose answer is kept.
		// bareVerdicts holds the verdict alone of all other attempts, by the second of
		// their mint time. A busy node has many more of these, so they are small and
		// contain no pointers for the garbage collector to scan.
		entries      map[uuid.UUID]*entry[A]
		bareVerdicts map[int64]map[shortID]Verdict
		// answered lists the ended attempts whose answer is kept, oldest first.
		answered []answeredAttempt
		// recordBytes is the memory charged for all attempts without their answers.
		recordBytes int64
		answerBytes int64
		// refusedThroughMS is the newest mint time of an attempt that was rejected
		// without a record. An unrecorded attempt that was minted up to this time
		// never begins.
		refusedThroughMS int64
		// latest is the highest time seen. It stands in for a clock that is set back,
		// so that an id that has expired and been forgotten does not become valid
		// again.
		latest time.Time
		stats  Stats
	}

	entry[A any] struct {
		verdict Verdict
		answer  A
		size    int64
	}

	// shortID is the random part of an attempt id. If two attempts of the same second
	// share it, the later one does not begin. With 100,000 attempts in that second,
	// the probability is below 1 in 2^30.
	shortID uint64

	answeredAttempt struct {
		id uuid.UUID
		// endedMS is when the attempt ended, in Unix milliseconds.
		endedMS int64
	}
)

// These are the verdicts on an attempt.
const (
	// Fresh means that the attempt is recorded as running and may run now.
	Fresh Verdict = iota
	// Running means that the attempt has begun and has not ended.
	Running
	// Done means that the attempt has ended; its answer is returned with the verdict.
	Done
	// Dropped means that the attempt has ended but its answer is no longer kept, because
	// of the memory bound or the retention period of answers. Its result is unknown.
	Dropped
	// Tombstoned means that an earlier status query was answered with NeverSeen. The
	// attempt must not run.
	Tombstoned
	// Full means that the attempt is rejected because of the memory bound. It has not
	// run and never will.
	Full
	// NeverSeen means that the attempt has not run and never will.
	NeverSeen
	// Expired means that the id is older than the retention period, so that the record of
	// the attempt may have been dropped. The attempt must not run.
	Expired
	// Invalid means that the id is not a UUIDv7, or that its mint time is in the future by
	// more than the clock margin. The attempt must not run.
	Invalid
)

const (
	// DefaultMargin is the clock margin used when none is set.
	DefaultMargin = time.Second
	// entryBytes is the memory charged for one entry: id, map cell, struct and list cell.
	entryBytes = 256
	// verdictBytes is the memory charged for a verdict without an entry.
	verdictBytes = 48
	// compactAt is the number of removed list elements above which the rest of the list is
	// copied, so that the memory of the removed elements can be freed.
	compactAt = 1024
)

// New returns an empty store.
func New[A any](s Settings) *Store[A] {
	if s.Margin == 0 {
		s.Margin = DefaultMargin
	}
	return &Store[A]{settings: s, entries: map[uuid.UUID]*entry[A]{}, bareVerdicts: map[int64]map[shortID]Verdict{}}
}

// Begin records a fresh attempt as running. The returned answer is set for Done only.
func (s *Store[A]) Begin(now time.Time, attempt string) (Verdict, A) {
	var none A
	now = s.advance(now)
	id, minted, ok := s.parse(now, attempt)
	if verdict, answer, recorded := s.recorded(id); recorded {
		return verdict, answer
	}
	if !ok {
		return Invalid, none
	}
	if s.expired(now, minted) {
		return Expired, none
	}
	if minted.UnixMilli() <= s.refusedThroughMS {
		s.stats.Refused++
		return Full, none
	}
	if !s.makeRoom(entryBytes) {
		s.refuseThrough(minted)
		s.stats.Refused++
		return Full, none
	}
	s.recordBytes += entryBytes
	s.entries[id] = &entry[A]{verdict: Running}
	s.stats.Running++
	return Fresh, none
}

// End records the answer, of the given size in bytes, of a running attempt. A second call
// for the same attempt has no effect.
func (s *Store[A]) End(now time.Time, attempt string, answer A, size int) {
	now = s.advance(now)
	id, _, _ := s.parse(now, attempt)
	e, ok := s.entries[id]
	if !ok || e.verdict != Running {
		return
	}
	s.stats.Running--
	if !s.makeRoom(int64(size)) {
		s.reduceToVerdict(id)
		return
	}
	s.answered = append(s.answered, answeredAttempt{id, now.UnixMilli()})
	e.verdict = Done
	e.answer = answer
	e.size = int64(size)
	s.answerBytes += e.size
}

// Query returns the status of an attempt. When it returns NeverSeen, the attempt is
// rejected if it arrives later.
func (s *Store[A]) Query(now time.Time, attempt string) (State, A) {
	var none A
	now = s.advance(now)
	id, minted, ok := s.parse(now, attempt)
	if verdict, answer, recorded := s.recorded(id); recorded {
		if verdict == Tombstoned {
			verdict = NeverSeen
		}
		return verdict, answer
	}
	if !ok {
		return Invalid, none
	}
	if s.expired(now, minted) {
		return Expired, none
	}
	if minted.UnixMilli() <= s.refusedThroughMS {
		return NeverSeen, none
	}
	if !s.makeRoom(verdictBytes) {
		s.refuseThrough(minted)
		return NeverSeen, none
	}
	s.recordVerdict(id, Tombstoned)
	s.stats.Tombstones++
	return NeverSeen, none
}

// Forget drops answers, attempts and tombstones that are past their retention periods.
func (s *Store[A]) Forget(now time.Time) {
	now = s.advance(now)
	if keep := s.settings.AnswerRetention; keep > 0 {
		for len(s.answered) > 0 && s.answered[0].past(now, keep) {
			s.dropOldestAnswer()
		}
	}
	past := 0
	for past < len(s.answered) && s.answered[past].past(now, s.settings.Retention) {
		s.removeEntry(s.answered[past].id)
		past++
	}
	s.answered = s.answered[past:]
	if past > compactAt {
		s.answered = append([]answeredAttempt(nil), s.answered...)
	}
	for second, verdicts := range s.bareVerdicts {
		if s.expired(now, time.Unix(second+1, 0)) {
			s.removeVerdicts(second, verdicts)
		}
	}
}

func (e answeredAttempt) past(now time.Time, keep time.Duration) bool {
	return now.UnixMilli()-e.endedMS > keep.Milliseconds()
}

// Stats returns the current gauges and counters.
func (s *Store[A]) Stats() Stats {
	stats := s.stats
	stats.Entries = len(s.entries) + s.verdictCount()
	stats.Bytes = s.recordBytes + s.answerBytes
	return stats
}

// MaxBytes returns the memory bound.
func (s *Store[A]) MaxBytes() int64 {
	return s.settings.MaxBytes
}

func (s *Store[A]) advance(now time.Time) time.Time {
	if now.After(s.latest) {
		s.latest = now
	}
	return s.latest
}

// recorded returns the recorded verdict and answer of an attempt, and whether there are any.
func (s *Store[A]) recorded(id uuid.UUID) (Verdict, A, bool) {
	var none A
	if e, ok := s.entries[id]; ok {
		return e.verdict, e.answer, true
	}
	verdict, ok := s.bareVerdicts[mintSecond(id)][shorten(id)]
	return verdict, none, ok
}

// recordVerdict records a verdict without an entry.
func (s *Store[A]) recordVerdict(id uuid.UUID, verdict Verdict) {
	second := mintSecond(id)
	if s.bareVerdicts[second] == nil {
		s.bareVerdicts[second] = map[shortID]Verdict{}
	}
	s.bareVerdicts[second][shorten(id)] = verdict
	s.recordBytes += verdictBytes
}

func (s *Store[A]) verdictCount() int {
	count := 0
	for _, verdicts := range s.bareVerdicts {
		count += len(verdicts)
	}
	return count
}

func mintSecond(id uuid.UUID) int64 {
	second, _ := id.Time().UnixTime()
	return second
}

func shorten(id uuid.UUID) shortID {
	return shortID(binary.BigEndian.Uint64(id[8:]))
}

// parse returns an attempt id and its mint time. It returns false if the id is not a
// canonical UUIDv7, or if its mint time is in the future by more than the margin.
func (s *Store[A]) parse(now time.Time, attempt string) (uuid.UUID, time.Time, bool) {
	id, err := uuid.Parse(attempt)
	if err != nil || id.Version() != 7 || !canonical(id, attempt) {
		return uuid.Nil, time.Time{}, false
	}
	minted := time.Unix(id.Time().UnixTime())
	return id, minted, !minted.After(now.Add(s.settings.Margin))
}

// canonical reports whether text is the canonical form of the id.
func canonical(id uuid.UUID, text string) bool {
	return id.String() == text
}

// expired reports whether the record of an attempt with this mint time may have been
// dropped. The clocks of two hosts differ by up to the margin, so the end of the attempt was
// recorded one margin before its mint time at the earliest, and is kept for the retention
// period from then on.
//
// For example, with a retention period of 60 s and a margin of 1 s, an attempt is minted at
// 100 s by a clock that is 1 s ahead, and ends at 99 s by the local clock. Its record may be
// dropped after 159 s, so the id expires at that time.
func (s *Store[A]) expired(now, minted time.Time) bool {
	return now.Sub(minted) >= s.settings.Retention-s.settings.Margin
}

// refuseThrough replaces a record for which there is no memory: from now on, every
// unrecorded attempt minted up to the given time is rejected. This also rejects other
// attempts, but only attempts minted up to a time at which the memory is full anyway.
func (s *Store[A]) refuseThrough(minted time.Time) {
	s.refusedThroughMS = max(s.refusedThroughMS, minted.UnixMilli())
}

// makeRoom drops the oldest answers until need more bytes fit into the memory bound, and
// reports whether they fit.
func (s *Store[A]) makeRoom(need int64) bool {
	// minRecordBytes is what the records take once all answers are dropped.
	minRecordBytes := s.recordBytes - int64(len(s.answered))*(entryBytes-verdictBytes)
	if minRecordBytes+need > s.settings.MaxBytes {
		return false
	}
	for s.recordBytes+s.answerBytes+need > s.settings.MaxBytes {
		s.dropOldestAnswer()
	}
	return true
}

func (s *Store[A]) dropOldestAnswer() {
	oldest := s.answered[0]
	s.answered = s.answered[1:]
	s.answerBytes -= s.entries[oldest.id].size
	s.reduceToVerdict(oldest.id)
}

// reduceToVerdict replaces the entry of an ended attempt with the verdict Dropped.
func (s *Store[A]) reduceToVerdict(id uuid.UUID) {
	delete(s.entries, id)
	s.recordBytes -= entryBytes
	s.recordVerdict(id, Dropped)
	s.stats.Dropped++
}

func (s *Store[A]) removeEntry(id uuid.UUID) {
	s.answerBytes -= s.entries[id].size
	s.recordBytes -= entryBytes
	delete(s.entries, id)
}

// removeVerdicts drops the verdicts of one second, whose attempts have all expired.
func (s *Store[A]) removeVerdicts(second int64, verdicts map[shortID]Verdict) {
	for _, verdict := range verdicts {
		if verdict == Tombstoned {
			s.stats.Tombstones--
		}
	}
	s.recordBytes -= verdictBytes * int64(len(verdicts))
	delete(s.bareVerdicts, second)
}
