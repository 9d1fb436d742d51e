package member

import (
	"context"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/dandelionfield/dandelionfield/internal/plat"
)

// The table's load at 530 nodes: 530/10 s = 53 writes/s for the leases and
// 530/15 s = 35 reads/s for the listings, of several hundred and about two
// thousand.
const (
	renewInterval = 10 * time.Second
	listInterval  = 15 * time.Second
	// firstListInterval is how soon a node that has just started lists again.
	// The interval grows with the node's age, since nodes that start together
	// find each other's rows missing at first.
	firstListInterval = 500 * time.Millisecond
	// retryInterval is the wait after the platform failed. It is jittered, so
	// that nodes do not greet a returning platform together.
	retryInterval = 4 * time.Second
	// storeTimeout bounds one operation on the table.
	storeTimeout = 5 * time.Second

	leaseTable = "members"
)

// lease is what a controller remembers of the table. Only the lease loop and
// Depart use it, under mu of the controller where both may.
type lease struct {
	listed  int64 // version up to which the table was read
	version int64 // version of the node's own row, 0 while there is none
	writes  int   // numbers the node's writes
}

// Refresh reads what changed in the table since the last time.
func (c *Controller) Refresh(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.mu.Lock()
	since := c.lease.listed
	c.mu.Unlock()
	rows, version, err := c.Store.List(listCtx, leaseTable, since)
	if err != nil {
		c.platformDown(err)
		return err
	}
	c.mu.Lock()
	now := c.Clock.Now()
	c.view.PlatformUp(now)
	changed := false
	for _, row := range rows {
		changed = c.takeRow(now, row) || changed
	}
	c.lease.listed = max(c.lease.listed, version)
	c.mu.Unlock()
	if changed {
		c.notify()
	}
	c.becomeReady(ctx, true)
	return nil
}

// Renew writes the node's own lease row. On a conflict it learns which row is
// there, and writes over one of an earlier incarnation.
func (c *Controller) Renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := c.writeLease(ctx, false)
	if errorx.IsOfType(err, plat.Conflict) {
		if err = c.readLease(ctx); err != nil {
			return err
		}
		if _, superseded := c.Superseded(); superseded {
			return nil
		}
		err = c.writeLease(ctx, false)
	}
	if err != nil {
		c.platformDown(err)
	}
	return err
}

func (c *Controller) runLease(ctx context.Context) {
	var nextList, nextRenew time.Time
	started := c.Clock.Now()
	for ctx.Err() == nil {
		now := c.Clock.Now()
		if !now.Before(nextList) {
			interval := min(max(firstListInterval, now.Sub(started)), listInterval)
			nextList = now.Add(c.pause(c.Refresh(ctx), interval))
		}
		if !now.Before(nextRenew) {
			nextRenew = now.Add(c.pause(c.Renew(ctx), renewInterval))
			c.deleteExpired(ctx)
		}
		next := nextRenew
		if nextList.Before(next) {
			next = nextList
		}
		select {
		case <-c.Clock.After(next.Sub(now)):
		case <-c.touch:
			nextRenew = now
			if !c.Ready() {
				nextList = now
			}
		case <-ctx.Done():
		}
	}
}

// pause returns the time to the next use of the platform. The first listing
// is followed by a random part of the interval, which spreads nodes that
// started together.
func (c *Controller) pause(err error, interval time.Duration) time.Duration {
	if err != nil {
		return c.jitter(retryInterval)
	}
	return time.Duration((0.9 + 0.2*c.Random()) * float64(interval))
}

func (c *Controller) takeRow(now time.Time, row plat.Row) bool {
	if len(row.Value) == 0 {
		member, gone := c.view.Deleted(now, row.Key, row.Version)
		if gone {
			c.Log.Info("lease_deleted", "member", member.Name, "incarnation", member.Incarnation)
		}
		return gone
	}
	member, err := decodeRow(row.Value)
	if err != nil || member.Name != row.Key {
		c.Log.Warn("lease_row_unreadable", "key", row.Key, "error", err)
		return false
	}
	if member.Name == c.view.name {
		c.lease.version = max(c.lease.version, row.Version)
	}
	changed := c.view.Merge(now, []Member{member})
	c.logChanged(changed)
	if len(changed) > 0 {
		c.changedAt = now
	}
	ended := c.view.Renewed(now, member, row.Version)
	return len(changed) > 0 || ended
}

func (c *Controller) writeLease(ctx context.Context, remove bool) error {
	c.mu.Lock()
	c.lease.writes++
	self := c.view.Self()
	if self.State == Gone && !remove {
		c.mu.Unlock()
		return nil // the row is deleted, or about to be
	}
	change := plat.Change{Key: self.Name, Expected: c.lease.version, Delete: remove}
	id := self.Incarnation + "-" + strconv.Itoa(c.lease.writes)
	c.mu.Unlock()
	if !remove {
		value, err := encodeRow(self)
		if err != nil {
			return err
		}
		change.Value = value
	}
	version, err := c.Store.Commit(ctx, plat.Write{Table: leaseTable, ID: id, Changes: []plat.Change{change}})
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.lease.version = max(c.lease.version, version)
	c.mu.Unlock()
	return nil
}

func (c *Controller) readLease(ctx context.Context) error {
	c.mu.Lock()
	name := c.view.name
	c.mu.Unlock()
	row, err := c.Store.Get(ctx, leaseTable, name)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.version = row.Version
	if row.Version > 0 {
		c.takeRow(c.Clock.Now(), row)
	}
	return nil
}

func (c *Controller) deleteLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := c.writeLease(ctx, true)
	if errorx.IsOfType(err, plat.Conflict) {
		// A renewal was on its way, or a later incarnation holds the row.
		if err = c.readLease(ctx); err != nil {
			return
		}
		if _, superseded := c.Superseded(); superseded {
			return
		}
		err = c.writeLease(ctx, true)
	}
	if err != nil {
		c.Log.Info("lease_not_deleted", "error", err)
	}
}

// deleteExpired deletes the row of a member that lapsed long ago. If the member
// has renewed since, the delete conflicts and has no effect.
func (c *Controller) deleteExpired(ctx context.Context) {
	c.mu.Lock()
	member, version, ok := c.view.Expired(c.Clock.Now())
	c.lease.writes++
	id := c.view.Self().Incarnation + "-" + strconv.Itoa(c.lease.writes)
	c.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	change := plat.Change{Key: member.Name, Expected: version, Delete: true}
	if _, err := c.Store.Commit(ctx, plat.Write{Table: leaseTable, ID: id, Changes: []plat.Change{change}}); err != nil {
		c.Log.Debug("expired_lease_not_deleted", "member", member.Name, "error", err)
	}
}

func (c *Controller) platformDown(err error) {
	c.mu.Lock()
	c.view.PlatformDown()
	c.mu.Unlock()
	c.Log.Debug("platform_unavailable", "error", err)
}
