package plat

import (
	"context"

	"github.com/joomcode/errorx"
)

// resolveAttempts is how often a write whose answer was lost is sent, and its row read
// back, before the outcome is reported as Unresolved.
const resolveAttempts = 4

// Unresolved means that a write may or may not have taken effect: its answer was lost,
// and the row that would show its id cannot be read or holds a later write.
var Unresolved = namespace.NewType("unresolved")

// Resolved returns the store with a Commit that determines the outcome of a write whose
// answer was lost. This Commit returns one of
//
//   - the version: the write took effect, at this version;
//   - Conflict: the write did not take effect and never will, since the rows have changed;
//   - Unresolved: the outcome could not be determined. The same write, with the same
//     id, may be sent again later without taking effect twice.
//
// Example: write w expects version 7 and its answer is lost. If the row now carries w's
// id, the write took effect. If the row still has version 7, w is sent again; if the
// first copy arrives late after all, one of the two finds the row at another version and
// is rejected. If the row has version 9 of another writer, that writer may have read
// version 7 (w never took effect) or version 8 (w took effect and was overwritten). The
// row alone cannot tell which. So w is sent once more, since a platform that still
// remembers its id answers 8; a Conflict then proves nothing, because the platform may
// have forgotten the id, and the result is Unresolved. Rows that list their predecessors
// resolve this case; see internal/config.
func Resolved(store Store) Store {
	commit := store.Commit
	store.Commit = func(ctx context.Context, write Write) (int64, error) {
		if len(write.Changes) == 0 {
			return commit(ctx, write) // there is no row to read back
		}
		return resolve(ctx, store.Get, commit, write)
	}
	return store
}

func resolve(
	ctx context.Context,
	get func(ctx context.Context, table, key string) (Row, error),
	commit func(ctx context.Context, write Write) (int64, error),
	write Write,
) (int64, error) {
	mayBeApplied := false // whether an earlier copy may have taken effect
	var last error
	for range resolveAttempts {
		version, err := commit(ctx, write)
		if err == nil {
			return version, nil
		}
		last = err
		conflict := errorx.IsOfType(err, Conflict)
		row, readErr := get(ctx, write.Table, write.Changes[0].Key)
		switch {
		case readErr == nil && row.Version != 0 && row.WriteID == write.ID:
			return row.Version, nil
		case conflict && !mayBeApplied:
			return 0, err
		case conflict && readErr == nil:
			return 0, Unresolved.Wrap(err, "write %s was sent before without an answer, and another write holds the row now", write.ID)
		}
		mayBeApplied = true
		if ctx.Err() != nil {
			break
		}
	}
	return 0, Unresolved.Wrap(last, "the fate of write %s could not be learned", write.ID)
}
