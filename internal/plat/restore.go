package plat

import (
	"sync"
	"sync/atomic"
)

type (
	// Restore says that a store has come back from an older copy. Writes since that copy
	// are lost, and the store gives out their versions again.
	Restore struct {
		// From and To are the generations of the store before and after. They may be more
		// than one apart if the process had no answer in between.
		From, To int64
	}

	// Mark is what a RestoreTracker had seen when a call was prepared.
	Mark struct {
		generation int64
		seen       bool
	}

	// RestoreTracker detects restores by the generation that each answer of a store names.
	// It is safe for concurrent use. The zero value has seen no generation.
	RestoreTracker struct {
		// generation is read without the lock, because those who are notified of a restore
		// may hold locks of their own when they ask for it.
		generation atomic.Int64

		mu     sync.Mutex
		latest Mark
		notify []func(Restore)
	}
)

const (
	// versionBits is the number of low bits of a version that hold the store's own version.
	// They have room for versions that are Unix times in milliseconds.
	versionBits = 48
	// MaxGeneration is the highest generation that fits into a version.
	MaxGeneration = 1<<(63-versionBits) - 1
)

// JoinVersion returns the version that the project uses for a version of the store. It is
// higher than all versions of earlier generations, so that the higher of two versions is
// always the later one. A version 0 stays 0, and a store that names no generation keeps its
// versions.
func JoinVersion(generation, version int64) int64 {
	if version == 0 {
		return 0
	}
	return generation<<versionBits | version
}

// SplitVersion is the reverse of JoinVersion for a store that names its generation.
func SplitVersion(joined int64) (generation, version int64) {
	return joined >> versionBits, joined & (1<<versionBits - 1)
}

// StoreVersion returns the store's version of a joined version in a generation, and whether
// the version is of that generation. Version 0, an absent row, is of every generation. In
// generation 0 every version is the store's own.
func StoreVersion(generation, joined int64) (version int64, current bool) {
	of, version := SplitVersion(joined)
	switch {
	case joined == 0 || generation == 0:
		return joined, true
	case of != generation:
		return 0, false
	}
	return version, true
}

// IsCurrent reports whether a joined version is of a generation, see StoreVersion.
func IsCurrent(generation, joined int64) bool {
	_, current := StoreVersion(generation, joined)
	return current
}

// Generation returns the newest generation seen, 0 before the first.
func (t *RestoreTracker) Generation() int64 {
	return t.generation.Load()
}

// OnRestore adds a function that is called once for each restore, before any answer of the
// new generation is used. It must not call the store.
func (t *RestoreTracker) OnRestore(notify func(Restore)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notify = append(t.notify, notify)
}

// Mark returns what has been seen so far. A caller takes it before checking the versions in a
// call, and passes it to Answered or Unchanged to learn whether the answer may be used.
func (t *RestoreTracker) Mark() Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}

// Answered records the generation that an answer names, and reports whether the answer may
// be used. An answer to a call that was prepared under an earlier generation may not, because
// the versions in the call mean something else now. A generation lower than the newest seen
// is ignored.
func (t *RestoreTracker) Answered(prepared Mark, generation int64) (usable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.latest.seen:
		t.latest = Mark{generation, true}
		t.generation.Store(generation)
	case generation > t.latest.generation:
		restore := Restore{From: t.latest.generation, To: generation}
		t.latest.generation = generation
		t.generation.Store(generation)
		for _, notify := range t.notify {
			notify(restore)
		}
	}
	if !prepared.seen {
		return generation == t.latest.generation
	}
	return prepared == t.latest
}

// Unchanged reports whether no restore was detected since the mark. It is used before a call is
// sent, and for an answer that names no generation.
func (t *RestoreTracker) Unchanged(prepared Mark) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !prepared.seen || prepared == t.latest
}

// Generation returns the generation of the mark, 0 if none had been seen.
func (m Mark) Generation() int64 {
	return m.generation
}
