package node

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/fate"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/setup"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// callsPerSecond is a node's part of the two-year load, 64,000 calls/s over
	// 530 nodes.
	callsPerSecond = 121
	// keyedEvery says that one call in so many has a key.
	keyedEvery  = 10
	answerBytes = 512
)

// records is the book and the ledger of a node with the memory.
type records struct {
	book   *fate.Book[*relaypb.CarryResponse]
	ledger *once.Ledger[*relaypb.CarryResponse]
	now    time.Time
}

func newRecords(memoryBytes int64) *records {
	now := time.Unix(1_800_000_000, 0)
	rules := ownerRules(schema.DefaultLimits())
	self := once.Node{Name: "a", Incarnation: "a1"}
	ledger := once.NewLedger[*relaypb.CarryResponse](self, rules, memoryBytes/bookShare)
	plan, _ := once.Next(now.Add(-10*time.Minute), once.Plan{}, self, nil, rules)
	ledger.Learn(plan)
	book := fate.New[*relaypb.CarryResponse](fate.Settings{Keep: attemptKeep, MaxBytes: memoryBytes / bookShare, Margin: schema.MaxClockMargin})
	return &records{book: book, ledger: ledger, now: now}
}

// second serves the calls of one second, of which one in every has a key.
func (r *records) second(calls, every int) {
	for i := range calls {
		now := r.now.Add(time.Second * time.Duration(i) / time.Duration(calls))
		id := attemptAt(now)
		answer := &relaypb.CarryResponse{Code: 100, Status: 200, Body: make([]byte, answerBytes), AttemptId: id}
		r.book.Begin(now, id)
		r.book.End(now, id, answer, answerBytes)
		if i%every == 0 {
			key := once.Mint(now)
			r.ledger.Accept(now, key, "order", 1)
			// Of its own, as after the book's record has gone.
			kept := &relaypb.CarryResponse{Code: 100, Status: 200, Body: make([]byte, answerBytes), AttemptId: id}
			r.ledger.Finish(now, key, kept, answerBytes)
		}
	}
	r.now = r.now.Add(time.Second)
	r.book.Forget(r.now)
	r.ledger.Forget(r.now)
}

// attemptAt returns an attempt id that was minted at the time.
func attemptAt(now time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := now.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// TestMemoryBytesHoldTheTwoYearLoad: the default refuses no call and drops no
// answer until all records are as old as they get, and fits what the budget of
// 64 MB leaves beside 43 MB, what an idle node of a mesh of 120 holds. At 530
// nodes it is more (docs/CAPACITY.md). The least that can be set still refuses
// no call.
func TestMemoryBytesHoldTheTwoYearLoad(t *testing.T) {
	const leftBytes = 64_000_000 - 43_000_000
	is := is.New(t)
	for _, c := range []struct {
		memory  string
		dropped bool
	}{{"", false}, {"memory_bytes: 16MiB\n", true}} {
		settings, err := setup.Parse("node.yaml", []byte(c.memory+`
name: a
data_centre: d
region: r
service: s
caller_listen: 127.0.0.1:7100
relay_listen: 127.0.0.1:7101
admin_listen: 127.0.0.1:7102
target_address: 127.0.0.1:8080
platform_address: 127.0.0.1:9000
`))
		is.NoErr(err)
		is.True(2*settings.MemoryBytes/bookShare <= leftBytes)
		r := newRecords(settings.MemoryBytes)
		for range schema.DefaultLimits().KeyAge/time.Second + 60 {
			r.second(callsPerSecond, keyedEvery)
		}
		is.Equal(r.book.Stats().Refused, int64(0))
		is.Equal(r.ledger.Stats().Refused, int64(0))
		if !c.dropped {
			is.Equal(r.book.Stats().Dropped, int64(0))
			is.Equal(r.ledger.Stats().Dropped, int64(0))
		}
	}
}

// BenchmarkMemory reports what the bound refuses and drops, in shares of the
// calls and of the keys, and what the records take on the heap, for 16 minutes
// of the two-year load.
func BenchmarkMemory(b *testing.B) {
	const seconds = 16 * 60
	for _, memoryMiB := range []int64{16, 32, 36, 64, 96, 256} {
		for _, every := range []int{keyedEvery, 1} {
			b.Run(fmt.Sprintf("mib=%d/keyed=1in%d", memoryMiB, every), func(b *testing.B) {
				var r *records
				before := heapBytes()
				for b.Loop() {
					r = newRecords(memoryMiB << 20)
					for range seconds {
						r.second(callsPerSecond, every)
					}
				}
				b.ReportMetric((heapBytes()-before)/1e6, "heap-MB")
				calls := float64(seconds * callsPerSecond)
				keys := float64(seconds * ((callsPerSecond + every - 1) / every))
				book, ledger := r.book.Stats(), r.ledger.Stats()
				b.ReportMetric(float64(book.Bytes)/1e6, "book-MB")
				b.ReportMetric(float64(ledger.Bytes)/1e6, "ledger-MB")
				b.ReportMetric(float64(book.Refused)/calls, "calls-refused")
				b.ReportMetric(float64(book.Dropped)/calls, "answers-dropped")
				b.ReportMetric(float64(ledger.Refused)/keys, "keys-refused")
				b.ReportMetric(float64(ledger.Dropped)/keys, "keys-dropped")
				runtime.KeepAlive(r)
			})
		}
	}
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
