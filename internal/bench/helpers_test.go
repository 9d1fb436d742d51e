package bench

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// stepClock is a manual clock: it moves only when the test advances it, and the test ends
// every wait that it receives on waits.
type stepClock struct {
	mu    sync.Mutex
	now   time.Time
	waits chan pendingWait
}

type pendingWait struct {
	d    time.Duration
	done chan time.Time
}

// instantClock ends every wait at once and advances by its duration.
type instantClock struct {
	mu  sync.Mutex
	now time.Time
}

func newStepClock() *stepClock {
	return &stepClock{now: time.Unix(1_700_000_000, 0), waits: make(chan pendingWait, 100)}
}

func (c *stepClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *stepClock) After(d time.Duration) <-chan time.Time {
	done := make(chan time.Time, 1)
	c.waits <- pendingWait{d, done}
	return done
}

func (c *stepClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func (c *instantClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *instantClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	done := make(chan time.Time, 1)
	done <- c.now
	return done
}

// testMesh returns a mesh with a look-up, and an order that calls the look-up and a
// booking.
func testMesh() *schema.Set {
	return &schema.Set{
		Services: []schema.Service{{Name: "stock", Slots: 4}, {Name: "orders", Slots: 4}, {Name: "lines", Slots: 2}},
		Kinds: []schema.Kind{
			{Name: "look", Service: "stock", Method: "GET", Path: "/stock/{item}", Deadline: time.Minute},
			{Name: "order", Service: "orders", Method: "POST", Path: "/orders", Importance: schema.Critical,
				Repeat: schema.Never, Deadline: time.Minute, Calls: []string{"look", "book"}},
			{Name: "book", Service: "lines", Method: "POST", Path: "/lines", Importance: schema.Critical,
				Repeat: schema.Never, Deadline: time.Minute},
		},
	}
}

func testContext(t interface{ Cleanup(func()) }) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return ctx
}
