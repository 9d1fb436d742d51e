package member_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

const (
	plannedServices = 54
	// planBytesPerSecond is a quarter of the 19 KB/s that a node may use.
	planBytesPerSecond = 4750
)

func service(i int) string { return fmt.Sprintf("service_%02d", i) }

// planned returns a settled cluster in which all know the plans of 54 services.
func planned(t *testing.T, seed uint64) *cluster {
	is := is.New(t)
	c := settled(t, seed, nodes)
	for i := range plannedServices {
		_, err := c.nodes[i%nodes].config.CommitPlan(context.Background(), service(i), []byte("one"), 0)
		is.NoErr(err)
	}
	limit := 20 * time.Second
	is.True(c.run(limit, c.all(knowsPlans)) < limit)
	c.pass(20 * time.Second) // until nothing is news
	return c
}

func knowsPlans(n *node) bool {
	return len(n.config.Plans()) == plannedServices
}

func TestPlansTakeAQuarterOfTheBytesAtMost(t *testing.T) {
	is := is.New(t)
	c := planned(t, 1)
	bytes := 0
	count := func(plans []*relaypb.PlanVersion) {
		bytes += 2 * proto.Size(&relaypb.ExchangeResponse{Plans: plans}) // sent and received
	}
	for _, n := range c.nodes {
		send := n.member.Send
		n.member.Send = func(ctx context.Context, address string, req *relaypb.ExchangeRequest) (*relaypb.ExchangeResponse, error) {
			resp, err := send(ctx, address, req)
			count(req.GetPlans())
			count(resp.GetPlans())
			return resp, err
		}
	}
	const seconds = 30
	c.pass(seconds * time.Second)
	rate := bytes / seconds / nodes
	t.Logf("%d bytes a second and node", rate)
	is.True(rate > 0)
	is.True(rate < planBytesPerSecond)
}

func TestChangedPlanIsKnownEverywhereWithinSeconds(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		c := planned(t, seed)
		c.loss = 0.1
		before := c.nodes[3].config.Plans()[0]
		version, err := c.nodes[3].config.CommitPlan(context.Background(), before.GetService(), []byte("two"), before.GetVersion())
		is.NoErr(err)
		took := c.run(time.Minute, c.all(func(n *node) bool {
			_, known := n.config.Plan(before.GetService())
			return known == version
		}))
		t.Logf("seed %d: known after %s", seed, took)
		is.True(took < inForceWithin)
	}
}

// The hash of the views does not tell that a node missed the news of a plan, as
// one behind a broken link does; the turn brings it.
func TestMissedPlanIsHeardOfLater(t *testing.T) {
	is := is.New(t)
	c := planned(t, 2)
	c.cut = func(from, to string) bool { return from == c.nodes[0].address || to == c.nodes[0].address }
	before := c.nodes[3].config.Plans()[0]
	version, err := c.nodes[3].config.CommitPlan(context.Background(), before.GetService(), []byte("two"), before.GetVersion())
	is.NoErr(err)
	c.pass(20 * time.Second)
	_, known := c.nodes[0].config.Plan(before.GetService())
	is.True(known < version) // it missed the news
	c.cut = func(string, string) bool { return false }
	took := c.run(time.Minute, func() bool {
		_, known := c.nodes[0].config.Plan(before.GetService())
		return known == version
	})
	t.Logf("known after %s", took)
	is.True(took < 10*time.Second) // as views after a partition
}

// A node becomes active only once it knows the owners, so a start would take
// seconds longer if it had to wait for its turns.
func TestStartingNodeLearnsAllPlansInTwoRounds(t *testing.T) {
	const twoRounds = 900 * time.Millisecond // each 450 ms at most
	is := is.New(t)
	c := planned(t, 3)
	c.start(5)
	c.nodes[5].member.SetSelf(func(self *member.Member) { self.State = member.Starting })
	took := c.run(time.Minute, func() bool { return knowsPlans(c.nodes[5]) })
	t.Logf("known after %s", took)
	is.True(took < twoRounds)
}
