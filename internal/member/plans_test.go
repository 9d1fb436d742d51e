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
	// planBytesPerSecond is the limit for plan versions: a quarter of the 19 KB/s that a
	// node may use.
	planBytesPerSecond = 4750
)

func serviceName(i int) string { return fmt.Sprintf("service_%02d", i) }

// newPlannedCluster returns a settled cluster in which all nodes know the plans of 54
// services.
func newPlannedCluster(t *testing.T, seed uint64) *cluster {
	is := is.New(t)
	c := newSettledCluster(t, seed, nodes)
	for i := range plannedServices {
		_, err := c.nodes[i%nodes].config.CommitPlan(context.Background(), serviceName(i), []byte("one"), 0)
		is.NoErr(err)
	}
	limit := 20 * time.Second
	is.True(c.run(limit, c.all(knowsPlans)) < limit)
	c.advance(20 * time.Second) // until no change is left to send
	return c
}

func knowsPlans(n *node) bool {
	return len(n.config.Plans()) == plannedServices
}

func TestPlanVersionsStayWithinByteLimit(t *testing.T) {
	is := is.New(t)
	c := newPlannedCluster(t, 1)
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
	c.advance(seconds * time.Second)
	rate := bytes / seconds / nodes
	t.Logf("%d bytes per second and node", rate)
	is.True(rate > 0)
	is.True(rate < planBytesPerSecond)
}

func TestChangedPlanReachesAllNodesInTime(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		c := newPlannedCluster(t, seed)
		c.lossRate = 0.1
		before := c.nodes[3].config.Plans()[0]
		version, err := c.nodes[3].config.CommitPlan(context.Background(), before.GetService(), []byte("two"), before.GetVersion())
		is.NoErr(err)
		took := c.run(time.Minute, c.all(func(n *node) bool {
			_, known := n.config.Plan(before.GetService())
			return known == version
		}))
		t.Logf("seed %d: known after %s", seed, took)
		is.True(took < revisionLimit)
	}
}

// The view hash does not cover plans, so it does not show that a node missed the change of
// a plan, as a node behind a broken link does. The node must learn of it by the rotation.
func TestMissedPlanArrivesByRotation(t *testing.T) {
	is := is.New(t)
	c := newPlannedCluster(t, 2)
	c.blocked = func(from, to string) bool { return from == c.nodes[0].address || to == c.nodes[0].address }
	before := c.nodes[3].config.Plans()[0]
	version, err := c.nodes[3].config.CommitPlan(context.Background(), before.GetService(), []byte("two"), before.GetVersion())
	is.NoErr(err)
	c.advance(20 * time.Second)
	_, known := c.nodes[0].config.Plan(before.GetService())
	is.True(known < version) // it missed the change
	c.blocked = func(string, string) bool { return false }
	took := c.run(time.Minute, func() bool {
		_, known := c.nodes[0].config.Plan(before.GetService())
		return known == version
	})
	t.Logf("known after %s", took)
	is.True(took < 10*time.Second) // the same limit as for views after a partition
}

// A node becomes active only once it knows the owners. Its start would take seconds longer
// if it had to wait for the rotation to bring all plans.
func TestStartingNodeLearnsAllPlansInTwoRounds(t *testing.T) {
	const twoRounds = 900 * time.Millisecond // a round takes at most 450 ms with jitter
	is := is.New(t)
	c := newPlannedCluster(t, 3)
	c.start(5)
	c.nodes[5].member.SetSelf(func(self *member.Member) { self.State = member.Starting })
	took := c.run(time.Minute, func() bool { return knowsPlans(c.nodes[5]) })
	t.Logf("known after %s", took)
	is.True(took < twoRounds)
}
