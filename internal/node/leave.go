package node

import (
	"context"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/once"
)

const (
	// minLeaveGrace is the minimum time for which a leaving node accepts requests.
	minLeaveGrace = time.Second
	// propagationTime is how long a membership update takes to reach every node.
	propagationTime = 500 * time.Millisecond
	// handoverGrace is how long a node that has handed over its records still answers,
	// while the other nodes learn of the new owner.
	handoverGrace = time.Second
	// callerNoticeTime is how long callers take to notice that a node is not ready: they
	// poll once a second and go elsewhere after two negative answers.
	callerNoticeTime = 2200 * time.Millisecond
	// callerIdleTime is how long no request must arrive for callers to count as gone.
	callerIdleTime = 400 * time.Millisecond
	// refuseShare is the share of the drain timeout after which new requests are refused
	// unsent, so that earlier ones can end. refuseLongShare is the share after which
	// requests are refused whose deadline lies after the end of the drain. By then
	// callers have had time to go elsewhere.
	refuseShare     = 0.5
	refuseLongShare = 1.0 / 3
	// drainPollPeriod is how often a leaving node checks whether callers are gone and
	// whether calls are in flight.
	drainPollPeriod = 50 * time.Millisecond
	// departTimeout bounds the announcement that a node is gone.
	departTimeout = 300 * time.Millisecond
	// exitTime is how long a busy process takes to exit.
	exitTime = 400 * time.Millisecond
	// shutdownMargin is the part of the drain timeout that is reserved for the steps
	// after the wait for calls in flight.
	shutdownMargin = departTimeout + closeTimeout + exitTime
)

// leave takes the node out of service without cutting off any call. The node announces
// that it is leaving and ends its holdings of keys at a time slightly ahead; until then
// it accepts requests. Then calls in flight end, the records of idempotency keys move to
// a successor, and only then do the listeners close.
func (n *Node) leave(ctx context.Context) {
	started := n.clock.Now()
	timeout := time.Duration(n.drainTimeout.Load())
	end := started.Add(timeout - shutdownMargin)
	n.leaving.Store(true)
	n.callers.DisableKeepAlives()
	n.log.Info("leaving", "node", n.settings.Name)
	n.local.Leave()
	n.members.SetSelf(func(self *member.Member) { self.State = member.Leaving })
	go n.members.Leave(ctx)
	if n.needsPlan() {
		n.changePlan(ctx, n.nextPlan)
		n.members.RequestRound()
	}
	refuseLong := time.AfterFunc(time.Duration(refuseLongShare*float64(timeout)), func() { n.setDrainDeadline(end) })
	defer refuseLong.Stop()
	n.pause(ctx, n.leaveGrace(timeout)-n.clock.Now().Sub(started))
	n.awaitCallersGone(ctx, started, timeout)
	n.local.StopAdmission()
	n.closed.Store(true)
	if !n.awaitDrained(end.Sub(n.clock.Now())) {
		n.log.Warn("drain_timed_out", "after", timeout)
	}
	if n.handOver(ctx) {
		n.members.RequestRound()
		n.pause(ctx, handoverGrace)
	}
	departing, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	n.members.SetSelf(func(self *member.Member) { self.State = member.Gone })
	n.members.Depart(departing)
}

// setDrainDeadline makes the node refuse unsent, from now on, every request that may run
// beyond end: the request would be cut off then, and nobody could tell whether it ran.
func (n *Node) setDrainDeadline(end time.Time) {
	n.drainDeadline.Store(&end)
	n.local.SetEndBy(end)
}

// endsInTime reports whether a request with the given deadline ends before a planned
// stop.
func (n *Node) endsInTime(deadline time.Time) bool {
	end := n.drainDeadline.Load()
	return end == nil || !deadline.After(*end)
}

// awaitCallersGone keeps accepting requests while callers cannot know yet that the node
// is not ready. It returns at once if there is no readiness listener that callers could
// poll.
func (n *Node) awaitCallersGone(ctx context.Context, started time.Time, timeout time.Duration) {
	if n.settings.ReadyListen == "" {
		return
	}
	latest := started.Add(refuseAfter(timeout))
	for {
		now := n.clock.Now()
		callersGone := now.Sub(started) >= callerNoticeTime && now.Sub(n.callers.LastRequest()) >= callerIdleTime
		if callersGone && n.hasReplacement() || !now.Before(latest) || ctx.Err() != nil {
			return
		}
		n.pause(ctx, drainPollPeriod)
	}
}

// hasReplacement reports whether another target of the service accepts requests. Until
// one does, a leaving node goes on accepting them, as other targets of the service may be
// restarting.
func (n *Node) hasReplacement() bool {
	for _, m := range n.members.Service(n.settings.Service) {
		if m.State == member.Active && m.Incarnation != n.incarnation && (m.TargetID != "" || !n.targetsAnnounce()) {
			return true
		}
	}
	return false
}

// leaveGrace returns how long a leaving node still accepts requests: until the update has
// reached every node and until the node's keys, if any, belong to others. The result is
// capped to leave calls the time to end, even where the cap is too short for the keys.
func (n *Node) leaveGrace(timeout time.Duration) time.Duration {
	grace := minLeaveGrace
	if n.needsPlan() {
		grace = max(grace, once.CutLead(ownerRules(n.limits()))+propagationTime)
	}
	return min(grace, refuseAfter(timeout))
}

// refuseAfter returns how long after the start of a drain a leaving node refuses new
// requests at the latest.
func refuseAfter(timeout time.Duration) time.Duration {
	return time.Duration(refuseShare * float64(timeout))
}

// awaitDrained waits until no call is in flight. It returns false if the time runs out
// first.
func (n *Node) awaitDrained(within time.Duration) bool {
	timeout := n.clock.After(within)
	drained := n.local.Drained()
	for n.callers.InFlight() > 0 || drained != nil {
		select {
		case <-drained:
			drained = nil
		case <-n.clock.After(drainPollPeriod):
		case <-timeout:
			return false
		}
	}
	return true
}

func (n *Node) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-n.clock.After(d):
	}
}
