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

// BenchmarkBook measures the time to record an attempt, and the memory of the record with
// an answer of 512 bytes.
func BenchmarkBook(b *testing.B) {
	for _, held := range []int{10_000, 50_000, 100_000, 200_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			var before, after runtime.MemStats
			var charged int64
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				book := dedup.New[*relaypb.CarryResponse](dedup.Settings{Retention: 90 * time.Second, MaxBytes: 1 << 40})
				now := time.Now()
				for range held {
					id := uuid.Must(uuid.NewV7()).String()
					if verdict, _ := book.Begin(now, id); verdict != dedup.Fresh {
						b.Fatalf("verdict %d", verdict)
					}
					answer := &relaypb.CarryResponse{Code: 100, Status: 200, Body: make([]byte, 512), AttemptId: id}
					book.End(now, id, answer, len(answer.GetBody()))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				charged = book.Stats().Bytes
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(held), "bytes/record")
			b.ReportMetric(float64(charged)/float64(held), "bytes/charged")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*held), "ns/attempt")
		})
	}
}

// BenchmarkBareRecords measures the memory of records whose answers have been dropped.
func BenchmarkBareRecords(b *testing.B) {
	for _, held := range []int{30_000, 50_000, 100_000, 150_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			var before, after runtime.MemStats
			var charged int64
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				book := dedup.New[*relaypb.CarryResponse](dedup.Settings{Retention: 90 * time.Second, AnswerRetention: time.Second, MaxBytes: 1 << 40})
				now := time.Now()
				for i := range held {
					now = now.Add(100 * time.Microsecond)
					id := uuid.Must(uuid.NewV7()).String()
					if verdict, _ := book.Begin(now, id); verdict != dedup.Fresh {
						b.Fatalf("verdict %d", verdict)
					}
					book.End(now, id, &relaypb.CarryResponse{}, 0)
					if i%1000 == 0 {
						book.Forget(now)
					}
				}
				book.Forget(now.Add(2 * time.Second))
				runtime.GC()
				runtime.ReadMemStats(&after)
				charged = book.Stats().Bytes
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(held), "bytes/record")
			b.ReportMetric(float64(charged)/float64(held), "bytes/charged")
		})
	}
}
