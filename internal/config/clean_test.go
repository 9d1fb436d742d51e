package config_test

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// retention is the time for which a replaced revision must be kept.
	retention = time.Hour
	// cleanPeriod is longer than the time between two cleanup runs of a node.
	cleanPeriod = time.Hour
	// kept is the number of revisions that the documents of these tests keep.
	kept = 2
)

// jumpClock advances at once to the end of every wait.
type jumpClock struct{ now time.Time }

func (c *jumpClock) Now() time.Time { return c.now }

func (c *jumpClock) After(d time.Duration) <-chan time.Time {
	c.now = c.now.Add(d)
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired
}

// newNode returns the controller of a node whose documents keep only a few revisions.
func newNode(name string, store plat.Store, clk *jumpClock) *config.Controller {
	parseKept := func(document []byte) (*schema.Set, error) {
		limits := schema.Limits{KeptRevisions: kept}
		if string(document) == "keep all" {
			limits.KeptRevisions = math.MaxInt
		}
		return &schema.Set{Limits: limits}, nil
	}
	c := config.New(store, parseKept, clk, hclog.NewNullLogger())
	c.Name = name
	c.Random = func() float64 { return 0 }
	return c
}

// commitMany commits documents d1, d2 and so on, and advances the clock by step after
// each.
func commitMany(is *is.I, c *config.Controller, clk *jumpClock, count int, step time.Duration) {
	is.Helper()
	for range count {
		number := c.Number()
		_, err := c.Commit(context.Background(), fmt.Appendf(nil, "d%d", number+1), number)
		is.NoErr(err)
		clk.now = clk.now.Add(step)
	}
}

func newClock() *jumpClock {
	return &jumpClock{now: time.Unix(1_800_000_000, 0)}
}

// TestReplacedRevisionIsKeptForSlowNode stops a node after it has read the head row,
// while other nodes commit and clean until a minute before the retention time ends. The
// document must still be there.
func TestReplacedRevisionIsKeptForSlowNode(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clk := newClock()
	memory := plat.NewMemory()
	other := newNode("other", memory.Store(), clk)
	commitMany(is, other, clk, 1, 2*retention)

	store := memory.Store()
	get := store.GetObject
	store.GetObject = func(ctx context.Context, name string) ([]byte, error) {
		commitMany(is, other, clk, 2*kept, 0)
		clk.now = clk.now.Add(retention - time.Minute)
		is.NoErr(other.Clean(ctx))
		return get(ctx, name)
	}
	slow := newNode("slow", store, clk)
	is.NoErr(slow.Poll(ctx))
	is.Equal(slow.Number(), int64(1))
	clk.now = clk.now.Add(cleanPeriod)
	is.NoErr(other.Clean(ctx))
	is.Equal(memory.Stats().Objects, int64(kept)) // deleted after the retention time
}

// TestRolledBackDocumentSurvivesCleanup rolls back to the oldest kept revision, whose own
// object is then deleted.
func TestRolledBackDocumentSurvivesCleanup(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clk := newClock()
	memory := plat.NewMemory()
	c := newNode("a", memory.Store(), clk)
	commitMany(is, c, clk, 2, 2*retention)
	restored, err := c.Rollback(ctx, 1, 2)
	is.NoErr(err)
	is.Equal(restored.Number, int64(3)) // a rollback gets a new number, never a lower one
	clk.now = clk.now.Add(2 * retention)
	is.NoErr(c.Clean(ctx))
	_, err = c.Load(ctx, 1)
	is.True(errorx.IsOfType(err, config.NotKept))
	booted := newNode("b", memory.Store(), clk)
	is.NoErr(booted.Poll(ctx))
	is.Equal(string(booted.Current().Document), "d1")
	entries, err := booted.History(ctx)
	is.NoErr(err)
	is.Equal(len(entries), kept)
	is.Equal(entries[0].Restores, int64(1))
	is.Equal(entries[0].Node, "a")
}

// TestRollbackDuringCleanupIsAtomic runs a cleanup at each operation of a rollback to a
// revision that is due for deletion. Wherever the cleanup comes, the rollback either
// succeeds completely, also for a node that boots from the platform, or changes nothing.
func TestRollbackDuringCleanupIsAtomic(t *testing.T) {
	outcomes := map[bool]int{}
	for at := range 12 {
		is := is.New(t)
		ctx := context.Background()
		clk := newClock()
		memory := plat.NewMemory()
		cleaner := newNode("cleaner", memory.Store(), clk)
		commitMany(is, cleaner, clk, kept, 0)
		commitMany(is, cleaner, clk, 1, 2*retention)
		operations := 0
		step := func() {
			if operations == at {
				is.NoErr(cleaner.Clean(ctx))
			}
			operations++
		}
		operator := newNode("operator", hooked(memory.Store(), step), clk)
		restored, err := operator.Rollback(ctx, 1, kept+1)
		late := errorx.IsOfType(err, config.NotKept)
		is.True(err == nil || late)
		outcomes[late]++
		clk.now = clk.now.Add(2 * cleanPeriod)
		booted := newNode("booted", memory.Store(), clk)
		is.NoErr(booted.Poll(ctx))
		is.NoErr(booted.Clean(ctx))
		is.NoErr(newNode("again", memory.Store(), clk).Poll(ctx)) // the document is still stored
		if late {
			is.Equal(booted.Number(), int64(kept+1))
			continue
		}
		is.Equal(booted.Number(), restored.Number)
		is.Equal(string(booted.Current().Document), "d1")
	}
	is.New(t).True(outcomes[true] > 0 && outcomes[false] > 0) // both outcomes occurred
}

