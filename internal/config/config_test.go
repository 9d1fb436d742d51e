package config_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

func controller(store plat.Store) *config.Controller {
	c := config.New(store, parse, clock.System{}, hclog.NewNullLogger())
	c.Go = func(work func()) { work() }
	return c
}

func parse(document []byte) (*schema.Set, error) {
	if strings.HasPrefix(string(document), "broken") {
		return nil, errors.New("broken document")
	}
	return &schema.Set{}, nil
}

func revision(number int64, document string) config.Revision {
	return config.Revision{Number: number, Digest: config.Digest([]byte(document)), Document: []byte(document)}
}

func TestOfferAcceptsOnlyHigherValidRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		c := controller(plat.NewMemory().Store())
		highest := int64(0)
		for range rapid.IntRange(1, 20).Draw(t, "offers") {
			r := revision(rapid.Int64Range(-1, 9).Draw(t, "number"), rapid.SampledFrom([]string{"a", "b", "broken"}).Draw(t, "document"))
			damaged := rapid.Bool().Draw(t, "damaged")
			if damaged {
				r.Document = append(r.Document, 'x')
			}
			valid := !damaged && string(r.Document) != "broken" && r.Number > highest
			is.Equal(c.Offer(r), valid)
			if valid {
				highest = r.Number
			}
			is.Equal(c.Number(), highest)
		}
	})
}

// TestConcurrentCommitConflicts runs the second commit between the read of the head and
// the write of the first commit.
func TestConcurrentCommitConflicts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	memory := plat.NewMemory()
	second := controller(memory.Store())
	_, err := second.Commit(ctx, []byte("first"), 0)
	is.NoErr(err)

	slow := memory.Store()
	commit := slow.Commit
	var winner config.Revision
	slow.Commit = func(ctx context.Context, write plat.Write) (int64, error) {
		if winner.Number == 0 {
			var err error
			winner, err = second.Commit(ctx, []byte("of the second"), 1)
			is.NoErr(err)
		}
		return commit(ctx, write)
	}
	first := controller(slow)
	_, err = first.Commit(ctx, []byte("of the first"), 1)
	is.True(errorx.IsOfType(err, config.Conflict))
	is.True(strings.Contains(err.Error(), "expected revision 1, but revision 2 ("+winner.Digest+")"))
	is.Equal(first.Number(), int64(0)) // the rejected revision is not in force
	is.NoErr(first.Poll(ctx))
	is.Equal(first.Current().Digest, winner.Digest)
}

// TestCommitResultsMatchRevisions runs operators against a platform that loses answers;
// each repeats its commit while the outcome is unresolved. The results that they get must
// match the sequence of revisions.
func TestCommitResultsMatchRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		ctx := context.Background()
		memory := plat.NewMemory()
		random := rapid.Float64Range(0, 1)
		faults := plat.Faults{LoseAnswers: 0.5, Random: func() float64 { return random.Draw(t, "loses") }}
		history := make(map[int64]string) // documents that were in force, by number
		observer := controller(memory.Store())
		observe := func() {
			memory.SetFaults(plat.Faults{})
			is.NoErr(observer.Poll(ctx))
			if r := observer.Current(); r != nil {
				known, seen := history[r.Number]
				is.True(!seen || known == string(r.Document))
				history[r.Number] = string(r.Document)
			}
			memory.SetFaults(faults)
		}
		operators := []*config.Controller{controller(memory.Store()), controller(memory.Store())}
		expected := make([]int64, len(operators))
		reported := make(map[string]int64)
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			operator := rapid.IntRange(0, len(operators)-1).Draw(t, "operator")
			document := fmt.Sprintf("document-%d", step)
			accepted, err := operators[operator].Commit(ctx, []byte(document), expected[operator])
			for range 10 {
				if !errorx.IsOfType(err, config.Unresolved) {
					break
				}
				accepted, err = operators[operator].Commit(ctx, []byte(document), expected[operator])
			}
			observe()
			switch {
			case err == nil:
				reported[document] = accepted.Number
				expected[operator] = accepted.Number
			case errorx.IsOfType(err, config.Conflict):
				for _, other := range history {
					is.True(other != document) // a document reported as rejected was never in force
				}
				expected[operator] = observer.Number()
			}
		}
		for document, number := range reported {
			is.Equal(history[number], document)
		}
		for number := int64(1); number <= observer.Number(); number++ {
			is.True(history[number] != "") // no number was skipped
		}
	})
}

