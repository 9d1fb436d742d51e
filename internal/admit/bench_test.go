package admit

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// BenchmarkGate measures one Offer and one Done while all slots are in use and the queue
// is full, or while there is no queue (queue=0).
func BenchmarkGate(b *testing.B) {
	for _, queue := range []int{0, 60, 240, 960} {
		b.Run(fmt.Sprintf("queue=%d", queue), func(b *testing.B) {
			now := testStart
			gate := NewGate(Settings{Slots: 120, Queue: queue, QueueWait: time.Hour, Started: testStart.Add(-time.Hour)})
			running := make([]string, 0, 120+queue)
			n := 0
			offer := func() {
				n++
				id := strconv.Itoa(n)
				call := Call{ID: id, Kind: "lookup", Importance: schema.Normal, Position: Position(id, now), Deadline: now.Add(time.Hour)}
				if gate.Offer(now, call).Verdict == Admitted {
					running = append(running, id)
				}
			}
			for range 119 + queue {
				offer()
			}
			for b.Loop() {
				now = now.Add(time.Millisecond)
				offer()
				for _, r := range gate.Done(now, running[0], Completed) {
					if r.Verdict == Admitted {
						running = append(running, r.ID)
					}
				}
				running = running[1:]
			}
		})
	}
}
