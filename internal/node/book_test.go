package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/fate"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/setup"
)

// A scheduler's node takes 1,000 attempts a second in a surge. Its book of
// attempts must not fill up, since a full book refuses every attempt.
func TestBookHoldsASurge(t *testing.T) {
	is := is.New(t)
	store := plat.NewMemory().Store()
	n := New(&setup.Node{Name: "node", MemoryBytes: 48 << 20}, hclog.NewNullLogger(), clock.System{}, Doors{
		Store:   &store,
		Control: heartbeatsOf,
	})
	settings := n.bookSettings(n.settings.MemoryBytes / bookShare)
	book := fate.New[*relaypb.CarryResponse](settings)
	start := time.Now()
	for second := range 90 {
		now := start.Add(time.Duration(second) * time.Second)
		for range 1000 {
			id := mintedAt(now)
			verdict, _ := book.Begin(now, id)
			if verdict != fate.Fresh {
				t.Fatalf("verdict %v in second %d", verdict, second)
			}
			book.End(now, id, &relaypb.CarryResponse{}, 400)
		}
		book.Forget(now)
	}
	is.Equal(book.Stats().Refused, int64(0))
	is.True(book.Stats().Bytes <= n.settings.MemoryBytes/bookShare)
}

// Four targets of the deepest service get 8,700 calls a second between them on an
// ordinary day, and one of the four may be gone in a surge of 1.7.
func TestBookHoldsTheBusiestService(t *testing.T) {
	const perSecond = 5000
	is := is.New(t)
	store := plat.NewMemory().Store()
	n := New(&setup.Node{Name: "node", MemoryBytes: 48 << 20}, hclog.NewNullLogger(), clock.System{}, Doors{
		Store:   &store,
		Control: heartbeatsOf,
	})
	book := fate.New[*relaypb.CarryResponse](n.bookSettings(n.settings.MemoryBytes / bookShare))
	start := time.Now()
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		for range perSecond {
			id := mintedAt(now)
			if verdict, _ := book.Begin(now, id); verdict != fate.Fresh {
				t.Fatalf("verdict %v in second %d", verdict, second)
			}
			book.End(now, id, &relaypb.CarryResponse{}, 400)
		}
		book.Forget(now)
	}
	is.True(book.Stats().Bytes <= n.settings.MemoryBytes/bookShare)
}

// mintedAt returns a fresh id that was minted at a time.
func mintedAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// heartbeatsOf is the door of a target that never says anything.
func heartbeatsOf(Announce) http.Handler {
	return http.NotFoundHandler()
}
