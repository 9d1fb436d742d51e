package config

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/dandelionfield/dandelionfield/internal/plat"
)

// rememberedHeads is how many former heads the history row names.
const rememberedHeads = 64

type (
	// head is the value of the row config/current, and an entry of the row
	// config/history. A head is known by its number and digest, from which the
	// id of its write follows.
	head struct {
		Number int64  `json:"number"`
		Digest string `json:"digest"`
	}

	// history is the value of the row config/history: former heads, the latest
	// first. It is written in one transaction with the head. Whoever replaces
	// a head has read it, so a head that was ever in force is found here, and
	// a writer whose answer was lost learns what became of its write even
	// after another has overwritten it. It is a row of its own because nodes
	// poll the head.
	history struct {
		Past []head `json:"past"`
	}
)

// Commit accepts a document as the revision after the expected one (0 for the
// first) and brings it into force here. It returns a Revision only if that
// revision was accepted, else Invalid, Conflict or Unresolved.
//
// The write id follows from the document and the expected revision. So an
// operator who sends the same Commit again, because its answer was lost, gets
// the revision that the first one made.
func (c *Controller) Commit(ctx context.Context, document []byte, expected int64) (Revision, error) {
	accepted := Revision{Number: expected + 1, Digest: Digest(document), Document: document}
	set, err := c.verify(accepted)
	if err != nil {
		return Revision{}, err
	}
	accepted.Set = set
	row, current, err := c.readHead(ctx)
	if err != nil {
		return Revision{}, Unresolved.Wrap(err, "the revision in force is not known")
	}
	done, err := c.outcome(ctx, current, accepted)
	if err == nil && !done {
		err = c.commitHead(ctx, row, current, accepted)
	}
	if err != nil {
		return Revision{}, err
	}
	c.Offer(accepted)
	return accepted, nil
}

// commitHead puts the object and replaces the head.
func (c *Controller) commitHead(ctx context.Context, row plat.Row, current head, accepted Revision) error {
	if err := c.putObject(ctx, accepted); err != nil {
		return Unresolved.Wrap(err, "the document could not be stored; this attempt accepted nothing")
	}
	write, err := c.headWrite(ctx, row, current, accepted)
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
	// The expected head is still there, but the write may be on its way.
	return Unresolved.Wrap(err, "whether revision %d was accepted is not known", accepted.Number)
}

func (c *Controller) headWrite(ctx context.Context, row plat.Row, current head, accepted Revision) (plat.Write, error) {
	past, err := c.readHistory(ctx)
	if err != nil {
		return plat.Write{}, Unresolved.Wrap(err, "the history could not be read; this attempt accepted nothing")
	}
	if current.Number > 0 {
		past.Past = append([]head{current}, past.Past...)
		past.Past = past.Past[:min(len(past.Past), rememberedHeads)]
	}
	currentValue, err := json.Marshal(head{Number: accepted.Number, Digest: accepted.Digest})
	if err != nil {
		return plat.Write{}, err
	}
	pastValue, err := json.Marshal(past)
	if err != nil {
		return plat.Write{}, err
	}
	// One transaction writes both rows always, so their versions are equal.
	return plat.Write{
		Table: configTable,
		ID:    writeID("config", accepted.Digest, current.Number),
		Changes: []plat.Change{
			{Key: currentKey, Value: currentValue, Expected: row.Version},
			{Key: historyKey, Value: pastValue, Expected: row.Version},
		},
	}, nil
}

// outcome tells what became of the write that would have made the revision:
// done, not done while the revision before it is still in force, or a Conflict.
func (c *Controller) outcome(ctx context.Context, current head, wanted Revision) (done bool, err error) {
	expected := wanted.Number - 1
	if current.Number == expected {
		return false, nil
	}
	conflict := Conflict.New("expected revision %d, but revision %d (%s) is in force", expected, current.Number, current.Digest)
	if current.Number < expected {
		return false, conflict
	}
	past, err := c.readHistory(ctx)
	if err != nil {
		return false, Unresolved.Wrap(err, "whether revision %d was accepted is not known", wanted.Number)
	}
	for _, entry := range append(past.Past, current) {
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

// putObject stores the document. A lost answer is settled by reading back.
func (c *Controller) putObject(ctx context.Context, r Revision) error {
	err := c.store.PutObject(ctx, objectName(r.Digest), r.Document)
	if err == nil {
		return nil
	}
	stored, readErr := c.store.GetObject(ctx, objectName(r.Digest))
	if readErr == nil && Digest(stored) == r.Digest {
		return nil
	}
	return err
}

func (c *Controller) readHistory(ctx context.Context) (history, error) {
	var past history
	row, err := c.store.Get(ctx, configTable, historyKey)
	if err != nil || row.Version == 0 {
		return past, err
	}
	if err := json.Unmarshal(row.Value, &past); err != nil {
		return past, Invalid.Wrap(err, "the row %s/%s cannot be read", configTable, historyKey)
	}
	return past, nil
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

// writeID names the write that follows the expected version with a document.
func writeID(table, digest string, expected int64) string {
	return table + "-" + strconv.FormatInt(expected, 10) + "-" + digest
}

func objectName(digest string) string {
	return "config-" + digest
}

func isConflict(err error) bool {
	return errorx.IsOfType(err, plat.Conflict)
}
