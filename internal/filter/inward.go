package filter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/trail"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// Rules are the declarations in force, compiled for use on requests.
type Rules struct {
	Revision int64
	Limits   schema.Limits
	Match    func(method, path string) (*schema.Kind, bool)
	// Prefix finds the kind by the host and the start of the path as it was
	// sent; may be nil.
	Prefix func(host, path string) (*schema.Kind, bool)
	// Part returns the part of a split kind that the next request goes to; may be nil.
	Part func(kind *schema.Kind) *schema.Kind
	// Chain returns the services that a kind is known to call, its own first.
	Chain func(kind string) []string
}

// Inward makes the filters of a node.
type Inward struct {
	Clock   clock.Clock
	Metrics *metric.Set
	Log     hclog.Logger
	// Rules returns the rules in force, nil before there are any.
	Rules func() *Rules
	// Leaving says whether there are none because the node leaves; nil stands for no.
	Leaving func() bool
	// Fits says whether a request with a deadline ends before a planned stop does; nil
	// stands for yes.
	Fits func(deadline time.Time) bool
	// Serving finds the attempt that a context handle stands for.
	Serving func(handle string) (*call.Serving, bool)
	// TargetHost is the IP number from which context handles are accepted.
	TargetHost string
	// Allows asks the door about all services of a chain; nil lets all pass.
	Allows func(services []string, order uint32) (string, bool)
	// Failures bounds the lines about requests that did not end well; nil for none.
	Failures *trail.Limiter
	// Admits says whether a new request of a kind is let in, and which share of
	// them is; Ended is told how one that was let in ended. Nil lets all in.
	Admits func(kind *schema.Kind) (share float64, ok bool)
	Ended  func(kind *schema.Kind, code result.Code)
}

// Headers of callers' requests and of the answers to them.
const (
	KeyHeader = "Idempotency-Key"
	// FreshHeader says that the caller never sent the key before.
	FreshHeader    = "Dandelion-Key-Fresh"
	DeadlineHeader = "Dandelion-Deadline"
	CodeHeader     = "Dandelion-Code"
	ResultHeader   = "Dandelion-Result"
	RequestHeader  = "Dandelion-Request"
	// RefusalHeader names why a sending was refused, where the code is that of a
	// refused repeat.
	RefusalHeader = "Dandelion-Refusal"
)

// Filters returns the filters in the order in which they run.
func (f *Inward) Filters() []Filter {
	return []Filter{
		{Name: "record", Run: f.record},
		{Name: "repeated", Run: repeated},
		{Name: "classify", Run: f.classify},
		{Name: "inherit", Run: f.inherit},
		{Name: "key", Run: f.key},
		{Name: "body", Run: f.body},
		{Name: "door", Run: f.door},
	}
}

// record counts and logs every request with its result.
func (f *Inward) record(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	began := f.Clock.Now()
	answer := next(ctx, exchange)
	kind := "unknown"
	if exchange.Call.Kind != nil {
		kind = exchange.Call.Kind.Name
	}
	took := f.Clock.Now().Sub(began)
	f.Metrics.Requests.WithLabelValues(kind, answer.Code.String()).Inc()
	f.Metrics.RequestSeconds.WithLabelValues(kind).Observe(took.Seconds())
	f.noteFailure(exchange.Call, kind, answer, took)
	if !f.Log.IsDebug() {
		return answer
	}
	f.Log.Debug("request_ended",
		"request", exchange.Call.RequestID,
		"kind", kind,
		"result", answer.Code.String(),
		"refusal", answer.Refusal,
		"status", answer.Status,
		"took_ms", took.Milliseconds(),
		"detail", answer.Detail,
	)
	return answer
}

// noteFailure logs a request that did not end well, or took more than one attempt,
// with what decided it. Of each result only so many lines a second go out; the
// next one says how many were left out.
func (f *Inward) noteFailure(c *call.Call, kind string, answer *call.Answer, took time.Duration) {
	if f.Failures == nil || answer.Code == result.OK && len(c.Steps) < 2 {
		return
	}
	leftOut, ok := f.Failures.Allow(f.Clock.Now(), answer.Code.String())
	if !ok {
		return
	}
	f.Log.Info("request_failed",
		"request", c.RequestID,
		"kind", kind,
		"result", answer.Code.String(),
		"status", answer.Status,
		"took_ms", took.Milliseconds(),
		"revision", c.Revision,
		"admitted_share", strconv.FormatFloat(c.Admitted, 'f', 2, 64),
		"steps", describeSteps(c.Steps),
		"detail", answer.Detail,
		"left_out", leftOut,
	)
}

// describeSteps names each attempt with its target, result and time.
func describeSteps(steps []call.Step) string {
	texts := make([]string, len(steps))
	for i, step := range steps {
		target := step.Target
		if target == "" {
			target = "none"
		}
		texts[i] = target + ":" + step.Code.String() + ":" + strconv.FormatInt(step.Took.Milliseconds(), 10) + "ms"
	}
	return strings.Join(texts, ",")
}

// repeated keeps "not run" from requests that may have run. A refusal speaks of
// the sending that it answers; where the key may have been sent before, an
// earlier sending may have run, or be under way still.
func repeated(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	header := exchange.Request.Header
	mayHaveRun := header.Get(KeyHeader) != "" && header.Get(FreshHeader) != "true"
	answer := next(ctx, exchange)
	if !mayHaveRun || answer.Code.Family() != result.NotRun {
		return answer
	}
	answer.Refusal = answer.Code
	answer.Code = result.RepeatRefused
	return answer
}

