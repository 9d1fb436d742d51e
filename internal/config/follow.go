package config

import (
	"context"
	"time"
)

// SourceFollowers is about how many nodes of a cluster follow a source for all of them.
const SourceFollowers = 12

const (
	// minFollowWait is the least time that one long poll of a source waits for a new
	// revision. A source that has stopped answering is noticed after that time, or earlier
	// if its connection fails. The mean wait grows by followWaitPerNode, up to
	// maxFollowWait: the polls of SourceFollowers nodes then still end twice a second.
	minFollowWait     = 2 * time.Second
	followWaitPerNode = 40 * time.Millisecond
	maxFollowWait     = 6 * time.Second
	// sourceSilence is how long a node that does not follow the source relies on those
	// that do without a sign that the source answers any of them. It exceeds one long
	// poll and the time in which an exchange reaches all nodes.
	sourceSilence = 4 * time.Second
	// followCheck is the mean interval at which such a node checks for sourceSilence.
	followCheck = 500 * time.Millisecond
	// followRetry is the mean wait before the next request to a source that failed, in a
	// cluster of up to SourceFollowers nodes. It grows with the number of nodes, so that all
	// nodes together make 30 requests/s at most to a source that is down.
	followRetry = 400 * time.Millisecond
)

// follow long-polls the source for one revision after another while this node has to. It
// logs once when the source is lost and once when it answers again.
func (c *Controller) follow(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		renew := c.mustRenew()
		if !c.mustFollow() && !renew {
			if lost {
				c.log.Info("source_regained", "revision", c.Number(), "through", "peers")
			}
			lost = false
			c.pauseAbout(ctx, c.followCheckWait())
			continue
		}
		wait := c.followWait()
		if renew {
			wait = renewWait
		}
		err := c.pullSource(ctx, wait)
		if renew {
			c.delayRenewal()
		}
		if err != nil && !lost {
			c.log.Warn("source_lost", "revision", c.Number(), "error", err)
		}
		if err == nil && lost {
			c.log.Info("source_regained", "revision", c.Number(), "through", "source")
		}
		lost = err != nil
		if lost {
			c.pauseAbout(ctx, c.followRetryDelay())
		}
	}
}

// followWait returns how long the next long poll of the source waits, in whole milliseconds
// as the wait is sent. A node that asks only because the followers are silent waits for the
// least time.
func (c *Controller) followWait() time.Duration {
	mean := minFollowWait
	if c.Nodes != nil && c.Follows != nil && c.Follows() {
		mean = min(max(mean, time.Duration(c.Nodes())*followWaitPerNode), maxFollowWait)
	}
	return c.limitWait(max(c.jitter(mean), minFollowWait)).Truncate(time.Millisecond)
}

// mustFollow reports whether this node has to ask the source itself.
func (c *Controller) mustFollow() bool {
	if c.Follows == nil || c.Follows() {
		return true
	}
	age, heard := c.SourceAge()
	return !heard || age > sourceSilence
}

// followRetryDelay returns the mean wait before the next request to a source that failed.
func (c *Controller) followRetryDelay() time.Duration {
	if c.Nodes == nil {
		return followRetry
	}
	return max(followRetry, followRetry*time.Duration(c.Nodes())/SourceFollowers)
}

// SourceAge returns how long ago the source answered this node or one that it heard from.
// The second result is false if it never did.
func (c *Controller) SourceAge() (age time.Duration, heard bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sourceHeard.IsZero() {
		return 0, false
	}
	return max(c.clock.Now().Sub(c.sourceHeard), 0), true
}

// ObserveSource records that the source answered another node some time ago.
func (c *Controller) ObserveSource(age time.Duration) {
	at := c.clock.Now().Add(-age)
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.sourceHeard) {
		c.sourceHeard = at
	}
}

// pullSource applies the newest revision that the source returns within wait.
func (c *Controller) pullSource(ctx context.Context, wait time.Duration) error {
	endPull := c.beginPull()
	sent := c.clock.Now()
	revision, err := c.Source(ctx, wait)
	waited := c.clock.Now().Sub(sent)
	if err == nil {
		c.ObserveSource(0)
		err = c.applyFromSource(revision)
	}
	alone := endPull()
	switch {
	case err != nil:
		return err
	case revision != nil:
		c.sourceBehind.Store(revision.Number < c.applied.Load())
		c.confirmFromSource(sent, revision.Number)
	case alone && wait > 0 && waited >= wait && !c.sourceBehind.Load():
		c.confirmFromSource(sent.Add(wait), c.applied.Load())
	}
	return nil
}

// applyFromSource brings a revision of the source into force unless it is nil or not newer.
func (c *Controller) applyFromSource(revision *Revision) error {
	if revision == nil || revision.Number <= c.Number() {
		return nil
	}
	c.raiseHighest(revision.Number)
	if !c.Offer(*revision) && c.Number() < revision.Number {
		return Invalid.New("revision %d of the source was refused", revision.Number)
	}
	return nil
}
