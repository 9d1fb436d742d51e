package member_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// fastClock runs a hundred times as fast as the host's.
type fastClock struct{ start time.Time }

const speed = 100

func (c fastClock) Now() time.Time { return c.start.Add(speed * time.Since(c.start)) }

func (c fastClock) After(d time.Duration) <-chan time.Time { return time.After(d / speed) }

// TestRunInGoroutines runs the loops as a node does, for the race detector:
// five nodes find each other, one leaves and departs, and the rest see it.
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
		c.Changed = func() {
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
			return to.Answer(req), nil
		}
		controllers[row.RelayAddress] = c
	}
	var loops sync.WaitGroup
	for _, c := range controllers {
		loops.Go(func() { c.Run(ctx) })
	}
	until := func(what string, members int, skip *member.Controller) {
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
				t.Fatal(fmt.Sprint("not seen: ", what))
			}
		}
	}
	until("everybody", size, nil)
	leaver := controllers[sampleRow(0).RelayAddress]
	leaver.Leave(ctx)
	leaver.Depart(ctx)
	until("the departure", size-1, leaver)
	row, err := memory.Store().Get(ctx, "members", leaver.Self().Name)
	is.NoErr(err)
	is.Equal(row.Version, int64(0)) // its lease row is deleted
	cancel()
	loops.Wait()
}

// While the platform is down a node that went and starts again knows nobody, and
// takes no work until somebody finds it: each of a few nodes looks for it in nearly
// every round.
func TestThoseThatLeftAreLookedForOften(t *testing.T) {
	is := is.New(t)
	const size = 12
	clk := &manualClock{now: time.UnixMilli(1_700_000_000_000)}
	c := member.New(sampleRow(0), plat.NewMemory().Store(), clk, hclog.NewNullLogger())
	c.Go = func(work func()) { work() }
	asked := map[string]int{}
	c.Send = func(_ context.Context, address string, _ *relaypb.ExchangeRequest) (*relaypb.ExchangeResponse, error) {
		asked[address]++
		return nil, errors.New("silent")
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
		c.Answer(&relaypb.ExchangeRequest{From: row.RelayAddress, Deltas: []*relaypb.Member{message}})
	}
	const rounds = 100
	for range rounds {
		c.Round(context.Background())
	}
	is.True(asked[sampleRow(1).RelayAddress] >= rounds*3/4)
}
