package node

import (
	"context"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/member"
)

// leave takes the node out of service without cutting anything off: the news
// goes to everybody, what is under way ends, the records of idempotency keys
// move to a successor, and only then do the listeners close.
func (n *Node) leave(ctx context.Context) {
	n.leaving.Store(true)
	n.log.Info("leaving", "node", n.settings.Name)
	n.local.Leave()
	n.members.SetSelf(func(self *member.Member) { self.State = member.Leaving })
	n.members.Leave(ctx)
	n.pause(ctx, leaveGrace)
	n.local.RefuseNew()
	if !n.quiet() {
		n.log.Warn("drain_timed_out", "after", n.settings.DrainTimeout)
	}
	n.handOver(ctx)
	n.members.SetSelf(func(self *member.Member) { self.State = member.Gone })
	n.members.Depart(ctx)
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
