// Package beat tracks the current process of a target by the heartbeats that the target sends
// to the node beside it.
//
// Each process of a target has its own id. Heartbeats may arrive late and out of order, even
// after their process has ended, so they are ordered by the start time of the process and by
// sequence number. A process that has announced its departure gets no new work, even if an
// older heartbeat arrives afterwards that says otherwise, and neither does any process that
// started before it. The package reads no clock: the time is passed in.
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
		// A heartbeat without a start time does not replace a process that has one.
		StartedMS int64
	}

	// Target is the current process of a target.
	Target struct {
		Heartbeat
		// LastHeartbeat is the arrival time of the last heartbeat of the process.
		LastHeartbeat time.Time
		// LeavingSince is the time at which the departure of the process first became
		// known, or zero if the process is not leaving.
		LeavingSince time.Time
		// ColdUntil is the end of the warm-up of the process.
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
		departures Departures
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
	// Foreign means that the heartbeat cannot come from the node's target, and is ignored.
	Foreign
)

// maxEnded is the largest number of ended processes that are remembered.
const maxEnded = 64

// String returns the state as it appears in logs.
func (s State) String() string {
	return [...]string{"ready", "draining", "gone", "unknown"}[s&3]
}

// Observe processes one heartbeat.
func (t *Tracker) Observe(now time.Time, heartbeat Heartbeat) Verdict {
	if t.hasCurrent && heartbeat.ID == t.current.ID && heartbeat.StartedMS == t.current.StartedMS {
		return t.update(now, heartbeat)
	}
	if t.superseded(heartbeat) {
		return Stale
	}
	if t.hasCurrent {
		t.markEnded(t.current.ID, t.current.StartedMS)
	}
	t.hasCurrent = true
	t.current = Target{Heartbeat: heartbeat, LastHeartbeat: now, ColdUntil: now.Add(heartbeat.Warmup)}
	if heartbeat.State != Ready {
		t.current.LeavingSince = now
		t.recordDeparture(heartbeat.StartedMS)
	}
	return Changed
}

// Target returns the current process, or false before the first heartbeat.
func (t *Tracker) Target() (Target, bool) {
	return t.current, t.hasCurrent
}

// update processes a further heartbeat of the current process.
func (t *Tracker) update(now time.Time, heartbeat Heartbeat) Verdict {
	before := t.current
	if heartbeat.Sequence <= before.Sequence {
		if heartbeat.State <= before.State {
			return Stale
		}
		// A departure counts however late its heartbeat arrives, because the node
		// confirms the departure to the target.
		departure := heartbeat.State
		heartbeat = before.Heartbeat
		heartbeat.State = departure
	}
	heartbeat.State = max(heartbeat.State, before.State)
	t.current.Heartbeat = heartbeat
	t.current.LastHeartbeat = now
	if heartbeat.State != Ready {
		t.recordDeparture(heartbeat.StartedMS)
		if before.LeavingSince.IsZero() {
			t.current.LeavingSince = now
		}
	}
	if heartbeat.Warmup > 0 {
		t.current.ColdUntil = now.Add(heartbeat.Warmup)
	}
	if heartbeat.State != before.State || heartbeat.Slots != before.Slots || heartbeat.Service != before.Service {
		return Changed
	}
	return Unchanged
}

// superseded reports whether a heartbeat comes from a process that has ended or departed.
func (t *Tracker) superseded(heartbeat Heartbeat) bool {
	if t.hasCurrent && heartbeat.StartedMS < t.current.StartedMS {
		return true
	}
	if t.departures.cover(heartbeat.process()) {
		return true
	}
	endedStartMS, ended := t.ended[heartbeat.ID]
	return ended && heartbeat.StartedMS <= endedStartMS
}

func (t *Tracker) markEnded(id string, startedMS int64) {
	if t.ended == nil {
		t.ended = map[string]int64{}
	}
	if known, ok := t.ended[id]; ok {
		t.ended[id] = max(known, startedMS)
		return
	}
	t.ended[id] = startedMS
	t.endedOrder = append(t.endedOrder, id)
	if len(t.endedOrder) > maxEnded {
		delete(t.ended, t.endedOrder[0])
		t.endedOrder = t.endedOrder[1:]
	}
}
