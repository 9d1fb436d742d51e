// Package call holds what a request carries along its call chain.
package call

import (
	"net/http"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/budget"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// Call is one call of one kind: a request at its entry node, or a call that a
// target makes while it serves another.
type Call struct {
	// RequestID is the same for all calls that one request causes.
	RequestID string
	Kind      *schema.Kind
	// Importance and Position are fixed at the entry and inherited by every
	// call of the request, so that all of them share one order of refusal.
	Importance schema.Importance
	Position   uint16
	Deadline   time.Time
	Tokens     *Tokens
	// Key is the idempotency key, empty when the caller gave none.
	Key string
	// KeyFresh is set when the caller says that it never sent the key before.
	KeyFresh bool
	// Parent is the attempt that the calling target serves, nil at the entry.
	Parent *Serving

	Method string
	// Host is the Host header of the request; empty leaves it to the target.
	Host string
	// Path holds the path and the query.
	Path     string
	Header   http.Header
	Body     []byte
	Limits   schema.Limits
	Revision int64
	// Admitted is the share of such requests that was let in when this one came; 0
	// where that is not asked.
	Admitted float64
	// Steps are the attempts so far.
	Steps []Step
}

// Step is one attempt of a call, for the log.
type Step struct {
	Target string
	Code   result.Code
	Took   time.Duration
}

// Answer is what became of a call.
type Answer struct {
	Code   result.Code
	Detail string
	// Refusal is why a sending was refused that the code calls a refused repeat,
	// else 0.
	Refusal result.Code
	// Admitted is the share of such requests that is let in, where the refusal
	// goes by a share; else 0.
	Admitted float64
	// Status, Header and Body are the target's, whole, or zero when the code
	// says that there is no such answer.
	Status int
	Header http.Header
	Body   []byte
}

// Tokens shares one purse of retry tokens among the calls that a target makes
// at the same time.
type Tokens struct {
	mu    sync.Mutex
	purse budget.Purse
}

// Serving is an attempt that the target beside this node is at work on. Calls
// that the target makes find it by its handle.
type Serving struct {
	RequestID  string
	Importance schema.Importance
	Position   uint16
	Deadline   time.Time
	Tokens     *Tokens
	// Moved is called when the target begins or ends a call of its own; it may
	// be nil.
	Moved func()

	mu      sync.Mutex
	pending int
	ran     bool
	// ranOnce is set when a call of a kind that never repeats ran or may have.
	ranOnce bool
	failed  bool
}

// NewTokens returns a purse with n tokens.
func NewTokens(n int) *Tokens {
	return &Tokens{purse: budget.Purse{Tokens: n}}
}

// Spend takes one token for a repeat and says whether there was one.
func (t *Tokens) Spend() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.purse.Spend()
}

// Lend takes the tokens that go with an attempt: none where the target is not
// known to make calls that could spend them.
func (t *Tokens) Lend(spendable bool) *budget.Loan {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !spendable {
		return &budget.Loan{}
	}
	return t.purse.LendTo()
}

// Return puts back what an attempt's answer brought of its loan. Only the first
// answer counts, so a duplicate cannot bring back what another attempt holds.
func (t *Tokens) Return(loan *budget.Loan, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	loan.Return(n)
}

// Left returns the number of tokens in the purse.
func (t *Tokens) Left() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.purse.Tokens
}

// ChildSent notes that the target makes a call of its own.
func (s *Serving) ChildSent() {
	s.mu.Lock()
	s.pending++
	s.mu.Unlock()
	s.moved()
}

// ChildEnded notes what became of a call that the target made, of a kind with
// that rule for repeating.
func (s *Serving) ChildEnded(code result.Code, repeat schema.Repeat) {
	defer s.moved()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
	if code.Family() != result.NotRun {
		s.ran = true
		s.ranOnce = s.ranOnce || repeat == schema.Never
	}
	if code.Family() != result.Complete {
		s.failed = true
	}
}

// Waits says whether the target waits for a call that it made.
func (s *Serving) Waits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending > 0
}

func (s *Serving) moved() {
	if s.Moved != nil {
		s.Moved()
	}
}

// ChildrenFailed says whether any call of the target was refused or failed. A
// call that has not ended counts, because the target waits for it.
func (s *Serving) ChildrenFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed || s.pending > 0
}

// ChildrenRan says whether any call of the target ran or may have run. A call
// that has not ended counts, because it may be running.
func (s *Serving) ChildrenRan() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran || s.pending > 0
}

// OnlySafeRan says whether every call of the target that ran or may have run is
// of a kind that may run again.
func (s *Serving) OnlySafeRan() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.ranOnce && s.pending == 0
}

// Refuse returns an answer that carries a code and the reason in words.
func Refuse(code result.Code, detail string) *Answer {
	return &Answer{Code: code, Detail: detail}
}
