package node

import (
	"context"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/once"
)

const (
	// minLeaveGrace is the least time for which a leaving node takes work.
	minLeaveGrace = time.Second
	// newsTime is how long news takes to reach every node.
	newsTime = 500 * time.Millisecond
	// handoverGrace is how long a node that has handed over its records still
	// answers, while the others learn who keeps them now.
	handoverGrace = time.Second
	// noticeTime is how long callers take to notice that a node is not ready: they
	// ask once a second and go after two answers.
	noticeTime = 2200 * time.Millisecond
	// lullTime without a request means that callers have gone.
	lullTime = 400 * time.Millisecond
	// doorShare is the share of the drain timeout after which requests that still
	// come are refused unsent, so that those before them can end; and lateShare the
	// one after which those are that may take longer than the rest of it. Callers
	// have had the time to go elsewhere then.
	doorShare = 0.5
	lateShare = 1.0 / 3
	// lullPeriod is how often it is looked for a lull.
	lullPeriod = 50 * time.Millisecond
	// departTimeout bounds the last news of a node.
	departTimeout = 300 * time.Millisecond
	// endTime is what a busy process takes to end.
	endTime = 400 * time.Millisecond
	// stopMargin is kept back of the drain timeout for all that follows the wait for
	// calls under way.
	stopMargin = departTimeout + closeTimeout + endTime
)

// leave takes the node out of service without cutting anything off. The news
// goes to everybody and the node's keys are closed a little ahead; until then
// it takes what still comes. Then what is under way ends, the records of
// idempotency keys move to a successor, and only then do the listeners close.
func (n *Node) leave(ctx context.Context) {
	started := n.clock.Now()
	timeout := time.Duration(n.drainTimeout.Load())
	end := started.Add(timeout - stopMargin)
	n.leaving.Store(true)
	n.callers.Leave()
	n.log.Info("leaving", "node", n.settings.Name)
	n.local.Leave()
	n.members.SetSelf(func(self *member.Member) { self.State = member.Leaving })
	go n.members.Leave(ctx)
	if n.needsPlan() {
		n.changePlan(ctx, n.nextPlan)
		n.members.Kick()
	}
	late := time.AfterFunc(time.Duration(lateShare*float64(timeout)), func() { n.endBy(end) })
	defer late.Stop()
	n.pause(ctx, n.leaveGrace(timeout)-n.clock.Now().Sub(started))
	n.awaitLull(ctx, started, timeout)
	n.local.RefuseNew()
	n.closed.Store(true)
	if !n.quiet(end.Sub(n.clock.Now())) {
		n.log.Warn("drain_timed_out", "after", timeout)
	}
	if n.handOver(ctx) {
		n.members.Kick()
		n.pause(ctx, handoverGrace)
	}
	departing, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	n.members.SetSelf(func(self *member.Member) { self.State = member.Gone })
	n.members.Depart(departing)
}

// endBy has what comes from now on refused unsent if it may go on beyond a time: it
// would be cut off then, and nobody could tell whether it ran.
func (n *Node) endBy(end time.Time) {
	n.mustEnd.Store(&end)
	n.local.EndBy(end)
}

// fits says whether a request with a deadline ends in time for a planned stop.
func (n *Node) fits(deadline time.Time) bool {
	end := n.mustEnd.Load()
	return end == nil || !deadline.After(*end)
}

// awaitLull goes on taking requests while callers cannot know yet that the node
// is not ready. Where they never ask that, there is nothing to wait for.
func (n *Node) awaitLull(ctx context.Context, started time.Time, timeout time.Duration) {
	if n.settings.ReadyListen == "" {
		return
	}
	latest := started.Add(doorTime(timeout))
	for {
		now := n.clock.Now()
		noticed := now.Sub(started) >= noticeTime && now.Sub(n.callers.LastRequest()) >= lullTime
		if noticed && n.replaced() || !now.Before(latest) || ctx.Err() != nil {
			return
		}
		n.pause(ctx, lullPeriod)
	}
}

// replaced says whether another target of the service takes work. Until one does,
// a leaving node goes on: others of its service may be restarting.
func (n *Node) replaced() bool {
	for _, m := range n.members.Service(n.settings.Service) {
		if m.State == member.Active && m.Incarnation != n.incarnation && (m.TargetID != "" || !n.announced()) {
			return true
		}
	}
	return false
}

// leaveGrace is how long a leaving node still takes work: until the news has
// reached everybody, and until its keys, if it has any, belong to others. It
// leaves calls the time to end, also where that is too short for the keys.
func (n *Node) leaveGrace(timeout time.Duration) time.Duration {
	grace := minLeaveGrace
	if n.needsPlan() {
		grace = max(grace, once.CutLead(ownerRules(n.limits()))+newsTime)
	}
	return min(grace, doorTime(timeout))
}

// doorTime is when a leaving node refuses what still comes, at the latest.
func doorTime(timeout time.Duration) time.Duration {
	return time.Duration(doorShare * float64(timeout))
}

// quiet waits until no call is under way, within the time.
func (n *Node) quiet(within time.Duration) bool {
	timeout := n.clock.After(within)
	drained := n.local.Drained()
	for n.callers.Busy() > 0 || drained != nil {
		select {
		case <-drained:
			drained = nil
		case <-n.clock.After(lullPeriod):
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
