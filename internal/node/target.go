package node

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/beat"
	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// targetPresence holds what the node knows of the target beside it from heartbeats.
type targetPresence struct {
	// applyMu serialises applying heartbeats.
	applyMu    sync.Mutex
	mu         sync.Mutex
	heartbeats beat.Tracker
}

const (
	// departureGrace is how long a target that has announced its departure still gets
	// calls: until the update has reached the nodes that send them.
	departureGrace = 700 * time.Millisecond
	// departureSaveTimeout limits how long the confirmation of a departure waits until the
	// departure is known outside of this process. Targets wait a second for it.
	departureSaveTimeout = 500 * time.Millisecond
	// maxStartAhead is how far the start of a target's process may lie ahead of the node's
	// clock. The clocks of hosts differ by much less.
	maxStartAhead = 24 * time.Hour
)

// departures returns the departures that the target's processes have announced.
func (p *targetPresence) departures() beat.Departures {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heartbeats.Departures()
}

// targetEvents returns the callbacks for the target's heartbeats.
func (n *Node) targetEvents() TargetEvents {
	return TargetEvents{Heartbeat: n.heartbeat, Depart: n.departed}
}

// heartbeat processes a heartbeat. Once it returns, the admission gate acts on the
// heartbeat. A heartbeat that cannot come from the target beside the node changes nothing.
func (n *Node) heartbeat(b beat.Heartbeat) beat.Verdict {
	if n.isForeign(b) {
		return beat.Foreign
	}
	n.targetPresence.applyMu.Lock()
	defer n.targetPresence.applyMu.Unlock()
	n.targetPresence.mu.Lock()
	before, known := n.targetPresence.heartbeats.Target()
	verdict := n.targetPresence.heartbeats.Observe(n.clock.Now(), b)
	target, _ := n.targetPresence.heartbeats.Target()
	n.targetPresence.mu.Unlock()
	switch verdict {
	case beat.Stale:
		n.log.Info("heartbeat_late", "target", b.ID, "state", b.State.String(), "sequence", b.Sequence,
			"present", target.ID, "present_sequence", target.Sequence)
	case beat.Changed:
		n.targetChanged(target, !known || before.ID != target.ID || before.StartedMS != target.StartedMS)
	case beat.Unchanged, beat.Foreign:
	}
	return verdict
}

// isForeign reports whether a heartbeat cannot come from the target beside the node: it names
// another service than the settings do, or a start far in the future, which would keep every
// true process out of use as an earlier one.
func (n *Node) isForeign(b beat.Heartbeat) bool {
	if b.Service != n.settings.Service {
		n.log.Error("target_of_other_service", "target", b.ID, "service", b.Service, "expected", n.settings.Service)
		return true
	}
	return n.startsInFuture(b.ID, b.StartedMS)
}

// startsInFuture reports whether a message names a start far in the future.
func (n *Node) startsInFuture(id string, startedMS int64) bool {
	if startedMS <= n.clock.Now().Add(maxStartAhead).UnixMilli() {
		return false
	}
	n.log.Error("target_from_future", "target", id, "born_ms", startedMS)
	return true
}

// departed records that a process of the target has exited or is about to. A departure that
// cannot come from the target beside the node changes nothing.
func (n *Node) departed(id string, startedMS int64) beat.Verdict {
	if n.startsInFuture(id, startedMS) {
		return beat.Foreign
	}
	n.targetPresence.applyMu.Lock()
	defer n.targetPresence.applyMu.Unlock()
	n.targetPresence.mu.Lock()
	before := n.targetPresence.heartbeats.Departures()
	ended := n.targetPresence.heartbeats.Depart(n.clock.Now(), id, startedMS)
	departures := n.targetPresence.heartbeats.Departures()
	target, _ := n.targetPresence.heartbeats.Target()
	n.targetPresence.mu.Unlock()
	if !ended && departures == before {
		n.log.Info("departure_late", "target", id, "born_ms", startedMS,
			"present", target.ID, "present_born_ms", target.StartedMS)
		return beat.Stale
	}
	n.log.Info("departure_recorded", "target", id, "born_ms", startedMS,
		"present", target.ID, "present_born_ms", target.StartedMS, "present_ended", ended)
	if ended {
		n.targetChanged(target, false)
	} else {
		n.saveDepartures(id, departures)
	}
	return beat.Changed
}

