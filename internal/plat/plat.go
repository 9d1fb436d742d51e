// Package plat is the door to the platform: its transactional table and its
// object store.
package plat

import (
	"context"

	"github.com/joomcode/errorx"
)

// Row is one row of a table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version rises with every write to the platform; 0 means no such row.
	Version int64 `json:"version"`
	// WriteID is the id of the write that made this version.
	WriteID string `json:"write_id"`
}

// Change sets or deletes one row if it still has the expected version.
type Change struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Expected int64  `json:"expected"`
	Delete   bool   `json:"delete"`
}

// Write is a transaction: all of its changes take effect, or none does.
type Write struct {
	Table string `json:"table"`
	// ID names the write, so that one whose answer was lost can be recognised.
	ID      string   `json:"id"`
	Changes []Change `json:"changes"`
}

// Store is the platform as the project uses it. The functions are seams:
// Client fills them for a platform over HTTP, Memory for tests.
type Store struct {
	// Get returns the row, with version 0 when there is none.
	Get func(ctx context.Context, table, key string) (Row, error)
	// List returns the rows with a version above since, deleted ones with an
	// empty value, and the version up to which the listing is complete.
	List func(ctx context.Context, table string, since int64) ([]Row, int64, error)
	// Commit applies the write and returns the version it made. It returns
	// Conflict when a row has another version than expected. Any other error
	// leaves open whether the write took effect.
	Commit    func(ctx context.Context, write Write) (int64, error)
	PutObject func(ctx context.Context, name string, data []byte) error
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// DeleteObject makes an object absent. One that is absent already counts as
	// deleted, so a delete whose answer was lost may be sent again.
	DeleteObject func(ctx context.Context, name string) error
	// ListObjects returns the first names with the prefix in the order of their
	// bytes, limit at most.
	ListObjects func(ctx context.Context, prefix string, limit int) ([]string, error)
}

var (
	namespace = errorx.NewNamespace("platform")
	// Conflict means that a row had another version than the write expected.
	Conflict = namespace.NewType("conflict")
	// Unavailable means that the platform gave no answer that can be used.
	Unavailable = namespace.NewType("unavailable")
	// NotFound means that there is no such object.
	NotFound = namespace.NewType("not_found")
)

// IsUnavailable says whether an error means that the platform did not answer.
func IsUnavailable(err error) bool {
	return errorx.IsOfType(err, Unavailable) || errorx.IsOfType(err, Unresolved)
}
