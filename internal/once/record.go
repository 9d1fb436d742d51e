package once

import (
	"time"

	"github.com/google/uuid"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

type (
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

// Stats returns the ledger's gauges and counters.
func (l *Ledger[A]) Stats() Stats {
	stats := l.stats
	stats.Records = l.records
	stats.Bytes = l.bytes()
	return stats
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

func minuteOf(k Key) int64 {
	return k.Minted.UnixMilli() / minuteMS
}
