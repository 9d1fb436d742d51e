// Package beat knows which process of a target is there, by the heartbeats that
// targets send to the node beside them.
//
// A target announces itself with an id for each of its processes. Heartbeats may
// arrive late and out of order, also after their process has ended, so a Book
// orders them by the start of the process and by their number. A process that has
// said that it leaves gets no new work, whatever an earlier heartbeat of it says
// later. Everything here is a pure decision: the time is passed in.
package beat

import "time"

type (
	// State is what a target says of itself.
	State uint8

	// Verdict is what a Book makes of a heartbeat.
	Verdict uint8

	// Beat is one heartbeat.
	Beat struct {
		// ID names one process of the target.
		ID      string
		Service string
		Slots   int
		State   State
		// Warmup is how much longer the target is slow after its start.
		Warmup time.Duration
		// Sequence rises with every heartbeat of a process.
		Sequence int64
		// BornMS is the start of the process in Unix milliseconds, 0 if unknown.
		BornMS int64
	}

	// Target is the process that a Book takes for the present one.
	Target struct {
		Beat
		// Heard is when its last heartbeat arrived.
		Heard time.Time
		// Left is when it was first known to leave; zero while it does not.
		Left time.Time
		// ColdUntil is when its warmup ends.
		ColdUntil time.Time
	}

	// Book holds what the heartbeats of one place have said. The zero value is
	// ready for use.
	Book struct {
		current Target
		known   bool
		// ended holds the processes that were replaced or have gone, by id, with
		// their start.
		ended map[string]int64
		order []string
	}
)

// The states in the order of a process's life.
const (
	Ready State = iota
	Draining
	Gone
)

// The verdicts.
const (
	// Taken means that the heartbeat changed nothing but the time of the last sign.
	Taken Verdict = iota
	// Changed means that another process is there, or that the present one has
	// another state, service or number of slots.
	Changed
	// Late means that the heartbeat was overtaken by what is known already.
	Late
)

// keptEnded bounds how many ended processes are remembered.
const keptEnded = 64

// String returns the state as it appears in logs.
func (s State) String() string {
	return [...]string{"ready", "draining", "gone", "unknown"}[s&3]
}

// Take takes in one heartbeat.
func (b *Book) Take(now time.Time, beat Beat) Verdict {
	if b.known && beat.ID == b.current.ID && beat.BornMS == b.current.BornMS {
		return b.again(now, beat)
	}
	if b.superseded(beat) {
		return Late
	}
	if b.known {
		b.end(b.current.ID, b.current.BornMS)
	}
	b.known = true
	b.current = Target{Beat: beat, Heard: now, ColdUntil: now.Add(beat.Warmup)}
	if beat.State != Ready {
		b.current.Left = now
	}
	return Changed
}

// Depart takes in that a process says that it is gone, with its start where
// it names that. It says whether that changes the present target.
func (b *Book) Depart(now time.Time, id string, bornMS int64) bool {
	if !b.known || b.current.ID != id || bornMS != 0 && bornMS < b.current.BornMS {
		b.end(id, bornMS)
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

// Target returns the present process, and false before any was heard.
func (b *Book) Target() (Target, bool) {
	return b.current, b.known
}

// again takes in a further heartbeat of the present process.
func (b *Book) again(now time.Time, beat Beat) Verdict {
	before := b.current
	if beat.Sequence <= before.Sequence {
		if beat.State <= before.State {
			return Late
		}
		// What it says of its leaving holds, however late: it is confirmed.
		late := beat.State
		beat = before.Beat
		beat.State = late
	}
	beat.State = max(beat.State, before.State)
	b.current.Beat = beat
	b.current.Heard = now
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

// superseded says whether a heartbeat is of a process that has ended.
func (b *Book) superseded(beat Beat) bool {
	if b.known && beat.BornMS != 0 && b.current.BornMS != 0 && beat.BornMS != b.current.BornMS {
		return beat.BornMS < b.current.BornMS
	}
	born, ended := b.ended[beat.ID]
	return ended && beat.BornMS <= born
}

func (b *Book) end(id string, bornMS int64) {
	if b.ended == nil {
		b.ended = map[string]int64{}
	}
	if known, ok := b.ended[id]; ok {
		b.ended[id] = max(known, bornMS)
		return
	}
	b.ended[id] = bornMS
	b.order = append(b.order, id)
	if len(b.order) > keptEnded {
		delete(b.ended, b.order[0])
		b.order = b.order[1:]
	}
}
