package plat

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/clock"
)

// maxRememberedWrites is how many write ids Memory recognises. A real platform also
// forgets write ids after some time.
const maxRememberedWrites = 65536

type (
	// Faults are the faults that a Memory simulates.
	Faults struct {
		// Down makes every operation fail without taking effect.
		Down bool
		// Delay is added to every operation.
		Delay time.Duration
		// LoseAnswers is the share of writes, 0 to 1, that take effect although the
		// caller gets Unavailable.
		LoseAnswers float64
		// Random returns a random number in [0, 1); nil means math/rand/v2.
		Random func() float64
	}

	// Stats holds the number of operations that reached a Memory, and the size of its
	// objects.
	Stats struct {
		Reads       int64 `json:"reads"`
		Writes      int64 `json:"writes"`
		Objects     int64 `json:"objects"`
		ObjectBytes int64 `json:"object_bytes"`
	}

	// Memory is an in-memory platform for tests: a table service and an object store with
	// configurable faults. It is safe for concurrent use.
	Memory struct {
		// Clock times Faults.Delay.
		Clock clock.Clock

		mu         sync.Mutex
		faults     Faults
		stats      Stats
		version    int64
		tables     map[string]map[string]Row
		objects    map[string][]byte
		writes     map[string]int64
		writeOrder []string
	}
)

// NewMemory returns an empty platform without faults.
func NewMemory() *Memory {
	return &Memory{
		Clock:   clock.System{},
		tables:  make(map[string]map[string]Row),
		objects: make(map[string][]byte),
		writes:  make(map[string]int64),
	}
}

// Store returns a Store that operates on this platform.
func (m *Memory) Store() Store {
	return Store{
		Get:          m.get,
		List:         m.list,
		Commit:       m.commit,
		PutObject:    m.putObject,
		GetObject:    m.getObject,
		DeleteObject: m.deleteObject,
		ListObjects:  m.listObjects,
	}
}

// SetFaults replaces the faults for the operations that follow.
func (m *Memory) SetFaults(faults Faults) {
	if faults.Random == nil {
		faults.Random = rand.Float64
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
}

// Stats returns the number of reads and writes so far, and the number and size of the
// objects.
func (m *Memory) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := m.stats
	stats.Objects = int64(len(m.objects))
	for _, data := range m.objects {
		stats.ObjectBytes += int64(len(data))
	}
	return stats
}

func (m *Memory) get(ctx context.Context, table, key string) (Row, error) {
	if err := m.begin(ctx, true); err != nil {
		return Row{}, err
	}
	defer m.mu.Unlock()
	row, ok := m.tables[table][key]
	if !ok || len(row.Value) == 0 {
		return Row{Key: key}, nil
	}
	return clone(row), nil
}

func (m *Memory) list(ctx context.Context, table string, since int64) ([]Row, int64, error) {
	if err := m.begin(ctx, true); err != nil {
		return nil, 0, err
	}
	defer m.mu.Unlock()
	var rows []Row
	for _, key := range slices.Sorted(maps.Keys(m.tables[table])) {
		row := m.tables[table][key]
		if row.Version > since {
			rows = append(rows, clone(row))
		}
	}
	return rows, m.version, nil
}

func (m *Memory) commit(ctx context.Context, write Write) (int64, error) {
	if err := m.begin(ctx, false); err != nil {
		return 0, err
	}
	defer m.mu.Unlock()
	version, done := m.writes[write.ID]
	if !done {
		if err := m.check(write); err != nil {
			return 0, err
		}
		version = m.apply(write)
	}
	if m.loseResponse() {
		return 0, Unavailable.New("the answer of write %s was lost", write.ID)
	}
	return version, nil
}

func (m *Memory) putObject(ctx context.Context, name string, data []byte) error {
	if err := m.begin(ctx, false); err != nil {
		return err
	}
	defer m.mu.Unlock()
	m.objects[name] = slices.Clone(data)
	if m.loseResponse() {
		return Unavailable.New("the answer of putting object %s was lost", name)
	}
	return nil
}

func (m *Memory) getObject(ctx context.Context, name string) ([]byte, error) {
	if err := m.begin(ctx, true); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	data, ok := m.objects[name]
	if !ok {
		return nil, NotFound.New("there is no object %s", name)
	}
	return slices.Clone(data), nil
}

func (m *Memory) deleteObject(ctx context.Context, name string) error {
	if err := m.begin(ctx, false); err != nil {
		return err
	}
	defer m.mu.Unlock()
	delete(m.objects, name)
	if m.loseResponse() {
		return Unavailable.New("the answer of deleting object %s was lost", name)
	}
	return nil
}

func (m *Memory) listObjects(ctx context.Context, prefix string, limit int) ([]string, error) {
	if err := m.begin(ctx, true); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	names := []string{}
	for name := range m.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), limit)], nil
}

// begin delays and counts an operation. On success it returns with the lock held.
func (m *Memory) begin(ctx context.Context, read bool) error {
	m.mu.Lock()
	delay := m.faults.Delay
	m.mu.Unlock()
	if delay > 0 {
		select {
		case <-m.Clock.After(delay):
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return Unavailable.Wrap(err, "the operation was given up")
	}
	m.mu.Lock()
	if read {
		m.stats.Reads++
	} else {
		m.stats.Writes++
	}
	if m.faults.Down {
		m.mu.Unlock()
		return Unavailable.New("the platform is down")
	}
	return nil
}

func (m *Memory) check(write Write) error {
	for _, change := range write.Changes {
		row := m.tables[write.Table][change.Key]
		version := row.Version
		if len(row.Value) == 0 {
			version = 0 // a deleted row counts as absent
		}
		if version != change.Expected {
			return Conflict.New("row %s/%s has version %d, expected %d", write.Table, change.Key, version, change.Expected)
		}
	}
	return nil
}

func (m *Memory) apply(write Write) int64 {
	m.version++
	table := m.tables[write.Table]
	if table == nil {
		table = make(map[string]Row)
		m.tables[strings.Clone(write.Table)] = table
	}
	for _, change := range write.Changes {
		row := Row{Key: change.Key, Version: m.version, WriteID: write.ID}
		if !change.Delete {
			row.Value = slices.Clone(change.Value)
		}
		table[change.Key] = row
	}
	m.remember(write.ID)
	return m.version
}

func (m *Memory) remember(id string) {
	m.writes[id] = m.version
	m.writeOrder = append(m.writeOrder, id)
	if len(m.writeOrder) > maxRememberedWrites {
		delete(m.writes, m.writeOrder[0])
		m.writeOrder = m.writeOrder[1:]
	}
}

func (m *Memory) loseResponse() bool {
	return m.faults.LoseAnswers > 0 && m.faults.Random() < m.faults.LoseAnswers
}

func clone(row Row) Row {
	row.Value = slices.Clone(row.Value)
	return row
}
