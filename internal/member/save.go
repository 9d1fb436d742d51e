package member

import (
	"context"
	"sync"
	"time"
)

// saveFanout is how many members are told at once of a change that must outlive the process.
const saveFanout = 3

// SaveSelf is SetSelf for a change that must outlive the process. It waits until the change
// is in the platform's table, or until a member knows it if the platform does not answer.
// It returns false if neither is the case within the given time; the change still spreads.
func (c *Controller) SaveSelf(ctx context.Context, within time.Duration, change func(*Member)) bool {
	if !c.changeSelf(change) {
		return true
	}
	c.RequestRound()
	timeout := c.Clock.After(within)
	platformUp := c.isPlatformUp()
	told := c.tellMembers(ctx, saveFanout)
	written := make(chan bool, 1)
	c.runAsync(func() { written <- c.writeChange(ctx) })
	known := false // to another member
	for written != nil || told != nil && !known {
		select {
		case ok := <-written:
			if ok {
				return true
			}
			written = nil
		case ok, open := <-told:
			known = known || ok
			if known && !platformUp {
				return true
			}
			if !open {
				told = nil
			}
		case <-timeout:
			return known
		}
	}
	return known
}

// writeChange writes the node's lease row, and reports whether the table has it. If not, it
// leaves the change to the lease loop.
func (c *Controller) writeChange(ctx context.Context) bool {
	err := c.Renew(ctx)
	if err != nil {
		signal(c.leaseRequests)
	}
	return err == nil
}

// isPlatformUp reports whether the platform answered the last request for the table.
func (c *Controller) isPlatformUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.view.platformUpSince.IsZero()
}

// tellMembers sends the node's own row to at most count other members. The returned channel
// gets the outcome of each exchange and is closed after the last one.
func (c *Controller) tellMembers(ctx context.Context, count int) <-chan bool {
	c.mu.Lock()
	addresses := c.peerAddresses()
	c.mu.Unlock()
	c.shuffle(addresses)
	addresses = addresses[:min(len(addresses), count)]
	outcomes := make(chan bool, len(addresses))
	var exchanges sync.WaitGroup
	for _, address := range addresses {
		exchanges.Add(1)
		c.runAsync(func() {
			defer exchanges.Done()
			outcomes <- c.exchange(ctx, address, changedAndOwnRow)
		})
	}
	c.runAsync(func() {
		exchanges.Wait()
		close(outcomes)
	})
	return outcomes
}
