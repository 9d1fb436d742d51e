package local

import (
	"context"
	"errors"
	"sync"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
)

// HeldMemory bounds the memory for answers that are buffered until they are complete. It is
// safe for concurrent use.
type HeldMemory struct {
	limit func() int64
	// Pool counts the same memory towards what the node holds for requests. Answers take
	// memory there even if there is none left, because they end requests. It must be set
	// before the first use and may be nil.
	Pool    *alloc.Pool
	account alloc.Account

	mu    sync.Mutex
	bytes int64
	// released is closed when memory is released, and replaced when it is waited for. It
	// is nil while nobody waits.
	released chan struct{}
}

var errHeldLimit = errors.New("the bound on held answers is reached")

// NewHeldMemory returns a bound that calls limit at each use, because the limit may change.
func NewHeldMemory(limit func() int64) *HeldMemory {
	return &HeldMemory{limit: limit}
}

// Bytes returns the memory in use in bytes.
func (h *HeldMemory) Bytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes
}

// reserve waits until an answer of a known size fits and counts it. It returns false if the
// context ends first. An answer that is larger than the bound fits if there is no other.
func (h *HeldMemory) reserve(ctx context.Context, bytes int64) bool {
	for {
		released := h.tryReserve(bytes)
		if released == nil {
			return true
		}
		select {
		case <-released:
		case <-ctx.Done():
			return false
		}
	}
}

// tryReserve counts an answer if it fits. Otherwise it returns a channel that is closed when
// memory is released.
func (h *HeldMemory) tryReserve(bytes int64) <-chan struct{} {
	limit := h.limit()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bytes == 0 || h.bytes+bytes <= limit {
		h.bytes += bytes
		h.Pool.Force(&h.account, bytes)
		return nil
	}
	if h.released == nil {
		h.released = make(chan struct{})
	}
	return h.released
}

// full reports whether more memory is in use than the bound allows.
func (h *HeldMemory) full() bool {
	limit := h.limit()
	return h.Bytes() > limit
}

// add counts memory that an answer of unknown size has taken.
func (h *HeldMemory) add(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes += bytes
	h.Pool.Force(&h.account, bytes)
}

// release gives memory back and wakes those that wait for some.
func (h *HeldMemory) release(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes -= bytes
	h.Pool.Return(&h.account, bytes)
	if h.released != nil && bytes > 0 {
		close(h.released)
		h.released = nil
	}
}
