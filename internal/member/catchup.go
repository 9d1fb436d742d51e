package member

import (
	"context"
	"time"
)

// checkFreeze detects that the process did not run for at least LeaseDuration. Its view
// and configuration may then be outdated, so the node becomes unready until it has caught
// up, and the other members get time to be seen before their leases can expire.
func (c *Controller) checkFreeze(now time.Time) {
	if c.lastRound.IsZero() || now.Sub(c.lastRound) < LeaseDuration {
		return
	}
	c.Log.Warn("woke_after_freeze", "frozen", now.Sub(c.lastRound))
	c.ready = false
	c.unreadySince = now
	clear(c.fullViewsFrom)
	c.view.PlatformDown()
	signal(c.leaseRequests)
}

// becomeReady makes the node ready after a start or a freeze, once it has read the
// platform's table or received the full views of enough peers, and has caught up with the
// configuration.
func (c *Controller) becomeReady(ctx context.Context, fromTable bool) {
	c.mu.Lock()
	if c.ready || c.catchingUp {
		c.mu.Unlock()
		return
	}
	addresses := c.peerAddresses()
	required := min(catchUpPeers, len(addresses))
	if c.Clock.Now().Sub(c.unreadySince) >= catchUpPeersTimeout {
		required = 1
	}
	viewComplete := fromTable || len(c.fullViewsFrom) > 0 && len(c.fullViewsFrom) >= required
	c.catchingUp = viewComplete
	c.mu.Unlock()
	if viewComplete {
		c.runAsync(func() { c.catchUp(ctx, addresses, fromTable) })
	}
}

func (c *Controller) catchUp(ctx context.Context, addresses []string, fromTable bool) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	var err error
	if c.CatchUp != nil {
		err = c.CatchUp(ctx, addresses)
	}
	c.mu.Lock()
	c.catchingUp = false
	if err == nil {
		c.setReady(fromTable)
	}
	c.mu.Unlock()
	if err != nil {
		c.Log.Warn("catch_up_failed", "error", err)
		return
	}
	c.notify()
}

func (c *Controller) setReady(fromTable bool) {
	c.ready = true
	c.seeds = nil
	c.view.EndStartup()
	c.Log.Info("view_ready", "members", len(c.view.presentNames()), "from_table", fromTable)
}
