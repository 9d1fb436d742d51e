package member

import (
	"time"

	"github.com/dandelionfield/dandelionfield/internal/plat"
)

// After a restore of the platform, each node writes its row at a random time within
// restoreDelayPerNode for each member, and within minRestoreDelay in a small cluster. If all
// nodes notice the restore at once, they make 200 of the 400 writes a second that the platform
// takes from all nodes together.
const (
	restoreDelayPerNode = 5 * time.Millisecond
	minRestoreDelay     = 500 * time.Millisecond
)

// storeRestored handles a restore of the platform from an older copy. Rows may then be older
// or missing, so the table is listed anew and the node's own row, with the last departure of
// its target, is written again. Rows of the copy never replace what the view knows, since the
// rows' own versions decide. What was read of the table before proves nothing about it any
// more, so no lease expires before every member had time to write its row again.
func (c *Controller) storeRestored(plat.Restore) {
	c.mu.Lock()
	c.lease.relist = true
	c.view.PlatformDown()
	c.view.forgetLeases()
	c.mu.Unlock()
	signal(c.restores)
}

// restoreDelay returns a random time after which the node writes its row again.
func (c *Controller) restoreDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := time.Duration(len(c.view.presentNames()))
	return time.Duration(c.Random() * float64(max(minRestoreDelay, members*restoreDelayPerNode)))
}

// earlierGeneration reports whether a version is from before the generation.
func earlierGeneration(version, generation int64) bool {
	of, _ := plat.SplitVersion(version)
	return version != 0 && of < generation
}
