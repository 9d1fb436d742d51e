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

	// Heartbeat is one heartbeat.
	Heartbeat struct {
		// ID identifies one process of the target.
		ID      string
		Service string
		Slots   int
		State   State
		// Warmup is the remaining time for which the target is slow after its start.
		Warmup time.Duration
		// Sequence increases with every heartbeat of a process.
		Sequence int64
		// StartedMS is the start time of the process in Unix milliseconds, or 0 if unknown.
		StartedMS int64
	}

	// Target is the current process of a target.
	Target struct {
		Heartbeat
		// LastHeartbeat is the time at which its last heartbeat arrived.
		LastHeartbeat time.Time
		// LeavingSince is the time at which its departure first became known, or zero if it is
		// not leaving.
		LeavingSince time.Time
		// ColdUntil is the end of its warm-up.
		ColdUntil time.Time
	}

	// Tracker determines the current process of one target from its heartbeats. The zero
	// value is ready for use.
	Tracker struct {
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
	// Unchanged means that the heartbeat changed nothing but the time of the last heartbeat.
	Unchanged Verdict = iota
	// Changed means that another process is now the current one, or that the current
	// process has a different state, service or number of slots.
	Changed
	// Stale means that the heartbeat is older than what is already known, and is ignored.
	Stale
)

// maxEnded is the largest number of ended processes that are remembered.
const maxEnded = 64

// String returns the state as it appears in logs.
func (s State) String() string {
	return [...]string{"ready", "draining", "gone", "unknown"}[s&3]
}

// Observe processes one heartbeat.
func (b *Tracker) Observe(now time.Time, beat Heartbeat) Verdict {
	if b.hasCurrent && beat.ID == b.current.ID && beat.StartedMS == b.current.StartedMS {
		return b.update(now, beat)
	}
	if b.superseded(beat) {
		return Stale
	}
	if b.hasCurrent {
		b.markEnded(b.current.ID, b.current.StartedMS)
	}
	b.hasCurrent = true
	b.current = Target{Heartbeat: beat, LastHeartbeat: now, ColdUntil: now.Add(beat.Warmup)}
	if beat.State != Ready {
		b.current.LeavingSince = now
	}
	return Changed
}

// Depart records that a process has announced that it is gone. bornMS is the start time of the
// process, or 0 if the announcement does not contain it. Depart reports whether the current
// target has changed.
func (b *Tracker) Depart(now time.Time, id string, bornMS int64) bool {
	if !b.hasCurrent || b.current.ID != id || bornMS != 0 && bornMS < b.current.StartedMS {
		b.markEnded(id, bornMS)
		return false
	}
	if b.current.State == Gone {
		return false
	}
	b.current.State = Gone
	if b.current.LeavingSince.IsZero() {
		b.current.LeavingSince = now
	}
	return true
}

// Target returns the current process, or false before the first heartbeat.
func (b *Tracker) Target() (Target, bool) {
	return b.current, b.hasCurrent
}

// update processes a further heartbeat of the current process.
func (b *Tracker) update(now time.Time, beat Heartbeat) Verdict {
	before := b.current
	if beat.Sequence <= before.Sequence {
		if beat.State <= before.State {
			return Stale
		}
		// A departure counts however late its heartbeat arrives, because the node
		// confirms it to the target.
		late := beat.State
		beat = before.Heartbeat
		beat.State = late
	}
	beat.State = max(beat.State, before.State)
	b.current.Heartbeat = beat
	b.current.LastHeartbeat = now
	if beat.State != Ready && before.LeavingSince.IsZero() {
		b.current.LeavingSince = now
	}
	if beat.Warmup > 0 {
		b.current.ColdUntil = now.Add(beat.Warmup)
	}
	if beat.State != before.State || beat.Slots != before.Slots || beat.Service != before.Service {
		return Changed
	}
	return Unchanged
}

// superseded reports whether a heartbeat comes from a process that has ended.
func (b *Tracker) superseded(beat Heartbeat) bool {
	if b.hasCurrent && beat.StartedMS != 0 && b.current.StartedMS != 0 && beat.StartedMS != b.current.StartedMS {
		return beat.StartedMS < b.current.StartedMS
	}
	born, ended := b.ended[beat.ID]
	return ended && beat.StartedMS <= born
}

func (b *Tracker) markEnded(id string, bornMS int64) {
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
