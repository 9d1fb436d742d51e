package admit

import (
	"maps"
	"time"
)

const (
	// meanWeight is the weight of a call in the mean of its kind, and maxMeanWeight and
	// minMeanWeight bound its weight in the mean over all kinds.
	meanWeight    = 0.1
	maxMeanWeight = 0.5
	minMeanWeight = 0.02
)

type (
	// serviceTimes estimates how long calls occupy a slot, which is their service time.
	serviceTimes struct {
		// overall is the mean over calls of every kind, in seconds; 0 while unknown.
		overall float64
		byKind  map[string]timeEstimate
		// answered holds the times of the calls that the target completed, by kind.
		answered map[string]answerTimes
	}

	// answerTimes describes how long completed calls of a kind took.
	answerTimes struct {
		timeEstimate
		// slowest is the longest time, in seconds, that one of the last calls took. It
		// decays by slowestDecay with each call.
		slowest float64
		count   int
	}

	// timeEstimate holds a smoothed mean and mean deviation, in seconds.
	timeEstimate struct {
		mean      float64
		deviation float64
	}
)

func newServiceTimes() serviceTimes {
	return serviceTimes{byKind: map[string]timeEstimate{}, answered: map[string]answerTimes{}}
}

// observe adds the service time of one call. The weight of a call in the overall mean
// depends on the limit, so that the mean follows a change of speed within about as many
// calls as fit into the slots at once. A call that was cut short would have taken
// longer; it counts for its kind only if it has already taken longer than the mean.
func (t *serviceTimes) observe(kind string, took time.Duration, cut bool, limit int) {
	seconds := took.Seconds()
	weight := min(max(2/float64(limit+1), minMeanWeight), maxMeanWeight)
	if t.overall == 0 {
		t.overall = seconds
	}
	t.overall += weight * (seconds - t.overall)
	e, ok := t.byKind[kind]
	if cut && seconds < e.mean {
		return
	}
	if !ok {
		e = timeEstimate{mean: seconds}
	}
	t.byKind[kind] = e.with(seconds)
}

// observeAnswer adds the service time of a call that the target completed.
func (t *serviceTimes) observeAnswer(kind string, took time.Duration) {
	a := t.answered[kind]
	if a.count == 0 {
		a.mean = took.Seconds()
	}
	a.timeEstimate = a.with(took.Seconds())
	a.slowest = max(took.Seconds(), slowestDecay*a.slowest)
	a.count++
	t.answered[kind] = a
}

// with returns the estimate after one more service time.
func (e timeEstimate) with(seconds float64) timeEstimate {
	difference := seconds - e.mean
	e.mean += meanWeight * difference
	e.deviation += meanWeight * (max(difference, -difference) - e.deviation)
	return e
}

// retain discards the kinds that are no longer declared.
func (t *serviceTimes) retain(declared func(kind string) bool) {
	maps.DeleteFunc(t.byKind, func(kind string, _ timeEstimate) bool { return !declared(kind) })
	maps.DeleteFunc(t.answered, func(kind string, _ answerTimes) bool { return !declared(kind) })
}

// overallMean returns the mean service time over all kinds in seconds, or 0 while unknown.
func (t *serviceTimes) overallMean() float64 {
	return t.overall
}

// kindMean returns the mean service time of a kind, or 0 while unknown.
func (t *serviceTimes) kindMean(kind string) time.Duration {
	return time.Duration(t.byKind[kind].mean * float64(time.Second))
}

// expected returns the mean service time of a kind in seconds, or that of all kinds
// while it is unknown.
func (t *serviceTimes) expected(kind string) float64 {
	if e, ok := t.byKind[kind]; ok {
		return e.mean
	}
	return t.overall
}

// overdue returns the time after which a call of a kind is overdue: longer than any of the
// last calls took, and than the mean by many deviations. The second result is false while
// too few calls of the kind have been completed. Calls that were cut short do not count: a
// few dropped calls that last until their deadlines would hide all later ones.
func (t *serviceTimes) overdue(kind string) (time.Duration, bool) {
	a := t.answered[kind]
	seconds := max(a.mean+unansweredDeviations*a.deviation, unansweredFactor*a.slowest)
	return time.Duration(seconds * float64(time.Second)), a.count >= minAnswered
}

// lowEstimate returns a low estimate of the service time of a kind, the mean less the
// mean deviation, which most calls exceed. Calls are rejected for their deadline only
// by this estimate, because a call of a kind with widely varying times may end soon.
func (t *serviceTimes) lowEstimate(kind string) time.Duration {
	e := t.byKind[kind]
	return time.Duration(max(0, e.mean-e.deviation) * float64(time.Second))
}