// TestDelayedWriteIsUnresolved delays a write until its writer has timed out; the write
// takes effect nevertheless.
func TestDelayedWriteIsUnresolved(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	memory := plat.NewMemory()
	slow := memory.Store()
	commit := slow.Commit
	var delayed []plat.Write
	slow.Commit = func(_ context.Context, write plat.Write) (int64, error) {
		delayed = append(delayed, write)
		return 0, plat.Unavailable.New("timed out")
	}
	operator := controller(slow)
	_, err := operator.Commit(ctx, []byte("first"), 0)
	is.True(errorx.IsOfType(err, config.Unresolved))
	is.Equal(operator.Number(), int64(0))
	is.True(len(delayed) > 1)
	for _, write := range delayed {
		_, _ = commit(ctx, write) // the first takes effect; the others repeat it with the same id
	}
	accepted, err := operator.Commit(ctx, []byte("first"), 0)
	is.NoErr(err)
	is.Equal(accepted.Number, int64(1))
	other := controller(memory.Store())
	is.NoErr(other.Poll(ctx))
	is.Equal(other.Current().Number, accepted.Number)
	is.Equal(other.Current().Digest, accepted.Digest)
}

// TestBootTakesHighestOfThreePeers runs 50 times, since the order of the peers is random.
func TestBootTakesHighestOfThreePeers(t *testing.T) {
	is := is.New(t)
	memory := plat.NewMemory()
	memory.SetFaults(plat.Faults{Down: true})
	for range 50 {
		c := controller(memory.Store())
		c.Fetch = func(_ context.Context, address string, _ []string) (*relaypb.FetchResponse, error) {
			r := revision(int64(len(address)), "document of "+address)
			return &relaypb.FetchResponse{Revision: r.Number, Digest: r.Digest, Document: r.Document}, nil
		}
		is.NoErr(c.BootOnce(context.Background(), []string{"a", "b", "ccc"}, true))
		is.Equal(c.Number(), int64(3))
	}
}

func TestBootRejectsRevisionBelowHighestKnown(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	memory := plat.NewMemory()
	memory.SetFaults(plat.Faults{Down: true})
	has := map[string]int64{"a": 1, "b": 1, "c": 1, "d": 2}
	c := controller(memory.Store())
	c.Fetch = func(_ context.Context, address string, _ []string) (*relaypb.FetchResponse, error) {
		r := revision(has[address], fmt.Sprintf("document-%d", has[address]))
		return &relaypb.FetchResponse{Revision: r.Number, Digest: r.Digest, Document: r.Document}, nil
	}
	is.True(errorx.IsOfType(c.BootOnce(ctx, nil, false), config.NoRevision))                 // no peers
	is.True(errorx.IsOfType(c.BootOnce(ctx, []string{"unknown"}, false), config.NoRevision)) // no peer with a revision
	c.ObserveRevision(ctx, "unknown", 2)
	is.True(errorx.IsOfType(c.BootOnce(ctx, []string{"a", "b", "c"}, true), config.NoRevision))
	is.NoErr(c.BootOnce(ctx, []string{"b", "c", "d"}, true))
	is.Equal(c.Number(), int64(2))
}

func TestPlansReachOtherNodes(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	memory := plat.NewMemory()
	owner := controller(memory.Store())
	other := controller(memory.Store())
	other.Fetch = func(_ context.Context, _ string, plans []string) (*relaypb.FetchResponse, error) {
		return owner.HandleFetch(&relaypb.FetchRequest{Plans: plans}), nil
	}
	var stored []int64
	other.OnPlan = func(_ string, _ []byte, version int64) { stored = append(stored, version) }

	first, err := owner.CommitPlan(ctx, "orders", []byte("p1"), 0)
	is.NoErr(err)
	_, err = other.CommitPlan(ctx, "orders", []byte("p2"), 0)
	is.True(errorx.IsOfType(err, config.Conflict))
	memory.SetFaults(plat.Faults{LoseAnswers: 1})
	second, err := owner.CommitPlan(ctx, "orders", []byte("p3"), first)
	is.NoErr(err) // the answer was lost, but the row shows the write
	again, err := owner.CommitPlan(ctx, "orders", []byte("p3"), first)
	is.NoErr(err)
	is.Equal(again, second) // written once

	memory.SetFaults(plat.Faults{Down: true})
	other.ObservePlans(ctx, "owner", owner.Plans())
	other.ObservePlans(ctx, "owner", owner.Plans())
	is.True(!other.OfferPlan("orders", []byte("p1"), first))
	document, version := other.Plan("orders")
	is.Equal(string(document), "p3")
	is.Equal(version, second)
	is.Equal(stored, []int64{second})
}