// hooked calls step before every operation.
func hooked(store plat.Store, step func()) plat.Store {
	get, commit, put, object := store.Get, store.Commit, store.PutObject, store.GetObject
	store.Get = func(ctx context.Context, table, key string) (plat.Row, error) {
		step()
		return get(ctx, table, key)
	}
	store.Commit = func(ctx context.Context, write plat.Write) (int64, error) {
		step()
		return commit(ctx, write)
	}
	store.PutObject = func(ctx context.Context, name string, data []byte) error {
		step()
		return put(ctx, name, data)
	}
	store.GetObject = func(ctx context.Context, name string) ([]byte, error) {
		step()
		return object(ctx, name)
	}
	return store
}

// TestRepeatedRollbackIsAcceptedOnce repeats a rollback whose answer was lost, after the
// document of the restored revision has been deleted.
func TestRepeatedRollbackIsAcceptedOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clk := newClock()
	memory := plat.NewMemory()
	c := newNode("a", memory.Store(), clk)
	commitMany(is, c, clk, kept, 2*retention)
	first, err := c.Rollback(ctx, 1, kept)
	is.NoErr(err)
	clk.now = clk.now.Add(2 * retention)
	is.NoErr(c.Clean(ctx))
	again, err := c.Rollback(ctx, 1, kept)
	is.NoErr(err)
	is.Equal(again.Number, first.Number)
	is.Equal(c.Number(), first.Number)
	_, err = c.Rollback(ctx, kept, kept) // another operator expected the same revision
	is.True(errorx.IsOfType(err, config.Conflict))
}

// TestOutageDuringRollbackReportsTrueOutcome takes the platform down after each operation
// of a rollback, while all answers are lost. The result that the operator gets is true,
// and the same rollback, repeated once the platform is back, is accepted once.
func TestOutageDuringRollbackReportsTrueOutcome(t *testing.T) {
	for at := range 12 {
		is := is.New(t)
		ctx := context.Background()
		clk := newClock()
		memory := plat.NewMemory()
		commitMany(is, newNode("a", memory.Store(), clk), clk, kept, 0)
		operations := 0
		operator := newNode("operator", hooked(memory.Store(), func() {
			memory.SetFaults(plat.Faults{LoseAnswers: 1, Down: operations > at})
			operations++
		}), clk)
		_, err := operator.Rollback(ctx, 1, kept)
		operations = math.MinInt // no faults from here on
		memory.SetFaults(plat.Faults{})
		watcher := newNode("watcher", memory.Store(), clk)
		is.NoErr(watcher.Poll(ctx))
		switch {
		case err == nil:
			is.Equal(watcher.Number(), int64(kept+1))
		case errorx.IsOfType(err, config.Unreachable):
			is.Equal(watcher.Number(), int64(kept)) // reported as unchanged
		default:
			is.True(errorx.IsOfType(err, config.Unresolved))
		}
		_, err = operator.Rollback(ctx, 1, kept)
		is.NoErr(err)
		is.NoErr(watcher.Poll(ctx))
		is.Equal(watcher.Number(), int64(kept+1))
	}
}

// TestOneNodeCleansAtATime lets two nodes clean at the same time: only one claims the
// run. Another node later finishes a run that a restart interrupted.
func TestOneNodeCleansAtATime(t *testing.T) {
	is := is.New(t)
	clk := newClock()
	memory := plat.NewMemory()
	store := memory.Store()
	ctx, restart := context.WithCancel(context.Background())
	deletes := 0
	deleteObject := store.DeleteObject
	second := newNode("second", memory.Store(), clk)
	store.DeleteObject = func(ctx context.Context, name string) error {
		deletes++
		is.NoErr(second.Clean(context.Background())) // the other node holds the run
		if deletes == 2 {
			restart()
		}
		return deleteObject(ctx, name)
	}
	first := newNode("first", store, clk)
	commitMany(is, first, clk, 8, 2*retention)
	is.NoErr(second.Poll(context.Background()))
	is.True(first.Clean(ctx) != nil)
	is.Equal(memory.Stats().Objects, int64(8-1)) // the second delete was interrupted
	clk.now = clk.now.Add(cleanPeriod)
	is.NoErr(second.Clean(context.Background()))
	is.Equal(memory.Stats().Objects, int64(kept))
}

