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
		generation int64
		kept       *Copy
	}

	// memoryStore accesses a Memory on behalf of one process.
	memoryStore struct {
		memory  *Memory
		tracker RestoreTracker
	}

	// Copy is the state of a Memory at one time, from which it can be restored.
	Copy struct {
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

// Store returns a Store that operates on this platform. Each Store detects restores by the
// answers to its own calls.
func (m *Memory) Store() Store {
	s := &memoryStore{memory: m}
	m.mu.Lock()
	s.tracker.Answered(Mark{}, m.generation)
	m.mu.Unlock()
	return Store{
		Get:          s.get,
		List:         s.list,
		Commit:       s.commit,
		PutObject:    s.putObject,
		GetObject:    s.getObject,
		DeleteObject: s.deleteObject,
		ListObjects:  s.listObjects,
		Generation:   s.tracker.Generation,
		OnRestore:    s.tracker.OnRestore,
	}
}

// Copy returns a copy of the present state.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{m.version, cloneTables(m.tables), maps.Clone(m.objects), maps.Clone(m.writes), slices.Clone(m.writeOrder)}
}

// Restore replaces the state by a copy, as a platform does that loses what was written since.
// The versions since the copy are given out again, under the next generation.
func (m *Memory) Restore(from Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = from.version
	m.tables = cloneTables(from.tables)
	m.objects = maps.Clone(from.objects)
	m.writes = maps.Clone(from.writes)
	m.writeOrder = slices.Clone(from.writeOrder)
	m.generation++
}

// KeepCopy keeps a copy of the present state for RestoreKept.
func (m *Memory) KeepCopy() {
	copied := m.Copy()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kept = &copied
}

// RestoreKept restores the copy that was kept last, and reports whether there is one.
func (m *Memory) RestoreKept() bool {
	m.mu.Lock()
	kept := m.kept
	m.mu.Unlock()
	if kept == nil {
		return false
	}
	m.Restore(*kept)
	return true
}

func cloneTables(tables map[string]map[string]Row) map[string]map[string]Row {
	cloned := make(map[string]map[string]Row, len(tables))
	for name, table := range tables {
		cloned[name] = maps.Clone(table)
	}
	return cloned
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

func (m *Memory) get(ctx context.Context, named *int64, table, key string) (Row, error) {
	if err := m.begin(ctx, named, true); err != nil {
		return Row{}, err
	}
	defer m.mu.Unlock()
	row, ok := m.tables[table][key]
	if !ok || len(row.Value) == 0 {
		return Row{Key: key}, nil
	}
	return m.joined(row), nil
}

func (m *Memory) list(ctx context.Context, named *int64, table string, since int64) ([]Row, int64, error) {
	if err := m.begin(ctx, named, true); err != nil {
		return nil, 0, err
	}
	defer m.mu.Unlock()
	after, current := StoreVersion(m.generation, since)
	all := !current
	var rows []Row
	for _, key := range slices.Sorted(maps.Keys(m.tables[table])) {
		row := m.tables[table][key]
		if all && len(row.Value) > 0 || !all && row.Version > after {
			rows = append(rows, m.joined(row))
		}
	}
	return rows, JoinVersion(m.generation, m.version), nil
}

func (m *Memory) commit(ctx context.Context, named *int64, write Write) (int64, error) {
	if err := m.begin(ctx, named, false); err != nil {
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
	return JoinVersion(m.generation, version), nil
}

func (m *Memory) putObject(ctx context.Context, named *int64, name string, data []byte) error {
	if err := m.begin(ctx, named, false); err != nil {
		return err
	}
	defer m.mu.Unlock()
	m.objects[name] = slices.Clone(data)
	if m.loseResponse() {
		return Unavailable.New("the answer of putting object %s was lost", name)
	}
	return nil
}

func (m *Memory) getObject(ctx context.Context, named *int64, name string) ([]byte, error) {
	if err := m.begin(ctx, named, true); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	data, ok := m.objects[name]
	if !ok {
		return nil, NotFound.New("there is no object %s", name)
	}
	return slices.Clone(data), nil
}

func (m *Memory) deleteObject(ctx context.Context, named *int64, name string) error {
	if err := m.begin(ctx, named, false); err != nil {
		return err
	}
	defer m.mu.Unlock()
	delete(m.objects, name)
	if m.loseResponse() {
		return Unavailable.New("the answer of deleting object %s was lost", name)
	}
	return nil
}

func (m *Memory) listObjects(ctx context.Context, named *int64, prefix string, limit int) ([]string, error) {
	if err := m.begin(ctx, named, true); err != nil {
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

// begin delays and counts an operation. On success it returns with the lock held, and sets
// the generation that the answer names.
func (m *Memory) begin(ctx context.Context, named *int64, read bool) error {
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
	*named = m.generation
	return nil
}

func (m *Memory) check(write Write) error {
	for _, change := range write.Changes {
		row := m.tables[write.Table][change.Key]
		version := row.Version
		if len(row.Value) == 0 {
			version = 0 // a deleted row counts as absent
		}
		if JoinVersion(m.generation, version) != change.Expected {
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

// joined returns a copy of a row with the version that the project uses.
func (m *Memory) joined(row Row) Row {
	row.Value = slices.Clone(row.Value)
	row.Version = JoinVersion(m.generation, row.Version)
	return row
}

// call performs an operation and drops its answer if it was sent before a restore.
func (s *memoryStore) call(operate func(named *int64) error) error {
	const none = -1
	prepared := s.tracker.Mark()
	named := int64(none)
	err := operate(&named)
	usable := s.tracker.Unchanged(prepared)
	if named != none {
		usable = s.tracker.Answered(prepared, named)
	}
	if !usable {
		return Restored.New("the platform came back from an older copy during the call")
	}
	return err
}

func (s *memoryStore) get(ctx context.Context, table, key string) (row Row, err error) {
	err = s.call(func(named *int64) (err error) {
		row, err = s.memory.get(ctx, named, table, key)
		return err
	})
	return row, err
}

func (s *memoryStore) list(ctx context.Context, table string, since int64) (rows []Row, newest int64, err error) {
	err = s.call(func(named *int64) (err error) {
		rows, newest, err = s.memory.list(ctx, named, table, since)
		return err
	})
	return rows, newest, err
}

func (s *memoryStore) commit(ctx context.Context, write Write) (version int64, err error) {
	err = s.call(func(named *int64) (err error) {
		version, err = s.memory.commit(ctx, named, write)
		return err
	})
	return version, err
}

func (s *memoryStore) putObject(ctx context.Context, name string, data []byte) error {
	return s.call(func(named *int64) error { return s.memory.putObject(ctx, named, name, data) })
}

func (s *memoryStore) getObject(ctx context.Context, name string) (data []byte, err error) {
	err = s.call(func(named *int64) (err error) {
		data, err = s.memory.getObject(ctx, named, name)
		return err
	})
	return data, err
}

func (s *memoryStore) deleteObject(ctx context.Context, name string) error {
	return s.call(func(named *int64) error { return s.memory.deleteObject(ctx, named, name) })
}

func (s *memoryStore) listObjects(ctx context.Context, prefix string, limit int) (names []string, err error) {
	err = s.call(func(named *int64) (err error) {
		names, err = s.memory.listObjects(ctx, named, prefix, limit)
		return err
	})
	return names, err
}
