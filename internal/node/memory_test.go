package node

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/dedup"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/setup"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// callsPerSecond is one node's part of the load projected for two years ahead: 64,000
	// calls/s over 530 nodes.
	callsPerSecond = 121
	// One call in keyedEvery has an idempotency key.
	keyedEvery  = 10
	answerBytes = 512
)

// attemptAndKeyRecords holds the records of attempts and of idempotency keys of one node.
type attemptAndKeyRecords struct {
	attempts *dedup.Store[*relaypb.CarryResponse]
	ledger   *once.Ledger[*relaypb.CarryResponse]
	now      time.Time
}

func newRecords(memoryBytes int64) *attemptAndKeyRecords {
	now := time.Unix(1_800_000_000, 0)
	rules := ownerRules(schema.DefaultLimits())
	self := once.Node{Name: "a", Incarnation: "a1"}
	ledger := once.NewLedger[*relaypb.CarryResponse](self, rules, memoryBytes/recordMemoryDivisor)
	plan, _ := once.Next(now.Add(-10*time.Minute), once.Plan{}, self, nil, rules)
	ledger.ApplyPlan(plan)
	attempts := dedup.New[*relaypb.CarryResponse](dedup.Settings{Retention: attemptRetention, MaxBytes: memoryBytes / recordMemoryDivisor, Margin: schema.MaxClockMargin})
	return &attemptAndKeyRecords{attempts: attempts, ledger: ledger, now: now}
}

// serveSecond records the calls of one second. Each call whose index is a multiple of
// every has a key.
func (r *attemptAndKeyRecords) serveSecond(calls, every int) {
	for i := range calls {
		now := r.now.Add(time.Second * time.Duration(i) / time.Duration(calls))
		id := attemptIDAt(now)
		answer := &relaypb.CarryResponse{Code: 100, Status: 200, Body: make([]byte, answerBytes), AttemptId: id}
		r.attempts.Begin(now, id)
		r.attempts.End(now, id, answer, answerBytes)
		if i%every == 0 {
			key := once.Mint(now)
			r.ledger.Accept(now, key, "order", 1)
			// The ledger gets its own copy, as it outlives the attempt record.
			kept := &relaypb.CarryResponse{Code: 100, Status: 200, Body: make([]byte, answerBytes), AttemptId: id}
			r.ledger.Finish(now, key, kept, answerBytes)
		}
	}
	r.now = r.now.Add(time.Second)
	r.attempts.Forget(r.now)
	r.ledger.Forget(r.now)
}

// attemptIDAt returns an attempt id that was minted at the given time.
func attemptIDAt(now time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := now.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// TestMemoryBytesHoldProjectedLoad checks that the default refuses no call and drops no
// answer until all records have reached their maximum age, and that it fits into what the
// budget of 64 MB leaves beside the 43 MB of an idle node in a mesh of 120. At 530 nodes
// an idle node holds more (docs/CAPACITY.md). The smallest permitted setting must still
// refuse no call.
func TestMemoryBytesHoldProjectedLoad(t *testing.T) {
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
		is.True(2*settings.MemoryBytes/recordMemoryDivisor <= leftBytes)
		r := newRecords(settings.MemoryBytes)
		for range schema.DefaultLimits().KeyAge/time.Second + 60 {
			r.serveSecond(callsPerSecond, keyedEvery)
		}
		is.Equal(r.attempts.Stats().Refused, int64(0))
		is.Equal(r.ledger.Stats().Refused, int64(0))
		if !c.dropped {
			is.Equal(r.attempts.Stats().Dropped, int64(0))
			is.Equal(r.ledger.Stats().Dropped, int64(0))
		}
	}
}

// BenchmarkMemory reports how many calls and keys are refused and how many answers are
// dropped under the memory bound, as shares of the calls and of the keys, and the heap use
// of the records, for 16 minutes of the load projected for two years ahead.
func BenchmarkMemory(b *testing.B) {
	const seconds = 16 * 60
	for _, memoryMiB := range []int64{16, 32, 36, 64, 96, 256} {
		for _, every := range []int{keyedEvery, 1} {
			b.Run(fmt.Sprintf("mib=%d/keyed=1in%d", memoryMiB, every), func(b *testing.B) {
				var r *attemptAndKeyRecords
				before := heapBytes()
				for b.Loop() {
					r = newRecords(memoryMiB << 20)
					for range seconds {
						r.serveSecond(callsPerSecond, every)
					}
				}
				b.ReportMetric((heapBytes()-before)/1e6, "heap-MB")
				calls := float64(seconds * callsPerSecond)
				keys := float64(seconds * ((callsPerSecond + every - 1) / every))
				attempts, ledger := r.attempts.Stats(), r.ledger.Stats()
				b.ReportMetric(float64(attempts.Bytes)/1e6, "book-MB")
				b.ReportMetric(float64(ledger.Bytes)/1e6, "ledger-MB")
				b.ReportMetric(float64(attempts.Refused)/calls, "calls-refused")
				b.ReportMetric(float64(attempts.Dropped)/calls, "answers-dropped")
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
