// Package route chooses the target that a call is sent to.
//
// A Table holds the targets of one service. It judges them only by the calls sent to them:
// how many are in flight, how they ended, and the load that answers report. It queries no
// endpoints of the targets.
//
// A Table does no I/O, and the caller passes in the time. Unlike Splits, it is not safe for
// concurrent use.
package route

import (
	"slices"
	"strings"
	"time"
)

// Outcome classifies how a call ended, as far as this says something about the target.
type Outcome uint8

// Values of Outcome.
const (
	// Complete means that the target did the work and answered.
	Complete Outcome = iota
	// Failed means that the target failed or timed out, and that its node reported this.
	Failed
	// Silent means that not even the target's node answered.
	Silent
	// Refused means that the target or the node beside it refused the call for load.
	Refused
	// Unreachable means that no connection to the target's node could be opened, or that
	// another process has taken its address.
	Unreachable
	// Blameless means that the call failed for a reason that says nothing about the
	// target: for instance, a call that the target made itself was refused or failed, or
	// the caller went away.
	Blameless
)

type (
	// Target describes one target of a service.
	Target struct {
		Name string
		// Incarnation distinguishes the processes that have run under the name.
		Incarnation string
		Address     string
		DataCentre  string
		Region      string
		Leaving     bool
		Cold        bool
		// Slots is how many calls the target declares to take at the same time, or 0 if
		// it does not declare this.
		Slots int
	}

	// Report is what the end of a call reveals about its target.
	Report struct {
		Outcome Outcome
		// Incarnation is the incarnation that the call was sent to. Reports on former
		// incarnations are ignored. Empty means the current one.
		Incarnation string
		// Latency is the time from sending the call to its end.
		Latency  time.Duration
		InFlight int
		Limit    int
		Queued   int
		// Offered is how many slots all calls that arrive at the target would occupy.
		Offered float64
		Leaving bool
		// HasLoad is set if the load fields are: InFlight, Limit, Queued, Offered and
		// Leaving.
		HasLoad bool
		// The following fields are zero unless the target's node measures them.

		// Kind is the kind of the call, and KindTime the usual service time of the kind
		// at the target.
		Kind     string
		KindTime time.Duration
		// Pace is the ratio of the target's latest service times to the usual ones.
		Pace float64
		// MeanTime is the mean of the target's latest service times over all kinds.
		MeanTime time.Duration
		// Held is how long the target's node had the call. The rest of Latency is the
		// round-trip time.
		Held time.Duration
		// Bytes is the length of the call and of its answer.
		Bytes int
	}

	// Settings describes the location of the node that uses a table.
	Settings struct {
		DataCentre string
		Region     string
		// Distances holds the one-way network latency to each data centre.
		Distances map[string]time.Duration
		// Random returns numbers in [0, 1).
		Random func() float64
		// MeasureSpeed compares targets by the time in which they work off their calls
		// instead of by their slots alone.
		MeasureSpeed bool
		// SpillByCost sends calls to farther data centres by the expected time to an
		// answer instead of when the nearer targets are full.
		SpillByCost bool
	}

	// State describes a target for status pages.
	State struct {
		Target Target
		// InFlight counts the calls sent by way of this table only.
		InFlight int
		// EjectedUntil is zero unless the target is ejected or on trial.
		EjectedUntil time.Time
		// Latency is the smoothed latency of completed calls.
		Latency time.Duration
		// Pressure is the estimated load relative to the target's limit.
		Pressure float64
		// RelativeTime is how long the target takes for a call relative to the others.
		RelativeTime float64
		// Reported is the last report with the target's load.
		Reported Report
	}

	// Table holds the targets of one service.
	Table struct {
		settings Settings
		entries  map[string]*entry
		// tiers groups the entries by distance, the nearest first.
		tiers [][]*entry
		// openTiers is how many tiers, counted from the nearest, currently take calls.
		openTiers int
		speeds    speeds
		spill     spill
	}
)

