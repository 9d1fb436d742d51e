package plat_test

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionfield/dandelionfield/internal/plat"
)

func set(id, value string, expected int64) plat.Write {
	return plat.Write{Table: "t", ID: id, Changes: []plat.Change{{Key: "k", Value: []byte(value), Expected: expected}}}
}

func TestMemoryTable(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := plat.NewMemory().Store()
	first, err := store.Commit(ctx, set("w1", "one", 0))
	is.NoErr(err)
	again, err := store.Commit(ctx, set("w1", "one", 0))
	is.NoErr(err)
	is.Equal(again, first) // a repeated id returns the version of the first write
	_, err = store.Commit(ctx, set("w2", "two", 0))
	is.True(errorx.IsOfType(err, plat.Conflict))

	second, err := store.Commit(ctx, plat.Write{Table: "t", ID: "w3", Changes: []plat.Change{{Key: "k", Expected: first, Delete: true}}})
	is.NoErr(err)
	is.True(second > first)
	row, err := store.Get(ctx, "t", "k")
	is.NoErr(err)
	is.Equal(row.Version, int64(0))
	rows, upTo, err := store.List(ctx, "t", first)
	is.NoErr(err)
	is.Equal(upTo, second)
	is.Equal(len(rows), 1) // the tombstone
	is.Equal(len(rows[0].Value), 0)
	_, err = store.Commit(ctx, set("w4", "four", 0)) // a deleted row counts as absent
	is.NoErr(err)
}

func TestMemoryTransactionIsAtomic(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := plat.NewMemory().Store()
	_, err := store.Commit(ctx, plat.Write{Table: "t", ID: "w1", Changes: []plat.Change{
		{Key: "a", Value: []byte("1")},
		{Key: "b", Value: []byte("1"), Expected: 7},
	}})
	is.True(errorx.IsOfType(err, plat.Conflict))
	rows, _, err := store.List(ctx, "t", 0)
	is.NoErr(err)
	is.Equal(len(rows), 0)
}

// lossy returns a store that passes writes on to another store, or loses the request or
// the answer, as outcome returns.
func lossy(store plat.Store, outcome func() string) plat.Store {
	commit := store.Commit
	store.Commit = func(ctx context.Context, write plat.Write) (int64, error) {
		switch outcome() {
		case "request":
			return 0, plat.Unavailable.New("request lost")
		case "answer":
			_, _ = commit(ctx, write)
			return 0, plat.Unavailable.New("answer lost")
		}
		return commit(ctx, write)
	}
	return store
}

// TestResolvedOutcomeMatchesPlatform compares the result that a writer gets with what the
// platform did, under random loss and with a second writer in between.
func TestResolvedOutcomeMatchesPlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		ctx := context.Background()
		memory := plat.NewMemory()
		applied := 0
		counting := memory.Store()
		commit := counting.Commit
		counting.Commit = func(ctx context.Context, write plat.Write) (int64, error) {
			before, _ := counting.Get(ctx, "t", "k")
			version, err := commit(ctx, write)
			if err == nil && version != before.Version && write.ID == "mine" {
				applied++
			}
			if rapid.Bool().Draw(t, "other writes") {
				row, _ := counting.Get(ctx, "t", "k")
				_, _ = commit(ctx, set("other", "theirs", row.Version))
			}
			return version, err
		}
		outcomes := rapid.SampledFrom([]string{"ok", "request", "answer"})
		store := plat.Resolved(lossy(counting, func() string { return outcomes.Draw(t, "outcome") }))
		_, err := store.Commit(ctx, set("mine", "mine", 0))
		switch {
		case err == nil:
			is.True(applied >= 1)
		case errorx.IsOfType(err, plat.Conflict):
			is.Equal(applied, 0)
		default:
			is.True(errorx.IsOfType(err, plat.Unresolved))
		}
	})
}

// The answer of a write is lost, another write replaces the row, and the platform no longer
// remembers the id of the first write. The result must be Unresolved.
func TestResolvedReturnsUnresolvedWhenWriteIDIsForgotten(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	inner := plat.NewMemory().Store()
	commit := inner.Commit
	calls := 0
	lossyStore := inner
	lossyStore.Commit = func(ctx context.Context, write plat.Write) (int64, error) {
		calls++
		if calls == 1 {
			version, err := commit(ctx, write)
			is.NoErr(err)
			_, err = commit(ctx, set("other", "theirs", version))
			is.NoErr(err)
			return 0, plat.Unavailable.New("answer lost")
		}
		return 0, plat.Conflict.New("the id is forgotten")
	}
	_, err := plat.Resolved(lossyStore).Commit(ctx, set("mine", "mine", 0))
	is.True(errorx.IsOfType(err, plat.Unresolved))
}

// TestBackoffSpreadsRequestsAfterOutage lets 530 nodes fail until their backoff is
// longest. When the platform returns, the requests in any one second stay below its
// capacity for writes.
func TestBackoffSpreadsRequestsAfterOutage(t *testing.T) {
	is := is.New(t)
	const (
		nodes          = 530
		writesASecond  = 300
		failuresBefore = 12
	)
	perSecond := make(map[int64]int)
	for i := range nodes {
		clk := &jumpClock{now: time.Unix(0, 0)}
		draw := 0
		limits := plat.Limits{Clock: clk, Random: func() float64 {
			draw++
			return float64((i*7919+draw*104729)%nodes) / nodes
		}}
		store := plat.NewClient("127.0.0.1:1", limits) // nothing listens there
		for range failuresBefore {
			_, err := store.Get(context.Background(), "t", "k")
			is.True(errorx.IsOfType(err, plat.Unavailable))
		}
		outageEnd := clk.now
		_, _ = store.Get(context.Background(), "t", "k")
		perSecond[int64(clk.now.Sub(outageEnd)/time.Second)]++
	}
	for _, requests := range perSecond {
		is.True(requests < writesASecond)
	}
}

// jumpClock advances at once to the end of every wait.
type jumpClock struct{ now time.Time }

func (c *jumpClock) Now() time.Time { return c.now }

func (c *jumpClock) After(d time.Duration) <-chan time.Time {
	c.now = c.now.Add(d)
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired
}
