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

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// confirmCase is a cluster in simulated time that follows one source. Each message may take
// any time, in which the operator may write.
type confirmCase struct {
	t     *rapid.T
	clock *steppedClock
	nodes []*config.Controller
	// written holds when each version was confirmed to the operator, from version 1 on, and
	// seen the version that each node's source last returned.
	written []time.Time
	seen    []int
	// overlapping is set while one request of a node to the source runs inside another.
	overlapping bool
}

const (
	revoke = 5 * time.Second
	// answerTime is below a millisecond. The wait of a long poll is sent in milliseconds, and a
	// fast answer must not come before the wait that was asked for is over.
	answerTime = 100 * time.Microsecond
	// maxAddedRequests is a twentieth of the 2,000 reads/s that the platform serves.
	maxAddedRequests = 100
)

// newConfirmCase returns a cluster in which one version is unreadable.
func newConfirmCase(t *rapid.T, size int, unreadable string) *confirmCase {
	c := &confirmCase{t: t, clock: &steppedClock{now: time.UnixMilli(1_700_000_000_000)}, seen: make([]int, size)}
	c.written = append(c.written, c.clock.now)
	parse := func(document []byte) (*schema.Set, error) {
		if string(document) == unreadable {
			return nil, errors.New("unreadable")
		}
		return &schema.Set{}, nil
	}
	for i := range size {
		n := config.New(plat.NewMemory().Store(), parse, c.clock, hclog.NewNullLogger())
		n.Revoke = revoke
		n.Source = func(_ context.Context, wait time.Duration) (*config.Revision, error) { return c.answer(i, wait), nil }
		c.nodes = append(c.nodes, n)
	}
	return c
}

// oneIn reports true once in n times on average.
func (c *confirmCase) oneIn(n int) bool {
	return rapid.IntRange(1, n).Draw(c.t, "one in") == n
}

// pass lets time pass, after a write now and then.
func (c *confirmCase) pass() {
	if c.oneIn(8) {
		c.written = append(c.written, c.clock.now)
	}
	c.clock.now = c.clock.now.Add(rapid.SampledFrom([]time.Duration{0, 0, 10 * time.Millisecond, time.Second, 7 * time.Second}).Draw(c.t, "delay"))
}

// answer is the source of node i. It reports a version once, as a feed does, and otherwise
// ends after the wait or earlier. Another request of the node may run to its end before this
// one's answer is used.
func (c *confirmCase) answer(i int, wait time.Duration) *config.Revision {
	c.pass()
	if len(c.written) == c.seen[i] && !c.oneIn(4) {
		c.clock.now = c.clock.now.Add(wait)
	}
	newest := len(c.written)
	news := newest > c.seen[i] || wait == 0
	c.seen[i] = newest
	if !c.overlapping && c.oneIn(4) {
		c.overlapping = true
		c.pass()
		c.pull(i)
		c.overlapping = false
		c.check()
	}
	c.pass()
	if !news {
		return nil
	}
	r := revision(int64(newest), strconv.Itoa(newest))
	return &r
}

// pull lets node i make one long poll.
func (c *confirmCase) pull(i int) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	n := c.nodes[i]
	source := n.Source
	n.Source = func(ctx context.Context, wait time.Duration) (*config.Revision, error) {
		stop()
		return source(ctx, wait)
	}
	n.Run(ctx)
	n.Source = source
}

// check fails the test if a node takes its revision for the newest although a newer one was
// confirmed longer than revoke ago.
func (c *confirmCase) check() {
	for _, n := range c.nodes {
		confirmed, number := n.Confirmed(), int(n.Number())
		if confirmed && number < len(c.written) && c.clock.now.Sub(c.written[number]) > revoke {
			c.t.Fatal("an outdated revision counts as confirmed")
		}
	}
}

// learnFrom lets a node ask another one, as an exchange does.
func learnFrom(n, peer *config.Controller, now func() time.Time, pass func()) {
	sent := now()
	pass()
	if age, heard := peer.SourceAge(); heard {
		n.ObserveSource(age, peer.Number())
	}
	age, number := peer.ConfirmedAgeMS(), peer.Number()
	pass()
	if age != nil {
		n.ObserveConfirmed(sent.Add(-time.Duration(*age)*time.Millisecond), number)
	}
}

// A node must not take its revision for the newest later than Revoke after a newer one was
// confirmed, whatever order writes, polls, exchanges, delays and freezes come in. A revision
// that cannot be read counts as newer.
func TestRevisionIsNotConfirmedAfterRevoke(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newConfirmCase(t, 3, strconv.Itoa(rapid.IntRange(0, 6).Draw(t, "unreadable")))
		index := rapid.IntRange(0, len(c.nodes)-1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := index.Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				_ = c.nodes[i].Poll(context.Background())
			case 1:
				c.pull(i)
			case 2, 3:
				learnFrom(c.nodes[i], c.nodes[index.Draw(t, "peer")], c.clock.Now, c.pass)
			case 4:
				c.pass()
			}
			c.check()
		}
	})
}

