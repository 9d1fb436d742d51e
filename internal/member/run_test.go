package member_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// fastClock runs a hundred times as fast as the clock of the host.
type fastClock struct{ start time.Time }

const clockSpeed = 100

func (c fastClock) Now() time.Time { return c.start.Add(clockSpeed * time.Since(c.start)) }

func (c fastClock) After(d time.Duration) <-chan time.Time { return time.After(d / clockSpeed) }

// TestRunInGoroutines runs the loops in goroutines as a node does, for the race detector:
// five nodes find each other, one leaves and departs, and the others learn of it.
func TestRunInGoroutines(t *testing.T) {
	is := is.New(t)
	const size = 5
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	memory := plat.NewMemory()
	clk := fastClock{start: time.Now()}
	changed := make(chan struct{}, 1)
	controllers := make(map[string]*member.Controller)
	for i := range size {
		row := sampleRow(i)
		c := member.New(row, memory.Store(), clk, hclog.NewNullLogger())
		c.OnChange = func() {
			select {
			case changed <- struct{}{}:
			default:
			}
		}
		c.Send = func(_ context.Context, address string, req *relaypb.ExchangeRequest) (*relaypb.ExchangeResponse, error) {
			to, ok := controllers[address]
			if !ok {
				return nil, errors.New("no such address")
			}
			return to.HandleExchange(req), nil
		}
		controllers[row.RelayAddress] = c
	}
	var loops sync.WaitGroup
	for _, c := range controllers {
		loops.Go(func() { c.Run(ctx) })
	}
	waitFor := func(what string, members int, skip *member.Controller) {
		for {
			agree := true
			for _, c := range controllers {
				agree = agree && (c == skip || c.Ready() && len(c.All()) == members)
			}
			if agree {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				t.Fatal(fmt.Sprint("timed out waiting for ", what))
			}
		}
	}
	waitFor("all nodes", size, nil)
	leaver := controllers[sampleRow(0).RelayAddress]
	leaver.Leave(ctx)
	leaver.Depart(ctx)
	waitFor("the departure", size-1, leaver)
	row, err := memory.Store().Get(ctx, "members", leaver.Self().Name)
	is.NoErr(err)
	is.Equal(row.Version, int64(0)) // the lease row is deleted
	cancel()
	loops.Wait()
}

// The platform allows all nodes together some reads and writes a second, and each costs: a
// node of a large cluster lists the members and renews its lease less often.
func TestStoreLoadOfALargeClusterIsBounded(t *testing.T) {
	for _, test := range []struct{ size, mostReads, mostWrites int64 }{
		{12, 12, 14},
		{194, 7, 8},
		{530, 5, 4},
	} {
		t.Run(fmt.Sprint(test.size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const simulated = 90 * time.Second // within one lease, since no member answers
				memory := plat.NewMemory()
				runInCluster(int(test.size), memory, simulated)
				stats := memory.Stats()
				is.True(stats.Reads >= 3) // the start, and its repetitions
				is.True(stats.Reads <= test.mostReads)
				is.True(stats.Writes >= 1)
				is.True(stats.Writes <= test.mostWrites)
			})
		})
	}
}

// runInCluster runs a member that knows the others of its cluster, none of which answers. It
// must be called within a synctest bubble.
func runInCluster(size int, memory *plat.Memory, simulated time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), simulated)
	defer cancel()
	c := member.New(sampleRow(0), memory.Store(), clock.System{}, hclog.NewNullLogger())
	c.Send = func(context.Context, string, *relaypb.ExchangeRequest) (*relaypb.ExchangeResponse, error) {
		return nil, errors.New("no answer")
	}
	for i := 1; i < size; i++ {
		row := sampleRow(i)
		message := &relaypb.Member{Name: row.Name, Incarnation: row.Incarnation, StartedMs: row.StartedMS, Version: row.Version, RelayAddress: row.RelayAddress, State: uint32(member.Active)}
		c.HandleExchange(&relaypb.ExchangeRequest{From: row.RelayAddress, Deltas: []*relaypb.Member{message}})
	}
	c.Run(ctx)
}

// While the platform is down, a node that left and restarts knows no other members and
// accepts no work until a member contacts it. The test guards against a slow return: in a
// small cluster every node must probe a recently gone member in nearly every round.
func TestRecentlyGoneMembersAreProbedOften(t *testing.T) {
	is := is.New(t)
	const size = 12
	clk := &manualClock{now: time.UnixMilli(1_700_000_000_000)}
	c := member.New(sampleRow(0), plat.NewMemory().Store(), clk, hclog.NewNullLogger())
	c.Go = func(work func()) { work() }
	probes := map[string]int{}
	c.Send = func(_ context.Context, address string, _ *relaypb.ExchangeRequest) (*relaypb.ExchangeResponse, error) {
		probes[address]++
		return nil, errors.New("no answer")
	}
	for i := 1; i < size; i++ {
		row := sampleRow(i)
		message := &relaypb.Member{
			Name: row.Name, Incarnation: row.Incarnation, StartedMs: row.StartedMS, Version: row.Version,
			RelayAddress: row.RelayAddress, State: uint32(member.Active),
		}
		if i == 1 {
			message.State = uint32(member.Gone)
		}
		c.HandleExchange(&relaypb.ExchangeRequest{From: row.RelayAddress, Deltas: []*relaypb.Member{message}})
	}
	const rounds = 100
	for range rounds {
		c.Round(context.Background())
	}
	is.True(probes[sampleRow(1).RelayAddress] >= rounds*3/4)
}

// An answer that arrives late, as after a freeze, must not make the peer's revision look
// fresher than it was when the exchange was sent.
func TestAgeInAnExchangeCountsFromTheSending(t *testing.T) {
	is := is.New(t)
	clk := &manualClock{now: time.UnixMilli(1_700_000_000_000)}
	peer := member.New(sampleRow(1), plat.NewMemory().Store(), clk, hclog.NewNullLogger())
	peer.Revision = func() int64 { return 7 }
	peer.ConfirmedAgeMS = func() *uint32 { age := uint32(300); return &age }
	c := member.New(sampleRow(0), plat.NewMemory().Store(), clk, hclog.NewNullLogger())
	c.Go = func(work func()) { work() }
	c.Send = func(_ context.Context, _ string, req *relaypb.ExchangeRequest) (*relaypb.ExchangeResponse, error) {
		clk.now = clk.now.Add(10 * time.Second)
		return peer.HandleExchange(req), nil
	}
	first := clk.now
	var reported []time.Time
	c.OnConfirmed = func(confirmed time.Time, revision int64) {
		reported = append(reported, confirmed)
		is.Equal(revision, int64(7))
	}
	c.HandleExchange(&relaypb.ExchangeRequest{From: sampleRow(1).RelayAddress})
	c.Round(context.Background())
	is.Equal(reported[0], first.Add(-300*time.Millisecond)) // a second exchange with all rows follows
}
