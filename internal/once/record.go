package once

import (
	"time"

	"github.com/google/uuid"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

type (
	bucket[A any] struct {
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
	// recordBytes is the memory charged for one record without its answer.
	recordBytes = 192
	minuteMS    = int64(time.Minute / time.Millisecond)
)

// Finish records the answer, of the given size in bytes, of a key that ran to completion.
func (l *Ledger[A]) Finish(now time.Time, k Key, answer A, size int) {
	l.advance(now)
	b, r := l.lookup(k)
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
	b.answerBytes += r.size
	l.answerBytes += r.size
}

// MarkLost records that the key ran or may have run, with an unknown outcome. The key never
// runs again.
func (l *Ledger[A]) MarkLost(now time.Time, k Key) {
	l.advance(now)
	if _, r := l.lookup(k); r != nil && r.state == running {
		r.state = unknown
	}
}

// Abandon drops the record of a key that provably did not run. The key may run later.
func (l *Ledger[A]) Abandon(now time.Time, k Key) {
	l.advance(now)
	b, r := l.lookup(k)
	if r == nil || r.state != running {
		return
	}
	id, _ := uuid.Parse(k.Text)
	delete(b.records, id)
	l.records--
}

// Forget drops the records of keys that are too old to be accepted by any node. The margins
// allow for a successor whose clock is behind the local clock.
func (l *Ledger[A]) Forget(now time.Time) {
	now = l.advance(now)
	oldestMS := now.Add(-l.rules.KeyAge - 2*l.rules.Margin).UnixMilli()
	for number, b := range l.buckets {
		if (number+1)*minuteMS > oldestMS {
			continue
		}
		l.records -= len(b.records)
		l.answerBytes -= b.answerBytes
		delete(l.buckets, number)
	}
}

// Stats returns the current gauges and counters.
func (l *Ledger[A]) Stats() Stats {
	stats := l.stats
	stats.Records = l.records
	stats.Bytes = l.bytes()
	return stats
}

func (l *Ledger[A]) find(id uuid.UUID, k Key) *record[A] {
	b, ok := l.buckets[bucketOf(k)]
	if !ok {
		return nil
	}
	return b.records[id]
}

// lookup returns the record of the key and the bucket of its minute. The record is nil if there
// is none.
func (l *Ledger[A]) lookup(k Key) (*bucket[A], *record[A]) {
	id, err := uuid.Parse(k.Text)
	if err != nil {
		return nil, nil
	}
	return l.buckets[bucketOf(k)], l.find(id, k)
}

func (l *Ledger[A]) insert(id uuid.UUID, k Key, r *record[A]) {
	number := bucketOf(k)
	b, ok := l.buckets[number]
	if !ok {
		b = &bucket[A]{records: make(map[uuid.UUID]*record[A])}
		l.buckets[number] = b
	}
	b.records[id] = r
	l.records++
}

func (l *Ledger[A]) bytes() int64 {
	return int64(l.records)*recordBytes + l.answerBytes
}

// makeRoom drops the answers of the oldest minutes until need more bytes fit into the memory
// bound, and reports whether they fit. A repeated key whose answer was dropped gets an
// unknown result. The alternative, rejecting new keys for up to KeyAge, would be worse.
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
	var oldest *bucket[A]
	oldestNumber := int64(0)
	for number, b := range l.buckets {
		if b.answerBytes > 0 && (oldest == nil || number < oldestNumber) {
			oldest = b
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

// decide returns the verdict on a key that has a record.
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

func bucketOf(k Key) int64 {
	return k.Minted.UnixMilli() / minuteMS
}