// fastClock runs a thousand times as fast as the host's clock.
type fastClock struct{ start time.Time }

const speed = 1000

func (c fastClock) Now() time.Time { return c.start.Add(speed * time.Since(c.start)) }

func (c fastClock) After(d time.Duration) <-chan time.Time { return time.After(d / speed) }

// TestBootAndRunInGoroutines boots during an outage of the platform, with a dead host
// among three peers, and then polls the platform. It is meant for the race detector.
func TestBootAndRunInGoroutines(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	memory := plat.NewMemory()
	peer := controller(memory.Store())
	_, err := peer.Commit(ctx, []byte("first"), 0)
	is.NoErr(err)
	memory.SetFaults(plat.Faults{Down: true})

	clk := fastClock{start: time.Now()}
	c := config.New(memory.Store(), parse, clk, hclog.NewNullLogger())
	inForce := make(chan int64, 2)
	c.OnRevision = func(r *config.Revision) { inForce <- r.Number }
	c.Fetch = func(_ context.Context, address string, plans []string) (*relaypb.FetchResponse, error) {
		if address == "dead" {
			return nil, errors.New("no answer")
		}
		return peer.HandleFetch(&relaypb.FetchRequest{Plans: plans}), nil
	}
	is.NoErr(c.Boot(ctx, func() []string { return []string{"dead", "a", "b"} }))
	is.Equal(<-inForce, int64(1))

	memory.SetFaults(plat.Faults{})
	done := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(done)
	}()
	_, err = peer.Commit(ctx, []byte("second"), 1)
	is.NoErr(err)
	select {
	case number := <-inForce:
		is.Equal(number, int64(2))
	case <-ctx.Done():
		t.Fatal("the second revision did not come into force")
	}
	cancel()
	<-done
}

// A known owner plan is polled rarely, since other nodes announce a newer one; an unknown
// plan is requested with each poll.
func TestKnownPlanIsPolledLessOften(t *testing.T) {
	for _, test := range []struct {
		known bool
		most  int
	}{{true, 5}, {false, 21}} {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		store := plat.NewMemory().Store()
		reads := map[string]int{}
		get := store.Get
		store.Get = func(ctx context.Context, table, key string) (plat.Row, error) {
			reads[table]++
			if reads["config"] > 20 {
				cancel()
			}
			return get(ctx, table, key)
		}
		c := config.New(store, parse, fastClock{start: time.Now()}, hclog.NewNullLogger())
		c.Service = "orders"
		if test.known {
			c.OfferPlan("orders", []byte("plan"), 1)
		}
		c.Run(ctx)
		is.True(reads["owners"] > 0)
		is.True(reads["owners"] <= test.most)
		is.True(test.known || reads["owners"] >= 20)
	}
}

// Two revisions that arrive at the same time come into force in order, even if the first
// takes long: the last one to come into force is the higher one.
func TestRevisionsComeIntoForceInOrder(t *testing.T) {
	is := is.New(t)
	c := controller(plat.Store{})
	var second sync.WaitGroup
	var inForce []int64
	c.OnRevision = func(r *config.Revision) {
		if r.Number == 1 {
			second.Go(func() { c.Offer(revision(2, "b")) })
			time.Sleep(20 * time.Millisecond) // lets the second revision overtake the first
		}
		inForce = append(inForce, r.Number)
	}
	is.True(c.Offer(revision(1, "a")))
	second.Wait()
	is.Equal(inForce, []int64{1, 2})
}