// classify finds the declared kind and fixes the deadline.
func (f *Inward) classify(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	rules := f.Rules()
	switch {
	case rules == nil && f.Leaving != nil && f.Leaving():
		return call.Refuse(result.Leaving, "")
	case rules == nil:
		return call.Refuse(result.NoConfiguration, "")
	}
	request := exchange.Request
	kind, ok := kindOf(rules, request)
	if !ok {
		return call.Refuse(result.UnknownKind, request.Method+" "+request.URL.EscapedPath())
	}
	if rules.Part != nil {
		kind = rules.Part(kind)
	}
	deadline, err := f.deadline(request, kind)
	if err != nil {
		return call.Refuse(result.BadRequest, DeadlineHeader+": "+err.Error())
	}
	if f.Fits != nil && !f.Fits(deadline) {
		return call.Refuse(result.Leaving, "it may take longer than the planned stop")
	}
	c := exchange.Call
	c.Kind = kind
	c.Limits = rules.Limits
	c.Revision = rules.Revision
	c.Method = request.Method
	c.Host = request.Host
	c.Path = request.URL.RequestURI()
	c.Header = request.Header
	c.Deadline = deadline
	c.Importance = kind.Importance
	return next(ctx, exchange)
}

// deadline is the declared one, or the caller's where that is shorter.
func (f *Inward) deadline(request *http.Request, kind *schema.Kind) (time.Time, error) {
	left := kind.Deadline
	if text := request.Header.Get(DeadlineHeader); text != "" {
		wanted, err := time.ParseDuration(text)
		if err != nil {
			return time.Time{}, err
		}
		left = min(left, wanted)
	}
	return f.Clock.Now().Add(left), nil
}

// inherit gives a target's own call the importance, the deadline and the
// tokens of the call that the target serves. A handle counts only when it
// comes from the target's host; otherwise the call is a new request.
func (f *Inward) inherit(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	c := exchange.Call
	handle := exchange.Request.Header.Get(local.ContextHeader)
	parent, ok := f.Serving(handle)
	if handle == "" || !ok || exchange.Remote != f.TargetHost {
		if c.RequestID == "" {
			c.RequestID = uuid.NewString()
		}
		c.Position = admit.Position(f.positionSeed(exchange), f.Clock.Now())
		c.Tokens = call.NewTokens(c.Kind.Retries)
		return next(ctx, exchange)
	}
	c.Parent = parent
	c.RequestID = parent.RequestID
	c.Position = parent.Position
	c.Tokens = parent.Tokens
	c.Importance = max(c.Importance, parent.Importance)
	if parent.Deadline.Before(c.Deadline) {
		c.Deadline = parent.Deadline
	}
	parent.ChildSent()
	answer := next(ctx, exchange)
	parent.ChildEnded(answer.Code, c.Kind.Repeat)
	return answer
}

// positionSeed is what a new request's place in the order of refusal follows
// from: its idempotency key, so that a repeat neither draws a better place nor
// is refused while its first sending runs, or else the request's own id.
func (f *Inward) positionSeed(exchange *Exchange) string {
	if key := exchange.Request.Header.Get(KeyHeader); key != "" {
		return key
	}
	return exchange.Call.RequestID
}

// key checks the idempotency key of a kind that never repeats. That a key is
// fresh is not passed on: a target that copies its headers to the calls that it
// makes would claim it for theirs, also when it is called a second time.
func (f *Inward) key(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	header := exchange.Request.Header
	fresh := header.Get(FreshHeader) == "true"
	header.Del(FreshHeader)
	text := header.Get(KeyHeader)
	if text == "" {
		return next(ctx, exchange)
	}
	if exchange.Call.Kind.Repeat == schema.Never {
		key, err := once.ParseKey(text)
		if err != nil {
			return call.Refuse(result.KeyInvalid, err.Error())
		}
		text = key.Text
	}
	exchange.Call.Key = text
	exchange.Call.KeyFresh = fresh
	return next(ctx, exchange)
}

// body takes the request's body whole, within the declared size.
func (f *Inward) body(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	if exchange.Request.ContentLength == 0 {
		return next(ctx, exchange)
	}
	most := exchange.Call.Limits.MaxRequestBytes
	body, err := io.ReadAll(http.MaxBytesReader(nil, exchange.Request.Body, most))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return call.Refuse(result.BodyTooLarge, err.Error())
	case err != nil:
		return call.Refuse(result.BadRequest, err.Error())
	}
	exchange.Call.Body = body
	return next(ctx, exchange)
}

// door refuses a new request that a service of its chain would refuse later,
// before any work is done for it. A call of a request that is under way is not
// refused here: work has been done for it, and the target's node decides.
func (f *Inward) door(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	c := exchange.Call
	share, ok := f.admits(c)
	c.Admitted = share
	if !ok {
		f.Metrics.Refusals.WithLabelValues(c.Kind.Service, metric.Throttled).Inc()
		refused := call.Refuse(result.DoorClosed, metric.Throttled)
		refused.Admitted = share
		return refused
	}
	if c.Parent == nil && f.Allows != nil {
		services := f.Rules().Chain(c.Kind.Name)
		order := admit.Order(c.Importance, c.Position)
		if service, ok := f.Allows(services, order); !ok {
			f.Metrics.Refusals.WithLabelValues(service, result.DoorClosed.String()).Inc()
			return call.Refuse(result.DoorClosed, service)
		}
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	answer := next(ctx, exchange)
	if f.Ended != nil && c.Parent == nil {
		f.Ended(c.Kind, answer.Code)
	}
	return answer
}

// admits asks the throttle about a new request.
func (f *Inward) admits(c *call.Call) (share float64, ok bool) {
	if f.Admits == nil || c.Parent != nil {
		return 1, true
	}
	return f.Admits(c.Kind)
}
