package admit

import "time"

const (
	// unansweredDeviations is how many mean deviations a call must take longer than the
	// mean of its kind to be overdue, and unansweredFactor how many times as long as the
	// slowest of the last calls, of which there must be minAnswered.
	unansweredDeviations = 10
	unansweredFactor     = 3
	minAnswered          = 200
	// slowestDecay is the factor by which the time of the slowest call decays with each
	// call, so that it halves in about 700 calls.
	slowestDecay = 0.999
	// minUnansweredAge is the least age of an overdue call. Shorter delays occur on any
	// host.
	minUnansweredAge = 50 * time.Millisecond
	// minLaterAnswers is how many calls that started after an overdue call must have been
	// answered.
	minLaterAnswers = 5
)

// FindUnanswered returns the calls in flight that the target seems to have dropped without
// an answer, which it has not returned before. It is to be called with each tick.
//
// Some targets never answer a call that they cannot queue. Until its deadline passes, such
// a call looks like one that takes long, and its slot is lost to others: if a target drops
// half of its calls and answers the others after 20 ms, dropped calls with a deadline of
// 700 ms soon hold every slot. A target that has stopped or become slow is not mistaken for
// one that drops calls, because it does not answer calls that started later either.
//
// A call that was returned no longer holds a slot. Its answer still counts if it comes.
func (g *Gate) FindUnanswered(now time.Time) []string {
	var found []string
	for id, run := range g.running {
		if g.unanswered >= g.settings.Slots {
			break // more could overload a target that works on them after all
		}
		if run.unanswered || !g.isUnanswered(now, run) {
			continue
		}
		run.unanswered = true
		g.running[id] = run
		g.unanswered++
		g.startSum -= run.started.Sub(g.epoch)
		g.limiter.recordOutcome(Shed, g.occupied())
		found = append(found, id)
	}
	return found
}

// isUnanswered reports whether a call is overdue while minLaterAnswers calls that started
// after it have been answered.
func (g *Gate) isUnanswered(now time.Time, run runningCall) bool {
	if run.number >= g.latestAnswers[0] || run.waitingDownstream() {
		return false
	}
	overdue, known := g.serviceTimes.overdue(run.kind)
	return known && now.Sub(run.started) >= max(overdue, minUnansweredAge)
}

// latestAnswers holds the start numbers of the calls that started last among those that
// have been answered, in ascending order.
type latestAnswers [minLaterAnswers]int64

// add inserts the number of a call that has been answered, unless all others started later.
func (l *latestAnswers) add(number int64) {
	if number <= l[0] {
		return
	}
	at := 1
	for at < len(l) && l[at] < number {
		l[at-1] = l[at]
		at++
	}
	l[at-1] = number
}

// occupied returns how many calls in flight hold a slot.
func (g *Gate) occupied() int {
	return len(g.running) - g.unanswered
}
