package node

import (
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/beat"
	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// presence is what the node knows of the target beside it from its heartbeats.
type presence struct {
	// order lets heartbeats come into force one after another.
	order sync.Mutex
	mu    sync.Mutex
	book  beat.Book
}

// lateWork is how long a target that has said that it leaves still gets calls:
// until the news has reached the nodes that send them.
const lateWork = 700 * time.Millisecond

// announce returns the node's side of the heartbeats.
func (n *Node) announce() Announce {
	return Announce{Beat: n.heartbeat, Depart: n.departed}
}

// heartbeat takes in a heartbeat. When it returns, the gate acts by it.
func (n *Node) heartbeat(b beat.Beat) beat.Verdict {
	n.presence.order.Lock()
	defer n.presence.order.Unlock()
	n.presence.mu.Lock()
	before, known := n.presence.book.Target()
	verdict := n.presence.book.Take(n.clock.Now(), b)
	target, _ := n.presence.book.Target()
	n.presence.mu.Unlock()
	switch verdict {
	case beat.Late:
		n.log.Info("heartbeat_late", "target", b.ID, "state", b.State.String(), "sequence", b.Sequence,
			"present", target.ID, "present_sequence", target.Sequence)
	case beat.Changed:
		n.targetChanged(target, !known || before.ID != target.ID || before.BornMS != target.BornMS)
	case beat.Taken:
	}
	return verdict
}

// departed takes in that a process of the target is gone or about to go.
func (n *Node) departed(id string, bornMS int64) {
	n.presence.order.Lock()
	defer n.presence.order.Unlock()
	n.presence.mu.Lock()
	changed := n.presence.book.Depart(n.clock.Now(), id, bornMS)
	target, _ := n.presence.book.Target()
	n.presence.mu.Unlock()
	if !changed {
		n.log.Info("departure_late", "target", id, "present", target.ID)
		return
	}
	n.targetChanged(target, false)
}

// targetChanged puts what a heartbeat changed in force here and tells the others.
func (n *Node) targetChanged(target beat.Target, fresh bool) {
	n.log.Info("target_changed", "target", target.ID, "state", target.State.String(), "service", target.Service,
		"slots", target.Slots, "sequence", target.Sequence, "born_ms", target.BornMS, "fresh", fresh)
	if target.Service != n.settings.Service {
		n.log.Error("target_of_other_service", "target", target.ID, "service", target.Service, "expected", n.settings.Service)
	}
	connections := n.declared(n.settings.Service).Connections
	switch {
	case fresh:
		n.local.Restart(n.announcedSettings(target), connections)
	case target.State == beat.Ready:
		n.local.Resize(n.announcedSettings(target), connections)
	}
	n.members.SetSelf(func(self *member.Member) {
		self.TargetID = ""
		if target.State == beat.Ready && target.Service == n.settings.Service {
			self.TargetID = target.ID
			self.TargetSlots = target.Slots
		}
	})
}

// admits says whether a process of the target takes work. One that leaves takes
// what was sent before its leaving was known, by the time that passed outside too:
// a node that was suspended meanwhile comes back too late.
func (n *Node) admits(targetID string) result.Code {
	n.presence.mu.Lock()
	target, known := n.presence.book.Target()
	n.presence.mu.Unlock()
	switch {
	case !known, targetID != target.ID, target.Service != n.settings.Service:
		return result.OtherIncarnation
	case !target.Left.IsZero() && clock.Since(n.clock.Now(), target.Left) >= lateWork:
		return result.Leaving
	}
	return result.OK
}

// announced says whether targets announce themselves to their nodes.
func (n *Node) announced() bool {
	return n.doors.Control != nil
}
