package config

import (
	"context"
	"slices"
	"time"
)

const (
	// bootPeers is the number of peers that must give a booting node their revision
	// before the node takes the highest one.
	bootPeers = 3
	// bootPeerTimeout is how long a booting node waits for peers that do not answer.
	// While the platform is down no lease expires, so a dead host remains in the list of
	// peers and must not keep other nodes from starting.
	bootPeerTimeout = 10 * time.Second
	// bootPlatformHeadStart is the mean time that a booting node gives the platform to
	// answer before it asks peers. The platform normally answers within milliseconds.
	bootPlatformHeadStart = 200 * time.Millisecond
	// bootInterval is the mean wait between two attempts to boot.
	bootInterval = 500 * time.Millisecond
)

// Boot obtains the revision in force before the node takes work, or returns when the
// context ends. It asks the platform, and after a short time peers as well. The function
// peers returns the relay addresses of the peers known so far, if any.
func (c *Controller) Boot(ctx context.Context, peers func() []string) error {
	start := c.clock.Now()
	polls := make(chan error, 1)
	polling := false
	for {
		if !polling {
			polling = true
			go func() { polls <- c.Poll(ctx) }()
		}
		var storeErr error = NoRevision.New("the platform has not answered yet")
		select {
		case storeErr = <-polls:
			polling = false
			if storeErr == nil && (c.Number() >= c.highest.Load() || c.clock.Now().Sub(start) >= bootPeerTimeout) {
				return nil
			}
			if storeErr == nil {
				storeErr = NoRevision.New("peers have a newer revision than the platform")
			}
		case <-c.clock.After(c.jitter(bootPlatformHeadStart)):
		case <-ctx.Done():
			return ctx.Err()
		}
		requireQuorum := c.clock.Now().Sub(start) < bootPeerTimeout
		if c.bootFromPeers(ctx, peers(), requireQuorum, storeErr) == nil {
			return nil
		}
		if !polling {
			c.pauseAbout(ctx, bootInterval)
		}
	}
}

// BootOnce obtains the revision in force from the platform if it answers, otherwise the
// highest one of several peers: bootPeers of them, which is three, or all if fewer are
// known. It returns NoRevision if too few peers have a revision. The platform's answer
// that no revision exists yet is valid; a peer without a revision does not count. Without
// requireQuorum one peer is enough.
func (c *Controller) BootOnce(ctx context.Context, peers []string, requireQuorum bool) error {
	storeErr := c.Poll(ctx)
	if storeErr == nil {
		return nil
	}
	return c.bootFromPeers(ctx, peers, requireQuorum, storeErr)
}

func (c *Controller) bootFromPeers(ctx context.Context, peers []string, requireQuorum bool, storeErr error) error {
	answered := c.askPeers(ctx, peers)
	enough := 1
	if requireQuorum {
		enough = max(1, min(bootPeers, len(peers)))
	}
	if answered >= enough && c.Number() >= c.highest.Load() {
		return nil
	}
	return NoRevision.Wrap(storeErr, "%d of %d peers gave a revision", answered, len(peers))
}

// askPeers fetches from peers in random order until bootPeers of them have returned a
// revision, and returns how many did.
func (c *Controller) askPeers(ctx context.Context, peers []string) (answered int) {
	peers = slices.Clone(peers)
	for i := len(peers) - 1; i > 0; i-- {
		j := min(int(c.Random()*float64(i+1)), i)
		peers[i], peers[j] = peers[j], peers[i]
	}
	for _, peer := range peers {
		if answered >= bootPeers || ctx.Err() != nil {
			break
		}
		if number, err := c.fetch(ctx, peer, nil); err == nil && number > 0 {
			answered++
		}
	}
	return answered
}
