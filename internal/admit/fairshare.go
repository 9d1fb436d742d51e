package admit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// FairShare allocates the admitted share of requests to teams by weighted max-min
	// fairness.
	//
	// It handles a team that sends many times its usual load into a service that is full.
	// The demand of a team is compared with its weight, which is the declared rate. Teams
	// whose relative demand is below a fair level are admitted whole, and those above are
	// admitted up to the level, so that the refusals fall on the hot team. The level is the
	// one at which the admitted share of recent requests is as given. Every team gets at
	// least minTeamShare of that share.
	FairShare struct {
		teams map[string]*teamDemand
		total teamDemand
		// weights holds the weights by team, which have the sum 1, and weight is that of
		// teams without an entry.
		weights map[string]float64
		weight  float64
		// recent holds the latest requests by importance: requests of other importance have
		// another admitted share, and may be of other teams.
		recent [schema.Critical + 1]recentDemands
	}

	// teamDemand is the number of a team's requests up to a time, which decays with
	// fairTimeConstant.
	teamDemand struct {
		count float64
		at    time.Time
	}

	// recentDemands holds, for the latest requests, the relative demand of the team when the
	// request arrived.
	recentDemands struct {
		demands [maxRecent]float64
		length  int
		next    int
		// sorted holds the demands in ascending order, and reciprocals the sums of their
		// reciprocals from each of them on. They are renewed every sortInterval.
		sorted      []float64
		reciprocals []float64
		sortedAt    time.Time
		// lastLevel is the level for lastShare, or 0 if it was not calculated since.
		lastLevel float64
		lastShare float64
	}
)

const (
	// fairTimeConstant is the time constant of a team's demand. It has to cover enough
	// requests to compare teams, and a node sees only some tens of requests a second of all
	// teams together.
	fairTimeConstant = 5 * time.Second
	// maxTeamDemands bounds the number of teams with a known demand. Without room, those with
	// the lowest demand are forgotten, and their requests are admitted like those of a team
	// that has just begun.
	maxTeamDemands = 256
	// maxRecent is how many requests the level is calculated from, and sortInterval how long
	// it is calculated from the same ones.
	maxRecent    = 256
	sortInterval = 100 * time.Millisecond
	// demandAllowance is the number of requests added to those that a team is expected to
	// send, so that a small team does not count as hot when a few of its requests happen to
	// arrive together.
	demandAllowance = 3.0
	// levelSteps is the number of halvings by which the level is found.
	levelSteps = 16
	// minTeamShare is the least admitted share of a team relative to that of all teams, so
	// that a hot team still gets some requests through.
	minTeamShare = 0.35
)

// NewFairShare returns a FairShare that knows of no requests.
func NewFairShare() *FairShare {
	return &FairShare{teams: map[string]*teamDemand{}}
}

// SetRates sets the declared rates of the teams in requests a second. A team without a rate
// weighs as much as the others on average.
func (f *FairShare) SetRates(rates map[string]float64, teams int) {
	sum, rated := 0.0, 0
	for _, rate := range rates {
		if rate > 0 {
			sum += rate
			rated++
		}
	}
	f.weights = nil
	f.weight = 1 / float64(max(teams, 1))
	if rated == 0 {
		return
	}
	sum *= float64(max(teams, rated)) / float64(rated)
	f.weights = make(map[string]float64, rated)
	for team, rate := range rates {
		if rate > 0 {
			f.weights[team] = rate / sum
		}
	}
}

// Record records a request of a team and returns the demand of the team relative to what is
// expected of it.
func (f *FairShare) Record(now time.Time, team string, importance schema.Importance) float64 {
	t := f.teams[team]
	if t == nil {
		if len(f.teams) >= maxTeamDemands {
			f.forgetLowest(now)
		}
		t = &teamDemand{at: now}
		f.teams[team] = t
	}
	count := t.add(now)
	weight, ok := f.weights[team]
	if !ok {
		weight = f.weight
	}
	demand := count / (weight*f.total.add(now) + demandAllowance)
	f.recent[min(importance, schema.Critical)].add(demand)
	return demand
}

// Share returns the admitted share of the requests of a team with the given demand, which
// Record returned, where that of all requests of the importance is share.
func (f *FairShare) Share(now time.Time, demand float64, importance schema.Importance, share float64) float64 {
	if share >= 1 {
		return share
	}
	recent := &f.recent[min(importance, schema.Critical)]
	recent.sort(now)
	least := minTeamShare * share
	return max(least, min(1, recent.level(share, least)/demand))
}

// forgetLowest removes the half of the teams with the lowest demand, so that the search for
// them is rare.
func (f *FairShare) forgetLowest(now time.Time) {
	counts := make([]float64, 0, len(f.teams))
	for _, t := range f.teams {
		counts = append(counts, t.current(now))
	}
	slices.Sort(counts)
	median := counts[len(counts)/2]
	maps.DeleteFunc(f.teams, func(_ string, t *teamDemand) bool { return t.current(now) <= median })
}

// add counts a request and returns the new count.
func (t *teamDemand) add(now time.Time) float64 {
	t.count = t.current(now) + 1
	t.at = now
	return t.count
}

func (t *teamDemand) current(now time.Time) float64 {
	return t.count * math.Exp(-max(now.Sub(t.at).Seconds(), 0)/fairTimeConstant.Seconds())
}

func (r *recentDemands) add(demand float64) {
	r.demands[r.next] = demand
	r.next = (r.next + 1) % maxRecent
	r.length = min(r.length+1, maxRecent)
}

// sort renews the sorted demands.
func (r *recentDemands) sort(now time.Time) {
	if len(r.sorted) > 0 && now.Sub(r.sortedAt) < sortInterval {
		return
	}
	r.sortedAt = now
	r.lastLevel = 0
	r.sorted = append(r.sorted[:0], r.demands[:r.length]...)
	slices.Sort(r.sorted)
	r.reciprocals = slices.Grow(r.reciprocals[:0], r.length+1)[:r.length+1]
	r.reciprocals[r.length] = 0
	for i := r.length - 1; i >= 0; i-- {
		r.reciprocals[i] = r.reciprocals[i+1] + 1/r.sorted[i]
	}
}

// level returns the demand up to which teams are admitted whole. At it, the recent requests
// would have been admitted by the given share, where none is admitted less than least.
func (r *recentDemands) level(share, least float64) float64 {
	if r.lastLevel > 0 && r.lastShare == share {
		return r.lastLevel
	}
	low, high := 0.0, r.sorted[len(r.sorted)-1]
	for range levelSteps {
		middle := (low + high) / 2
		if r.admitted(middle, least) < share {
			low = middle
		} else {
			high = middle
		}
	}
	r.lastLevel, r.lastShare = high, share
	return high
}

// admitted returns the share of the recent requests that is admitted at a level.
func (r *recentDemands) admitted(level, least float64) float64 {
	whole, _ := slices.BinarySearchFunc(r.sorted, level, cmp.Compare[float64])
	floored, _ := slices.BinarySearchFunc(r.sorted, level/least, cmp.Compare[float64])
	part := level * (r.reciprocals[whole] - r.reciprocals[floored])
	return (float64(whole) + part + least*float64(len(r.sorted)-floored)) / float64(len(r.sorted))
}

// Teams returns the number of teams whose demand is kept.
func (f *FairShare) Teams() int {
	return len(f.teams)
}
