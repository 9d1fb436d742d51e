// Package budget limits retries.
//
// Several limits apply at the same time. Each request has a number of retry tokens, which are
// lent along the call chain and never created, so the retries of a request stay within a fixed
// total at any call depth. An Allowance limits the retries to one service to a share of the
// recently completed calls to it, so that many requests that each have tokens do not multiply
// the load together. A Window limits the retries that reach the targets of a service. A
// Backoff determines when a retry is sent, and a check against the deadline determines
// whether it is sent at all.
package budget

import (
	"math"
	"time"
)

const (
	// allowanceDecay is the time constant with which unused tokens of an Allowance
	// decay, and the time in which one token is refilled when there is none.
	allowanceDecay = 10 * time.Second
	// minJitter is the smallest random factor of a delay.
	minJitter = 0.5
)

type (
	// TokenPool holds the retry tokens of one request or attempt at one node.
	TokenPool struct {
		// Tokens is the number of retries that the holder may still make or lend.
		Tokens int

		outstanding int
	}

	// Loan is the number of tokens that were lent with one attempt. It ends with the
	// first answer.
	Loan struct {
		// Tokens is the number of tokens to send with the attempt.
		Tokens int

		lender   *TokenPool
		returned bool
	}

	// Allowance limits the retries to one service to a share of the recently completed
	// calls to it.
	Allowance struct {
		share float64
		burst float64
		// tokens is the number of retries that are allowed at the time at.
		tokens float64
		at     time.Time
	}

	// Backoff determines the delay of retries: exponential with jitter.
	Backoff struct {
		Base time.Duration
		Max  time.Duration
		// Random returns a random number in [0, 1).
		Random func() float64
	}
)

// Spend takes one token for a retry and reports whether there was one.
func (p *TokenPool) Spend() bool {
	if p.Tokens <= 0 {
		return false
	}
	p.Tokens--
	return true
}

// Lend takes out the tokens that are lent with an attempt, which are half of the tokens,
// rounded up.
//
// A retry further down the call chain repeats less work, which is a reason to lend many
// tokens. Lent tokens come back with the answer or not at all, which is a reason to keep
// some. With 3 tokens, the nodes of a chain lend 2, then 1, then 1.
func (p *TokenPool) Lend() int {
	lent := (max(p.Tokens, 0) + 1) / 2
	p.Tokens -= lent
	p.outstanding += lent
	return lent
}

// Return puts back n tokens that came back with an answer, but no more than are lent. The
// caller must return the tokens of each answer only once; a Loan ensures this itself.
func (p *TokenPool) Return(n int) {
	n = min(max(n, 0), p.outstanding)
	p.outstanding -= n
	p.Tokens += n
}

// LendTracked lends the same number of tokens as Lend, and tracks those of the one attempt. With
// several attempts in flight, a duplicate answer of one attempt cannot bring back the tokens
// that another attempt still holds.
func (p *TokenPool) LendTracked() *Loan {
	return &Loan{Tokens: p.Lend(), lender: p}
}

// Return ends the loan and puts back n tokens that came back with the answer. Further answers
// of the same attempt have no effect.
func (l *Loan) Return(n int) {
	if l.returned || l.lender == nil {
		return
	}
	l.returned = true
	n = min(max(n, 0), l.Tokens)
	l.lender.Return(n)
	l.lender.outstanding -= l.Tokens - n
}

// NewAllowance returns an allowance of share retries per completed call, with up to burst
// retries at once.
func NewAllowance(share float64, burst int) *Allowance {
	return &Allowance{share: share, burst: float64(burst), tokens: float64(burst)}
}

// Completed records that a call to the service completed.
func (a *Allowance) Completed(now time.Time) {
	a.advance(now)
	a.tokens = min(a.tokens+a.share, a.burst)
}

// TryRetry takes one token for a retry from the allowance and reports whether there was one.
func (a *Allowance) TryRetry(now time.Time) bool {
	a.advance(now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// advance lets unused tokens decay to one, and refills up to one token. A service without
// recent completions thus gets a single retry from time to time, which is enough to detect
// its recovery, and keeps no burst from before its failure.
func (a *Allowance) advance(now time.Time) {
	elapsed := now.Sub(a.at)
	if a.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	a.at = now
	rest := min(1, a.burst)
	if a.tokens <= rest {
		a.tokens = min(rest, a.tokens+elapsed.Seconds()/allowanceDecay.Seconds())
		return
	}
	a.tokens = rest + (a.tokens-rest)*math.Exp(-elapsed.Seconds()/allowanceDecay.Seconds())
}

// Delay returns the time to wait before a retry, whose number counts from 1. The delay doubles
// with each retry up to Max and is then shortened at random by up to half, so that retries
// after a common failure are spread out.
func (b Backoff) Delay(retry int) time.Duration {
	doubled := float64(b.Base) * math.Exp2(float64(max(retry-1, 0)))
	delay := min(doubled, float64(b.Max))
	return time.Duration(delay * (minJitter + (1-minJitter)*b.Random()))
}

// FitsDeadline reports whether a retry that is sent after the delay and takes the expected time
// ends by the deadline.
func FitsDeadline(now, deadline time.Time, delay, expected time.Duration) bool {
	return !now.Add(delay + expected).After(deadline)
}