// New returns a table without targets.
func New(s Settings) *Table {
	return &Table{settings: s, entries: map[string]*entry{}, openTiers: 1}
}

// Update replaces the list of targets. The state of targets that stay is kept; a new
// incarnation starts without any.
func (t *Table) Update(_ time.Time, targets []Target) {
	entries := make(map[string]*entry, len(targets))
	for _, target := range targets {
		e := t.entries[target.Name]
		if e == nil || e.target.Incarnation != target.Incarnation {
			e = newEntry(target)
		}
		// A target that reported with an answer that it is leaving stays marked as
		// leaving, since the listing may be older than the answer.
		target.Leaving = target.Leaving || e.target.Leaving
		e.target = target
		entries[target.Name] = e
	}
	t.entries = entries
	t.group()
	t.speeds.changed = true
}

// SetPolicy sets how targets and data centres are chosen from now on; see Settings.
func (t *Table) SetPolicy(measureSpeed, spillByCost bool) {
	if t.settings.SpillByCost != spillByCost {
		t.spill = spill{}
	}
	t.settings.MeasureSpeed = measureSpeed
	t.settings.SpillByCost = spillByCost
}

// Choose picks a target for a call and counts the call as in flight. It skips the targets
// named in exclude, and returns false if none is left.
func (t *Table) Choose(now time.Time, exclude map[string]bool) (Target, bool) {
	t.spill.leave, t.spill.refused = Leave{}, false
	if t.settings.SpillByCost {
		t.openTiers = len(t.tiers)
	} else {
		t.adjustOpenTiers(now)
	}
	for open := t.openTiers; open <= len(t.tiers); open++ {
		if e := t.pick(now, t.tiers[:open], exclude); e != nil {
			if t.linkIsFull(e, exclude) {
				t.spill.refused = true
				return Target{}, false
			}
			t.explainLeave(e, exclude)
			e.sent(now)
			return e.target, true
		}
	}
	return Target{}, false
}

// ChooseIncarnation returns the target with the incarnation and counts the call as in
// flight. It returns leaving and ejected targets too: no other target can serve the keys
// that the incarnation owns, and a leaving node refuses new work itself.
func (t *Table) ChooseIncarnation(now time.Time, incarnation string) (Target, bool) {
	for _, e := range t.entries {
		if e.target.Incarnation == incarnation {
			e.sent(now)
			return e.target, true
		}
	}
	return Target{}, false
}

// Ended records the end of a call that was sent to the target of that name, and ejects the
// target if its calls fail clearly more often than those of others.
func (t *Table) Ended(now time.Time, name string, r Report) {
	e := t.entries[name]
	if e == nil || (r.Incarnation != "" && r.Incarnation != e.target.Incarnation) {
		return
	}
	t.learnSpeed(now, e, r)
	t.learnRTT(now, e, r)
	if !e.ended(now, r) {
		return
	}
	if t.isOutlier(e) {
		e.eject(now, r.Outcome, t.settings.Random)
		return
	}
	e.restore()
}

// Pressure returns the ratio of the slots that the arriving calls would occupy to the slots
// that the targets have, both as reported within reportTTL by targets that are not leaving.
// It returns false if there is no such report, since nothing else tells how full the
// service is.
func (t *Table) Pressure(now time.Time) (pressure float64, known bool) {
	load, limit := 0.0, 0.0
	for _, e := range t.entries {
		if e.reportedAt.IsZero() || now.Sub(e.reportedAt) > reportTTL || e.target.Leaving {
			continue
		}
		load += e.offeredLoad
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
	if t.speeds.changed {
		t.compareSpeeds()
	}
	for _, e := range t.entries {
		states = append(states, State{
			Target:       e.target,
			InFlight:     e.inFlight,
			EjectedUntil: e.ejectedUntil,
			Latency:      e.latency,
			Pressure:     e.pressure(now),
			RelativeTime: e.relativeTime(now),
			Reported:     e.lastReport,
		})
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Target.Name, b.Target.Name) })
	return states
}
