package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// spillAbove is the pressure at which the next tier opens. It lies above
	// that of a service which is merely well used.
	spillAbove = 0.9
	// spillBelow is the pressure that the nearer tiers must not exceed with
	// the work of the farthest one before that closes again.
	spillBelow = 0.7
	// minUsableShare is the share of targets that stays in use. When more
	// look bad, the fault is likely elsewhere and all are used.
	minUsableShare = 1.0 / 3
	// unknownDistance places data centres without a declared distance behind
	// the others of the region.
	unknownDistance = time.Hour
	// regionDistance places other regions behind the own one.
	regionDistance = 24 * time.Hour
)

// group sorts the targets into tiers by data centre.
func (t *Table) group() {
	type place struct {
		distance   time.Duration
		dataCentre string
	}
	byPlace := map[place][]*entry{}
	for _, e := range t.entries {
		p := place{distance: t.distance(e.target), dataCentre: e.target.DataCentre}
		byPlace[p] = append(byPlace[p], e)
	}
	places := make([]place, 0, len(byPlace))
	for p := range byPlace {
		places = append(places, p)
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), strings.Compare(a.dataCentre, b.dataCentre))
	})
	t.tiers = nil
	for _, p := range places {
		tier := byPlace[p]
		slices.SortFunc(tier, func(a, b *entry) int { return strings.Compare(a.target.Name, b.target.Name) })
		t.tiers = append(t.tiers, tier)
	}
	t.open = max(1, min(t.open, len(t.tiers)))
}

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

// spill opens one more tier when the open ones are full, and closes the
// farthest when the others have room for its work. The work that would move
// is counted in, so that closing a tier never leads to opening it again.
func (t *Table) spill(now time.Time) {
	load, limit := t.sum(now, t.open)
	if t.open < len(t.tiers) && load >= spillAbove*limit {
		t.open++
		return
	}
	if t.open <= 1 {
		return
	}
	_, nearLimit := t.sum(now, t.open-1)
	if load < spillBelow*nearLimit {
		t.open--
	}
}

// sum returns the load of the open tiers and the limit of their usable targets.
func (t *Table) sum(now time.Time, open int) (load, limit float64) {
	inUse := t.inUse()
	for _, tier := range t.tiers[:min(open, len(t.tiers))] {
		for _, e := range tier {
			load += e.load(now)
			if e.usable() && !e.refusing(now) && !inUse.poor(e) {
				limit += e.limit()
			}
		}
	}
	return load, limit
}

// pick chooses from the open tiers: a target that is due for its trial call,
// or else the less loaded of two drawn at random. Where all targets leave, as
// when their nodes are restarted one after the other, it chooses one of these.
func (t *Table) pick(now time.Time, open int, not map[string]bool) *entry {
	var usable, ejected, leaving []*entry
	for _, tier := range t.tiers[:open] {
		for _, e := range tier {
			switch {
			case not[e.target.Name]:
			case e.target.Leaving:
				leaving = append(leaving, e)
			case e.dueForTrial(now):
				return e
			case e.usable():
				usable = append(usable, e)
			default:
				ejected = append(ejected, e)
			}
		}
	}
	if t.fewUsable() {
		usable = append(usable, ejected...)
	}
	if len(usable)+len(ejected) == 0 && open == len(t.tiers) {
		// One that leaves may still take a call, and says so if it does not.
		usable = leaving
	}
	return t.lessLoaded(now, usable)
}

// fewUsable reports whether so many targets are ejected that they are used
// nevertheless. All tiers count: a data centre often has just one target.
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

// worse reports whether the target does worse than the others that are in use.
// When a service as a whole is slow or failing, every target looks bad. To
// eject some by chance would keep them out after it has recovered, and while
// it lasts they would seem to have room for what the door holds back.
func (t *Table) worse(e *entry) bool {
	others := t.inUse().beside(e)
	return others >= othersAcceptable && e.success < worseThanOthers*others
}

// successes sums up the shares of successes of targets.
type successes struct {
	sum   float64
	count int
}

// inUse returns the successes of the targets that are in use.
func (t *Table) inUse() successes {
	var s successes
	for _, e := range t.entries {
		if e.usable() {
			s.sum += e.success
			s.count++
		}
	}
	return s
}

// beside returns the mean share of the targets other than one, 0 if there are none.
func (s successes) beside(e *entry) float64 {
	if e.usable() {
		s.sum -= e.success
		s.count--
	}
	return s.sum / float64(max(s.count, 1))
}

// poor reports whether a target that is not bad enough to be ejected loses so many
// more calls than the others that it has room for none while they have. A request
// that needs several calls fails by one of them.
func (s successes) poor(e *entry) bool {
	others := s.beside(e)
	return others >= othersAcceptable && e.success < poorBesideOthers*others
}

// lessLoaded draws two targets and returns the one under less pressure.
// Drawing only two keeps many nodes with the same stale reports from all
// choosing the same target.
func (t *Table) lessLoaded(now time.Time, from []*entry) *entry {
	if len(from) == 0 {
		return nil
	}
	first := t.draw(len(from))
	if len(from) == 1 {
		return from[first]
	}
	second := t.draw(len(from) - 1)
	if second >= first {
		second++
	}
	if from[second].score(now) < from[first].score(now) {
		return from[second]
	}
	return from[first]
}

func (t *Table) draw(n int) int {
	return min(int(t.settings.Random()*float64(n)), n-1)
}
