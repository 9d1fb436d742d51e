package node

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/plat"
)

// platformHealth records when the platform last answered.
type platformHealth struct {
	mu       sync.Mutex
	answered time.Time
	failing  bool
}

// instrument returns a store that records the result of every operation. A refusal, such
// as a conflict, also counts as an answer.
func (h *platformHealth) instrument(store plat.Store, now func() time.Time) plat.Store {
	record := func(err error) { h.record(now(), err) }
	return plat.Store{
		Get: func(ctx context.Context, table, key string) (plat.Row, error) {
			row, err := store.Get(ctx, table, key)
			record(err)
			return row, err
		},
		List: func(ctx context.Context, table string, since int64) ([]plat.Row, int64, error) {
			rows, version, err := store.List(ctx, table, since)
			record(err)
			return rows, version, err
		},
		Commit: func(ctx context.Context, write plat.Write) (int64, error) {
			version, err := store.Commit(ctx, write)
			record(err)
			return version, err
		},
		PutObject: func(ctx context.Context, name string, data []byte) error {
			err := store.PutObject(ctx, name, data)
			record(err)
			return err
		},
		GetObject: func(ctx context.Context, name string) ([]byte, error) {
			data, err := store.GetObject(ctx, name)
			record(err)
			return data, err
		},
		DeleteObject: func(ctx context.Context, name string) error {
			err := store.DeleteObject(ctx, name)
			record(err)
			return err
		},
		ListObjects: func(ctx context.Context, prefix string, limit int) ([]string, error) {
			names, err := store.ListObjects(ctx, prefix, limit)
			record(err)
			return names, err
		},
		Generation: store.Generation,
		OnRestore:  store.OnRestore,
	}
}

func (h *platformHealth) record(now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failing = plat.IsUnavailable(err)
	if !h.failing {
		h.answered = now
	}
}

// storeRestored reports that the platform's store came back from an older copy. The
// controllers of members and configuration are told as well, and write what was lost again.
func (n *Node) storeRestored(restore plat.Restore) {
	rewritten := "lease"
	if n.adapters.Source == nil {
		rewritten += ",configuration"
	}
	if !n.targetsAnnounce() {
		rewritten += ",owner_plan"
	}
	n.metrics.StoreRestores.Inc()
	n.log.Warn("store_restored", "old", restore.From, "new", restore.To, "rewritten", rewritten)
}

// reachability reports whether the last operation was answered and, if not, how long the
// platform has been silent.
func (h *platformHealth) reachability(now time.Time) (reachable bool, silent time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.failing {
		return true, 0
	}
	return false, now.Sub(h.answered)
}
