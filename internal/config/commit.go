package config

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/dandelionfield/dandelionfield/internal/plat"
)

// head is the value of the row config/current. Its number and digest identify it, and the
// id of the write that made it is derived from them.
type head struct {
	Number int64  `json:"number"`
	Digest string `json:"digest"`
}

// Commit accepts a document as the revision after the expected one (0 for the first) and
// brings it into force at this node. It returns a Revision only if that revision was
// accepted; otherwise the error is ReadOnly, Invalid, Conflict or Unresolved.
//
// The write id is derived from the document and the expected revision. So Commit is
// idempotent: an operator who repeats it because the answer was lost gets the revision
// that the first call made.
func (c *Controller) Commit(ctx context.Context, document []byte, expected int64) (Revision, error) {
	return c.accept(ctx, document, expected, 0)
}

// accept implements Commit and Rollback. restores is the revision that a rollback
// restores, or 0.
func (c *Controller) accept(ctx context.Context, document []byte, expected, restores int64) (Revision, error) {
	if c.Source != nil {
		return Revision{}, ReadOnly.New("operators write the configuration on the platform")
	}
	accepted := Revision{Number: expected + 1, Digest: Digest(document), Document: document}
	set, err := c.verify(accepted)
	if err != nil {
		return Revision{}, err
	}
	accepted.Set = set
	if c.recentlyRestored() {
		return Revision{}, Unresolved.New("the platform came back from an older copy, and the revision in force is being written again; this attempt accepted nothing")
	}
	row, current, err := c.readHead(ctx)
	if err != nil {
		return Revision{}, Unresolved.Wrap(err, "the revision in force is not known")
	}
	if current.Number < c.Number() && c.isHeadDoubtful() {
		if err := c.checkHead(ctx, row, current); err != nil {
			return Revision{}, Unresolved.Wrap(err, "the platform came back from an older copy; this attempt accepted nothing")
		}
		return Revision{}, Conflict.New("expected revision %d, but revision %d is in force", expected, c.Number())
	}
	done, err := c.outcome(ctx, current, accepted)
	if err == nil && !done {
		err = c.commitHead(ctx, row, accepted, restores)
	}
	if err != nil {
		return Revision{}, err
	}
	c.Offer(accepted)
	return accepted, nil
}

// commitHead stores the document and replaces the head row.
func (c *Controller) commitHead(ctx context.Context, row plat.Row, accepted Revision, restores int64) error {
	if err := c.putObject(ctx, accepted); err != nil {
		return Unresolved.Wrap(err, "the document could not be stored; this attempt accepted nothing")
	}
	write, err := c.headWrite(ctx, row, accepted, restores)
	if err != nil {
		return err
	}
	_, err = c.store.Commit(ctx, write)
	if err == nil {
		return nil
	}
	_, current, readErr := c.readHead(ctx)
	if readErr != nil {
		return Unresolved.Wrap(err, "whether revision %d was accepted is not known", accepted.Number)
	}
	done, outcomeErr := c.outcome(ctx, current, accepted)
	if done || outcomeErr != nil {
		return outcomeErr
	}
	// The expected head is still in force, but the write may still be in flight.
	return Unresolved.Wrap(err, "whether revision %d was accepted is not known", accepted.Number)
}

func (c *Controller) headWrite(ctx context.Context, row plat.Row, accepted Revision, restores int64) (plat.Write, error) {
	hist, err := c.readHistory(ctx)
	if err != nil {
		return plat.Write{}, Unresolved.Wrap(err, "the history could not be read; this attempt accepted nothing")
	}
	hist = hist.prepend(c.entry(accepted, restores), keptRevisions(accepted.Set), c.clock.Now())
	currentValue, err := json.Marshal(head{Number: accepted.Number, Digest: accepted.Digest})
	if err != nil {
		return plat.Write{}, err
	}
	historyValue, err := json.Marshal(hist)
	if err != nil {
		return plat.Write{}, err
	}
	// Both rows are only ever written in one transaction, so their versions are equal.
	return plat.Write{
		Table: configTable,
		ID:    writeID("config", accepted.Digest, accepted.Number-1),
		Changes: []plat.Change{
			{Key: currentKey, Value: currentValue, Expected: row.Version},
			{Key: historyKey, Value: historyValue, Expected: row.Version},
		},
	}, nil
}

// outcome reports whether the write that would have made the wanted revision took effect.
// It returns false while the previous revision is still in force, and Conflict if another
// revision was accepted instead or the history no longer has an entry for that number.
func (c *Controller) outcome(ctx context.Context, current head, wanted Revision) (done bool, err error) {
	expected := wanted.Number - 1
	if current.Number == expected {
		return false, nil
	}
	conflict := Conflict.New("expected revision %d, but revision %d (%s) is in force", expected, current.Number, current.Digest)
	if current.Number < expected {
		return false, conflict
	}
	hist, err := c.readHistory(ctx)
	if err != nil {
		return false, Unresolved.Wrap(err, "whether revision %d was accepted is not known", wanted.Number)
	}
	for _, entry := range hist.Entries {
		if entry.Number != wanted.Number {
			continue
		}
		if entry.Digest == wanted.Digest {
			return true, nil
		}
		return false, conflict
	}
	return false, Conflict.Wrap(conflict, "whether this document was revision %d is no longer known", wanted.Number)
}

// putObject stores the document. If the answer is lost, it reads the object back to see
// whether the write took effect.
func (c *Controller) putObject(ctx context.Context, r Revision) error {
	name := objectName(r.Number, r.Digest)
	err := c.store.PutObject(ctx, name, r.Document)
	if err == nil {
		return nil
	}
	stored, readErr := c.store.GetObject(ctx, name)
	if readErr == nil && Digest(stored) == r.Digest {
		return nil
	}
	return err
}

func (c *Controller) readHead(ctx context.Context) (plat.Row, head, error) {
	var current head
	row, err := c.store.Get(ctx, configTable, currentKey)
	if err != nil || row.Version == 0 {
		return row, current, err
	}
	if err := json.Unmarshal(row.Value, &current); err != nil {
		return row, current, Invalid.Wrap(err, "the row %s/%s cannot be read", configTable, currentKey)
	}
	return row, current, nil
}

// writeID returns the id of the write that replaces the expected version of a row with a
// document.
func writeID(table, digest string, expected int64) string {
	return table + "-" + strconv.FormatInt(expected, 10) + "-" + digest
}

func isConflict(err error) bool {
	return errorx.IsOfType(err, plat.Conflict)
}
