package beat

import "time"

type (
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
)

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