// TestLaggingNodeDoesNotClean runs a cleanup on a node that has not learned of the latest
// revision, which keeps all documents. The node must not delete any.
func TestLaggingNodeDoesNotClean(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clk := newClock()
	memory := plat.NewMemory()
	c := newNode("a", memory.Store(), clk)
	commitMany(is, c, clk, 5, 2*retention)
	lagging := newNode("lagging", memory.Store(), clk)
	is.NoErr(lagging.Poll(ctx))
	_, err := c.Commit(ctx, []byte("keep all"), 5)
	is.NoErr(err)
	is.NoErr(lagging.Clean(ctx))
	is.NoErr(c.Clean(ctx))
	is.Equal(memory.Stats().Objects, int64(6))
}

// TestHistoryKeepsLatestAndRecentEntries checks that the history names 64 heads, for
// writers whose answers were lost, and more only while those were recently in force.
func TestHistoryKeepsLatestAndRecentEntries(t *testing.T) {
	is := is.New(t)
	clk := newClock()
	c := newNode("a", plat.NewMemory().Store(), clk)
	for _, phase := range []struct {
		step time.Duration
		want int
	}{{time.Second, 90}, {2 * retention, 64}} {
		commitMany(is, c, clk, 90, phase.step)
		entries, err := c.History(context.Background())
		is.NoErr(err)
		is.Equal(len(entries), phase.want)
	}
}

// TestHistoryFailsDuringOutage checks that the history and rollbacks fail while the
// platform is down, but that the revision in force can still be loaded.
func TestHistoryFailsDuringOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	memory := plat.NewMemory()
	c := newNode("a", memory.Store(), newClock())
	commitMany(is, c, newClock(), 2, 0)
	memory.SetFaults(plat.Faults{Down: true})
	_, err := c.History(ctx)
	is.True(errorx.IsOfType(err, config.Unreachable))
	_, err = c.Rollback(ctx, 1, 2)
	is.True(errorx.IsOfType(err, config.Unreachable))
	current, err := c.Load(ctx, 2)
	is.NoErr(err)
	is.Equal(string(current.Document), "d2")
	memory.SetFaults(plat.Faults{})
	_, err = c.Load(ctx, 3)
	is.True(errorx.IsOfType(err, config.NotKept))
}

// TestKeptRevisionsCanBeLoaded runs operators and cleaners against a platform with lost
// answers and outages. Every revision that must be kept can be loaded at any time, and
// after the faults have ended no more than those revisions remain.
func TestKeptRevisionsCanBeLoaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		ctx := context.Background()
		clk := newClock()
		memory := plat.NewMemory()
		observer := newNode("observer", memory.Store(), clk)
		nodes := []*config.Controller{newNode("a", memory.Store(), clk), newNode("b", memory.Store(), clk)}
		replaced := []time.Time{} // when revision n+2 replaced revision n+1
		documents := []string{}
		random := rapid.Float64Range(0, 1)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			c := nodes[rapid.IntRange(0, 1).Draw(t, "node")]
			memory.SetFaults(plat.Faults{
				Down:        rapid.IntRange(0, 9).Draw(t, "down") == 0,
				LoseAnswers: rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "loses"),
				Random:      func() float64 { return random.Draw(t, "draw") },
			})
			switch rapid.SampledFrom([]string{"commit", "rollback", "clean", "wait"}).Draw(t, "what") {
			case "commit":
				_, _ = c.Commit(ctx, fmt.Appendf(nil, "document-%d", step), observer.Number())
			case "rollback":
				_, _ = c.Rollback(ctx, rapid.Int64Range(1, 9).Draw(t, "to"), observer.Number())
			case "clean":
				clk.now = clk.now.Add(cleanPeriod)
				_ = c.Poll(ctx)
				_ = c.Clean(ctx)
			case "wait":
				clk.now = clk.now.Add(rapid.SampledFrom([]time.Duration{time.Minute, retention / 2}).Draw(t, "time"))
			}
			memory.SetFaults(plat.Faults{})
			is.NoErr(observer.Poll(ctx))
			if observer.Number() > int64(len(documents)) {
				is.Equal(observer.Number(), int64(len(documents)+1))
				documents = append(documents, string(observer.Current().Document))
				replaced = append(replaced, clk.now)
			}
			for i, document := range documents {
				fresh := i+1 < len(replaced) && clk.now.Sub(replaced[i+1]) < retention
				if i < len(documents)-kept && !fresh {
					continue
				}
				loaded, err := newNode("fresh", memory.Store(), clk).Load(ctx, int64(i+1))
				is.NoErr(err)
				is.Equal(string(loaded.Document), document)
			}
		}
		clk.now = clk.now.Add(2 * retention)
		is.NoErr(observer.Clean(ctx))
		entries, err := observer.History(ctx)
		is.NoErr(err)
		is.Equal(len(entries), min(kept, len(documents)))
		names, err := memory.Store().ListObjects(ctx, "", math.MaxInt)
		is.NoErr(err)
		for _, name := range names {
			is.True(name >= fmt.Sprintf("revision-%019d", entries[len(entries)-1].Number))
		}
	})
}