// While the source is healthy, nodes must stay clear of the bound, and the requests that this
// adds must be few for the platform, whatever the size of the cluster. The cluster is idle,
// which is the worst case, since answers to calls carry the age as well. Without Revoke,
// there must be no age to send.
func TestHealthySourceKeepsNodesConfirmed(t *testing.T) {
	for _, size := range []int{1, 3, 24, 120, 530} {
		is := is.New(t)
		without, age := idleCluster(t, size, 0)
		is.Equal(age, time.Duration(0))
		with, oldest := idleCluster(t, size, revoke)
		t.Logf("%d nodes: %.1f requests/s without Revoke, %.1f with, oldest confirmation %v", size, without, with, oldest)
		is.True(oldest > 0)
		is.True(oldest < 8*revoke/10)
		is.True(with-without < maxAddedRequests)
	}
}

// idleCluster runs nodes that exchange with a random other one every 300 ms. It returns the
// requests to the source in a second and the greatest age of a confirmation.
func idleCluster(t *testing.T, size int, revoke time.Duration) (rate float64, oldest time.Duration) {
	const seconds = 60
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(context.Background(), seconds*time.Second)
		defer stop()
		var requests atomic.Int64
		var running sync.WaitGroup
		nodes := make([]*config.Controller, size)
		for i := range nodes {
			nodes[i] = newIdleNode(i, size, revoke, &requests)
			is.New(t).NoErr(nodes[i].Poll(ctx))
		}
		for i, n := range nodes {
			random := rand.New(rand.NewPCG(2, uint64(i)))
			running.Go(func() { n.Run(ctx) })
			running.Go(func() {
				for ; ctx.Err() == nil && size > 1; time.Sleep(time.Duration((0.15 + 0.3*random.Float64()) * float64(time.Second))) {
					learnFrom(n, nodes[(i+1+random.IntN(size-1))%size], time.Now, func() {})
				}
			})
		}
		for ctx.Err() == nil {
			for _, n := range nodes {
				age, _ := n.ConfirmedAge()
				oldest = max(oldest, age)
			}
			time.Sleep(100 * time.Millisecond)
		}
		rate = float64(requests.Load()-int64(size)) / seconds
		running.Wait()
	})
	return rate, oldest
}

func newIdleNode(i, size int, revoke time.Duration, requests *atomic.Int64) *config.Controller {
	n := controller(plat.NewMemory().Store())
	n.Revoke = revoke
	n.Random = rand.New(rand.NewPCG(1, uint64(i))).Float64
	n.Nodes = func() int { return size }
	n.Follows = func() bool { return i < config.SourceFollowers }
	n.Source = func(_ context.Context, wait time.Duration) (*config.Revision, error) {
		requests.Add(1)
		time.Sleep(wait.Truncate(time.Millisecond) + answerTime)
		if wait > 0 {
			return nil, nil
		}
		r := revision(1, "1")
		return &r, nil
	}
	return n
}

// While the source answers but cannot confirm the revision, as when the newest one cannot be
// read, nodes must not ask it again at once. Together they make no more requests than to a
// source that is down.
func TestUnconfirmedNodesDoNotFloodTheSource(t *testing.T) {
	const seconds = 200
	for _, nodes := range []int{12, 194, 530} {
		f := newFollowCase(nodes, false, nil)
		f.controller.Revoke = revoke
		f.run(seconds*time.Second, func(time.Duration) { f.controller.ObserveSource(0, 0) })
		is.New(t).True(float64(len(f.polls)*nodes)/seconds < 45)
	}
}

// Guards against a source that came back older: that it has no news does not confirm the
// revision that this node got before, since versions after that one may have been lost too.
func TestOlderSourceConfirmsNothing(t *testing.T) {
	is := is.New(t)
	clk := &steppedClock{now: time.UnixMilli(1_700_000_000_000)}
	parse := func([]byte) (*schema.Set, error) { return &schema.Set{}, nil }
	n := config.New(plat.NewMemory().Store(), parse, clk, hclog.NewNullLogger())
	n.Revoke = revoke
	is.True(n.Offer(revision(2, "2")))
	ctx, stop := context.WithCancel(context.Background())
	n.Source = func(_ context.Context, wait time.Duration) (*config.Revision, error) {
		if wait == 0 {
			older := revision(1, "1")
			return &older, nil
		}
		stop()
		clk.now = clk.now.Add(wait)
		return nil, nil
	}
	is.NoErr(n.Poll(ctx))
	n.Run(ctx)
	_, ever := n.ConfirmedAge()
	is.True(!ever)
}
