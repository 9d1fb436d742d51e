package config_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

type (
	// liveCluster runs nodes that follow one source and exchange with each other, in
	// simulated time. It must be used within a synctest bubble.
	liveCluster struct {
		nodes    []*liveNode
		requests atomic.Int64
		running  sync.WaitGroup

		mu      sync.Mutex
		version int64
		// written is closed at the next write to the source.
		written chan struct{}
	}

	liveNode struct {
		*config.Controller
		cluster *liveCluster
		random  *rand.Rand
		lost    atomic.Bool
		stop    context.CancelFunc
		// seen is the version that the source last returned to this node.
		seen int64
	}
)

// meanExchangePause is the mean time between two exchanges of a node.
const meanExchangePause = 300 * time.Millisecond

var errLost = errors.New("the node is lost")

// startLiveCluster starts nodes, the first of which follow the source for all.
func startLiveCluster(ctx context.Context, size int, seed uint64) *liveCluster {
	c := &liveCluster{version: 1, written: make(chan struct{})}
	for i := range size {
		n := &liveNode{Controller: controller(plat.NewMemory().Store()), cluster: c, random: rand.New(rand.NewPCG(seed, uint64(i)))}
		n.Nodes = func() int { return size }
		n.Follows = func() bool { return i < config.SourceFollowers }
		n.Random = rand.New(rand.NewPCG(seed+1, uint64(i))).Float64
		n.Source = n.ask
		n.Fetch = n.fetch
		c.nodes = append(c.nodes, n)
	}
	for i, n := range c.nodes {
		running, stop := context.WithCancel(ctx)
		n.stop = stop
		c.running.Go(func() { n.Run(running) })
		c.running.Go(func() { n.exchangeWithOthers(running, i) })
	}
	return c
}

// ask is the source of a node.
func (n *liveNode) ask(ctx context.Context, wait time.Duration) (*config.Revision, error) {
	n.cluster.requests.Add(1)
	time.Sleep(answerTime)
	timeout := time.After(wait)
	for {
		n.cluster.mu.Lock()
		version, written := n.cluster.version, n.cluster.written
		n.cluster.mu.Unlock()
		if version > n.seen || wait == 0 {
			n.seen = version
			r := revision(version, strconv.FormatInt(version, 10))
			return &r, nil
		}
		select {
		case <-written:
		case <-timeout:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// fetch returns what the node at an address, which is its index, has in force.
func (n *liveNode) fetch(ctx context.Context, address string, plans []string) (*relaypb.FetchResponse, error) {
	index, err := strconv.Atoi(address)
	if err != nil {
		return nil, err
	}
	peer := n.cluster.nodes[index]
	if peer.lost.Load() {
		<-ctx.Done()
		return nil, errLost
	}
	return peer.HandleFetch(&relaypb.FetchRequest{Plans: plans}), nil
}

// exchangeWithOthers swaps what is known of the source with random nodes. An exchange with a
// lost node has no effect and does not delay the next one, as in package member.
func (n *liveNode) exchangeWithOthers(ctx context.Context, self int) {
	for len(n.cluster.nodes) > 1 && ctx.Err() == nil {
		time.Sleep(time.Duration((0.5 + n.random.Float64()) * float64(meanExchangePause)))
		other := (self + 1 + n.random.IntN(len(n.cluster.nodes)-1)) % len(n.cluster.nodes)
		if peer := n.cluster.nodes[other]; !peer.lost.Load() {
			n.observe(ctx, peer, other)
			peer.observe(ctx, n, self)
		}
	}
}

// observe takes what another node reports in an exchange.
func (n *liveNode) observe(ctx context.Context, peer *liveNode, index int) {
	if age, heard := peer.SourceAge(); heard {
		n.ObserveSource(age, peer.Number())
	}
	n.ObserveRevision(ctx, strconv.Itoa(index), peer.Number())
}

// write brings a newer version into force at the source.
func (c *liveCluster) write() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	close(c.written)
	c.written = make(chan struct{})
}

// loseFollowers ends the followers without a word to the others.
func (c *liveCluster) loseFollowers() {
	for _, n := range c.nodes[:config.SourceFollowers] {
		n.lost.Store(true)
		n.stop()
	}
}

// outdated returns how many of the nodes that are left have an older version than the source.
func (c *liveCluster) outdated() int {
	count := 0
	for _, n := range c.nodes {
		if !n.lost.Load() && n.Number() < c.version {
			count++
		}
	}
	return count
}

// While the followers work, the other nodes must hardly ask the source: in a cluster of any
// size, all nodes together make at most twice the requests that followers make with the
// shortest wait.
func TestHealthyClusterAsksTheSourceRarely(t *testing.T) {
	const (
		settled         = 10 * time.Second
		watched         = time.Minute
		shortestWait    = 2 * time.Second
		limitPerWatched = 2 * config.SourceFollowers * int64(watched/shortestWait)
	)
	for _, size := range []int{1, 12, 18, 36, 82, 194, 530} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				c := startLiveCluster(ctx, size, 1)
				defer c.running.Wait()
				defer stop()
				time.Sleep(settled)
				before := c.requests.Load()
				time.Sleep(watched)
				requests := c.requests.Load() - before
				t.Logf("%.1f requests/s", float64(requests)/watched.Seconds())
				is.True(requests <= limitPerWatched)
			})
		})
	}
}

// Guards against nodes that keep serving by an old revision after the loss of all nodes that
// followed the source for them: they must notice it themselves before a change is due.
func TestLossOfFollowersDoesNotDelayChanges(t *testing.T) {
	const (
		settled = 10 * time.Second
		// leases is about how long lost nodes still count as followers.
		leases = 30 * time.Second
		pause  = 100 * time.Millisecond
	)
	for _, test := range []struct {
		size int
		// limit is the time within which a revision has to be in force at every node.
		limit time.Duration
	}{
		{18, 2 * time.Second},
		{36, 2500 * time.Millisecond},
		{82, 2500 * time.Millisecond},
		{194, 3 * time.Second},
		{530, 4 * time.Second},
	} {
		for _, delay := range []time.Duration{0, 300 * time.Millisecond, time.Second, 5 * time.Second} {
			t.Run(strconv.Itoa(test.size)+" nodes, "+delay.String(), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					ctx, stop := context.WithCancel(t.Context())
					c := startLiveCluster(ctx, test.size, 1)
					defer c.running.Wait()
					defer stop()
					time.Sleep(settled)
					is.Equal(c.outdated(), 0)
					c.loseFollowers()
					time.Sleep(delay)
					for end := time.Now().Add(leases); time.Now().Before(end); time.Sleep(pause) {
						c.write()
						time.Sleep(test.limit)
						is.Equal(c.outdated(), 0) // nodes with an old revision
					}
				})
			})
		}
	}
}
