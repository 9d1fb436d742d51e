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

// serve handles a call with the tokens lent to it and returns the number of tokens left.
func (c *tree) serve(depth, tokens int) int {
	pool := &TokenPool{Tokens: tokens}
	if depth == 0 {
		return pool.Tokens
	}
	for range c.random("fan-out")%3 + 1 {
		c.call(depth, pool)
	}
	return pool.Tokens
}

// call sends a call and retries it while it fails and there are tokens.
func (c *tree) call(depth int, pool *TokenPool) {
	for {
		loan := pool.LendTracked()
		left := c.serve(depth-1, loan.Tokens)
		switch fate := c.random("fate"); {
		case fate < 20: // the answer is lost, and the lent tokens with it
		case fate < 40:
			c.delayed = append(c.delayed, func() { loan.Return(left) })
		case fate < 60: // the answer arrives twice
			loan.Return(left)
			c.delayed = append(c.delayed, func() { loan.Return(left) })
		default:
			loan.Return(left)
		}
		if len(c.delayed) > 0 && c.random("late") < 60 {
			at := c.random("which") % len(c.delayed)
			c.delayed[at]()
		}
		if c.random("failure") < 25 || !pool.Spend() {
			return
		}
		c.retries++
	}
}

// TestRepeatsStayWithinTheBudget checks random call trees with lost, late, duplicate and
// reordered answers: the retries of a request stay within its budget at any depth.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 8).Draw(t, "budget")
		depth := rapid.IntRange(1, 10).Draw(t, "depth")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range treesPerCheck {
			calls := 0
			c := &tree{random: func(label string) int {
				if calls++; label == "fan-out" && calls > 2_000 {
					return 0 // limits the size of the tree
				}
				return random.IntN(100)
			}}
			left := c.serve(depth, budget)
			if c.retries > budget {
				t.Fatalf("%d repeats with a budget of %d", c.retries, budget)
			}
			if left+c.retries > budget {
				t.Fatalf("%d tokens left after %d repeats with a budget of %d", left, c.retries, budget)
			}
		}
	})
}

func TestLoanTakesInOneAnswer(t *testing.T) {
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

func TestReturnNeverExceedsWhatWasLent(t *testing.T) {
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
		retry := rapid.IntRange(1, 100).Draw(t, "repeat")
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

func TestWorthwhile(t *testing.T) {
	is := is.New(t)
	deadline := testStart.Add(100 * time.Millisecond)
	is.True(FitsDeadline(testStart, deadline, 40*time.Millisecond, 60*time.Millisecond))
	is.True(!FitsDeadline(testStart, deadline, 41*time.Millisecond, 60*time.Millisecond))
}
