package filter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/authn"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/httpd"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/loglim"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/quota"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// Rules holds the declarations in force, prepared for matching requests.
type Rules struct {
	Revision int64
	Limits   schema.Limits
	// Match finds the kind by the method and the path.
	Match func(method, path string) (*schema.Kind, bool)
	// MatchPrefix finds the kind by the host and a prefix of the path as it was sent. It
	// may be nil.
	MatchPrefix func(host, path string) (*schema.Kind, bool)
	// SplitPart returns the part of a split kind to which the next request belongs. It may
	// be nil.
	SplitPart func(kind *schema.Kind) *schema.Kind
	// Chain returns the services that a request of a kind is known to reach, its own
	// first.
	Chain func(kind string) []string
	// Teams finds the team of a key. It is nil if requests need no key.
	Teams *authn.Table
}

// Inbound holds the dependencies of a node's filters.
type Inbound struct {
	Clock   clock.Clock
	Metrics *metric.Set
	Log     hclog.Logger
	// Rules returns the rules in force, or nil if there are none.
	Rules func() *Rules
	// Leaving reports whether there are no rules because the node is leaving. A nil
	// function means no.
	Leaving func() bool
	// EndsInTime reports whether a request with the given deadline ends in time for a planned
	// stop of the node. A nil function means yes.
	EndsInTime func(deadline time.Time) bool
	// Serving finds the attempt in flight at the target that a context handle names.
	Serving func(handle string) (*call.Serving, bool)
	// TargetHost is the IP address from which context handles are accepted.
	TargetHost string
	// UnnamedCalls is set if the target does not name the request that it makes a call for.
	UnnamedCalls bool
	// ChainAdmits reports whether all services of a chain accept requests of the given order,
	// and otherwise names one that does not. If it is nil, all requests pass.
	ChainAdmits func(services []string, order uint32) (string, bool)
	// FailureLimiter limits the rate of log lines about requests that were not completed. If it
	// is nil, none are logged.
	FailureLimiter *loglim.Limiter
	// TeamHeader is the header by which a target learns the team of a request.
	TeamHeader string
	// Confirmed reports whether the rules in force may be taken for the newest, so that
	// their keys still hold. A nil function means yes.
	Confirmed func() bool
	// KeyLimiter limits the rate of log lines about requests refused for their key. If it
	// is nil, none are logged.
	KeyLimiter *loglim.Limiter
	// Throttle decides whether a new request is admitted, and returns the share of such
	// requests that are admitted. Ended receives the result of each admitted
	// request, and how long it took. If Throttle is nil, all requests are admitted.
	Throttle func(c *call.Call) (share float64, ok bool)
	Ended    func(c *call.Call, code result.Code, took time.Duration)
	// AdmitTeam decides by the quota of a team on one of its requests, and ReturnUnit gives
	// the unit of an admitted request back that has not run. If AdmitTeam is nil, there are
	// no quotas.
	AdmitTeam  func(team string) quota.Verdict
	ReturnUnit func(team string)
	// QuotaLimiter limits the rate of log lines about refusals for a quota. If it is nil, none
	// are logged.
	QuotaLimiter *loglim.Limiter
}

// Headers of callers' requests and of the answers to callers.
const (
	KeyHeader = "Idempotency-Key"
	// FreshHeader is "true" if the caller never sent the key before.
	FreshHeader    = "Dandelion-Key-Fresh"
	DeadlineHeader = "Dandelion-Deadline"
	CodeHeader     = "Dandelion-Code"
	ResultHeader   = "Dandelion-Result"
	RequestHeader  = "Dandelion-Request"
	// RefusalHeader names the reason for which a repeated request was rejected, if the
	// code is result.RepeatRefused.
	RefusalHeader = "Dandelion-Refusal"
)

