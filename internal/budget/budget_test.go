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

// tree is a random call tree that runs one request.
type tree struct {
	random  func(label string) int // in 0..99
	repeats int
	// delayed holds answers that arrive late, repeated or out of order.
	delayed []func()
}

// serve handles a call with the tokens lent to it and returns what is left.
func (c *tree) serve(depth, tokens int) int {
	purse := &Purse{Tokens: tokens}
	if depth == 0 {
		return purse.Tokens
	}
	for range c.random("fan-out")%3 + 1 {
		c.call(depth, purse)
	}
	return purse.Tokens
}

// call sends a call and repeats it while it fails and there are tokens.
func (c *tree) call(depth int, purse *Purse) {
	for {
		loan := purse.LendTo()
		left := c.serve(depth-1, loan.Tokens)
		switch fate := c.random("fate"); {
		case fate < 20: // the answer is lost, and the loan with it
		case fate < 40:
			c.delayed = append(c.delayed, func() { loan.Return(left) })
		case fate < 60: // the answer comes twice
			loan.Return(left)
			c.delayed = append(c.delayed, func() { loan.Return(left) })
		default:
			loan.Return(left)
		}
		if len(c.delayed) > 0 && c.random("late") < 60 {
			at := c.random("which") % len(c.delayed)
			c.delayed[at]()
		}
		if c.random("failure") < 25 || !purse.Spend() {
			return
		}
		c.repeats++
	}
}

// TestRepeatsStayWithinTheBudget runs random call trees with lost, late,
// duplicated and reordered answers.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 8).Draw(t, "budget")
		depth := rapid.IntRange(1, 10).Draw(t, "depth")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range treesPerCheck {
			calls := 0
			c := &tree{random: func(label string) int {
				if calls++; label == "fan-out" && calls > 2_000 {
					return 0 // bounds the size of the tree
				}
				return random.IntN(100)
			}}
			left := c.serve(depth, budget)
			if c.repeats > budget {
				t.Fatalf("%d repeats with a budget of %d", c.repeats, budget)
			}
			if left+c.repeats > budget {
				t.Fatalf("%d tokens left after %d repeats with a budget of %d", left, c.repeats, budget)
			}
		}
	})
}

func TestLoanTakesInOneAnswer(t *testing.T) {
	is := is.New(t)
	purse := &Purse{Tokens: 5}
	first := purse.LendTo()
	is.Equal(first.Tokens, 3)
	first.Return(2)
	second := purse.LendTo()
	is.Equal(second.Tokens, 2)
	first.Return(3) // a duplicate, while the second attempt holds its tokens
	is.Equal(purse.Tokens, 2)
	second.Return(9) // more than was lent
	is.Equal(purse.Tokens, 4)
}

func TestReturnNeverExceedsWhatWasLent(t *testing.T) {
	is := is.New(t)
	purse := &Purse{Tokens: 3}
	lent := purse.Lend()
	purse.Return(lent + 5)
	purse.Return(lent)
	is.Equal(purse.Tokens, 3)
}

func TestAllowanceFollowsCompletions(t *testing.T) {
	is := is.New(t)
	a := NewAllowance(0.1, 10)
	now := testStart
	repeats := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		a.Completed(now)
		if a.TryRepeat(now) {
			repeats++
		}
	}
	is.True(repeats >= 900 && repeats <= 1000+10)
	for a.TryRepeat(now) {
		repeats++
	}
	is.True(!a.TryRepeat(now.Add(time.Second)))
	is.True(a.TryRepeat(now.Add(10 * allowanceMemory))) // enough to find out that the service is back
	is.True(!a.TryRepeat(now.Add(10 * allowanceMemory)))
}

func TestBackoffGrowsWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rapid.Float64Range(0, 0.999).Draw(t, "random")
		repeat := rapid.IntRange(1, 100).Draw(t, "repeat")
		b := Backoff{Base: 10 * time.Millisecond, Max: time.Second, Random: func() float64 { return random }}
		full := b.Base
		for range repeat - 1 {
			full = min(2*full, b.Max)
		}
		delay := b.Delay(repeat)
		if delay < full/2 || delay > full {
			t.Fatalf("delay %v of at most %v", delay, full)
		}
	})
}

func TestWorthwhile(t *testing.T) {
	is := is.New(t)
	deadline := testStart.Add(100 * time.Millisecond)
	is.True(Worthwhile(testStart, deadline, 40*time.Millisecond, 60*time.Millisecond))
	is.True(!Worthwhile(testStart, deadline, 41*time.Millisecond, 60*time.Millisecond))
}
