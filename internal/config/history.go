package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// rememberedHeads is how many former heads the history row names at least,
	// whatever number of revisions is kept, so that a writer whose answer was
	// lost can still learn what became of its write.
	rememberedHeads = 64
	// fetchGrace is how long a revision stays after it was replaced, however
	// few are kept: a slow node may have read the head row before.
	fetchGrace = time.Hour
)

type (
	// Entry is what the history tells of one accepted revision.
	Entry struct {
		Number int64  `json:"number"`
		Digest string `json:"digest"`
		// AcceptedMS is the Unix time by the clock of the accepting node.
		AcceptedMS int64 `json:"accepted_ms"`
		// Node is the name of the node through which it was accepted.
		Node string `json:"node"`
		// Restores is the revision that a rollback went back to, else 0.
		Restores int64 `json:"restores,omitempty"`
		// Changes is nil if the accepting node did not have the revision before.
		Changes *Counts `json:"changes,omitempty"`
	}

	// Counts says how many resources a revision changed.
	Counts struct {
		Created int `json:"created"`
		Changed int `json:"changed"`
		Deleted int `json:"deleted"`
	}

	// history is the value of the row config/history: the accepted revisions,
	// the latest first. It is written in one transaction with the head. Whoever
	// replaces a head has read it, so a head that was ever in force is found
	// here, and a writer whose answer was lost learns what became of its write
	// even after another has overwritten it. It is a row of its own because
	// nodes poll the head.
	history struct {
		Past []Entry `json:"past"`
	}
)

var (
	// NotKept means that the platform does not have the revision. Its message
	// says which ones it has.
	NotKept = namespace.NewType("not_kept")
	// Unreachable means that the history could not be read because the platform
	// gave no answer. Nothing was changed.
	Unreachable = namespace.NewType("unreachable")
)

// History returns the revisions whose documents are kept, the latest first.
func (c *Controller) History(ctx context.Context) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	past, err := c.readHistory(ctx)
	if err != nil {
		return nil, unreachable(err)
	}
	_, mark, err := c.readMark(ctx)
	if err != nil {
		return nil, unreachable(err)
	}
	kept := past.Past
	for i, entry := range kept {
		if entry.Number < mark.Below {
			return kept[:i], nil
		}
	}
	return kept, nil
}

// Load returns a kept revision, or NotKept, Unreachable or Invalid. The one in
// force here needs no platform.
func (c *Controller) Load(ctx context.Context, number int64) (Revision, error) {
	if current := c.Current(); current != nil && current.Number == number {
		return *current, nil
	}
	kept, err := c.History(ctx)
	if err != nil {
		return Revision{}, err
	}
	return c.loadFrom(ctx, kept, number)
}

// Rollback accepts the document of a kept revision as the revision after the
// expected one. Besides the errors of Commit it returns those of Load; then
// nothing was changed. As with Commit, one that is sent again is accepted once.
func (c *Controller) Rollback(ctx context.Context, number, expected int64) (Revision, error) {
	kept, err := c.History(ctx)
	if err != nil {
		return Revision{}, err
	}
	source := number
	for _, entry := range kept {
		if entry.Number == expected+1 && entry.Restores == number {
			// It was accepted before, and the former revision may be gone since.
			source = entry.Number
		}
	}
	restored, err := c.loadFrom(ctx, kept, source)
	if err != nil {
		return Revision{}, err
	}
	return c.accept(ctx, restored.Document, expected, number)
}

func (c *Controller) loadFrom(ctx context.Context, kept []Entry, number int64) (Revision, error) {
	for _, entry := range kept {
		if entry.Number == number {
			return c.loadEntry(ctx, entry, kept)
		}
	}
	return Revision{}, notKept(kept, number)
}

func (c *Controller) loadEntry(ctx context.Context, entry Entry, kept []Entry) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	document, err := c.store.GetObject(ctx, objectName(entry.Number, entry.Digest))
	if errorx.IsOfType(err, plat.NotFound) {
		return Revision{}, notKept(kept, entry.Number) // deleted since the history was read
	}
	if err != nil {
		return Revision{}, unreachable(err)
	}
	revision := Revision{Number: entry.Number, Digest: entry.Digest, Document: document}
	revision.Set, err = c.verify(revision)
	return revision, err
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

// entry describes a revision that is about to be accepted.
func (c *Controller) entry(accepted Revision, restores int64) Entry {
	return Entry{
		Number:     accepted.Number,
		Digest:     accepted.Digest,
		AcceptedMS: c.clock.Now().UnixMilli(),
		Node:       c.Name,
		Restores:   restores,
		Changes:    c.countChanges(accepted),
	}
}

func (c *Controller) countChanges(accepted Revision) *Counts {
	before := &schema.Set{Limits: schema.DefaultLimits()}
	if current := c.Current(); current != nil {
		before = current.Set
	}
	if c.Number() != accepted.Number-1 {
		return nil
	}
	counts := &Counts{}
	for _, change := range before.Diff(accepted.Set) {
		switch change.Action {
		case schema.Created:
			counts.Created++
		case schema.Changed:
			counts.Changed++
		case schema.Deleted:
			counts.Deleted++
		}
	}
	return counts
}

// with returns the history after one more revision, without what is neither
// among the latest nor fresh.
func (h history) with(accepted Entry, kept int, now time.Time) history {
	longer := history{Past: append([]Entry{accepted}, h.Past...)}
	for i := max(kept, rememberedHeads); i < len(longer.Past); i++ {
		if !longer.fresh(i, now) {
			longer.Past = longer.Past[:i]
		}
	}
	return longer
}

// floor returns the lowest number whose document stays: each of the latest,
// and each that was in force until less than fetchGrace ago.
func (h history) floor(kept int, now time.Time) int64 {
	lowest := int64(0)
	for i, entry := range h.Past {
		if i >= kept && !h.fresh(i, now) {
			break
		}
		lowest = entry.Number
	}
	return lowest
}

// fresh says whether a revision is in force or was replaced a short time ago.
func (h history) fresh(i int, now time.Time) bool {
	if i == 0 {
		return true
	}
	return now.Sub(time.UnixMilli(h.Past[i-1].AcceptedMS)) < fetchGrace
}

// keptRevisions returns how many revisions a set keeps.
func keptRevisions(set *schema.Set) int {
	if set == nil || set.Limits.KeptRevisions <= 0 {
		return schema.DefaultLimits().KeptRevisions
	}
	return set.Limits.KeptRevisions
}

func notKept(kept []Entry, number int64) error {
	if len(kept) == 0 {
		return NotKept.New("there is no revision %d: nothing has been accepted yet", number)
	}
	latest, oldest := kept[0].Number, kept[len(kept)-1].Number
	if number > latest {
		return NotKept.New("there is no revision %d yet: %d is the latest", number, latest)
	}
	return NotKept.New("revision %d is not kept any more, only %d to %d are; apply its declarations from version control",
		number, oldest, latest)
}

func unreachable(err error) error {
	if errorx.IsOfType(err, Invalid) {
		return err
	}
	return Unreachable.Wrap(err, "the platform gave no answer, and only it has former revisions; nothing was changed, try again when it answers")
}
