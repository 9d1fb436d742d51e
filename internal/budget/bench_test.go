package budget

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

const callsPerBatch = 10_000

// busyCall is what one call costs the budgets: its loan goes out and comes back,
// it completes, and a repeat is asked for.
func busyCall(now time.Time, purse *Purse, allowance *Allowance) {
	loan := purse.LendTo()
	loan.Return(loan.Tokens)
	allowance.Completed(now)
	allowance.TryRepeat(now)
}

// What an allowance holds does not grow with the calls before: it is a number
// and a time, and keeps no list of completions.
func TestAllowanceKeepsNoHistory(t *testing.T) {
	is := is.New(t)
	allowance, now := NewAllowance(0.1, 10), testStart
	made := testing.AllocsPerRun(1, func() {
		for range callsPerBatch {
			now = now.Add(time.Millisecond)
			allowance.Completed(now)
			allowance.TryRepeat(now)
		}
	})
	is.Equal(made, 0.0)
}

// BenchmarkCall shows the processor time of a call by the number of services
// that calls go to in turn.
func BenchmarkCall(b *testing.B) {
	for _, services := range []int{4, 14, 27, 54} {
		b.Run(strconv.Itoa(services), func(b *testing.B) {
			allowances := make(map[string]*Allowance, services)
			names := make([]string, services)
			for i := range services {
				names[i] = "service-" + strconv.Itoa(i)
				allowances[names[i]] = NewAllowance(0.1, 10)
			}
			purse, now := &Purse{Tokens: 3}, testStart
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				busyCall(now, purse, allowances[names[i%services]])
			}
		})
	}
}
