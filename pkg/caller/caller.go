// Package caller is a Go client that sends requests to the nodes of a mesh.
//
// A Caller repeats a request only where that is safe. A request that must not run twice is
// sent with an idempotency key, and the result of an attempt determines the next one:
//
//	answer lost or unknown   the same key again, answered from its owner's record
//	known not to have run    a new key, which may have another owner
//	complete                 no further attempt
//
// Only the caller knows that a key was never sent before. It marks the first attempt with
// each key as fresh, so that nodes can answer "not run" where they would otherwise have to
// answer "unknown".
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
	// Caller sends requests to nodes. Use New to create one. It is safe for concurrent
	// use as long as its fields do not change after the first request.
	Caller struct {
		// Nodes holds the addresses of one or more nodes as IP:port. The nodes may
		// belong to any services. A request starts at a random node and moves to the
		// next one with each repeat. A node that did not answer is tried last for 5 s.
		Nodes []string
		// HTTP sends the requests. Its transport must not repeat requests on its own;
		// that of net/http does not repeat those of a Caller. Redirects are never
		// followed, because they are part of the target's answer.
		HTTP *http.Client
		// Retries is the largest number of repeats of a request; 0 means none. Moving
		// on from a node to which no connection could be opened does not count, until
		// every node has been tried.
		Retries int
		Backoff Backoff
		// Deadline is the time allowed for a request that does not set its own.
		Deadline time.Duration
		// Timeout is the longest time to wait for the answer to one attempt. If it is
		// 0, an attempt that may be repeated gets half of the remaining time, so that
		// time is left for another node if this one does not answer.
		Timeout time.Duration
		// MaxAnswerBytes limits the size of an answer's body.
		MaxAnswerBytes int64
		Clock          Clock
		// Random returns numbers in [0, 1). It must be safe for concurrent use, because
		// the goroutines of all requests call it.
		Random func() float64

		// withTimeout limits the time of one attempt. Tests replace it to trigger the
		// timeout themselves.
		withTimeout func(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc)

		mu    sync.Mutex
		order nodeOrder
	}

	// Backoff configures the exponential backoff between attempts. The delay starts at
	// Base, doubles with each repeat up to Max, and is then reduced by a random jitter of
	// up to half. A Retry-After from the node, increased by a random jitter of up to half,
	// is used instead if it is longer.
	Backoff struct {
		Base time.Duration
		Max  time.Duration
	}

	// Clock returns the current time and creates timers.
	Clock interface {
		Now() time.Time
		After(d time.Duration) <-chan time.Time
	}

	// Repeat determines whether a request may run more than once.
	Repeat uint8

	// Request is one request to a service.
	Request struct {
		// Method is the HTTP method. The default is GET.
		Method string
		// Path starts with a slash and may include a query.
		Path string
		// Header holds additional headers. Headers of the mesh are replaced, except for
		// Dandelion-Context: a target that calls another service copies that header
		// from the call that it serves, and lists only its own node in Nodes.
		Header http.Header
		Body   []byte
		Repeat Repeat
		// Deadline is the time allowed for the request including all repeats. It can
		// only shorten the deadline declared for the kind. 0 means the caller's Deadline.
		Deadline time.Duration
		// Key is the idempotency key of an earlier request, a UUIDv7 in lower case, and
		// is used to learn the result of that request. It is treated as sent before and
		// never replaced. If it is empty, a key is minted when one is needed.
		Key string
	}

	// Answer is the result of a request. If Do returned no error, it is the target's
	// complete answer. Otherwise Status, Header and Body are those that a node sent with
	// the code, or zero if the caller itself determined the code.
	Answer struct {
		// Code is the overall result of all attempts: a code that a node sent, or one
		// that the caller determined because no code arrived.
		Code result.Code
		// Refusal is the reason why the last attempt was rejected if Code is
		// RepeatRefused, and otherwise 0.
		Refusal result.Code
		// Replayed is set if the answer is the recorded one of an earlier run.
		Replayed bool
		Status   int
		Header   http.Header
		Body     []byte
		// Key is the last idempotency key, or empty if none was used. After an unknown
		// result, a request with this key asks for the result again.
		Key string
		// RequestID is the ID of the request in the node's logs.
		RequestID string
		// Node is the address of the node that answered or should have answered.
		Node string
		// Sendings is the number of attempts, including those that could not connect.
		Sendings int
		// Detail describes why no complete answer arrived. It is empty if one did.
		Detail string
	}

	systemClock struct{}
)

// Rules for repeating a request. The rule should match the one declared for the kind: no key
// is minted for a request that is Safe here, so it runs as often as it is sent, whatever the
// declaration says.
const (
	// ByMethod stands for Safe if the method is GET, HEAD or OPTIONS, and otherwise for
	// Never.
	ByMethod Repeat = iota
	// Safe requests may run any number of times.
	Safe
	// Never requests must run at most once.
	Never
)

// HTTP headers that callers and nodes exchange.
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
	// idlePerNode is the largest number of idle connections kept to each node.
	idlePerNode = 64
)

