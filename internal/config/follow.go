package config

import (
	"context"
	"math"
	"time"
)

// SourceFollowers is about how many nodes of a cluster follow a source for all of them.
const SourceFollowers = 12

const (
	// minFollowWait is the least time that one long poll of a source waits for a new
	// revision. A source that has stopped answering is noticed after that time, or earlier
	// if its connection fails. The mean wait grows by followWaitPerNode, up to
	// maxFollowWait: with longer waits, the other nodes would hear of an answer so seldom that
	// they asked more often than the followers save.
	minFollowWait     = 2 * time.Second
	followWaitPerNode = 40 * time.Millisecond
	maxFollowWait     = 3 * time.Second
	// sourceSilence is how long a node that does not follow the source relies on those that
	// do without a sign that the source answers any of them; then it asks the source itself.
	// Signs take longer to spread in a larger cluster, so silencePerDoubling is added for each
	// time that the cluster is twice as large as SourceFollowers, and silenceSpread at most at
	// random: the answer to the first node that asks reaches others before they ask.
	sourceSilence      = 850 * time.Millisecond
	silencePerDoubling = 300 * time.Millisecond
	silenceSpread      = 500 * time.Millisecond
	// askWait is the wait of a long poll that only asks whether there is a newer revision.
	askWait = time.Millisecond
	// followCheck is the longest mean wait until such a node checks again whether it has to
	// ask, and minFollowCheck the shortest wait.
	followCheck    = 500 * time.Millisecond
	minFollowCheck = 10 * time.Millisecond
	// followRetry is the mean wait before the next request to a source that failed, in a
	// cluster of up to SourceFollowers nodes. It grows with the number of nodes, so that all
	// nodes together make 30 requests/s at most to a source that is down.
	followRetry = 400 * time.Millisecond
)

// follow asks the source for one revision after another while this node has to. It logs
// once when the source is lost and once when it answers again.
func (c *Controller) follow(ctx context.Context) {
	lost := false
	c.silenceDue = c.silenceAge()
	for ctx.Err() == nil {
		wait, due := c.nextPull()
		if !due {
			if lost {
				c.log.Info("source_regained", "revision", c.Number(), "through", "peers")
			}
			lost = false
			_ = c.pause(ctx, c.followCheckWait()) // the loop checks the context
			continue
		}
		err := c.pullSource(ctx, wait)
		if wait == askWait { // a renewal, or as good as one
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

// nextPull returns how long the next request to the source waits for a new revision. It
// reports false if this node leaves the source to others for now.
func (c *Controller) nextPull() (wait time.Duration, due bool) {
	renew := c.mustRenew()
	switch {
	case renew:
		return askWait, true
	case c.Follows == nil || c.Follows():
		return c.followWait(), true
	case c.untilSilent() <= 0:
		c.silenceDue = c.silenceAge()
		return askWait, true
	}
	return 0, false
}

// followWait returns how long the next long poll of a follower waits, in whole milliseconds
// as the wait is sent.
func (c *Controller) followWait() time.Duration {
	mean := minFollowWait
	if c.Nodes != nil && c.Follows != nil {
		mean = min(max(mean, time.Duration(c.Nodes())*followWaitPerNode), maxFollowWait)
	}
	return c.limitWait(max(c.jitter(mean), minFollowWait)).Truncate(time.Millisecond)
}

// untilSilent returns how much longer this node relies on the followers of the source.
func (c *Controller) untilSilent() time.Duration {
	age, heard := c.SourceAge()
	if !heard {
		return 0
	}
	return c.silenceDue - age
}

// silenceAge returns the age of the last answer of the source after which a node that does
// not follow it asks itself.
func (c *Controller) silenceAge() time.Duration {
	age := sourceSilence + time.Duration(c.Random()*float64(silenceSpread))
	if c.Nodes != nil {
		doublings := math.Log2(max(1, float64(c.Nodes())/SourceFollowers))
		age += time.Duration(doublings * float64(silencePerDoubling))
	}
	return age
}

// followCheckWait returns how long a node waits that leaves the source to others.
func (c *Controller) followCheckWait() time.Duration {
	wait := c.jitter(followCheck)
	if c.Revoke > 0 {
		wait = min(wait, c.jitter(share(c.Revoke, renewCheckShare)))
	}
	return max(min(wait, c.untilSilent()), minFollowCheck)
}

// followRetryDelay returns the mean wait before the next request to a source that failed.
func (c *Controller) followRetryDelay() time.Duration {
	if c.Nodes == nil {
		return followRetry
	}
	return max(followRetry, followRetry*time.Duration(c.Nodes())/SourceFollowers)
}

// SourceAge returns how long ago the source answered this node, or one that it heard from,
// with no revision above the one in force here. The second result is false if it never did.
func (c *Controller) SourceAge() (age time.Duration, heard bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sourceHeard.IsZero() {
		return 0, false
	}
	return max(c.clock.Now().Sub(c.sourceHeard), 0), true
}

// ObserveSource records that the source answered another node, which has the given revision,
// some time ago. It counts only if this node has that revision in force: the revision has yet
// to be fetched otherwise, and the node that has it may be lost.
func (c *Controller) ObserveSource(age time.Duration, number int64) {
	if c.applied.Load() < number {
		return
	}
	c.heardSource(c.clock.Now().Add(-age))
}

// heardSource raises sourceHeard.
func (c *Controller) heardSource(at time.Time) {
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
		err = c.applyFromSource(revision)
		c.heardSource(sent.Add(waited))
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
