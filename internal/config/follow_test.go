package config_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// followCase is a node that follows a source in simulated time.
type followCase struct {
	controller *config.Controller
	clock      *steppedClock
	polls      []time.Duration
}

// steppedClock advances by the time that is waited for, so that a loop runs without delay.
type steppedClock struct{ now time.Time }

func (c *steppedClock) Now() time.Time { return c.now }

func (c *steppedClock) After(d time.Duration) <-chan time.Time {
	c.now = c.now.Add(d)
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired
}

// newFollowCase returns a node whose source answers each poll with err once its wait has
// passed. The node runs for a simulated time, at each step of which peers report.
func newFollowCase(nodes int, follows bool, err error) *followCase {
	f := &followCase{clock: &steppedClock{now: time.UnixMilli(1_700_000_000_000)}}
	parse := func([]byte) (*schema.Set, error) { return &schema.Set{}, nil }
	f.controller = config.New(plat.NewMemory().Store(), parse, f.clock, hclog.NewNullLogger())
	f.controller.Nodes = func() int { return nodes }
	f.controller.Follows = func() bool { return follows }
	f.controller.Source = func(_ context.Context, wait time.Duration) (*config.Revision, error) {
		f.polls = append(f.polls, wait)
		if err == nil {
			f.clock.now = f.clock.now.Add(wait)
		}
		return nil, err
	}
	return f
}

// run lets the node run for a time. Report is called whenever the node looks whether it
// must follow the source.
func (f *followCase) run(d time.Duration, report func(elapsed time.Duration)) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	begin := f.clock.now
	follows := f.controller.Follows
	f.controller.Follows = func() bool {
		elapsed := f.clock.now.Sub(begin)
		if elapsed >= d {
			stop()
		}
		report(elapsed)
		return follows()
	}
	f.controller.Run(ctx)
}

// Each long poll of the source costs the platform a request. In a cluster of any size only
// the nodes that follow for all poll, at least 2 s each time. In a large one, where many
// follow, each of them polls less often, and at different times.
func TestOnlyFollowersPollTheSource(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		nodes       int
		least, most time.Duration
	}{
		{1, 2 * time.Second, 3 * time.Second},
		{12, 2 * time.Second, 3 * time.Second},
		{82, 2 * time.Second, 5 * time.Second},
		{530, 2 * time.Second, 5 * time.Second},
	} {
		follower := newFollowCase(test.nodes, true, nil)
		follower.run(2*time.Minute, func(time.Duration) {})
		different := map[time.Duration]bool{}
		for _, wait := range follower.polls {
			is.True(wait >= test.least)
			is.True(wait <= test.most)
			different[wait] = true
		}
		is.True(len(different) > 5) // followers do not poll in step
	}

	other := newFollowCase(530, false, nil)
	other.run(time.Minute, func(time.Duration) { other.controller.ObserveSource(2*time.Second, 0) })
	is.Equal(len(other.polls), 0)
}

// When the nodes that follow the source are gone, or the platform turns them away, the
// others must not keep an old revision: they turn to the source themselves.
func TestNodeFollowsTheSourceWhenItsFollowersAreSilent(t *testing.T) {
	is := is.New(t)
	f := newFollowCase(530, false, nil)
	const silentFrom = 10 * time.Second
	var firstPoll time.Duration
	f.run(20*time.Second, func(elapsed time.Duration) {
		if elapsed < silentFrom {
			f.controller.ObserveSource(0, 0)
		}
		if firstPoll == 0 && len(f.polls) > 0 {
			firstPoll = elapsed
		}
	})
	is.True(firstPoll >= silentFrom)
	is.True(firstPoll <= silentFrom+4*time.Second) // when a revision has to be in force
	age, heard := f.controller.SourceAge()
	is.True(heard)
	is.True(age <= 4*time.Second)
}

// A platform that is down gets no more requests from a large cluster than from a small one.
func TestRetriesOfALostSourceDoNotGrowWithTheCluster(t *testing.T) {
	is := is.New(t)
	const seconds = 200
	for _, nodes := range []int{12, 194, 530} {
		f := newFollowCase(nodes, false, errors.New("turned away"))
		f.run(seconds*time.Second, func(time.Duration) {})
		perSecond := float64(len(f.polls)*nodes) / seconds
		is.True(perSecond > 20)
		is.True(perSecond < 45)
	}
}

// Guards against a node that takes itself for current because it has heard of an answer of the
// source, while it has yet to fetch or apply the revision that the answer brought.
func TestSourceCountsAsHeardOnceItsRevisionIsInForce(t *testing.T) {
	is := is.New(t)
	n := controller(plat.NewMemory().Store())
	n.ObserveSource(0, 2)
	_, heard := n.SourceAge()
	is.True(!heard) // revision 2 has to be fetched
	applied := false
	n.OnRevision = func(*config.Revision) {
		applied = true
		_, heard := n.SourceAge()
		is.True(!heard) // revision 2 is not in force yet
	}
	n.Source = func(context.Context, time.Duration) (*config.Revision, error) {
		r := revision(2, "2")
		return &r, nil
	}
	is.NoErr(n.Poll(t.Context()))
	is.True(applied)
	_, heard = n.SourceAge()
	is.True(heard)
}
