// Package beat tracks the current process of a target by the heartbeats that the target sends
// to the node beside it.
//
// Each process of a target has its own id. Heartbeats may arrive late and out of order, even
// after their process has ended, so they are ordered by the start time of the process and by
// sequence number. A process that has announced its departure gets no new work, even if an
// older heartbeat arrives afterwards that says otherwise. The package reads no clock: the time
// is passed in.
package beat

import "time"

type (
	// State is the state that a target reports.
	State uint8

	// Verdict is the effect of a heartbeat.
	Verdict uint8

	// Beat is one heartbeat.
	Beat struct {
		// ID identifies one process of the target.
		ID      string
		Service string
		Slots   int
		State   State
		// Warmup is the remaining time for which the target is slow after its start.
		Warmup time.Duration
		// Sequence increases with every heartbeat of a process.
		Sequence int64
		// BornMS is the start time of the process in Unix milliseconds, or 0 if unknown.
		BornMS int64
	}

	// Target is the current process of a target.
	Target struct {
		Beat
		// LastHeartbeat is the time at which its last heartbeat arrived.
		LastHeartbeat time.Time
		// Left is the time at which its departure first became known, or zero if it is
		// not leaving.
		Left time.Time
		// ColdUntil is the end of its warm-up.
		ColdUntil time.Time
	}

	// Book determines the current process of one target from its heartbeats. The zero
	// value is ready for use.
	Book struct {
		current    Target
		hasCurrent bool
		// ended holds the start times of processes that were replaced or are gone, by
		// id, and endedOrder holds their ids from oldest to newest.
		ended      map[string]int64
		endedOrder []string
	}
)

// These are the states, in the order in which a process goes through them.
const (
	Ready State = iota
	Draining
	Gone
)

// These are the verdicts on a heartbeat.
const (
	// Taken means that the heartbeat changed nothing but the time of the last heartbeat.
	Taken Verdict = iota
	// Changed means that another process is now the current one, or that the current
	// process has a different state, service or number of slots.
	Changed
	// Late means that the heartbeat is older than what is already known, and is ignored.
	Late
)

// maxEnded is the largest number of ended processes that are remembered.
const maxEnded = 64

// String returns the state as it appears in logs.
func (s State) String() string {
	return [...]string{"ready", "draining", "gone", "unknown"}[s&3]
}

// Take processes one heartbeat.
func (b *Book) Take(now time.Time, beat Beat) Verdict {
	if b.hasCurrent && beat.ID == b.current.ID && beat.BornMS == b.current.BornMS {
		return b.update(now, beat)
	}
	if b.superseded(beat) {
		return Late
	}
	if b.hasCurrent {
		b.markEnded(b.current.ID, b.current.BornMS)
	}
	b.hasCurrent = true
	b.current = Target{Beat: beat, LastHeartbeat: now, ColdUntil: now.Add(beat.Warmup)}
	if beat.State != Ready {
		b.current.Left = now
	}
	return Changed
}

// Depart records that a process has announced that it is gone. bornMS is the start time of the
// process, or 0 if the announcement does not contain it. Depart reports whether the current
// target has changed.
func (b *Book) Depart(now time.Time, id string, bornMS int64) bool {
	if !b.hasCurrent || b.current.ID != id || bornMS != 0 && bornMS < b.current.BornMS {
		b.markEnded(id, bornMS)
		return false
	}
	if b.current.State == Gone {
		return false
	}
	b.current.State = Gone
	if b.current.Left.IsZero() {
		b.current.Left = now
	}
	return true
}

// Target returns the current process, or false before the first heartbeat.
func (b *Book) Target() (Target, bool) {
	return b.current, b.hasCurrent
}

// update processes a further heartbeat of the current process.
func (b *Book) update(now time.Time, beat Beat) Verdict {
	before := b.current
	if beat.Sequence <= before.Sequence {
		if beat.State <= before.State {
			return Late
		}
		// A departure counts however late its heartbeat arrives, because the node
		// confirms it to the target.
		late := beat.State
		beat = before.Beat
		beat.State = late
	}
	beat.State = max(beat.State, before.State)
	b.current.Beat = beat
	b.current.LastHeartbeat = now
	if beat.State != Ready && before.Left.IsZero() {
		b.current.Left = now
	}
	if beat.Warmup > 0 {
		b.current.ColdUntil = now.Add(beat.Warmup)
	}
	if beat.State != before.State || beat.Slots != before.Slots || beat.Service != before.Service {
		return Changed
	}
	return Taken
}

// superseded reports whether a heartbeat comes from a process that has ended.
func (b *Book) superseded(beat Beat) bool {
	if b.hasCurrent && beat.BornMS != 0 && b.current.BornMS != 0 && beat.BornMS != b.current.BornMS {
		return beat.BornMS < b.current.BornMS
	}
	born, ended := b.ended[beat.ID]
	return ended && beat.BornMS <= born
}

func (b *Book) markEnded(id string, bornMS int64) {
	if b.ended == nil {
		b.ended = map[string]int64{}
	}
	if known, ok := b.ended[id]; ok {
		b.ended[id] = max(known, bornMS)
		return
	}
	b.ended[id] = bornMS
	b.endedOrder = append(b.endedOrder, id)
	if len(b.endedOrder) > maxEnded {
		delete(b.ended, b.endedOrder[0])
		b.endedOrder = b.endedOrder[1:]
	}
}