// Filters returns the filters in the order in which they run.
func (in *Inbound) Filters() []Filter {
	return []Filter{
		{Name: "record", Run: in.record},
		{Name: "head", Run: in.settleHead},
		{Name: "repeated", Run: guardRepeats},
		{Name: "classify", Run: in.classify},
		{Name: "authenticate", Run: in.authenticate},
		{Name: "inherit", Run: in.inherit},
		{Name: "key", Run: in.key},
		{Name: "body", Run: in.body},
		{Name: "quota", Run: in.checkQuota},
		{Name: "door", Run: in.checkAdmission},
	}
}

// MemoryFilters returns the filters for a request that is refused because there is no memory
// for its body.
func (in *Inbound) MemoryFilters() []Filter {
	return []Filter{{Name: "record", Run: in.record}, {Name: "repeated", Run: guardRepeats}}
}

// record counts and logs every request with its result.
func (in *Inbound) record(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	began := in.Clock.Now()
	answer := next(ctx, exchange)
	kind := "unknown"
	if exchange.Call.Kind != nil {
		kind = exchange.Call.Kind.Name
	}
	took := in.Clock.Now().Sub(began)
	in.Metrics.Requests.WithLabelValues(kind, answer.Code.String()).Inc()
	in.Metrics.RequestSeconds.WithLabelValues(kind).Observe(took.Seconds())
	in.logFailure(exchange.Call, kind, answer, took)
	if !in.Log.IsDebug() {
		return answer
	}
	in.Log.Debug("request_ended",
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

// logFailure logs a request that was not completed or took more than one attempt, with
// the state that led to its result. The lines per second are limited for each result, and
// the next line tells how many were left out.
func (in *Inbound) logFailure(c *call.Call, kind string, answer *call.Answer, took time.Duration) {
	if in.FailureLimiter == nil || answer.Code == result.OK && len(c.Steps) < 2 {
		return
	}
	leftOut, ok := in.FailureLimiter.Allow(in.Clock.Now(), answer.Code.String())
	if !ok {
		return
	}
	in.Log.Info("request_failed",
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

// describeSteps lists the attempts with the target, result and duration of each.
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

// guardRepeats ensures that no request that may have run is answered with "not run". A
// rejection applies only to the transmission that it answers. If the caller may have sent
// the key before, an earlier transmission may have run or may still be in flight, so the
// answer is result.RepeatRefused.
func guardRepeats(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
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

// classify determines the declared kind and the deadline.
func (in *Inbound) classify(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	// Asked before the rules are loaded, the answer holds for them as well.
	confirmed := in.Confirmed == nil || in.Confirmed()
	rules := in.Rules()
	switch {
	case rules == nil && in.Leaving != nil && in.Leaving():
		return call.Refuse(result.Leaving, "")
	case rules == nil:
		return call.Refuse(result.NoConfiguration, "")
	}
	request := exchange.Request
	kind, ok := kindOf(rules, request)
	if !ok {
		return call.Refuse(result.UnknownKind, request.Method+" "+request.URL.EscapedPath())
	}
	switch {
	case exchange.head.madeBy(rules):
		kind = exchange.head.kind
	case rules.SplitPart != nil:
		kind = rules.SplitPart(kind)
	}
	deadline, err := in.deadline(request, kind)
	if err != nil {
		return call.Refuse(result.BadRequest, DeadlineHeader+": "+err.Error())
	}
	if in.EndsInTime != nil && !in.EndsInTime(deadline) {
		return call.Refuse(result.Leaving, "it may take longer than the planned stop")
	}
	exchange.rules = rules
	exchange.confirmed = confirmed
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

// deadline returns the declared deadline, or the caller's if that is earlier.
func (in *Inbound) deadline(request *http.Request, kind *schema.Kind) (time.Time, error) {
	left := kind.Deadline
	if text := request.Header.Get(DeadlineHeader); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil {
			return time.Time{}, err
		}
		left = min(left, requested)
	}
	return in.Clock.Now().Add(left), nil
}

// inherit lets a call made by the target inherit the importance, position, deadline and
// retry tokens of the call that the target serves. A handle is accepted only from the
// target's host; without a valid handle the call is a new request.
func (in *Inbound) inherit(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	c := exchange.Call
	handle := exchange.Request.Header.Get(local.ContextHeader)
	parent, ok := in.Serving(handle)
	if handle == "" || !ok || exchange.Remote != in.TargetHost {
		if c.RequestID == "" {
			c.RequestID = exchange.requestID()
		}
		c.Position = admit.Position(positionSeed(exchange.Request, c.RequestID), in.Clock.Now())
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

// positionSeed returns the text from which a new request's position in the shedding order is
// derived: its idempotency key, or the id of the request if it has no key. With the key, a
// repeat neither gets a better position nor is rejected while its first transmission runs.
func positionSeed(request *http.Request, requestID string) string {
	if key := request.Header.Get(KeyHeader); key != "" {
		return key
	}
	return requestID
}

// key takes over the idempotency key, and validates it for kinds that must not be
// retried. It removes FreshHeader: a target that copies its request headers to the calls
// that it makes would otherwise claim that their keys are fresh, even when the target is
// called a second time.
func (in *Inbound) key(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
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

// body reads the complete body of the request, up to the declared size.
func (in *Inbound) body(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	if exchange.Request.ContentLength == 0 {
		return next(ctx, exchange)
	}
	maxBytes := exchange.Call.Limits.MaxRequestBytes
	if body, ok := httpd.WholeBody(exchange.Request); ok && int64(len(body)) <= maxBytes {
		exchange.Call.Body = body
		return next(ctx, exchange)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, exchange.Request.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, httpd.ErrSkipped):
		// The filters that refused the head come later.
		exchange.bodySkipped = true
		return next(ctx, exchange)
	case errors.As(err, &tooLarge):
		return call.Refuse(result.BodyTooLarge, err.Error())
	case err != nil:
		return call.Refuse(result.BadRequest, err.Error())
	}
	exchange.Call.Body = body
	return next(ctx, exchange)
}

// checkAdmission rejects a new request that a service of its chain would reject later,
// before any work is done for it. A call made on behalf of a request in flight is not
// rejected here, because work has already been done for that request; the node of the
// called target decides.
func (in *Inbound) checkAdmission(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	c := exchange.Call
	share, ok := in.throttle(exchange)
	c.Admitted = share
	if !ok {
		in.Metrics.Refusals.WithLabelValues(c.Kind.Service, metric.Throttled).Inc()
		refused := call.Refuse(result.DoorClosed, metric.Throttled)
		refused.Admitted = share
		return refused
	}
	if c.Parent == nil && in.ChainAdmits != nil {
		if service, ok := in.chainAdmits(exchange); !ok {
			in.Metrics.Refusals.WithLabelValues(service, result.DoorClosed.String()).Inc()
			return call.Refuse(result.DoorClosed, service)
		}
	}
	if exchange.bodySkipped {
		// The request would be taken now: since its head was read, other rules came into force
		// or the rules were confirmed.
		return call.Refuse(result.MemoryBound, httpd.ErrSkipped.Error())
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	began := in.Clock.Now()
	answer := next(ctx, exchange)
	if in.Ended != nil && c.Parent == nil {
		in.Ended(c, answer.Code, in.Clock.Now().Sub(began))
	}
	return answer
}

// throttle asks Throttle about a new request, unless it was asked when the head had been read.
// A call made on behalf of a request in flight always passes.
func (in *Inbound) throttle(exchange *Exchange) (share float64, ok bool) {
	c := exchange.Call
	switch {
	case in.Throttle == nil || c.Parent != nil:
		return 1, true
	case exchange.head.madeBy(exchange.rules) && exchange.head.throttle != nil:
		return exchange.head.throttle.share, exchange.head.throttle.ok
	}
	return in.Throttle(c)
}

// chainAdmits asks ChainAdmits about a new request. A refusal of its head holds, since its body
// was not kept.
func (in *Inbound) chainAdmits(exchange *Exchange) (service string, ok bool) {
	c := exchange.Call
	if exchange.head.madeBy(exchange.rules) && exchange.head.closedBy != "" {
		return exchange.head.closedBy, false
	}
	return in.ChainAdmits(exchange.rules.Chain(c.Kind.Name), admit.Order(c.Importance, c.Position))
}
