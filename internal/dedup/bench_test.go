package dedup_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/dandelionfield/dandelionfield/internal/dedup"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// BenchmarkAttempts measures the time to record an attempt, and the memory of a record with
// an answer of 512 bytes.
func BenchmarkAttempts(b *testing.B) {
	for _, held := range []int{10_000, 50_000, 100_000, 200_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			var before, after runtime.MemStats
			var charged int64
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				store := dedup.New[*relaypb.CarryResponse](dedup.Settings{Retention: 90 * time.Second, MaxBytes: 1 << 40})
				now := time.Now()
				for range held {
					id := uuid.Must(uuid.NewV7()).String()
					if verdict, _ := store.Begin(now, id); verdict != dedup.Fresh {
						b.Fatalf("verdict %d", verdict)
					}
					answer := &relaypb.CarryResponse{Code: 100, Status: 200, Body: make([]byte, 512), AttemptId: id}
					store.End(now, id, answer, len(answer.GetBody()))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				charged = store.Stats().Bytes
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(held), "bytes/record")
			b.ReportMetric(float64(charged)/float64(held), "bytes/charged")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*held), "ns/attempt")
		})
	}
}

// BenchmarkBareVerdicts measures the memory of attempts that are reduced to their verdicts
// because their answers have been dropped.
func BenchmarkBareVerdicts(b *testing.B) {
	for _, held := range []int{30_000, 50_000, 100_000, 150_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			var before, after runtime.MemStats
			var charged int64
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				store := dedup.New[*relaypb.CarryResponse](dedup.Settings{Retention: 90 * time.Second, AnswerRetention: time.Second, MaxBytes: 1 << 40})
				now := time.Now()
				for i := range held {
					now = now.Add(100 * time.Microsecond)
					id := uuid.Must(uuid.NewV7()).String()
					if verdict, _ := store.Begin(now, id); verdict != dedup.Fresh {
						b.Fatalf("verdict %d", verdict)
					}
					store.End(now, id, &relaypb.CarryResponse{}, 0)
					if i%1000 == 0 {
						store.Forget(now)
					}
				}
				store.Forget(now.Add(2 * time.Second))
				runtime.GC()
				runtime.ReadMemStats(&after)
				charged = store.Stats().Bytes
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(held), "bytes/record")
			b.ReportMetric(float64(charged)/float64(held), "bytes/charged")
		})
	}
}
