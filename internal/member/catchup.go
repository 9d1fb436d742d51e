package member

import (
	"context"
	"time"
)

// checkFreeze notices that the process stood still for longer than its lease.
// What it knew may be void: it catches up before it is ready again, and gives
// the others time to be heard before their leases are judged.
func (c *Controller) checkFreeze(now time.Time) {
	if c.lastRound.IsZero() || now.Sub(c.lastRound) < LeaseDuration {
		return
	}
	c.Log.Warn("woke_after_freeze", "frozen", now.Sub(c.lastRound))
	c.ready = false
	c.unreadyFrom = now
	clear(c.answers)
	c.view.PlatformDown()
	signal(c.touch)
}

// becomeReady ends the start or the wake, once the platform's table or enough
// peers have given their whole view, and the configuration is caught up with.
func (c *Controller) becomeReady(ctx context.Context, fromTable bool) {
	c.mu.Lock()
	if c.ready || c.catchingUp {
		c.mu.Unlock()
		return
	}
	known := c.others()
	enough := min(catchUpPeers, len(known))
	if c.Clock.Now().Sub(c.unreadyFrom) >= catchUpPatience {
		enough = 1
	}
	heard := fromTable || len(c.answers) > 0 && len(c.answers) >= enough
	c.catchingUp = heard
	c.mu.Unlock()
	if heard {
		c.run(func() { c.catchUp(ctx, known, fromTable) })
	}
}

func (c *Controller) catchUp(ctx context.Context, known []string, fromTable bool) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	var err error
	if c.CatchUp != nil {
		err = c.CatchUp(ctx, known)
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
	c.view.Settle()
	c.Log.Info("view_ready", "members", len(c.view.names()), "from_table", fromTable)
}
