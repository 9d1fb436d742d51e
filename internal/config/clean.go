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
	// cleanInterval is the mean time after which a node looks whether a turn of
	// cleaning is due, and the length of a turn. At 530 nodes that is 0.3
	// reads/s.
	cleanInterval = 30 * time.Minute
	// deletePause is the time between two deletes. With a lease row in 10 s, a
	// node then uses 0.2 of the 0.5 writes/s that the platform grants it.
	deletePause = 10 * time.Second
	// deletesPerTurn fit into a turn with their pauses, 25 of 30 minutes, so
	// that the next node does not begin before. They are 7200 a day.
	deletesPerTurn = 150

	markKey      = "cleaned"
	objectPrefix = "revision-"
)

// mark is the value of the row config/cleaned.
type mark struct {
	// Below is the number below which documents may be gone. It never falls and
	// is raised before the first delete, so that nobody is promised a revision
	// that is about to go.
	Below int64 `json:"below"`
	// NextMS is the Unix time from which another turn may begin, and Node the
	// node that has the present one.
	NextMS int64  `json:"next_ms"`
	Node   string `json:"node"`
}

// RunCleaner removes documents that are no longer kept until the context ends.
// Of all nodes, one has the turn at a time.
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

// Clean removes documents that are no longer kept, if a turn is due. It ends at
// the first error; what it left is removed in a later turn.
//
// No lock is needed against commits and other cleaners. Each revision has an
// object of its own, named by its number, and a number below the head's is
// never accepted again. So an object below the mark is never referred to again,
// however late a delete or a put arrives: two nodes may delete it, and a
// rollback puts its copy under a new number.
func (c *Controller) Clean(ctx context.Context) error {
	below, err := c.takeTurn(ctx)
	if err != nil || below == 0 {
		return err
	}
	names, err := c.listObjects(ctx)
	if err != nil {
		return err
	}
	deleted := 0
	for _, name := range names {
		if number, ok := numberOf(name); !ok || number >= below {
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

// takeTurn raises the mark and returns it, or 0 if there is no turn to take.
func (c *Controller) takeTurn(ctx context.Context) (below int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, last, err := c.readMark(ctx)
	now := c.clock.Now()
	if err != nil || !last.due(now) {
		return 0, err
	}
	past, err := c.readHistory(ctx)
	if err != nil || len(past.Past) == 0 {
		return 0, err
	}
	current := c.Current()
	if current == nil || current.Number != past.Past[0].Number {
		return 0, nil // how many are kept is not known here yet
	}
	next := mark{
		Below:  max(last.Below, past.floor(keptRevisions(current.Set), now)),
		NextMS: now.Add(cleanInterval).UnixMilli(),
		Node:   c.Name,
	}
	if err := c.commitMark(ctx, row, next); err != nil {
		if isConflict(err) {
			return 0, nil // another node has taken it
		}
		return 0, err
	}
	return next.Below, nil
}

func (c *Controller) commitMark(ctx context.Context, row plat.Row, next mark) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = c.store.Commit(ctx, plat.Write{
		Table:   configTable,
		ID:      writeID(markKey, Digest(value), row.Version),
		Changes: []plat.Change{{Key: markKey, Value: value, Expected: row.Version}},
	})
	return err
}

func (c *Controller) readMark(ctx context.Context) (plat.Row, mark, error) {
	var last mark
	row, err := c.store.Get(ctx, configTable, markKey)
	if err != nil || row.Version == 0 {
		return row, last, err
	}
	if err := json.Unmarshal(row.Value, &last); err != nil {
		return row, last, Invalid.Wrap(err, "the row %s/%s cannot be read", configTable, markKey)
	}
	return row, last, nil
}

// due says whether a turn may begin. A time further off than any turn is long
// comes from a wrong clock and is not waited for.
func (m mark) due(now time.Time) bool {
	wait := time.UnixMilli(m.NextMS).Sub(now)
	return wait <= 0 || wait > 2*cleanInterval
}

func (c *Controller) listObjects(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.ListObjects(ctx, objectPrefix, deletesPerTurn)
}

func (c *Controller) deleteObject(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.DeleteObject(ctx, name)
}

func (c *Controller) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-c.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// objectName names the document of a revision. Names sort by number.
func objectName(number int64, digest string) string {
	return fmt.Sprintf("%s%019d-%s", objectPrefix, number, digest)
}

// numberOf returns the number in an object's name.
func numberOf(name string) (number int64, ok bool) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(name, objectPrefix), "-")
	number, err := strconv.ParseInt(digits, 10, 64)
	return number, err == nil && number > 0
}
