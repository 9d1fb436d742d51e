package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const treesPerCheck = 20

var testStart = time.Unix(1_000_000, 0)

// tree is the random call tree of one request.
type tree struct {
	random  func(label string) int // returns a number in 0..99
	retries int
	// delayed holds answers that arrive late, twice or out of order.
	delayed []func()
}

// serve handles a call with the tokens lent with it and returns the number of tokens left.
func (tr *tree) serve(depth, tokens int) int {
	pool := &TokenPool{Tokens: tokens}
	if depth == 0 {
		return pool.Tokens
	}
	for range tr.random("fan-out")%3 + 1 {
		tr.call(depth, pool)
	}
	return pool.Tokens
}

// call sends a call and retries it while it fails and there are tokens.
func (tr *tree) call(depth int, pool *TokenPool) {
	for {
		loan := pool.LendTracked()
		left := tr.serve(depth-1, loan.Tokens)
		switch fate := tr.random("fate"); {
		case fate < 20: // the answer is lost, and the lent tokens with it
		case fate < 40:
			tr.delayed = append(tr.delayed, func() { loan.Return(left) })
		case fate < 60: // the answer arrives twice
			loan.Return(left)
			tr.delayed = append(tr.delayed, func() { loan.Return(left) })
		default:
			loan.Return(left)
		}
		if len(tr.delayed) > 0 && tr.random("late") < 60 {
			at := tr.random("which") % len(tr.delayed)
			tr.delayed[at]()
		}
		if tr.random("failure") < 25 || !pool.Spend() {
			return
		}
		tr.retries++
	}
}

// TestRetriesStayWithinTokens checks random call trees with lost, late, duplicate and
// reordered answers: the retries of a request stay within its budget at any depth.
func TestRetriesStayWithinTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 8).Draw(t, "budget")
		depth := rapid.IntRange(1, 10).Draw(t, "depth")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range treesPerCheck {
			calls := 0
			tr := &tree{random: func(label string) int {
				if calls++; label == "fan-out" && calls > 2_000 {
					return 0 // limits the size of the tree
				}
				return random.IntN(100)
			}}
			left := tr.serve(depth, budget)
			if tr.retries > budget {
				t.Fatalf("%d retries with a budget of %d", tr.retries, budget)
			}
			if left+tr.retries > budget {
				t.Fatalf("%d tokens left after %d retries with a budget of %d", left, tr.retries, budget)
			}
		}
	})
}

func TestLoanAcceptsOneAnswer(t *testing.T) {
	is := is.New(t)
	pool := &TokenPool{Tokens: 5}
	first := pool.LendTracked()
	is.Equal(first.Tokens, 3)
	first.Return(2)
	second := pool.LendTracked()
	is.Equal(second.Tokens, 2)
	first.Return(3) // a duplicate answer, while the second attempt holds its tokens
	is.Equal(pool.Tokens, 2)
	second.Return(9) // more tokens than were lent
	is.Equal(pool.Tokens, 4)
}

func TestReturnIsLimitedToLentTokens(t *testing.T) {
	is := is.New(t)
	pool := &TokenPool{Tokens: 3}
	lent := pool.Lend()
	pool.Return(lent + 5)
	pool.Return(lent)
	is.Equal(pool.Tokens, 3)
}

func TestAllowanceFollowsCompletions(t *testing.T) {
	is := is.New(t)
	a := NewAllowance(0.1, 10)
	now := testStart
	retries := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		a.Completed(now)
		if a.TryRetry(now) {
			retries++
		}
	}
	is.True(retries >= 900 && retries <= 1000+10)
	for a.TryRetry(now) {
		retries++
	}
	is.True(!a.TryRetry(now.Add(time.Second)))
	is.True(a.TryRetry(now.Add(10 * allowanceDecay))) // enough to detect that the service has recovered
	is.True(!a.TryRetry(now.Add(10 * allowanceDecay)))
}

func TestBackoffGrowsWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rapid.Float64Range(0, 0.999).Draw(t, "random")
		retry := rapid.IntRange(1, 100).Draw(t, "retry")
		b := Backoff{Base: 10 * time.Millisecond, Max: time.Second, Random: func() float64 { return random }}
		full := b.Base
		for range retry - 1 {
			full = min(2*full, b.Max)
		}
		delay := b.Delay(retry)
		if delay < full/2 || delay > full {
			t.Fatalf("delay %v is not between half of %v and all of it", delay, full)
		}
	})
}

func TestFitsDeadline(t *testing.T) {
	is := is.New(t)
	deadline := testStart.Add(100 * time.Millisecond)
	is.True(FitsDeadline(testStart, deadline, 40*time.Millisecond, 60*time.Millisecond))
	is.True(!FitsDeadline(testStart, deadline, 41*time.Millisecond, 60*time.Millisecond))
}
