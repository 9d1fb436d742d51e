// Package route chooses the target that a call is sent to.
//
// A Table knows the targets of one service. It judges them by what calls to
// them show: how many are in flight, how they ended, and the load that answers
// report. Endpoints of the targets take no part.
//
// Everything here is a pure decision: the caller passes in the time. Nothing
// is safe for concurrent use.
package route

import (
	"slices"
	"strings"
	"time"
)

// Outcome is how a call to a target ended.
type Outcome uint8

// The outcomes.
const (
	// Complete means that the target did the work and answered.
	Complete Outcome = iota
	// Failed means that the target failed or ran out of time, and its node
	// answered so.
	Failed
	// Silent means that no answer came, from the target's node either.
	Silent
	// Refused means that the target, or the node beside it, refused for load.
	Refused
	// Unreachable means that no connection could be opened.
	Unreachable
	// Blameless means that the call failed for a reason that says nothing of
	// the target: a call that the target made itself was refused or failed, or
	// the caller went away.
	Blameless
)

type (
	// Target is one target of the service.
	Target struct {
		Name string
		// Incarnation tells apart the processes that ran under the name.
		Incarnation string
		Address     string
		DataCentre  string
		Region      string
		Leaving     bool
		Cold        bool
		// Slots is how many calls the target says that it takes at the same time;
		// 0 when it does not say.
		Slots int
	}

	// Report is what the end of a call shows of its target.
	Report struct {
		Outcome Outcome
		// Incarnation is the one that the call was sent to. A report on a
		// former incarnation is passed over; empty means the present one.
		Incarnation string
		// Latency is the time from sending the call to its end.
		Latency  time.Duration
		InFlight int
		Limit    int
		Queued   int
		// Offered is how many slots the calls that arrive there would keep in use.
		Offered float64
		Leaving bool
		// Known says that InFlight, Limit, Queued and Leaving are set.
		Known bool
	}

	// Settings is what a table needs to know of its own place.
	Settings struct {
		DataCentre string
		Region     string
		// Distances holds the one-way time from here by data centre.
		Distances map[string]time.Duration
		// Random returns numbers in [0, 1).
		Random func() float64
	}

	// State describes a target for status pages.
	State struct {
		Target Target
		// InFlight counts this table's own calls.
		InFlight int
		// EjectedUntil is zero unless the target is ejected or on trial.
		EjectedUntil time.Time
		// Latency is the smoothed time of completed calls.
		Latency time.Duration
		// Pressure is the estimated load relative to the target's limit.
		Pressure float64
		// Reported is the last report that told of the target's load.
		Reported Report
	}

	// Table holds the targets of one service.
	Table struct {
		settings Settings
		entries  map[string]*entry
		// tiers groups the entries by distance, the nearest first.
		tiers [][]*entry
		// open is how many tiers take calls at the moment.
		open int
	}
)

// New returns a table without targets.
func New(s Settings) *Table {
	return &Table{settings: s, entries: map[string]*entry{}, open: 1}
}

// Update replaces the list of targets. A target that stays keeps what was
// learned of it; a new incarnation starts afresh.
func (t *Table) Update(_ time.Time, targets []Target) {
	entries := make(map[string]*entry, len(targets))
	for _, target := range targets {
		e := t.entries[target.Name]
		if e == nil || e.target.Incarnation != target.Incarnation {
			e = newEntry(target)
		}
		// A target that said on an answer that it leaves does not come back,
		// whatever an older listing says.
		target.Leaving = target.Leaving || e.target.Leaving
		e.target = target
		entries[target.Name] = e
	}
	t.entries = entries
	t.group()
}

// Choose picks a target for a call, leaving out the names given, and counts
// the call as in flight. It returns false when no target is left.
func (t *Table) Choose(now time.Time, not map[string]bool) (Target, bool) {
	t.spill(now)
	for open := t.open; open <= len(t.tiers); open++ {
		if e := t.pick(now, open, not); e != nil {
			e.sent(now)
			return e.target, true
		}
	}
	return Target{}, false
}

// ChooseNamed returns the target of the incarnation and counts the call as in
// flight. It returns leaving and ejected targets too: nobody else can answer
// for what the incarnation owns, and the node there refuses new work itself.
func (t *Table) ChooseNamed(now time.Time, incarnation string) (Target, bool) {
	for _, e := range t.entries {
		if e.target.Incarnation == incarnation {
			e.sent(now)
			return e.target, true
		}
	}
	return Target{}, false
}

// Ended takes in the end of a call that was sent to the target of that name.
func (t *Table) Ended(now time.Time, name string, r Report) {
	e := t.entries[name]
	if e == nil || (r.Incarnation != "" && r.Incarnation != e.target.Incarnation) {
		return
	}
	if !e.ended(now, r) {
		return
	}
	if t.worse(e) {
		e.eject(now, r.Outcome, t.settings.Random)
		return
	}
	e.restore()
}

// Pressure returns how many slots the calls that arrive at the targets would keep in
// use over the slots that they have, by what they reported, and whether a target that
// stays reported of late: nothing else says how full the service is.
func (t *Table) Pressure(now time.Time) (pressure float64, known bool) {
	load, limit := 0.0, 0.0
	for _, e := range t.entries {
		if e.reportedAt.IsZero() || now.Sub(e.reportedAt) > reportValid || e.target.Leaving {
			continue
		}
		load += e.offered
		limit += e.limit()
	}
	if limit == 0 {
		return 0, false
	}
	return load / limit, true
}

// Targets returns the state of all targets, ordered by name.
func (t *Table) Targets(now time.Time) []State {
	states := make([]State, 0, len(t.entries))
	for _, e := range t.entries {
		states = append(states, State{
			Target:       e.target,
			InFlight:     e.inFlight,
			EjectedUntil: e.ejectedUntil,
			Latency:      e.latency,
			Pressure:     e.pressure(now),
			Reported:     e.lastReport,
		})
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Target.Name, b.Target.Name) })
	return states
}
