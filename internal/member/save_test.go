package member_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/plat"
)

// departedMS is the start time of the process of the target that departs in these tests.
const departedMS = 1_700_000_000_123

func setDeparture(self *member.Member) {
	self.TargetDepartures.StartedMS = departedMS
}

// requireDepartureKnown waits until node 0 is ready and requires that it knows of the
// departure a second later: members are asked after the platform has made the node ready.
func (c *cluster) requireDepartureKnown() {
	c.t.Helper()
	is := is.New(c.t)
	limit := 15 * time.Second
	is.True(c.run(limit, c.nodes[0].serves) < limit)
	c.advance(time.Second)
	is.Equal(c.nodes[0].member.Self().TargetDepartures.StartedMS, int64(departedMS))
}

// A node that is killed right after it has confirmed a departure of its target knows of it
// again once it is back and ready, from the platform or from other members.
func TestDepartureIsKnownAfterKill(t *testing.T) {
	down := plat.Faults{Down: true}
	scenarios := map[string]struct {
		before func(c *cluster)
		// killed is how many of the nodes are killed.
		killed int
	}{
		"store and members":             {func(*cluster) {}, 1},
		"store down":                    {func(c *cluster) { c.memory.SetFaults(down) }, 1},
		"store down, messages lost":     {func(c *cluster) { c.memory.SetFaults(down); c.lossRate = 0.2 }, 1},
		"no exchange, store alone":      {func(c *cluster) { c.blocked = func(string, string) bool { return true } }, 1},
		"all nodes killed, store alone": {func(*cluster) {}, nodes},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				is := is.New(t)
				c := newSettledCluster(t, seed, nodes)
				scenario.before(c)
				c.advance(fineTick)
				is.True(c.nodes[0].member.SaveSelf(context.Background(), time.Second, setDeparture))
				for i := range scenario.killed {
					c.nodes[i].alive = false
				}
				c.advance(time.Second)
				for i := range scenario.killed {
					c.start(i)
				}
				c.requireDepartureKnown()
			}
		})
	}
}

// The departure also outlives a planned stop, which deletes the node's row in the table.
func TestDepartureIsKnownAfterPlannedStop(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 1, nodes)
	is.True(c.nodes[0].member.SaveSelf(context.Background(), time.Second, setDeparture))
	c.nodes[0].member.Leave(context.Background())
	c.nodes[0].member.Depart(context.Background())
	c.nodes[0].alive = false
	c.advance(time.Second)
	c.start(0)
	c.requireDepartureKnown()
}

// SaveSelf reports that a change would not outlive the process if neither the platform nor a
// member could be told, and does not send a change that is none.
func TestSaveSelfReportsWhatIsNotSaved(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 1, 3)
	c.memory.SetFaults(plat.Faults{Down: true})
	c.blocked = func(string, string) bool { return true }
	is.True(!c.nodes[0].member.SaveSelf(context.Background(), time.Second, setDeparture))
	sent := c.sent
	is.True(c.nodes[0].member.SaveSelf(context.Background(), time.Second, setDeparture))
	is.Equal(c.sent, sent)
}
