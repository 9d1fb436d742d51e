package admit

import (
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

const (
	// minSilence is the shortest time without activity after which a target may count
	// as stopped.
	minSilence = 500 * time.Millisecond
	// overdueFactor times the mean service time of its kind makes a call overdue.
	overdueFactor = 2
	// minOverdue is how many calls must be overdue at once, because a single one may
	// just take long.
	minOverdue = 2
	// minSuspectSilence is the shortest silence after which a target may be suspected to
	// have stopped, and suspectGaps how many mean gaps between two answers the silence
	// must last. If answers come at random, one gap in three thousand is at least eight
	// times the mean.
	minSuspectSilence = 100 * time.Millisecond
	suspectGaps       = 8
)

// liveness tracks whether a target is working.
//
// A target that hangs keeps its slots occupied, which its node cannot tell from slow
// work before the deadlines pass. But a working target is active all the time: it
// answers calls or makes calls of its own. A target without any activity while calls
// that only it can complete are overdue counts as stopped. It then gets only one call
// at a time, as a probe, and any activity ends the stop.
//
// For example, with 12 calls in flight of a kind with a mean time of 300 ms, one is
// answered every 25 ms. Once two of them have been in flight for 600 ms without any
// activity of the target, the target counts as stopped. Calls that wait for downstream
// calls are not counted, because it may be a downstream service that has stopped.
type liveness struct {
	// lastActivity is the time of the target's last activity.
	lastActivity time.Time
	stopped      bool
	// suspected is set during a silence that is unlikely to be random. The number of
	// calls in flight then does not rise until the target is active again or counts
	// as stopped.
	suspected bool
	// lastCheck is the time of the last check. After a longer interval the node itself
	// was paused and cannot know whether its target was active in the meantime.
	lastCheck time.Time
	// stoppedAt is when the target was found to have stopped.
	stoppedAt time.Time
}

// RecordActivity records activity of the target, which ends a stop.
func (g *Gate) RecordActivity(now time.Time) {
	g.liveness.lastActivity = now
	g.liveness.stopped = false
	g.liveness.suspected = false
}

// Stopped reports whether the target counts as stopped.
func (g *Gate) Stopped() bool {
	return g.liveness.stopped
}

// stoppedFor returns for how long the target has counted as stopped: 0 while it works,
// and otherwise at least a millisecond, which is the unit on the wire.
func (g *Gate) stoppedFor(now time.Time) time.Duration {
	if !g.liveness.stopped {
		return 0
	}
	return max(now.Sub(g.liveness.stoppedAt), time.Millisecond)
}

// checkLiveness checks whether the target has stopped. If so, it rejects the queued calls
// while there is still time to send them to other targets.
func (g *Gate) checkLiveness(now time.Time) []Release {
	if now.Sub(g.liveness.lastCheck) > minSilence {
		g.liveness.lastActivity = now
	}
	g.liveness.lastCheck = now
	if g.settings.Opaque {
		return nil
	}
	g.liveness.suspected = g.suspiciouslySilent(now)
	if g.liveness.stopped || now.Sub(g.liveness.lastActivity) < minSilence || g.overdueCalls(now) < minOverdue {
		return nil
	}
	g.liveness.stopped = true
	g.liveness.stoppedAt = now
	var released []Release
	g.queue.remove(func(c queuedCall) bool {
		released = append(released, Release{ID: c.call.ID, Code: result.TargetStopped})
		return true
	})
	return released
}

// suspiciouslySilent reports whether the target has been silent for much longer than is
// usual with as many calls in flight: 15 calls of 300 ms are answered every 20 ms, so
// that a silence of 160 ms is suspect. Calls that wait for downstream calls do not count.
func (g *Gate) suspiciouslySilent(now time.Time) bool {
	from := g.liveness.lastActivity
	if g.epoch.After(from) {
		from = g.epoch // the target was idle before this
	}
	silence := now.Sub(from)
	mean := g.serviceTimes.overallMean()
	if silence < minSuspectSilence || mean == 0 {
		return false
	}
	pending := 0
	for _, run := range g.running {
		if now.Sub(run.started) >= silence/2 && !run.waitingDownstream() {
			pending++
		}
	}
	return pending >= minOverdue && silence.Seconds() > suspectGaps*mean/float64(pending)
}

// waitingDownstream reports whether the target is waiting for downstream calls of this
// call.
func (r runningCall) waitingDownstream() bool {
	return r.awaitsDownstream != nil && r.awaitsDownstream()
}

// overdueCalls counts the calls that only the target itself can complete and that have
// taken too long since their start or, if later, since the target's last activity.
func (g *Gate) overdueCalls(now time.Time) int {
	count := 0
	for _, run := range g.running {
		mean := g.serviceTimes.kindMean(run.kind)
		since := run.started
		if g.liveness.lastActivity.After(since) {
			since = g.liveness.lastActivity
		}
		if mean == 0 || now.Sub(since) < max(overdueFactor*mean, minSilence) {
			continue
		}
		if !run.waitingDownstream() {
			count++
		}
	}
	return count
}

// rejectsAsStopped reports whether an arriving call is rejected because the target has
// stopped. If no other call is in flight, the call is admitted as a probe.
func (g *Gate) rejectsAsStopped() bool {
	return g.liveness.stopped && len(g.running) > 0
}
