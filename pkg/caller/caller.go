// Package caller sends requests to the nodes of a mesh on behalf of a Go
// program.
//
// A Caller repeats only what is safe. A request that may never run twice goes
// out under an idempotency key, and the key decides what a repeat may do:
//
//	answer lost or unknown   the same key again: the record of its owner answers
//	known not to have run    a new key, which draws another owner
//	complete                 nothing is repeated
//
// Nobody but the caller knows that a key was never sent before. It says so with
// the first sending of each key, and then the nodes can answer "not run" where
// they would have to answer "unknown" otherwise.
package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

type (
	// Caller sends requests to nodes. New makes one. It is safe for concurrent
	// use as long as its fields are not changed after the first request.
	Caller struct {
		// Nodes are the addresses of nodes as IP:port, one or more of any
		// services. A request begins at one of them at random and goes to the
		// next one with each repeat. Nodes that gave no answer come last for
		// 5 s.
		Nodes []string
		// HTTP carries the requests. Its transport must not repeat requests by
		// itself; the one of net/http does not repeat those of a Caller.
		// Redirects are never followed: they belong to the target's answer.
		HTTP *http.Client
		// Retries is how often a request is repeated at most; 0 for never. A
		// try at a node to which no connection could be opened is not a repeat.
		Retries int
		Backoff Backoff
		// Deadline is the time for a request that states none.
		Deadline time.Duration
		// Timeout is the longest wait for the answer to one sending. With 0, a
		// sending that may be repeated gets half the time left, so that a
		// silent node leaves time for another one.
		Timeout time.Duration
		// MaxAnswerBytes bounds the body of an answer.
		MaxAnswerBytes int64
		Clock          Clock
		// Random returns numbers in [0, 1) and is called from the goroutines
		// of all requests.
		Random func() float64

		// withTimeout bounds one sending. Tests end it by hand.
		withTimeout func(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc)

		mu    sync.Mutex
		order order
	}

	// Backoff is the wait before a repeat. It doubles with each one and is
	// then shortened at random by up to half. A longer Retry-After of a node is
	// heeded instead, and lengthened at random by up to half.
	Backoff struct {
		Base time.Duration
		Max  time.Duration
	}

	// Clock tells the time and makes timers.
	Clock interface {
		Now() time.Time
		After(d time.Duration) <-chan time.Time
	}

	// Repeat says whether a request may run more than once.
	Repeat uint8

	// Request is one request to a service.
	Request struct {
		// Method is the HTTP method; empty stands for GET.
		Method string
		// Path begins with a slash and may end in a query.
		Path string
		// Header is sent along. The headers of the mesh in it are replaced, but
		// for Dandelion-Context: a target that calls another service copies it
		// from the call that it serves, and names only its own node in Nodes.
		Header http.Header
		Body   []byte
		Repeat Repeat
		// Deadline is the time for the request with all its repeats. It only
		// ever shortens the declared one. 0 stands for the caller's.
		Deadline time.Duration
		// Key is the idempotency key of an earlier request, a UUIDv7 in lower
		// case, to ask what became of that one. It counts as sent before and is
		// never replaced. Empty stands for a key that is minted when needed.
		Key string
	}

	// Answer is what became of a request. Without an error it is the target's
	// whole answer. With one, Status, Header and Body are what a node sent with
	// the code, and zero when the code is the caller's own.
	Answer struct {
		// Code is the conclusion over all sendings of the request: the code
		// that a node sent, or the caller's own when none arrived.
		Code result.Code
		// Refusal is why the last sending was refused where the code is
		// RepeatRefused, else 0.
		Refusal result.Code
		// Replayed says that the answer is the recorded one of an earlier run.
		Replayed bool
		Status   int
		Header   http.Header
		Body     []byte
		// Key is the last idempotency key; empty when there was none. After an
		// unknown result a request with this key asks again.
		Key string
		// RequestID is the node's id for the request, as found in its logs.
		RequestID string
		// Node is the address that the answer came from or should have.
		Node string
		// Sendings is how often the request was sent or tried to be sent.
		Sendings int
		// Detail says in words why no answer arrived; empty when one did.
		Detail string
	}

	systemClock struct{}
)

// The rules for repeating a request. They should match the declared ones: a
// request that is Safe here runs as often as it is sent, whatever is declared.
const (
	// ByMethod makes GET, HEAD and OPTIONS safe and every other method never.
	ByMethod Repeat = iota
	// Safe requests may run again at any time.
	Safe
	// Never requests run at most once.
	Never
)

// Headers between callers and nodes.
const (
	contextHeader  = "Dandelion-Context"
	keyHeader      = "Idempotency-Key"
	freshHeader    = "Dandelion-Key-Fresh"
	deadlineHeader = "Dandelion-Deadline"
	codeHeader     = "Dandelion-Code"
	requestHeader  = "Dandelion-Request"
	refusalHeader  = "Dandelion-Refusal"
)

const (
	defaultRetries        = 2
	defaultBackoffBase    = 50 * time.Millisecond
	defaultBackoffMax     = 2 * time.Second
	defaultDeadline       = 10 * time.Second
	defaultMaxAnswerBytes = 4 << 20
	dialTimeout           = 500 * time.Millisecond
	idleTimeout           = 30 * time.Second
	// idlePerNode is how many idle connections to one node are kept.
	idlePerNode = 64
)