// learnDepartures applies departures that other members or the platform's table know of. It
// does so on a goroutine of its own, because it is called for every change of the members,
// also for those that this node makes while it applies a heartbeat.
func (n *Node) learnDepartures() {
	departures := n.members.Self().TargetDepartures
	known := n.targetPresence.departures()
	if known.Merge(departures) != known {
		go n.applyLearnedDepartures(departures)
	}
}

func (n *Node) applyLearnedDepartures(departures beat.Departures) {
	n.targetPresence.applyMu.Lock()
	defer n.targetPresence.applyMu.Unlock()
	n.targetPresence.mu.Lock()
	ended := n.targetPresence.heartbeats.LearnDepartures(n.clock.Now(), departures)
	target, _ := n.targetPresence.heartbeats.Target()
	n.targetPresence.mu.Unlock()
	n.log.Info("departure_learned", "born_ms", departures.StartedMS,
		"by_id", departures.ByID.ID, "by_id_born_ms", departures.ByID.StartedMS,
		"present", target.ID, "present_ended", ended)
	if ended {
		n.targetChanged(target, false)
	}
}

// saveDepartures takes the process with the given id out of use at the other nodes, and waits
// until the departures would outlive this process. Otherwise the node that starts in its place
// could take a late heartbeat for that of a target in use.
func (n *Node) saveDepartures(id string, departures beat.Departures) {
	saved := n.members.SaveSelf(context.Background(), departureSaveTimeout, func(self *member.Member) {
		if self.TargetID == id {
			self.TargetID = ""
		}
		self.TargetDepartures = self.TargetDepartures.Merge(departures)
	})
	if !saved {
		n.log.Warn("departure_not_saved", "target", id)
	}
}

// targetChanged applies a change of the target here and announces the change to the other
// nodes.
func (n *Node) targetChanged(target beat.Target, fresh bool) {
	n.log.Info("target_changed", "target", target.ID, "state", target.State.String(), "service", target.Service,
		"slots", target.Slots, "sequence", target.Sequence, "born_ms", target.StartedMS, "fresh", fresh)
	connections := n.declared(n.settings.Service).Connections
	switch {
	case fresh:
		n.local.Restart(n.announcedSettings(target), connections)
	case target.State == beat.Ready:
		n.local.Resize(n.announcedSettings(target), connections)
	}
	if target.State != beat.Ready {
		n.saveDepartures(target.ID, n.targetPresence.departures())
		return
	}
	n.members.SetSelf(func(self *member.Member) {
		self.TargetID = target.ID
		self.TargetSlots = target.Slots
	})
}

// admits reports whether a process of the target accepts a call. A process that leaves
// accepts calls until departureGrace has passed since its departure was known. Time for
// which the host was suspended counts, because the grace period may have passed by the
// time that a suspended node resumes.
func (n *Node) admits(targetID string) result.Code {
	n.targetPresence.mu.Lock()
	target, known := n.targetPresence.heartbeats.Target()
	n.targetPresence.mu.Unlock()
	switch {
	case !known, targetID != target.ID:
		return result.OtherIncarnation
	case !target.LeavingSince.IsZero() && clock.Since(n.clock.Now(), target.LeavingSince) >= departureGrace:
		return result.Leaving
	}
	return result.OK
}

// targetsAnnounce reports whether targets announce themselves to their nodes.
func (n *Node) targetsAnnounce() bool {
	return n.adapters.Control != nil
}
