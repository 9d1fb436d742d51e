package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// openTierPressure is the pressure of the open tiers at which the next one opens. It
	// is above the pressure of a service that is well used but not full.
	openTierPressure = 0.9
	// closeTierPressure is the pressure that the nearer tiers must stay below with the
	// load of the farthest open tier added, so that this tier closes again.
	closeTierPressure = 0.6
	// farAdvantage is the fraction of a full near target's score that a farther one must
	// stay below to be chosen.
	farAdvantage = 0.9
	// minUsableShare is the least share of targets that stays in use. If fewer look
	// healthy, the fault is likely elsewhere, and all targets are used.
	minUsableShare = 1.0 / 3
	// unknownDistance places data centres without a declared distance after the others of
	// the region.
	unknownDistance = time.Hour
	// regionDistance places other regions after the local one.
	regionDistance = 24 * time.Hour
)

// candidates are the targets of some tiers that a call may go to.
type candidates struct {
	usable, ejected, leaving []*entry
	// near is how many of the usable ones are in the nearest tier that has any.
	near int
	// trial is due for its trial call, and farTrial only if the call leaves anyway.
	trial, farTrial *entry
}

// group sorts the targets into one tier for each data centre, the nearest first.
func (t *Table) group() {
	type location struct {
		distance   time.Duration
		dataCentre string
	}
	byLocation := map[location][]*entry{}
	for _, e := range t.entries {
		loc := location{distance: t.distance(e.target), dataCentre: e.target.DataCentre}
		byLocation[loc] = append(byLocation[loc], e)
	}
	locations := make([]location, 0, len(byLocation))
	for loc := range byLocation {
		locations = append(locations, loc)
	}
	slices.SortFunc(locations, func(a, b location) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), strings.Compare(a.dataCentre, b.dataCentre))
	})
	t.tiers = nil
	for _, loc := range locations {
		tier := byLocation[loc]
		slices.SortFunc(tier, func(a, b *entry) int { return strings.Compare(a.target.Name, b.target.Name) })
		t.tiers = append(t.tiers, tier)
	}
	t.openTiers = max(1, min(t.openTiers, len(t.tiers)))
}

// distance returns how far away a target is for the order of the tiers.
func (t *Table) distance(target Target) time.Duration {
	if target.DataCentre == t.settings.DataCentre {
		return 0
	}
	distance, ok := t.settings.Distances[target.DataCentre]
	if !ok {
		distance = unknownDistance
	}
	if target.Region != t.settings.Region {
		distance += regionDistance
	}
	return distance
}

// adjustOpenTiers opens one more tier if the open ones are full, and closes the farthest if
// the others have room for its load. The load that would move is included, so that closing
// a tier does not by itself cause it to open again.
func (t *Table) adjustOpenTiers(now time.Time) {
	load, limit := t.loadAndLimit(now, t.openTiers)
	if t.openTiers < len(t.tiers) && load >= openTierPressure*limit {
		t.openTiers++
		return
	}
	if t.openTiers <= 1 {
		return
	}
	_, nearLimit := t.loadAndLimit(now, t.openTiers-1)
	if load < closeTierPressure*nearLimit {
		t.openTiers--
	}
}

// loadAndLimit returns the load of the nearest open tiers, and the sum of the limits of
// their targets that have room for calls.
func (t *Table) loadAndLimit(now time.Time, open int) (load, limit float64) {
	rates := t.usableRates()
	for _, tier := range t.tiers[:min(open, len(t.tiers))] {
		for _, e := range tier {
			load += e.load(now)
			if e.usable() && !e.refusedRecently(now) && !rates.underperforms(e) {
				limit += e.limit()
			}
		}
	}
	return load, limit
}

// pick chooses a target from some tiers: one that is due for its trial call, or else
// one of the nearest tier if it has room, and a farther one if that is less loaded. If all
// targets are leaving, as when their nodes are restarted one after the other, it chooses
// one of them. Where calls leave by cost, all tiers are open, and a trial call goes to a
// farther target only in place of a call that leaves anyway.
func (t *Table) pick(now time.Time, tiers [][]*entry, exclude map[string]bool) *entry {
	c := t.candidates(now, tiers, exclude)
	if c.trial != nil {
		return c.trial
	}
	usable := c.usable
	if t.fewUsable() {
		usable = append(usable, c.ejected...)
	}
	if len(usable)+len(c.ejected) == 0 && len(tiers) == len(t.tiers) {
		// A leaving target may still accept calls, and refuses them explicitly if not.
		usable = c.leaving
	}
	if e := t.cheapestElsewhere(now, usable); e != nil {
		return e
	}
	if c.near == 0 || c.near == len(usable) {
		return t.lessLoaded(now, usable)
	}
	if !t.settings.SpillByCost {
		return t.preferNear(now, usable[:c.near], usable[c.near:])
	}
	chosen := t.preferCheaper(now, usable[:c.near], usable[c.near:], len(exclude) > 0)
	if c.farTrial != nil && t.spill.leave.Reason == Cheaper {
		return c.farTrial
	}
	return chosen
}

