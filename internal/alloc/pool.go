package alloc

import (
	"context"
	"slices"
	"sync"
	"time"
)

type (
	// Pool is a Budget for concurrent use. A nil pool sets no limit.
	Pool struct {
		mu     sync.Mutex
		budget Budget
		// queues hold the requests that wait for memory, by their class and the size of the
		// step, in the order of their arrival.
		queues [classCount][sizeCount][]*waiter
	}

	// stepSize says with which other steps a step waits in one queue: only with those that
	// wait for the same memory. Otherwise ordinary requests would wait behind large ones.
	stepSize uint8

	// waiter is a request that waits for memory. granted is closed once it has got it.
	waiter struct {
		account *Account
		bytes   int64
		queue   *[]*waiter
		granted chan struct{}
	}
)

const (
	smallStep stepSize = iota
	// oversizedStep is a step of a request that could never fit into the limit, or that
	// exceeds it already.
	oversizedStep
	largeStep
	sizeCount
)

// retryPeriod is how often a request that waits for memory calls makeRoom again,
// since a connection may stall while it waits.
const retryPeriod = 250 * time.Millisecond

// NewPool returns a pool with a limit in bytes.
func NewPool(limit int64) *Pool {
	return &Pool{budget: Budget{Limit: limit}}
}

// Take gives an account some bytes if they fit and no request waits for such memory.
func (p *Pool) Take(a *Account, bytes int64) bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeLocked(a, bytes)
}

// takeLocked is Take. p.mu must be held.
func (p *Pool) takeLocked(a *Account, bytes int64) bool {
	if len(*p.queue(a, bytes)) > 0 && !p.budget.exceeds(a) {
		return false
	}
	return p.budget.Take(a, bytes)
}

// queue returns the queue in which a step waits. p.mu must be held.
func (p *Pool) queue(a *Account, bytes int64) *[]*waiter {
	size := largeStep
	switch {
	case p.budget.exceeds(a), a.held+bytes > p.budget.limit(a.Class, bytes):
		size = oversizedStep
	case bytes <= smallBytes:
		size = smallStep
	}
	return &p.queues[a.Class][size]
}

// Reserve is Take, but waits until the bytes fit or the context ends. Requests that wait get
// their memory in the order of their arrival, separately for each class and for small, large
// and oversized steps. It calls makeRoom when it begins to wait and then every retryPeriod.
func (p *Pool) Reserve(ctx context.Context, a *Account, bytes int64, makeRoom func()) bool {
	w := p.takeOrWait(a, bytes)
	if w == nil {
		return true
	}
	retry := time.NewTicker(retryPeriod)
	defer retry.Stop()
	for {
		makeRoom()
		select {
		case <-w.granted:
			return true
		case <-retry.C:
		case <-ctx.Done():
			return p.stopWaiting(w)
		}
	}
}

// takeOrWait gives an account some bytes and returns nil if they fit. Otherwise the account
// waits for them.
func (p *Pool) takeOrWait(a *Account, bytes int64) *waiter {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.takeLocked(a, bytes) {
		return nil
	}
	w := &waiter{account: a, bytes: bytes, queue: p.queue(a, bytes), granted: make(chan struct{})}
	if p.budget.exceeds(a) {
		// Those behind it wait for this account to end.
		*w.queue = slices.Insert(*w.queue, 0, w)
	} else {
		*w.queue = append(*w.queue, w)
	}
	return w
}

// stopWaiting ends a wait and reports whether the memory was granted before.
func (p *Pool) stopWaiting(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(*w.queue, w)
	if at < 0 {
		return true
	}
	*w.queue = slices.Delete(*w.queue, at, at+1)
	// A smaller step behind it may fit.
	p.grant()
	return false
}

// SetClass changes the class of an account, unless it exceeds the limit in its present one. It
// must not be called while the account waits.
func (p *Pool) SetClass(a *Account, class Class) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.setClass(a, class)
}

// Serve records that the request of an account has been read completely.
func (p *Pool) Serve(a *Account) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.serve(a)
	p.grant()
}

// Wanted returns the bytes that requests wait for.
func (p *Pool) Wanted() int64 {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := int64(0)
	for _, queues := range p.queues {
		for _, queue := range queues {
			for _, w := range queue {
				wanted += w.bytes
			}
		}
	}
	return wanted
}

// Force gives an account some bytes whether they fit or not.
func (p *Pool) Force(a *Account, bytes int64) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Force(a, bytes)
}

// Return takes back some bytes of an account.
func (p *Pool) Return(a *Account, bytes int64) {
	if p == nil || bytes == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Return(a, bytes)
	p.grant()
}

// Release takes back all that an account holds. Later calls give the account nothing.
func (p *Pool) Release(a *Account) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Release(a)
	p.grant()
}

// Bytes returns what an account holds.
func (p *Pool) Bytes(a *Account) int64 {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return a.Bytes()
}

// Held returns what all accounts hold, in bytes.
func (p *Pool) Held() int64 {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Held()
}

// grant gives memory that was released to requests that wait for some, those of later classes
// first, because requests of earlier ones may wait for them. p.mu must be held.
func (p *Pool) grant() {
	for class := int(classCount) - 1; class >= 0; class-- {
		for size := range p.queues[class] {
			p.grantQueue(&p.queues[class][size])
		}
	}
}

// grantQueue gives memory to the first waiters of a queue as long as it fits. p.mu must be
// held.
func (p *Pool) grantQueue(queue *[]*waiter) {
	for len(*queue) > 0 {
		first := (*queue)[0]
		if !p.budget.Take(first.account, first.bytes) {
			return
		}
		*queue = slices.Delete(*queue, 0, 1)
		close(first.granted)
	}
}
