package config

import (
	"context"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/plat"
)

// headSettleTime is how long a node accepts no revision after it noticed that the platform
// was restored from an older copy. Every node polls the head within 1.5 times pollInterval,
// so that the latest revision known to any of them is in the head row by then. Otherwise a
// revision could be accepted under a number that was given out before.
const headSettleTime = 5 * time.Second

// Generation returns the generation of the platform, see plat.Store.
func (c *Controller) Generation() int64 {
	return c.store.CurrentGeneration()
}

// storeRestored handles that the platform came back from an older copy. The revision in force
// and the known owner plans stay; what the table has of them is checked at the next polls,
// which the nodes make at random times.
func (c *Controller) storeRestored(plat.Restore) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headDoubtful = true
	c.restoredAt = c.clock.Now()
}

func (c *Controller) isHeadDoubtful() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headDoubtful
}

func (c *Controller) recentlyRestored() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.restoredAt.IsZero() && c.clock.Now().Sub(c.restoredAt) < headSettleTime
}

// checkHead writes the revision in force again if the head row was lost in a restore of the
// platform. Without a restore, a lower head was read before the revision was accepted.
func (c *Controller) checkHead(ctx context.Context, row plat.Row, found head) error {
	current := c.Current()
	if !c.isHeadDoubtful() || current == nil || !plat.IsCurrent(c.Generation(), row.Version) {
		return nil
	}
	if found.Number < current.Number {
		if err := c.restoreHead(ctx, row, *current); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headDoubtful = false
	return nil
}

// restoreHead stores the document of a revision and makes it the head again. If another node
// has done so, the write conflicts, and the next poll shows the head.
func (c *Controller) restoreHead(ctx context.Context, row plat.Row, current Revision) error {
	if err := c.putObject(ctx, current); err != nil {
		return err
	}
	write, err := c.headWrite(ctx, row, current, 0)
	if err != nil {
		return err
	}
	if _, err := c.store.Commit(ctx, write); err != nil {
		return err
	}
	c.log.Info("revision_restored", "number", current.Number, "digest", current.Digest)
	return nil
}
