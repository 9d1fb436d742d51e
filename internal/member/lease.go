package member

import (
	"context"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/dandelionfield/dandelionfield/internal/plat"
)

const (
	// The intervals grow with the number of nodes. From 100 nodes on, all nodes together
	// renew 10 leases and list the table 7 times a second, however many they are.
	minRenewInterval = 10 * time.Second
	renewPerNode     = 100 * time.Millisecond
	minListInterval  = 15 * time.Second
	listPerNode      = 150 * time.Millisecond
	// firstListInterval is the time between the first two listings of a node. It is short
	// because nodes that start together do not find each other's rows in their first
	// listings. The interval grows with the node's age up to minListInterval.
	firstListInterval = 500 * time.Millisecond
	// largeCluster is the number of nodes from which on the intervals grow. There the
	// first intervals grow with the node's age by largeListGrowth up to largeListSettled,
	// and what a node still lacks then comes with exchanges. A change of the node's row is
	// written largeWriteInterval after the last write at the earliest: a node that starts
	// changes it several times within a second, and others learn it from exchanges.
	largeCluster       = 100
	largeListGrowth    = 3
	largeListSettled   = 2 * time.Second
	largeWriteInterval = 2 * time.Second
	// retryInterval is the mean delay after a failed request to the platform. It is
	// jittered, so that nodes do not all contact a recovering platform at the same time.
	retryInterval = 4 * time.Second
	// storeTimeout limits one operation on the table.
	storeTimeout = 5 * time.Second

	leaseTable = "members"
)

// lease is the controller's state of the table of leases. Only the lease loop and Depart
// use it; Controller.mu guards the fields that both may use at once.
type lease struct {
	listedVersion int64 // version up to which the table was read
	rowVersion    int64 // version of the node's own row, 0 while it does not exist
	writeCount    int   // sequence number of the node's writes, part of the write ID
	// relist is set until the table has been listed after a restore of the platform.
	relist bool
}

// Refresh reads the rows of the table that changed since the last call.
func (c *Controller) Refresh(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.mu.Lock()
	since := c.lease.listedVersion
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
		changed = c.applyLeaseRow(now, row) || changed
	}
	if !earlierGeneration(version, c.Store.CurrentGeneration()) {
		c.lease.relist = false
	}
	c.lease.listedVersion = max(c.lease.listedVersion, version)
	c.mu.Unlock()
	if changed {
		c.notify()
	}
	c.becomeReady(ctx, true)
	return nil
}

// Renew writes the node's own lease row. On a conflict, or if the platform was restored from
// an older copy, it reads the current row, and overwrites that row unless it belongs to a
// later incarnation.
func (c *Controller) Renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := c.writeLease(ctx, false)
	if mustReadLease(err) {
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
	var nextList, nextRenew, lastRenew time.Time
	started := c.Clock.Now()
	for ctx.Err() == nil {
		now := c.Clock.Now()
		if !now.Before(nextList) {
			err := c.Refresh(ctx)
			nextList = now.Add(c.nextDelay(err, c.listInterval(now.Sub(started))))
		}
		if !now.Before(nextRenew) {
			lastRenew = now
			err := c.Renew(ctx)
			nextRenew = now.Add(c.nextDelay(err, c.renewInterval()))
			c.DeleteExpired(ctx)
		}
		next := nextRenew
		if nextList.Before(next) {
			next = nextList
		}
		select {
		case <-c.Clock.After(next.Sub(now)):
		case <-c.leaseRequests:
			nextRenew = earlier(nextRenew, lastRenew.Add(c.writeInterval()))
			if !c.Ready() {
				nextList = now
			}
		case <-c.restores:
			rewrite := c.Clock.Now().Add(c.restoreDelay())
			nextList = earlier(nextList, rewrite)
			nextRenew = earlier(nextRenew, rewrite)
		case <-ctx.Done():
		}
	}
}

// listInterval returns the mean time to the next listing of a node of the given age.
func (c *Controller) listInterval(age time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := len(c.view.presentNames())
	switch {
	case members < largeCluster:
		return min(max(firstListInterval, age), minListInterval)
	case age < largeListSettled:
		return max(firstListInterval, largeListGrowth*age)
	}
	return time.Duration(members) * listPerNode
}

