package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A node creates its gate before it has a configuration. A limit scaled up from zero
// slots would stay at one call in flight for ever.
func TestResizeFromZeroSlotsUsesDeclaredLimit(t *testing.T) {
	is := is.New(t)
	started := time.Unix(1000, 0)
	g := NewGate(Settings{Started: started})
	g.Resize(started, Settings{Slots: 120, Started: started})
	is.Equal(g.Load(started).Limit, 120)
}

// A limit that was cut to a share of the slots stays at this share of the new slots.
func TestResizeScalesLimit(t *testing.T) {
	is := is.New(t)
	started := time.Unix(1000, 0)
	g := NewGate(Settings{Slots: 100, Started: started})
	g.limiter.cut(40, 0)
	g.Resize(started, Settings{Slots: 50, Started: started})
	is.Equal(g.Load(started).Limit, 20)
}
