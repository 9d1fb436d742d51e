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

	// Process identifies one process of a target.
	Process struct {
		ID string
		// StartedMS is the start time in Unix milliseconds.
		StartedMS int64
	}

	// Departures holds the announced departures that must outlive the tracker, because the
	// node has confirmed them to the target.
	Departures struct {
		// StartedMS is the latest start time of a process that announced its departure
		// under the id of the current process, in Unix milliseconds, or 0 if none did. No
		// process that started by then is used.
		StartedMS int64
		// ByID keeps out of use only what started by then under its id. It is the latest
		// departure announced under another id than that of the current process, by which
		// another writer could otherwise keep the true process out of use, or announced
		// without a start time, which is then that of the announcement.
		ByID Process
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

// Depart records that a process has announced that it is gone. startedMS is the start time of
// the process, or 0 if the announcement does not contain it: then the process has started by
// now. Depart reports whether the state of the current process has changed.
//
// An announcement under the id of the current process may come from a later process, which
// replaced the current one and whose heartbeats have not arrived yet. Then both are gone.
func (t *Tracker) Depart(now time.Time, id string, startedMS int64) bool {
	departed := Process{ID: id, StartedMS: startedMS}
	if startedMS == 0 {
		departed.StartedMS = now.UnixMilli()
	}
	t.markEnded(departed.ID, departed.StartedMS)
	changed := false
	if t.hasCurrent && id == t.current.ID && (startedMS == 0 || startedMS >= t.current.StartedMS) {
		t.recordDeparture(max(startedMS, t.current.StartedMS))
		changed = t.endCurrent(now)
	}
	// What started before the current process cannot come back.
	if departed.StartedMS > t.current.StartedMS && !t.departures.cover(departed) {
		t.departures = t.departures.Merge(Departures{ByID: departed})
	}
	return changed
}

// Departures returns the departures that the tracker knows of.
func (t *Tracker) Departures() Departures {
	return t.departures
}

// LearnDepartures records departures that were announced before this tracker existed. It
// reports whether the state of the current process has changed.
func (t *Tracker) LearnDepartures(now time.Time, departures Departures) bool {
	t.departures = t.departures.Merge(departures)
	if !t.hasCurrent || !t.departures.cover(t.current.process()) {
		return false
	}
	t.recordDeparture(t.current.StartedMS)
	return t.endCurrent(now)
}

// Merge returns the later departures of both.
func (d Departures) Merge(other Departures) Departures {
	d.StartedMS = max(d.StartedMS, other.StartedMS)
	if other.ByID.startedAfter(d.ByID) {
		d.ByID = other.ByID
	}
	return d
}

// cover reports whether a process is known to have departed, which it is not if its start
// time is unknown.
func (d Departures) cover(p Process) bool {
	if p.StartedMS == 0 {
		return false
	}
	return p.StartedMS <= d.StartedMS || p.ID == d.ByID.ID && p.StartedMS <= d.ByID.StartedMS
}

// startedAfter orders processes by their start time, and by their id where it is the same.
func (p Process) startedAfter(other Process) bool {
	if p.StartedMS != other.StartedMS {
		return p.StartedMS > other.StartedMS
	}
	return p.ID > other.ID
}

// process returns the process that sent the heartbeat.
func (h Heartbeat) process() Process {
	return Process{ID: h.ID, StartedMS: h.StartedMS}
}

func (t *Tracker) recordDeparture(startedMS int64) {
	t.departures.StartedMS = max(t.departures.StartedMS, startedMS)
}

// endCurrent marks the current process as gone, and reports whether it was not yet.
func (t *Tracker) endCurrent(now time.Time) bool {
	if t.current.State == Gone {
		return false
	}
	t.current.State = Gone
	if t.current.LeavingSince.IsZero() {
		t.current.LeavingSince = now
	}
	return true
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
