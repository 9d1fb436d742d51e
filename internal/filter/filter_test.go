package filter

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// fixedClock always returns the same time.
type fixedClock struct {
	now time.Time
}

const declarations = `
resource: service
name: orders
slots: 10
connections: 10
---
resource: request_kind
name: place_order
service: orders
method: POST
path: /orders
importance: high
repeat: never
deadline: 2s
retries: 3
calls: [read_stock]
---
resource: request_kind
name: read_stock
service: orders
method: GET
path: /stock/{item}
importance: low
deadline: 1s
retries: 1
---
resource: limits
max_request_bytes: 8B
`

func (f fixedClock) Now() time.Time {
	return f.now
}

func (f fixedClock) After(time.Duration) <-chan time.Time {
	return nil
}

// TestInboundFilters sends requests through the chain and prints the result and the call
// that leaves the chain. One call is in flight: it has the handle "known" and belongs to a
// critical request with 0.5 s and 2 retry tokens left.
func TestInboundFilters(t *testing.T) {
	datadriven.RunTest(t, "testdata/inbound", func(t *testing.T, d *datadriven.TestData) string {
		now := time.Unix(1_800_000_000, 0)
		parent := &call.Serving{
			RequestID:  "parent",
			Importance: schema.Critical,
			Position:   7,
			Deadline:   now.Add(500 * time.Millisecond),
			Tokens:     call.NewTokens(2),
		}
		inbound := newInbound(t, d, now, parent)
		request := readRequest(d)
		exchange := &Exchange{Request: request, Call: &call.Call{}, Remote: "127.0.0.1"}
		if d.HasArg("remote") {
			d.ScanArgs(t, "remote", &exchange.Remote)
		}
		var left string
		chain := Chain(inbound.Filters(), func(_ context.Context, e *Exchange) *call.Answer {
			left = describeCall(e.Call, now)
			return &call.Answer{Code: result.OK}
		})
		answer := chain(context.Background(), exchange)
		code := answer.Code.String()
		if answer.Refusal != 0 {
			code += " refusal=" + answer.Refusal.String()
		}
		return fmt.Sprintf("%s\n%schildren_ran=%t\n", code, left, parent.ChildrenRan())
	})
}

func newInbound(t *testing.T, d *datadriven.TestData, now time.Time, parent *call.Serving) *Inbound {
	t.Helper()
	set, err := schema.Parse("declarations", []byte(declarations))
	if err != nil {
		t.Fatal(err)
	}
	rules := rulesOf(set)
	if d.HasArg("no_rules") {
		rules = nil
	}
	inbound := newTestFilters(now, func() *Rules { return rules })
	inbound.Serving = func(handle string) (*call.Serving, bool) {
		if handle == "known" {
			return parent, true
		}
		return nil, false
	}
	inbound.TargetHost = "127.0.0.1"
	inbound.ChainAdmits = func(services []string, _ uint32) (string, bool) {
		return services[0], !d.HasArg("closed")
	}
	return inbound
}

// newTestFilters returns filters with the given rules and no call in flight, which admit
// all requests.
func newTestFilters(now time.Time, rules func() *Rules) *Inbound {
	return &Inbound{
		Clock:       fixedClock{now},
		Metrics:     metric.New(),
		Log:         hclog.NewNullLogger(),
		Rules:       rules,
		Serving:     func(string) (*call.Serving, bool) { return nil, false },
		ChainAdmits: func([]string, uint32) (string, bool) { return "", true },
	}
}

// rulesOf returns the rules compiled from declarations.
func rulesOf(set *schema.Set) *Rules {
	matcher := schema.NewMatcher(set)
	return &Rules{Revision: 1, Limits: set.Limits, Match: matcher.Match, Chain: set.Chain}
}

// readRequest parses a method and a path, then headers, then a body.
func readRequest(d *datadriven.TestData) *http.Request {
	lines := strings.Split(d.Input, "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	var body string
	header := http.Header{}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ": ")
		if !ok {
			body = line
			continue
		}
		header.Add(name, value)
	}
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header = header
	return request
}

func describeCall(c *call.Call, now time.Time) string {
	id := c.RequestID
	if id != "parent" {
		id = "new"
	}
	packed := local.Pack(c.Header)
	return fmt.Sprintf("kind=%s request=%s importance=%s left=%s tokens=%d key=%q fresh=%t headers=%d\n",
		c.Kind.Name, id, c.Importance, c.Deadline.Sub(now), c.Tokens.Left(), c.Key, c.KeyFresh, len(packed))
}
