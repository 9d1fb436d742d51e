// Package plat accesses the platform: its transactional table and its object store.
package plat

import (
	"context"

	"github.com/joomcode/errorx"
)

// Row is one row of a table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version increases with every write to the platform, also across a restore of the
	// platform from an older copy (see JoinVersion); 0 means that the row does not exist.
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
	// ID identifies the write, so that a write whose answer was lost can be recognised.
	ID      string   `json:"id"`
	Changes []Change `json:"changes"`
}

// Store holds the operations of the platform that this project uses. Its functions can be
// replaced one by one: NewClient fills them in for a platform over HTTP, Memory for
// tests.
type Store struct {
	// Get returns the row, with version 0 if it does not exist.
	Get func(ctx context.Context, table, key string) (Row, error)
	// List returns the rows with a version above since, deleted ones with an empty value,
	// and the version up to which the list is complete.
	List func(ctx context.Context, table string, since int64) ([]Row, int64, error)
	// Commit applies the write and returns the version that it made. It returns Conflict
	// if a row has another version than expected. After any other error the write may or
	// may not have taken effect.
	Commit    func(ctx context.Context, write Write) (int64, error)
	PutObject func(ctx context.Context, name string, data []byte) error
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// DeleteObject deletes an object. It also succeeds if the object does not exist, so a
	// delete whose answer was lost may be repeated.
	DeleteObject func(ctx context.Context, name string) error
	// ListObjects returns at most limit names with the prefix, in byte order.
	ListObjects func(ctx context.Context, prefix string, limit int) ([]string, error)
	// Generation returns how often the platform has come back from an older copy, as far
	// as its answers have shown; nil means never. OnRestore adds a function that is called
	// once for each later generation, before anything is returned under that generation.
	// The function must not call the store. Both may be nil.
	Generation func() int64
	OnRestore  func(notify func(Restore))
}

var (
	namespace = errorx.NewNamespace("platform")
	// Conflict means that a row had another version than the write expected.
	Conflict = namespace.NewType("conflict")
	// Unavailable means that the platform gave no usable answer.
	Unavailable = namespace.NewType("unavailable")
	// Restored means that the platform came back from an older copy during the call, whose
	// answer was dropped. A write may or may not have taken effect.
	Restored = namespace.NewType("restored")
	// NotFound means that the object does not exist.
	NotFound = namespace.NewType("not_found")
)

// IsUnavailable reports whether an error means that the platform did not answer.
func IsUnavailable(err error) bool {
	return errorx.IsOfType(err, Unavailable) || errorx.IsOfType(err, Unresolved) || errorx.IsOfType(err, Restored)
}

// CurrentGeneration returns the generation of the platform, 0 if it names none.
func (s Store) CurrentGeneration() int64 {
	if s.Generation == nil {
		return 0
	}
	return s.Generation()
}

// NotifyRestore has a function called for each restore, if the platform tells of them.
func (s Store) NotifyRestore(notify func(Restore)) {
	if s.OnRestore != nil {
		s.OnRestore(notify)
	}
}
