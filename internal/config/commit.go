package config

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/dandelionfield/dandelionfield/internal/plat"
)

// rememberedHeads is how many former heads the version row names.
const rememberedHeads = 16

type (
	// head is the value of the row config/current.
	head struct {
		Number  int64  `json:"number"`
		Digest  string `json:"digest"`
		WriteID string `json:"write_id"`
		// Past holds former heads, the latest first. Whoever replaces a head
		// has read it, so a head that was ever in the row is found here, and a
		// writer whose answer was lost learns what became of its write even
		// after another has overwritten it.
		Past []pastHead `json:"past,omitempty"`
	}

	pastHead struct {
		Number  int64  `json:"number"`
		Digest  string `json:"digest"`
		WriteID string `json:"write_id"`
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
	id := writeID("config", accepted.Digest, expected)
	row, current, err := c.readHead(ctx)
	if err != nil {
		return Revision{}, Unresolved.Wrap(err, "the revision in force is not known")
	}
	if done, err := outcome(current, id, expected); err != nil {
		return Revision{}, err
	} else if !done {
		err = c.commitHead(ctx, row, current, accepted, id)
		if err != nil {
			return Revision{}, err
		}
	}
	c.Offer(accepted)
	return accepted, nil
}

// commitHead puts the object and replaces the head.
func (c *Controller) commitHead(ctx context.Context, row plat.Row, current head, accepted Revision, id string) error {
	if err := c.putObject(ctx, accepted); err != nil {
		return Unresolved.Wrap(err, "the document could not be stored; nothing was accepted by this attempt")
	}
	next := head{Number: accepted.Number, Digest: accepted.Digest, WriteID: id}
	if current.Number > 0 {
		past := pastHead{Number: current.Number, Digest: current.Digest, WriteID: current.WriteID}
		next.Past = append([]pastHead{past}, current.Past...)
		next.Past = next.Past[:min(len(next.Past), rememberedHeads)]
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	change := plat.Change{Key: currentKey, Value: value, Expected: row.Version}
	_, err = c.store.Commit(ctx, plat.Write{Table: configTable, ID: id, Changes: []plat.Change{change}})
	if err == nil {
		return nil
	}
	_, current, readErr := c.readHead(ctx)
	if readErr != nil {
		return Unresolved.Wrap(err, "whether revision %d was accepted is not known", accepted.Number)
	}
	done, outcomeErr := outcome(current, id, accepted.Number-1)
	switch {
	case outcomeErr != nil:
		return outcomeErr
	case done:
		return nil
	}
	// The row still has the expected head, but the write may be on its way.
	return Unresolved.Wrap(err, "whether revision %d was accepted is not known", accepted.Number)
}

// outcome tells from the head what became of a write: done, not done while
// the expected revision is still in force, or a Conflict.
func outcome(current head, id string, expected int64) (done bool, err error) {
	if current.Number == expected {
		return false, nil
	}
	if current.WriteID == id {
		return true, nil
	}
	for _, past := range current.Past {
		if past.WriteID == id {
			return true, nil
		}
	}
	if current.Number > expected+1+rememberedHeads {
		return false, Conflict.New("expected revision %d, but revision %d (%s) is in force, "+
			"and whether this document was revision %d is no longer known",
			expected, current.Number, current.Digest, expected+1)
	}
	return false, Conflict.New("expected revision %d, but revision %d (%s) is in force", expected, current.Number, current.Digest)
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