var (
	namespace = errorx.NewNamespace("caller")
	// InvalidRequest means that the request is invalid and was not sent. The causes include
	// an empty list of nodes, a path that does not start with a slash, and a key that is
	// not a UUIDv7.
	InvalidRequest = namespace.NewType("invalid_request")
	// NotRun means that no attempt of the request ran anywhere. The answer's code gives the
	// reason.
	NotRun = namespace.NewType("not_run")
	// Unknown means that the request ran or may have run, but there is no complete answer.
	// The answer's code gives the reason.
	Unknown = namespace.NewType("unknown")
)

// New returns a Caller for the nodes at the given IP:port addresses. It allows 2 repeats, a
// deadline of 10 s and answers of up to 4 MiB, and does not share connections with other
// callers.
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

// Do sends the request and repeats it where that is safe and can help. A complete answer
// of the target is not an error, whatever its HTTP status. Otherwise the error is of type
// InvalidRequest, NotRun or Unknown. If Request.Key is set, Do never returns NotRun, because
// an earlier request with the same key may have run.
func (c *Caller) Do(ctx context.Context, request Request) (Answer, error) {
	if err := c.prepare(&request); err != nil {
		return Answer{Code: result.BadRequest}, err
	}
	state := c.newRetryState(ctx, request)
	answer := Answer{Key: request.Key}
	for {
		if code := c.stopCode(ctx, state.deadline); code != 0 {
			answer.Code = answer.Code.Then(code)
			answer = state.finalAnswer(answer)
			return answer, answerError(answer)
		}
		next := state.next(c.Clock.Now())
		newest, outcome := c.send(ctx, request, next)
		answer = mergeAnswers(answer, newest)
		c.recordNode(next.node, outcome)
		delay, again := state.recordAttempt(c.Clock.Now(), outcome)
		if !again || !c.wait(ctx, delay) {
			answer = state.finalAnswer(answer)
			return answer, answerError(answer)
		}
	}
}

// prepare sets the defaults of the request and returns an error if it cannot be sent.
func (c *Caller) prepare(request *Request) error {
	if request.Method == "" {
		request.Method = http.MethodGet
	}
	if request.Repeat == ByMethod {
		request.Repeat = defaultRepeat(request.Method)
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
	if _, err := c.newHTTPRequest(context.Background(), *request, attempt{node: c.Nodes[0]}); err != nil {
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

func (c *Caller) newRetryState(ctx context.Context, request Request) *retryState {
	deadline := c.Clock.Now().Add(request.Deadline)
	if contextDeadline, ok := ctx.Deadline(); ok && contextDeadline.Before(deadline) {
		deadline = contextDeadline
	}
	state := &retryState{
		nodes:    c.orderedNodes(),
		repeat:   request.Repeat,
		retries:  c.Retries,
		backoff:  c.Backoff,
		timeout:  c.Timeout,
		deadline: deadline,
		key:      request.Key,
		keyGiven: request.Key != "",
		mint:     mintKey,
		random:   c.Random,
	}
	if request.Header.Get(contextHeader) != "" {
		state.nested = true
	}
	return state
}

// orderedNodes returns the nodes in the order in which a new request tries them, starting
// at a random one.
func (c *Caller) orderedNodes() []string {
	position := int(c.Random() * float64(len(c.Nodes)))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order.sorted(c.Clock.Now(), c.Nodes, position)
}

// recordNode records whether a node answered. Cancelled attempts are ignored, because they
// reveal nothing about the node.
func (c *Caller) recordNode(node string, o outcome) {
	if o.code == result.Cancelled || o.code == result.CancelledLate {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.recordAttempt(c.Clock.Now(), node, o.answered)
}

// wait waits for the delay and reports whether the request may continue.
func (c *Caller) wait(ctx context.Context, delay time.Duration) bool {
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

// mergeAnswers returns the overall answer after another attempt: previous or newest,
// whichever Code.Then selects, with the number of attempts increased by one.
func mergeAnswers(previous, newest Answer) Answer {
	sendings := previous.Sendings + 1
	if previous.Code.Then(newest.Code) != newest.Code {
		newest = previous
	}
	newest.Sendings = sendings
	return newest
}

// answerError returns the error that Do reports for an answer, or nil if it is complete.
func answerError(answer Answer) error {
	switch answer.Code.Family() {
	case result.Complete:
		return nil
	case result.NotRun:
		return NotRun.New("%s: %s", answer.Code, answer.Detail)
	}
	return Unknown.New("%s: %s", answer.Code, answer.Detail)
}

// stopCode returns the code for a request that was cancelled or has no time left for
// another attempt, and otherwise 0.
func (c *Caller) stopCode(ctx context.Context, deadline time.Time) result.Code {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return result.Cancelled
	case ctx.Err() != nil || !c.Clock.Now().Before(deadline):
		return result.DeadlinePassed
	}
	return 0
}

func defaultRepeat(method string) Repeat {
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

// Now returns the current time of the host.
func (systemClock) Now() time.Time {
	return time.Now()
}

// After returns a channel that receives the time after d has passed.
func (systemClock) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}
