package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/dedup"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/setup"
)

// Guards against the attempt records filling up in a surge, when a scheduler's node takes
// 1,000 attempts a second: with full records every attempt is refused.
func TestAttemptRecordsHoldSurge(t *testing.T) {
	is := is.New(t)
	store := plat.NewMemory().Store()
	n := New(&setup.Node{Name: "node", MemoryBytes: 48 << 20}, hclog.NewNullLogger(), clock.System{}, Adapters{
		Store:   &store,
		Control: silentControl,
	})
	settings := n.attemptRecordSettings(n.settings.MemoryBytes / recordMemoryDivisor)
	attempts := dedup.New[*relaypb.CarryResponse](settings)
	start := time.Now()
	for second := range 90 {
		now := start.Add(time.Duration(second) * time.Second)
		for range 1000 {
			id := attemptIDMintedAt(now)
			verdict, _ := attempts.Begin(now, id)
			if verdict != dedup.Fresh {
				t.Fatalf("verdict %v in second %d", verdict, second)
			}
			attempts.End(now, id, &relaypb.CarryResponse{}, 400)
		}
		attempts.Forget(now)
	}
	is.Equal(attempts.Stats().Refused, int64(0))
	is.True(attempts.Stats().Bytes <= n.settings.MemoryBytes/recordMemoryDivisor)
}

// Guards against the attempt records of the busiest service filling up. On an ordinary
// day its four targets together get 8,700 calls a second. In a surge to 1.7 times that
// rate, with one of the four gone, each of the others gets about 5,000.
func TestAttemptRecordsHoldBusiestService(t *testing.T) {
	const perSecond = 5000
	is := is.New(t)
	store := plat.NewMemory().Store()
	n := New(&setup.Node{Name: "node", MemoryBytes: 48 << 20}, hclog.NewNullLogger(), clock.System{}, Adapters{
		Store:   &store,
		Control: silentControl,
	})
	attempts := dedup.New[*relaypb.CarryResponse](n.attemptRecordSettings(n.settings.MemoryBytes / recordMemoryDivisor))
	start := time.Now()
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		for range perSecond {
			id := attemptIDMintedAt(now)
			if verdict, _ := attempts.Begin(now, id); verdict != dedup.Fresh {
				t.Fatalf("verdict %v in second %d", verdict, second)
			}
			attempts.End(now, id, &relaypb.CarryResponse{}, 400)
		}
		attempts.Forget(now)
	}
	is.True(attempts.Stats().Bytes <= n.settings.MemoryBytes/recordMemoryDivisor)
}

// attemptIDMintedAt returns a fresh attempt id that was minted at the given time.
func attemptIDMintedAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// silentControl returns the control handler of a target that never announces itself.
func silentControl(TargetEvents) http.Handler {
	return http.NotFoundHandler()
}