var (
	namespace = errorx.NewNamespace("caller")
	// InvalidRequest means that the request could not be formed and was not
	// sent: no nodes, a path without a slash, a key that is not a UUIDv7.
	InvalidRequest = namespace.NewType("invalid_request")
	// NotRun means that no sending of the request ran anywhere. The answer's
	// code says why.
	NotRun = namespace.NewType("not_run")
	// Unknown means that the request ran or may have run, without a whole
	// answer. The answer's code says why.
	Unknown = namespace.NewType("unknown")
)

// New returns a caller for nodes at IP:port with two repeats, a deadline of
// 10 s, answers of up to 4 MiB and connections of its own.
func New(nodes []string) *Caller {
	return &Caller{
		Nodes:          nodes,
		HTTP:           &http.Client{Transport: newTransport()},
		Retries:        defaultRetries,
		Backoff:        Backoff{Base: defaultBackoffBase, Max: defaultBackoffMax},
		Deadline:       defaultDeadline,
		MaxAnswerBytes: defaultMaxAnswerBytes,
		Clock:          systemClock{},
		Random:         rand.Float64,
		withTimeout:    context.WithTimeout,
	}
}

// Do sends the request and repeats it where that is safe and can help. It
// returns InvalidRequest, NotRun or Unknown, and no error for a whole answer of
// the target, whatever its HTTP status. With Request.Key, it never returns NotRun:
// an earlier sending of the key may have run.
func (c *Caller) Do(ctx context.Context, request Request) (Answer, error) {
	if err := c.check(&request); err != nil {
		return Answer{Code: result.BadRequest}, err
	}
	course := c.newCourse(ctx, request)
	answer := Answer{Key: request.Key}
	for {
		if code := c.stopped(ctx, course.deadline); code != 0 {
			answer.Code = answer.Code.Then(code)
			answer = course.concluded(answer)
			return answer, failure(answer)
		}
		sending := course.next(c.Clock.Now())
		newest, outcome := c.send(ctx, request, sending)
		answer = later(answer, newest)
		c.heard(sending.node, outcome)
		delay, again := course.ended(c.Clock.Now(), outcome)
		if !again || !c.pause(ctx, delay) {
			answer = course.concluded(answer)
			return answer, failure(answer)
		}
	}
}

// check fills in what the request leaves open and refuses what cannot be sent.
func (c *Caller) check(request *Request) error {
	if request.Method == "" {
		request.Method = http.MethodGet
	}
	if request.Repeat == ByMethod {
		request.Repeat = repeatOf(request.Method)
	}
	if request.Deadline <= 0 {
		request.Deadline = c.Deadline
	}
	if len(c.Nodes) == 0 {
		return InvalidRequest.New("no nodes")
	}
	if !strings.HasPrefix(request.Path, "/") {
		return InvalidRequest.New("the path %q does not begin with a slash", request.Path)
	}
	if _, err := c.form(context.Background(), *request, sending{node: c.Nodes[0]}); err != nil {
		return InvalidRequest.Wrap(err, "form the request")
	}
	if request.Key == "" {
		return nil
	}
	id, err := uuid.Parse(request.Key)
	if err != nil || id.Version() != 7 || id.String() != request.Key {
		return InvalidRequest.New("the key %q is not a UUIDv7 in canonical form", request.Key)
	}
	return nil
}

func (c *Caller) newCourse(ctx context.Context, request Request) *course {
	deadline := c.Clock.Now().Add(request.Deadline)
	if own, ok := ctx.Deadline(); ok && own.Before(deadline) {
		deadline = own
	}
	course := &course{
		nodes:    c.ordered(),
		repeat:   request.Repeat,
		retries:  c.Retries,
		backoff:  c.Backoff,
		timeout:  c.Timeout,
		deadline: deadline,
		key:      request.Key,
		given:    request.Key != "",
		mint:     mintKey,
		random:   c.Random,
	}
	if request.Header.Get(contextHeader) != "" {
		course.inherited = true
	}
	return course
}

// ordered returns the nodes in the order in which a new request tries them.
func (c *Caller) ordered() []string {
	position := int(c.Random() * float64(len(c.Nodes)))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order.nodes(c.Clock.Now(), c.Nodes, position)
}

// heard notes whether a node gave an answer. That the caller itself went away
// says nothing of the node.
func (c *Caller) heard(node string, o outcome) {
	if o.code == result.Cancelled || o.code == result.CancelledLate {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.ended(c.Clock.Now(), node, o.answered)
}

// pause waits out a delay and says whether the request goes on.
func (c *Caller) pause(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.Clock.After(delay):
		return true
	}
}

// later joins the newest answer to the conclusion so far.
func later(former, newest Answer) Answer {
	sendings := former.Sendings + 1
	if former.Code.Then(newest.Code) != newest.Code {
		newest = former
	}
	newest.Sendings = sendings
	return newest
}

func failure(answer Answer) error {
	switch answer.Code.Family() {
	case result.Complete:
		return nil
	case result.NotRun:
		return NotRun.New("%s: %s", answer.Code, answer.Detail)
	}
	return Unknown.New("%s: %s", answer.Code, answer.Detail)
}

// stopped returns the code for a request that has no time left for a sending,
// or 0.
func (c *Caller) stopped(ctx context.Context, deadline time.Time) result.Code {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return result.Cancelled
	case ctx.Err() != nil || !c.Clock.Now().Before(deadline):
		return result.DeadlinePassed
	}
	return 0
}

func repeatOf(method string) Repeat {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return Safe
	}
	return Never
}

func mintKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerNode,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Now returns the host's time.
func (systemClock) Now() time.Time {
	return time.Now()
}

// After returns a channel that receives the time once d has passed.
func (systemClock) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}
