package node

import (
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

// departureGrace is how long a target that has announced its departure still gets calls:
// until the update has reached the nodes that send them.
const departureGrace = 700 * time.Millisecond

// targetEvents returns the callbacks for the target's heartbeats.
func (n *Node) targetEvents() TargetEvents {
	return TargetEvents{Heartbeat: n.heartbeat, Depart: n.departed}
}

// heartbeat processes a heartbeat. Once it returns, the admission gate acts on the
// heartbeat. A heartbeat of another service than the settings name changes nothing, because
// it cannot come from the target beside the node.
func (n *Node) heartbeat(b beat.Heartbeat) beat.Verdict {
	if b.Service != n.settings.Service {
		n.log.Error("target_of_other_service", "target", b.ID, "service", b.Service, "expected", n.settings.Service)
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

// departed records that a process of the target has exited or is about to.
func (n *Node) departed(id string, startedMS int64) {
	n.targetPresence.applyMu.Lock()
	defer n.targetPresence.applyMu.Unlock()
	n.targetPresence.mu.Lock()
	changed := n.targetPresence.heartbeats.Depart(n.clock.Now(), id, startedMS)
	target, _ := n.targetPresence.heartbeats.Target()
	n.targetPresence.mu.Unlock()
	if !changed {
		n.log.Info("departure_late", "target", id, "present", target.ID)
		return
	}
	n.targetChanged(target, false)
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
	n.members.SetSelf(func(self *member.Member) {
		self.TargetID = ""
		if target.State == beat.Ready {
			self.TargetID = target.ID
			self.TargetSlots = target.Slots
		}
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
