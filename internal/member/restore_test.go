package member_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

type (
	// timerClock moves only when a test advances it, and then fires the timers that are due.
	timerClock struct {
		mu     sync.Mutex
		now    time.Time
		timers []timer
	}

	timer struct {
		at    time.Time
		fired chan time.Time
	}
)

func (c *timerClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *timerClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := timer{c.now.Add(d), make(chan time.Time, 1)}
	c.timers = append(c.timers, t)
	return t.fired
}

func (c *timerClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	var waiting []timer
	for _, t := range c.timers {
		if t.at.After(c.now) {
			waiting = append(waiting, t)
			continue
		}
		t.fired <- c.now
	}
	c.timers = waiting
}

// waiting returns the number of timers that have not fired.
func (c *timerClock) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

// After a restore a node writes its row within a second, not only at its next renewal 9 s
// later, and it does so once. Until then a departure that was confirmed is in no table.
func TestRowIsWrittenAgainSoonAfterARestore(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	clk := &timerClock{now: time.UnixMilli(1_700_000_000_000)}
	memory := plat.NewMemory()
	row := sampleRow(0)
	c := member.New(row, memory.Store(), clk, hclog.NewNullLogger())
	c.Send = func(context.Context, string, *relaypb.ExchangeRequest) (*relaypb.ExchangeResponse, error) {
		return nil, errLost
	}
	copied := memory.Copy() // without the row
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		c.Run(ctx)
	}()
	version := func() int64 {
		found, err := memory.Store().Get(ctx, "members", row.Name)
		is.NoErr(err)
		return found.Version
	}
	const loops = 2
	for clk.waiting() < loops { // the first row is written
		time.Sleep(time.Millisecond)
	}
	is.True(version() > 0)
	memory.Restore(copied)
	is.True(c.Refresh(ctx) != nil) // notices the restore
	const step = 20 * time.Millisecond
	for passed := time.Duration(0); passed < time.Second; passed += step {
		clk.advance(step)
		time.Sleep(time.Millisecond)
	}
	for tries := 0; version() == 0 && tries < 1000; tries++ {
		time.Sleep(time.Millisecond)
	}
	is.Equal(version(), plat.JoinVersion(1, 1)) // the first and only write since
	cancel()
	<-stopped
}

// restore takes the platform down for a moment and brings it back from a copy.
func (c *cluster) restore(copied plat.Copy) {
	c.memory.SetFaults(plat.Faults{Down: true})
	c.advance(time.Second)
	c.memory.Restore(copied)
	c.memory.SetFaults(plat.Faults{})
}

// A confirmed departure stays in force although the platform comes back from a copy that
// does not have it: the node keeps it when it reads its former row, and writes it again, so
// that it is known even after all nodes were killed.
func TestDepartureOutlivesARestoreOfThePlatform(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 1, nodes)
	copied := c.memory.Copy()
	is.True(c.nodes[0].member.SaveSelf(context.Background(), time.Second, setDeparture))
	c.restore(copied)
	c.advance(20 * time.Second) // each node has renewed its lease
	is.Equal(c.nodes[0].member.Self().TargetDepartures.StartedMS, int64(departedMS))
	for i := range nodes {
		c.nodes[i].alive = false
	}
	c.advance(time.Second)
	c.start(0)
	c.requireDepartureKnown()
}

// A departure that is being saved while the platform is restored is saved in what comes
// back, since the node that is told of the restore writes it there.
func TestDepartureIsSavedDuringARestore(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 1, 3)
	c.blocked = func(string, string) bool { return true }
	c.memory.Restore(c.memory.Copy())
	is.True(c.nodes[0].member.SaveSelf(context.Background(), time.Second, setDeparture))
	row, err := c.memory.Store().Get(context.Background(), "members", "node-0000")
	is.NoErr(err)
	is.True(len(row.Value) > 0)
	c.nodes[0].alive = false
	c.start(0)
	c.requireDepartureKnown()
}

// A row of the copy does not show that its node lives. Else a host that was lost would be
// sent calls again after a restore, and no member may lapse because its row was lost.
func TestRowsOfTheCopyProveNoPresence(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 1, 10)
	copied := c.memory.Copy()
	c.nodes[3].alive = false
	c.advance(time.Minute)
	present := func() int { return len(c.nodes[0].member.All()) }
	is.Equal(present(), 9) // the lost host has lapsed
	c.restore(copied)
	for range 60 {
		c.advance(time.Second)
		is.Equal(present(), 9)
	}
	is.Equal(c.nodes[0].member.Self().State, member.Active)
}

// A node that was stopped has deleted its row, and the copy has it again. Other members
// delete it, or every node that starts would take the stopped one for present.
func TestRowOfAGoneMemberIsDeletedAgain(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(t, 1, 5)
	copied := c.memory.Copy()
	leaver := c.nodes[2]
	leaver.member.Leave(context.Background())
	leaver.member.Depart(context.Background())
	leaver.alive = false
	c.advance(5 * time.Second)
	c.restore(copied)
	c.tick = coarseTick
	c.advance(11 * time.Minute)
	row, err := c.memory.Store().Get(context.Background(), "members", "node-0002")
	is.NoErr(err)
	is.Equal(row.Version, int64(0))
}
