package admit

import (
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

const (
	// minSilence is the least time without a sign of a target's life after
	// which it may count as stopped.
	minSilence = 500 * time.Millisecond
	// overdueFactor times the usual time of its kind makes a call overdue.
	overdueFactor = 2
	// minOverdue calls must be overdue at once: a single one may just be long.
	minOverdue = 2
	// minQuiet is the least silence after which a target may be suspected, and
	// quietGaps how many of the usual times between two answers it must last.
	// Chance makes a gap of eight once in three thousand.
	minQuiet  = 100 * time.Millisecond
	quietGaps = 8
)

// pulse is what a gate knows of its target's life.
//
// A target that hangs keeps its slots full, and its node cannot tell that from
// slow work before the deadlines. But a target at work shows signs all the
// time: it answers, or makes calls of its own. One that shows none while calls
// in its own hands are overdue has stopped. It gets no more calls then, except
// one at a time to see whether it goes on, and any sign ends the stop.
//
// Of 12 calls of a kind that usually takes 300 ms, one is answered each 25 ms.
// Once 600 ms have passed without any, for two of them, the target has stopped. Those that wait for calls of their own do not count:
// what has stopped is further down.
type pulse struct {
	signAt  time.Time
	stopped bool
	// suspect is set in a silence that chance seldom makes. No further call is
	// put into the target's hands before it shows a sign or has stopped.
	suspect bool
	// lookedAt is the last look. After a longer break the node itself stood
	// still, and cannot know what its target showed meanwhile.
	lookedAt time.Time
	// stoppedAt is when the target was found to have stopped.
	stoppedAt time.Time
}

// Sign notes that the target has shown that it works.
func (g *Gate) Sign(now time.Time) {
	g.pulse.signAt = now
	g.pulse.stopped = false
	g.pulse.suspect = false
}

// Stopped reports whether the target has stopped working.
func (g *Gate) Stopped() bool {
	return g.pulse.stopped
}

// stoppedFor returns for how long the target has been known to have stopped: 0
// while it works, and at least a millisecond after that, which is what travels.
func (g *Gate) stoppedFor(now time.Time) time.Duration {
	if !g.pulse.stopped {
		return 0
	}
	return max(now.Sub(g.pulse.stoppedAt), time.Millisecond)
}

// checkPulse looks whether the target has stopped, and then turns the queued
// calls away while there is time to take them elsewhere.
func (g *Gate) checkPulse(now time.Time) []Release {
	if now.Sub(g.pulse.lookedAt) > minSilence {
		g.pulse.signAt = now
	}
	g.pulse.lookedAt = now
	if g.settings.Opaque {
		return nil
	}
	g.pulse.suspect = g.quiet(now)
	if g.pulse.stopped || now.Sub(g.pulse.signAt) < minSilence || g.overdue(now) < minOverdue {
		return nil
	}
	g.pulse.stopped = true
	g.pulse.stoppedAt = now
	var released []Release
	g.queue.remove(func(w waiter) bool {
		released = append(released, Release{ID: w.call.ID, Code: result.TargetStopped})
		return true
	})
	return released
}

// quiet reports whether the target is silent for much longer than it usually is
// with as many calls in its hands: 15 of 300 ms each are answered every 20 ms, so
// that a silence of 160 ms is suspect.
func (g *Gate) quiet(now time.Time) bool {
	from := g.pulse.signAt
	if g.epoch.After(from) {
		from = g.epoch // the target was idle until then
	}
	silence := now.Sub(from)
	usual := g.times.mean()
	if silence < minQuiet || usual == 0 {
		return false
	}
	inHand := 0
	for _, run := range g.running {
		if now.Sub(run.started) >= silence/2 && !run.waiting() {
			inHand++
		}
	}
	return inHand >= minOverdue && silence.Seconds() > quietGaps*usual/float64(inHand)
}

// waiting reports whether the target waits for calls that it made for this one.
func (r runner) waiting() bool {
	return r.waits != nil && r.waits()
}

// overdue counts the calls that have been in the target's own hands for too
// long, from their start or the last sign on.
func (g *Gate) overdue(now time.Time) int {
	count := 0
	for _, run := range g.running {
		usual := g.times.usual(run.kind)
		since := run.started
		if g.pulse.signAt.After(since) {
			since = g.pulse.signAt
		}
		if usual == 0 || now.Sub(since) < max(overdueFactor*usual, minSilence) {
			continue
		}
		if !run.waiting() {
			count++
		}
	}
	return count
}

// barred reports whether a call is turned away because the target has stopped:
// while no other is in flight, one is let through to see whether it goes on.
func (g *Gate) barred() bool {
	return g.pulse.stopped && len(g.running) > 0
}