// candidates sorts out the targets of the tiers, up to the first that is due for its trial
// call.
func (t *Table) candidates(now time.Time, tiers [][]*entry, exclude map[string]bool) candidates {
	c := candidates{}
	for _, tier := range tiers {
		if c.near == 0 {
			c.near = len(c.usable)
		}
		for _, e := range tier {
			switch {
			case exclude[e.target.Name]:
			case e.target.Leaving:
				c.leaving = append(c.leaving, e)
			case e.dueForTrial(now) && c.near > 0 && t.settings.SpillByCost:
				c.farTrial = e
			case e.dueForTrial(now):
				c.trial = e
				return c
			case e.usable():
				c.usable = append(c.usable, e)
			default:
				c.ejected = append(c.ejected, e)
			}
		}
	}
	return c
}

// preferNear returns a near target unless it is full and a farther one clearly less loaded:
// each call to another data centre takes longer and costs bytes between them, and while all
// data centres are equally full, sending calls across gains nothing.
func (t *Table) preferNear(now time.Time, near, far []*entry) *entry {
	nearest := t.lessLoaded(now, near)
	score := nearest.score(now)
	if score < openTierPressure {
		return nearest
	}
	farther := t.lessLoaded(now, far)
	if t.score(now, farther) < farAdvantage*t.score(now, nearest) {
		return farther
	}
	return nearest
}

// fewUsable reports whether so many targets are ejected that ejected ones must be used as
// well. It counts all tiers, because a data centre often has just one target.
func (t *Table) fewUsable() bool {
	staying, usable := 0, 0
	for _, e := range t.entries {
		if e.target.Leaving {
			continue
		}
		staying++
		if e.usable() {
			usable++
		}
	}
	return float64(usable) < minUsableShare*float64(staying)
}

// isOutlier reports whether the target has a clearly lower success rate than the other
// usable ones. If a service as a whole is slow or failing, every target looks bad. Ejecting
// some at random would keep them out of use after the service has recovered. Until then
// they would also seem to have room for the requests that are refused at the entry.
func (t *Table) isOutlier(e *entry) bool {
	peers := t.usableRates().meanWithout(e)
	return peers >= minPeerSuccess && e.success < outlierRatio*peers
}

// successRates sums up the success rates of targets.
type successRates struct {
	sum   float64
	count int
}

// usableRates returns the success rates of the usable targets.
func (t *Table) usableRates() successRates {
	var s successRates
	for _, e := range t.entries {
		if e.usable() {
			s.sum += e.success
			s.count++
		}
	}
	return s
}

// meanWithout returns the mean success rate of the targets other than e, or 0 if there are
// none.
func (s successRates) meanWithout(e *entry) float64 {
	if e.usable() {
		s.sum -= e.success
		s.count--
	}
	return s.sum / float64(max(s.count, 1))
}

// underperforms reports whether a target loses so many more calls than the others that its
// limit does not count as room for calls, although the loss rate is too low for ejection. A
// request that needs several calls fails if one of them is lost.
func (s successRates) underperforms(e *entry) bool {
	peers := s.meanWithout(e)
	return peers >= minPeerSuccess && e.success < underperformRatio*peers
}

// lessLoaded picks two targets at random and returns the one with the lower score. Comparing
// only two keeps many nodes with the same stale reports from all choosing the same target.
func (t *Table) lessLoaded(now time.Time, from []*entry) *entry {
	if len(from) == 0 {
		return nil
	}
	first := t.randomIndex(len(from))
	if len(from) == 1 {
		return from[first]
	}
	second := t.randomIndex(len(from) - 1)
	if second >= first {
		second++
	}
	if t.score(now, from[second]) < t.score(now, from[first]) {
		return from[second]
	}
	return from[first]
}

// randomIndex returns a random number in [0, n).
func (t *Table) randomIndex(n int) int {
	return min(int(t.settings.Random()*float64(n)), n-1)
}
