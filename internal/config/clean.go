package config

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/plat"
)

const (
	// cleanInterval is the mean time between two checks of one node whether a cleanup run
	// is due, and the length of a run. With 530 nodes the checks make 0.3 reads/s in all.
	cleanInterval = 30 * time.Minute
	// deletePause is the time between two deletes. With one lease write every 10 s, a
	// node then uses 0.2 of the 0.5 writes/s that its client permits.
	deletePause = 10 * time.Second
	// deletesPerRun is the number of deletes that, with their pauses, fit into one run:
	// 25 of its 30 minutes, so that the next node does not start before this one ends.
	// All runs of a day make at most 7200 deletes.
	deletesPerRun = 150

	cleanStateKey = "cleaned"
	objectPrefix  = "revision-"
)

// cleanState is the value of the row config/cleaned.
type cleanState struct {
	// Below is the revision number below which documents may have been deleted. It never
	// decreases and is raised before the first delete, so that no caller is offered a
	// revision that is about to be deleted.
	Below int64 `json:"below"`
	// NextMS is the Unix time in milliseconds from which the next run may start, and Node
	// the node that claimed the present run.
	NextMS int64  `json:"next_ms"`
	Node   string `json:"node"`
}

// RunCleaner deletes documents that are no longer kept, until the context ends. Only one
// node at a time runs a cleanup.
func (c *Controller) RunCleaner(ctx context.Context) {
	for {
		select {
		case <-c.clock.After(c.jitter(cleanInterval)):
		case <-ctx.Done():
			return
		}
		if err := c.Clean(ctx); err != nil {
			c.log.Debug("cleaning_failed", "error", err)
		}
	}
}

// Clean deletes documents that are no longer kept, if a run is due. It stops at the first
// error; a later run deletes the rest.
//
// No lock against commits and other cleaners is needed. Each revision has an object of
// its own, named by its number, and a number below the head's is never accepted again. So
// an object below cleanState.Below is never referred to again, however late a delete or a
// put arrives: two nodes may delete it, and a rollback stores its copy under a new
// number.
func (c *Controller) Clean(ctx context.Context) error {
	below, err := c.claimCleanup(ctx)
	if err != nil || below == 0 {
		return err
	}
	names, err := c.listObjects(ctx)
	if err != nil {
		return err
	}
	deleted := 0
	for _, name := range names {
		if number, ok := objectNumber(name); !ok || number >= below {
			continue
		}
		if err := c.deleteObject(ctx, name); err != nil {
			return err
		}
		deleted++
		if err := c.pause(ctx, deletePause); err != nil {
			return err
		}
	}
	c.log.Info("revisions_cleaned", "below", below, "deleted", deleted)
	return nil
}

// claimCleanup claims a cleanup run by updating the row config/cleaned, and returns the
// new value of cleanState.Below. It returns 0 if no run is due or another node claimed
// it.
func (c *Controller) claimCleanup(ctx context.Context) (below int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, state, err := c.readCleanState(ctx)
	now := c.clock.Now()
	if err != nil || !state.due(now) {
		return 0, err
	}
	hist, err := c.readHistory(ctx)
	if err != nil || len(hist.Entries) == 0 {
		return 0, err
	}
	current := c.Current()
	if current == nil || current.Number != hist.Entries[0].Number {
		return 0, nil // this node does not know yet how many revisions the latest set keeps
	}
	next := cleanState{
		Below:  max(state.Below, hist.lowestKept(keptRevisions(current.Set), now)),
		NextMS: now.Add(cleanInterval).UnixMilli(),
		Node:   c.Name,
	}
	if err := c.commitCleanState(ctx, row, next); err != nil {
		if isConflict(err) {
			return 0, nil // another node claimed this run
		}
		return 0, err
	}
	return next.Below, nil
}

func (c *Controller) commitCleanState(ctx context.Context, row plat.Row, next cleanState) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = c.store.Commit(ctx, plat.Write{
		Table:   configTable,
		ID:      writeID(cleanStateKey, Digest(value), row.Version),
		Changes: []plat.Change{{Key: cleanStateKey, Value: value, Expected: row.Version}},
	})
	return err
}

func (c *Controller) readCleanState(ctx context.Context) (plat.Row, cleanState, error) {
	var state cleanState
	row, err := c.store.Get(ctx, configTable, cleanStateKey)
	if err != nil || row.Version == 0 {
		return row, state, err
	}
	if err := json.Unmarshal(row.Value, &state); err != nil {
		return row, state, Invalid.Wrap(err, "the row %s/%s cannot be read", configTable, cleanStateKey)
	}
	return row, state, nil
}

// due reports whether a run may start. A time further ahead than twice the length of a
// run comes from a wrong clock and is ignored.
func (s cleanState) due(now time.Time) bool {
	wait := time.UnixMilli(s.NextMS).Sub(now)
	return wait <= 0 || wait > 2*cleanInterval
}

func (c *Controller) listObjects(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.ListObjects(ctx, objectPrefix, deletesPerRun)
}

func (c *Controller) deleteObject(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.DeleteObject(ctx, name)
}

// objectName returns the object name of a revision's document. Names sort by number.
func objectName(number int64, digest string) string {
	return fmt.Sprintf("%s%019d-%s", objectPrefix, number, digest)
}

// objectNumber returns the revision number in an object's name.
func objectNumber(name string) (number int64, ok bool) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(name, objectPrefix), "-")
	number, err := strconv.ParseInt(digits, 10, 64)
	return number, err == nil && number > 0
}
