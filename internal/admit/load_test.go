package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/admit"
)

// A gate of ten slots is offered 500 calls a second of 40 ms each, which would occupy
// twenty slots, however many it admits. A call that another target rejected first counts
// towards the load offered to that target.
func TestOfferedLoadCountsAllArrivals(t *testing.T) {
	is := is.New(t)
	gate := admit.NewGate(admit.Settings{Slots: 10, Queue: 5, QueueWait: 20 * time.Millisecond, Opaque: true})
	now := time.Unix(1_800_000_000, 0)
	ends := map[time.Time][]string{}
	for i := range 1000 {
		now = now.Add(2 * time.Millisecond)
		released := gate.Tick(now)
		for _, id := range ends[now] {
			released = append(released, gate.Done(now, id, admit.Completed)...)
		}
		c := admit.Call{ID: fmt.Sprint(i), Kind: "k", Deadline: now.Add(time.Second), FirstAttempt: true}
		d := gate.Offer(now, c)
		if d.Verdict == admit.Admitted {
			released = append(released, admit.Release{ID: c.ID, Verdict: admit.Admitted})
		}
		again := gate.Offer(now, admit.Call{ID: "again " + c.ID, Kind: "k", Deadline: now.Add(time.Second)})
		for _, r := range append(append(released, d.Released...), again.Released...) {
			if r.Verdict == admit.Admitted {
				end := now.Add(40 * time.Millisecond)
				ends[end] = append(ends[end], r.ID)
			}
		}
		if again.Verdict == admit.Admitted {
			gate.Done(now, "again "+c.ID, admit.Abandoned)
		}
	}
	offered := gate.Load(now).Offered
	t.Logf("offered %.1f", offered)
	is.True(offered > 18 && offered < 22)
	is.True(gate.Load(now.Add(2*time.Second)).Offered < 1) // decays to nothing soon after
}
