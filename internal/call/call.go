// Package call defines calls and the state of a request that is passed along its call chain,
// such as its deadline, importance and retry tokens.
package call

import (
	"net/http"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/budget"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// Call is one call of one kind: either a request at its entry node, or a call that a target
// makes while it serves another call.
type Call struct {
	// RequestID is the same for all calls that one request causes.
	RequestID string
	Kind      *schema.Kind
	// Importance and Position are set at the entry and inherited by every call of the
	// request, so that all of them are refused in the same order.
	Importance schema.Importance
	Position   uint16
	Deadline   time.Time
	Tokens     *Tokens
	// Key is the idempotency key, or empty if the caller gave none.
	Key string
	// KeyFresh is set if the caller states that it never sent the key before.
	KeyFresh bool
	// Team is the team whose key the request bears, or empty if it bears none.
	Team string
	// Parent is the attempt that the calling target serves, or nil at the entry.
	Parent *Serving

	Method string
	// Host is the Host header of the request. If empty, the address of the target is used.
	Host string
	// Path holds the path and the query.
	Path     string
	Header   http.Header
	Body     []byte
	Limits   schema.Limits
	Revision int64
	// Admitted is the admitted share of the requests of this kind at the time when this one
	// arrived, or 0 if no share applies.
	Admitted float64
	// Steps holds the attempts so far.
	Steps []Step
}

// Step is one attempt of a call, for the log.
type Step struct {
	Target string
	Code   result.Code
	Took   time.Duration
}

// Answer is the result of a call.
type Answer struct {
	Code   result.Code
	Detail string
	// Refusal is the code of the actual refusal if Code is RepeatRefused, and otherwise 0.
	Refusal result.Code
	// Admitted is the admitted share of the requests of this kind if this one was refused
	// because of that share, and otherwise 0.
	Admitted float64
	// RetryAfter is how long the caller should wait before a repeat, or 0 if nothing is known
	// of that.
	RetryAfter time.Duration
	// Status, Header and Body are the target's complete response, or zero if Code says that
	// there is none.
	Status int
	Header http.Header
	Body   []byte
}

// Tokens shares the retry tokens of one request among the calls that a target makes
// concurrently.
type Tokens struct {
	mu   sync.Mutex
	pool budget.TokenPool
}

// Serving is an attempt that the target beside this node is currently serving. Calls that
// the target makes are matched to the attempt by the handle that the target receives with
// the attempt and passes on.
type Serving struct {
	RequestID  string
	Importance schema.Importance
	Position   uint16
	Deadline   time.Time
	Tokens     *Tokens
	// OnChildChange is called when the target begins or ends a call of its own. It may be nil.
	OnChildChange func()

	mu              sync.Mutex
	pendingChildren int
	childRan        bool
	// unsafeRan is set if a call of a kind that may run only once ran or may have run.
	unsafeRan   bool
	childFailed bool
}

// NewTokens returns n retry tokens.
func NewTokens(n int) *Tokens {
	return &Tokens{pool: budget.TokenPool{Tokens: n}}
}

// Spend takes one token for a retry and reports whether there was one.
func (t *Tokens) Spend() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool.Spend()
}

// Lend takes out the tokens to send with an attempt. It takes none if spendable is false,
// because nothing further down the call chain could spend them.
func (t *Tokens) Lend(spendable bool) *budget.Loan {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !spendable {
		return &budget.Loan{}
	}
	return t.pool.LendTracked()
}

// Return puts back n tokens of a loan, as reported by the answer to the attempt. Only the
// first answer counts, so a duplicate cannot return tokens that another attempt holds.
func (t *Tokens) Return(loan *budget.Loan, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	loan.Return(n)
}

// Left returns the number of tokens that can be spent or lent.
func (t *Tokens) Left() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool.Tokens
}

// ChildSent records that the target makes a call of its own.
func (s *Serving) ChildSent() {
	s.mu.Lock()
	s.pendingChildren++
	s.mu.Unlock()
	s.notify()
}

// ChildEnded records the result of a call that the target made, with the repeat rule of the
// call's kind.
func (s *Serving) ChildEnded(code result.Code, repeat schema.Repeat) {
	defer s.notify()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingChildren--
	if code.Family() != result.NotRun {
		s.childRan = true
		s.unsafeRan = s.unsafeRan || repeat == schema.Never
	}
	if code.Family() != result.Complete {
		s.childFailed = true
	}
}

// WaitsForChild reports whether the target is waiting for a call that it made.
func (s *Serving) WaitsForChild() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingChildren > 0
}

// notify calls OnChildChange if it is set.
func (s *Serving) notify() {
	if s.OnChildChange != nil {
		s.OnChildChange()
	}
}

// ChildrenFailed reports whether any call made by the target was refused or failed. A call
// that has not ended counts, because the target is waiting for it.
func (s *Serving) ChildrenFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.childFailed || s.pendingChildren > 0
}

// ChildrenRan reports whether any call made by the target ran or may have run. A call that
// has not ended counts, because it may be running.
func (s *Serving) ChildrenRan() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.childRan || s.pendingChildren > 0
}

// OnlySafeRan reports whether every call made by the target that ran or may have run is of a
// kind that may run again.
func (s *Serving) OnlySafeRan() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unsafeRan && s.pendingChildren == 0
}

// Refuse returns an answer with a code and a detail text that gives the reason.
func Refuse(code result.Code, detail string) *Answer {
	return &Answer{Code: code, Detail: detail}
}
