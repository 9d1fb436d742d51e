package admit

import (
	"maps"
	"time"
)

const (
	meanWeight    = 0.1
	maxMeanWeight = 0.5
	minMeanWeight = 0.02
)

type (
	// times estimates how long calls occupy a slot.
	times struct {
		// all is the mean over calls of every kind, in seconds.
		all    float64
		byKind map[string]estimate
	}

	// estimate holds a smoothed mean and mean deviation, in seconds.
	estimate struct {
		mean      float64
		deviation float64
	}
)

func newTimes() times {
	return times{byKind: map[string]estimate{}}
}

// observe takes in one call. The overall mean forgets within one round of the
// slots, so that it follows a change of speed as fast as calls end. A call that
// was cut short would have taken longer; it tells of its kind only when it took
// longer than expected already.
func (t *times) observe(kind string, took time.Duration, cut bool, limit int) {
	seconds := took.Seconds()
	weight := min(max(2/float64(limit+1), minMeanWeight), maxMeanWeight)
	if t.all == 0 {
		t.all = seconds
	}
	t.all += weight * (seconds - t.all)
	e, ok := t.byKind[kind]
	if cut && seconds < e.mean {
		return
	}
	if !ok {
		e = estimate{mean: seconds}
	}
	difference := seconds - e.mean
	e.mean += meanWeight * difference
	e.deviation += meanWeight * (max(difference, -difference) - e.deviation)
	t.byKind[kind] = e
}

// keep forgets the kinds that are not declared.
func (t *times) keep(declared func(kind string) bool) {
	maps.DeleteFunc(t.byKind, func(kind string, _ estimate) bool { return !declared(kind) })
}

// mean returns the mean time over all kinds in seconds, 0 while unknown.
func (t *times) mean() float64 {
	return t.all
}

// usual returns the mean time of a kind, 0 while unknown.
func (t *times) usual(kind string) time.Duration {
	return time.Duration(t.byKind[kind].mean * float64(time.Second))
}

// expected returns the mean time of a kind in seconds, that of all kinds while it is
// unknown.
func (t *times) expected(kind string) float64 {
	if e, ok := t.byKind[kind]; ok {
		return e.mean
	}
	return t.all
}

// leastExpected returns a time that most calls of the kind take at least. A
// call is given up only against this lower estimate: a kind whose times
// spread widely may still end soon.
func (t *times) leastExpected(kind string) time.Duration {
	e := t.byKind[kind]
	return time.Duration(max(0, e.mean-e.deviation) * float64(time.Second))
}
