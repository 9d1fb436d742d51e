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
)

// leave takes the node out of service without cutting anything off. The news
// goes to everybody and the node's keys are closed a little ahead; until then
// it takes what still comes. Then what is under way ends, the records of
// idempotency keys move to a successor, and only then do the listeners close.
func (n *Node) leave(ctx context.Context) {
	n.leaving.Store(true)
	n.callers.Leave()
	n.log.Info("leaving", "node", n.settings.Name)
	n.local.Leave()
	n.members.SetSelf(func(self *member.Member) { self.State = member.Leaving })
	n.members.Leave(ctx)
	if n.needsPlan() {
		n.changePlan(ctx, n.nextPlan)
		n.members.Kick()
	}
	n.pause(ctx, n.leaveGrace())
	n.local.RefuseNew()
	if !n.quiet() {
		n.log.Warn("drain_timed_out", "after", n.settings.DrainTimeout)
	}
	if n.handOver(ctx) {
		n.members.Kick()
		n.pause(ctx, handoverGrace)
	}
	n.members.SetSelf(func(self *member.Member) { self.State = member.Gone })
	n.members.Depart(ctx)
}

// leaveGrace is how long a leaving node still takes work: until the news has
// reached everybody, and until its keys belong to others.
func (n *Node) leaveGrace() time.Duration {
	return max(once.CutLead(ownerRules(n.limits()))+newsTime, minLeaveGrace)
}

// quiet waits until no call is under way, within the drain timeout.
func (n *Node) quiet() bool {
	callers := make(chan struct{})
	go func() {
		n.callers.Wait()
		close(callers)
	}()
	timeout := n.clock.After(n.settings.DrainTimeout)
	for _, ended := range []<-chan struct{}{callers, n.local.Drained()} {
		select {
		case <-ended:
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
