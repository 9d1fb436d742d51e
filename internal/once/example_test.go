package once_test

import (
	"fmt"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/once"
)

// A node claims the slots of a new service, runs a key once, and replays the recorded answer
// to a repeated request.
func ExampleLedger() {
	now := time.UnixMilli(1_700_000_000_000)
	self := once.Node{Name: "orders-1", Incarnation: "7f", Address: "127.0.0.1:7000", StartedMS: now.UnixMilli()}
	rules := once.Rules{Slots: 12, Lease: time.Hour, Margin: time.Second, KeyAge: time.Hour}
	ledger := once.NewLedger[string](self, rules, 1<<20)
	next, changed := once.Next(now, once.Plan{Service: "orders"}, self, nil, rules)
	if changed && ledger.Promise(now, next) {
		ledger.ApplyPlan(next) // after the write to the table has succeeded
	}

	key := once.Mint(now)
	verdict, _, _ := ledger.Accept(now, key, "order", 1)
	fmt.Println(verdict == once.Run)
	ledger.Finish(now, key, "order 17", 8)
	verdict, answer, code := ledger.Accept(now, key, "order", 1)
	fmt.Println(verdict == once.Done, answer, code)
	// Output:
	// true
	// true order 17 replayed
}
