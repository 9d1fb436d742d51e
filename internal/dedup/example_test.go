package dedup_test

import (
	"fmt"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/dedup"
)

// A sender queries an attempt that has not arrived. From then on, the attempt is rejected
// if it arrives.
func ExampleStore_Query() {
	store := dedup.New[string](dedup.Settings{Retention: time.Minute, MaxBytes: 1 << 20})
	now := time.UnixMilli(1_700_000_000_000)
	attempt := "018bcfe5-6800-7c6b-904d-833943209b3c"
	state, _ := store.Query(now, attempt)
	fmt.Println(state == dedup.NeverSeen)
	verdict, _ := store.Begin(now.Add(time.Second), attempt)
	fmt.Println(verdict.Code())
	// Output:
	// true
	// tombstoned
}