// writeInterval returns the least time between two writes of the lease for changes of the
// node's row.
func (c *Controller) writeInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.view.presentNames()) < largeCluster {
		return 0
	}
	return largeWriteInterval
}

// renewInterval returns the mean time between two renewals of the lease.
func (c *Controller) renewInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(minRenewInterval, time.Duration(len(c.view.presentNames()))*renewPerNode)
}

func earlier(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

// nextDelay returns the time until the next request to the platform: the jittered
// retryInterval after an error, else the interval with a jitter of 10 % either way, which
// spreads the requests of nodes that started together.
func (c *Controller) nextDelay(err error, interval time.Duration) time.Duration {
	if err != nil {
		return c.jitter(retryInterval)
	}
	return time.Duration((0.9 + 0.2*c.Random()) * float64(interval))
}

func (c *Controller) applyLeaseRow(now time.Time, row plat.Row) bool {
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
		c.lease.rowVersion = max(c.lease.rowVersion, row.Version)
	}
	changed := c.view.Merge(now, []Member{member})
	c.logChanged(changed)
	if len(changed) > 0 {
		c.changedAt = now
	}
	if c.lease.relist {
		c.view.Listed(member, row.Version)
		return len(changed) > 0
	}
	lapseEnded := c.view.Renewed(now, member, row.Version)
	return len(changed) > 0 || lapseEnded
}

func (c *Controller) writeLease(ctx context.Context, remove bool) error {
	c.mu.Lock()
	c.lease.writeCount++
	self := c.view.Self()
	if self.State == Gone && !remove {
		c.mu.Unlock()
		return nil // Depart deletes the row or has deleted it
	}
	change := plat.Change{Key: self.Name, Expected: c.lease.rowVersion, Delete: remove}
	id := self.Incarnation + "-" + strconv.Itoa(c.lease.writeCount)
	c.mu.Unlock()
	if !remove {
		value, err := encodeRow(self)
		if err != nil {
			return err
		}
		change.Value = value
	}
	rowVersion, err := c.Store.Commit(ctx, plat.Write{Table: leaseTable, ID: id, Changes: []plat.Change{change}})
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.lease.rowVersion = max(c.lease.rowVersion, rowVersion)
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
	c.lease.rowVersion = row.Version
	if row.Version > 0 {
		c.applyLeaseRow(c.Clock.Now(), row)
	}
	return nil
}

func (c *Controller) deleteLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := c.writeLease(ctx, true)
	if mustReadLease(err) {
		// A renewal was in flight, a later incarnation owns the row, or the platform came
		// back from an older copy.
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

// mustReadLease reports whether the version of the node's row in the table is not known
// after a write.
func mustReadLease(err error) bool {
	return errorx.IsOfType(err, plat.Conflict) || errorx.IsOfType(err, plat.Restored)
}

// DeleteExpired deletes the lease row of a member that lapsed or went at least
// lapsedRowRetention ago. If the row has changed since, the delete conflicts and has no
// effect.
func (c *Controller) DeleteExpired(ctx context.Context) {
	c.mu.Lock()
	member, version, ok := c.view.Expired(c.Clock.Now())
	c.lease.writeCount++
	id := c.view.Self().Incarnation + "-" + strconv.Itoa(c.lease.writeCount)
	c.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	change := plat.Change{Key: member.Name, Expected: version, Delete: true}
	_, err := c.Store.Commit(ctx, plat.Write{Table: leaseTable, ID: id, Changes: []plat.Change{change}})
	if err != nil {
		c.Log.Debug("expired_lease_not_deleted", "member", member.Name, "error", err)
	}
	if errorx.IsOfType(err, plat.Conflict) {
		// A listing that reports no deletions does not show that the row is gone.
		c.mu.Lock()
		c.view.forgetLease(member.Name, version)
		c.mu.Unlock()
	}
}

func (c *Controller) platformDown(err error) {
	c.mu.Lock()
	c.view.PlatformDown()
	c.mu.Unlock()
	c.Log.Debug("platform_unavailable", "error", err)
}
