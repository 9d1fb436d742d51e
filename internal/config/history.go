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
	// minHistoryEntries is the least number of former heads that the history row names,
	// however few revisions are kept, so that a writer whose answer was lost can still
	// find out whether its write took effect.
	minHistoryEntries = 64
	// replacedRetention is how long a revision stays after it was replaced, however few
	// are kept: a slow node may have read the head row before the replacement and fetch
	// the document later.
	replacedRetention = time.Hour
)

type (
	// Entry is the history record of one accepted revision.
	Entry struct {
		Number int64  `json:"number"`
		Digest string `json:"digest"`
		// AcceptedMS is the Unix time in milliseconds by the clock of the accepting node.
		AcceptedMS int64 `json:"accepted_ms"`
		// Node is the name of the node through which the revision was accepted.
		Node string `json:"node"`
		// Restores is the revision that a rollback restored, or 0.
		Restores int64 `json:"restores,omitempty"`
		// Changes is nil if the previous revision was not in force at the accepting node.
		Changes *Counts `json:"changes,omitempty"`
	}

	// Counts holds the number of resources that a revision created, changed and deleted.
	Counts struct {
		Created int `json:"created"`
		Changed int `json:"changed"`
		Deleted int `json:"deleted"`
	}

	// history is the value of the row config/history: the accepted revisions, the latest
	// first. The history is written in one transaction with the head. A writer that
	// replaces a head has read the history, so the history has an entry for every head
	// that was ever in force, and a writer whose answer was lost learns whether its write
	// took effect even after another write has replaced it. The history has its own row
	// because nodes poll the head.
	history struct {
		Entries []Entry `json:"past"`
	}
)

var (
	// NotKept means that the platform does not have the revision. Its message names the
	// revisions that are kept.
	NotKept = namespace.NewType("not_kept")
	// Unreachable means that the history could not be read because the platform did not
	// answer. Nothing was changed.
	Unreachable = namespace.NewType("unreachable")
)

// History returns the revisions whose documents are kept, the latest first.
func (c *Controller) History(ctx context.Context) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	hist, err := c.readHistory(ctx)
	if err != nil {
		return nil, unreachableError(err)
	}
	_, state, err := c.readCleanState(ctx)
	if err != nil {
		return nil, unreachableError(err)
	}
	kept := hist.Entries
	for i, entry := range kept {
		if entry.Number < state.Below {
			return kept[:i], nil
		}
	}
	return kept, nil
}

// Load returns a kept revision, or the error NotKept, Unreachable or Invalid. The
// revision in force at this node is returned without a request to the platform.
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

// Rollback accepts the document of a kept revision as the revision after the expected
// one. It returns the errors of Commit and those of Load; after an error of Load nothing
// was changed. Like Commit it is idempotent: a repeated call is accepted once.
func (c *Controller) Rollback(ctx context.Context, number, expected int64) (Revision, error) {
	kept, err := c.History(ctx)
	if err != nil {
		return Revision{}, err
	}
	source := number
	for _, entry := range kept {
		if entry.Number == expected+1 && entry.Restores == number {
			// The same rollback was accepted before; the document that it restored may
			// have been deleted since.
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
	return Revision{}, notKeptError(kept, number)
}

func (c *Controller) loadEntry(ctx context.Context, entry Entry, kept []Entry) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	document, err := c.store.GetObject(ctx, objectName(entry.Number, entry.Digest))
	if errorx.IsOfType(err, plat.NotFound) {
		return Revision{}, notKeptError(kept, entry.Number) // deleted since the history was read
	}
	if err != nil {
		return Revision{}, unreachableError(err)
	}
	revision := Revision{Number: entry.Number, Digest: entry.Digest, Document: document}
	revision.Set, err = c.verify(revision)
	return revision, err
}

func (c *Controller) readHistory(ctx context.Context) (history, error) {
	var hist history
	row, err := c.store.Get(ctx, configTable, historyKey)
	if err != nil || row.Version == 0 {
		return hist, err
	}
	if err := json.Unmarshal(row.Value, &hist); err != nil {
		return hist, Invalid.Wrap(err, "the row %s/%s cannot be read", configTable, historyKey)
	}
	return hist, nil
}

// entry returns the history record of a revision that is about to be accepted.
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

// prepend returns the history with one more revision, and without the entries that are
// neither among the latest nor recently in force.
func (h history) prepend(accepted Entry, kept int, now time.Time) history {
	longer := history{Entries: append([]Entry{accepted}, h.Entries...)}
	for i := max(kept, minHistoryEntries); i < len(longer.Entries); i++ {
		if !longer.recentlyInForce(i, now) {
			longer.Entries = longer.Entries[:i]
		}
	}
	return longer
}

// lowestKept returns the lowest revision number whose document is kept: one of the latest
// kept revisions, or one that was in force less than replacedRetention ago.
func (h history) lowestKept(kept int, now time.Time) int64 {
	lowest := int64(0)
	for i, entry := range h.Entries {
		if i >= kept && !h.recentlyInForce(i, now) {
			break
		}
		lowest = entry.Number
	}
	return lowest
}

// recentlyInForce reports whether entry i is in force or was replaced less than
// replacedRetention ago.
func (h history) recentlyInForce(i int, now time.Time) bool {
	if i == 0 {
		return true
	}
	return now.Sub(time.UnixMilli(h.Entries[i-1].AcceptedMS)) < replacedRetention
}

// keptRevisions returns the number of revisions that a set asks to keep.
func keptRevisions(set *schema.Set) int {
	if set == nil || set.Limits.KeptRevisions <= 0 {
		return schema.DefaultLimits().KeptRevisions
	}
	return set.Limits.KeptRevisions
}

func notKeptError(kept []Entry, number int64) error {
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

func unreachableError(err error) error {
	if errorx.IsOfType(err, Invalid) {
		return err
	}
	return Unreachable.Wrap(err, "the platform gave no answer, and only it has former revisions; nothing was changed, try again when it answers")
}
