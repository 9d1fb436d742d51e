// Package budget bounds how often work is repeated.
//
// Three bounds stand beside each other. A Purse holds the retry tokens of one
// request; they are lent along the call chain and never created, so the
// repeats of a request stay within a fixed total for any depth. An Allowance
// ties the repeats towards one service to its recent completions, so that
// requests which each have tokens do not multiply the load together. Backoff
// and Worthwhile decide when a repeat is sent, and whether it can still help.
package budget

import (
	"math"
	"time"
)

const (
	// allowanceMemory is the time constant with which saved repeats fade, and
	// the time after which a missing one is there again.
	allowanceMemory = 10 * time.Second
	minJitter       = 0.5
)

type (
	// Purse holds the retry tokens of one attempt or request at one node.
	Purse struct {
		// Tokens is how many repeats the holder may still make or lend.
		Tokens int

		outstanding int
	}

	// Loan is what was lent with one attempt. It takes in one answer.
	Loan struct {
		// Tokens is what was lent, to be sent with the attempt.
		Tokens int

		purse *Purse
		ended bool
	}

	// Allowance bounds the repeats towards one service to a share of its
	// recent completions.
	Allowance struct {
		share float64
		burst float64
		// tokens is how many repeats may be made at the time at.
		tokens float64
		at     time.Time
	}

	// Backoff spaces repeats with a jittered exponential delay.
	Backoff struct {
		Base time.Duration
		Max  time.Duration
		// Random returns numbers in [0, 1).
		Random func() float64
	}
)

// Spend takes one token for a repeat and reports whether there was one.
func (p *Purse) Spend() bool {
	if p.Tokens <= 0 {
		return false
	}
	p.Tokens--
	return true
}

// Lend takes out what is lent with an attempt: half, and the odd token too.
//
// A repeat further down redoes less work, which speaks for lending much. What
// is lent comes back with the answer or not at all, which speaks for keeping
// some: with 3 tokens the chain lends 2, then 1, then 1.
func (p *Purse) Lend() int {
	lent := (max(p.Tokens, 0) + 1) / 2
	p.Tokens -= lent
	p.outstanding += lent
	return lent
}

// Return puts back what an answer brought, never more than is lent out. It
// trusts the caller to take in each answer once; LendTo checks that itself.
func (p *Purse) Return(n int) {
	n = min(max(n, 0), p.outstanding)
	p.outstanding -= n
	p.Tokens += n
}

// LendTo lends as Lend does and keeps account of the one attempt. With several
// attempts out at a time, a duplicated answer of one cannot bring back the
// tokens that another still holds.
func (p *Purse) LendTo() *Loan {
	return &Loan{Tokens: p.Lend(), purse: p}
}

// Return ends the loan with what the answer brought back. Further answers of
// the same attempt change nothing.
func (l *Loan) Return(n int) {
	if l.ended || l.purse == nil {
		return
	}
	l.ended = true
	n = min(max(n, 0), l.Tokens)
	l.purse.Return(n)
	l.purse.outstanding -= l.Tokens - n
}

// NewAllowance returns an allowance that lets repeats add the share to the
// completed calls, and up to burst repeats at once.
func NewAllowance(share float64, burst int) *Allowance {
	return &Allowance{share: share, burst: float64(burst), tokens: float64(burst)}
}

// Completed takes in that a call to the service completed.
func (a *Allowance) Completed(now time.Time) {
	a.advance(now)
	a.tokens = min(a.tokens+a.share, a.burst)
}

// TryRepeat takes one repeat from the allowance and reports whether it may be made.
func (a *Allowance) TryRepeat(now time.Time) bool {
	a.advance(now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// advance lets saved tokens fade to one, and refills a missing one. A service
// without recent completions thus keeps a single repeat now and then, enough
// to find out that it is back, and no burst saved up in better times.
func (a *Allowance) advance(now time.Time) {
	elapsed := now.Sub(a.at)
	if a.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	a.at = now
	rest := min(1, a.burst)
	if a.tokens <= rest {
		a.tokens = min(rest, a.tokens+elapsed.Seconds()/allowanceMemory.Seconds())
		return
	}
	a.tokens = rest + (a.tokens-rest)*math.Exp(-elapsed.Seconds()/allowanceMemory.Seconds())
}

// Delay returns how long to wait before the repeat, which counts from 1. The
// delay doubles with each repeat up to Max and is then shortened at random by
// up to half, so that repeats of one failure spread out.
func (b Backoff) Delay(repeat int) time.Duration {
	doubled := float64(b.Base) * math.Exp2(float64(max(repeat-1, 0)))
	delay := min(doubled, float64(b.Max))
	return time.Duration(delay * (minJitter + (1-minJitter)*b.Random()))
}

// Worthwhile reports whether a repeat that is sent after the delay and takes
// the expected time ends before the deadline.
func Worthwhile(now, deadline time.Time, delay, expected time.Duration) bool {
	return !now.Add(delay + expected).After(deadline)
}
