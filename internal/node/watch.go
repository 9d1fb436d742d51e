package node

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/plat"
)

// health notes when the platform last answered.
type health struct {
	mu       sync.Mutex
	answered time.Time
	failing  bool
}

// observed returns the store with every answer noted. An answer that refuses,
// such as a conflict, is an answer too.
func (h *health) observed(store plat.Store, now func() time.Time) plat.Store {
	note := func(err error) { h.note(now(), err) }
	return plat.Store{
		Get: func(ctx context.Context, table, key string) (plat.Row, error) {
			row, err := store.Get(ctx, table, key)
			note(err)
			return row, err
		},
		List: func(ctx context.Context, table string, since int64) ([]plat.Row, int64, error) {
			rows, version, err := store.List(ctx, table, since)
			note(err)
			return rows, version, err
		},
		Commit: func(ctx context.Context, write plat.Write) (int64, error) {
			version, err := store.Commit(ctx, write)
			note(err)
			return version, err
		},
		PutObject: func(ctx context.Context, name string, data []byte) error {
			err := store.PutObject(ctx, name, data)
			note(err)
			return err
		},
		GetObject: func(ctx context.Context, name string) ([]byte, error) {
			data, err := store.GetObject(ctx, name)
			note(err)
			return data, err
		},
		DeleteObject: func(ctx context.Context, name string) error {
			err := store.DeleteObject(ctx, name)
			note(err)
			return err
		},
		ListObjects: func(ctx context.Context, prefix string, limit int) ([]string, error) {
			names, err := store.ListObjects(ctx, prefix, limit)
			note(err)
			return names, err
		},
	}
}

func (h *health) note(now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failing = plat.IsUnavailable(err)
	if !h.failing {
		h.answered = now
	}
}

// state says whether the last operation was answered, and how long the
// platform has been silent.
func (h *health) state(now time.Time) (reachable bool, silent time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.failing {
		return true, 0
	}
	return false, now.Sub(h.answered)
}
