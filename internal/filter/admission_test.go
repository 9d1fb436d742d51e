package filter

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// chainKinds has a chain of three services, of which only the last is overloaded.
const chainKinds = `
resource: service
name: rounds
slots: 10
connections: 10
---
resource: service
name: stock
slots: 10
connections: 10
---
resource: service
name: lots
slots: 10
connections: 10
---
resource: request_kind
name: plan_round
service: rounds
method: POST
path: /rounds
importance: normal
repeat: safe
deadline: 2s
calls: [read_stock]
---
resource: request_kind
name: plan_feast
service: rounds
method: POST
path: /feasts
importance: critical
repeat: safe
deadline: 2s
calls: [read_stock]
---
resource: request_kind
name: list_rounds
service: rounds
method: GET
path: /rounds
importance: low
deadline: 2s
---
resource: request_kind
name: read_stock
service: stock
method: GET
path: /stock
importance: normal
deadline: 2s
calls: [read_lots]
---
resource: request_kind
name: read_lots
service: lots
method: GET
path: /lots
importance: normal
deadline: 2s
`

// admissionCase is one request while the floor of the service lots admits only high
// importance.
type admissionCase struct {
	name, method, path string
	// handle is the context handle of the call that the request belongs to, if any.
	handle string
	want   result.Code
	detail string
}

// A request that the third service of its chain would reject is rejected at the entry.
// Requests that do not reach that service, more important requests, and calls of a request
// in flight, for which work has already been done, are admitted.
func TestEntryChecksFloorsOfWholeChain(t *testing.T) {
	set, err := schema.Parse("declarations", []byte(chainKinds))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_800_000_000, 0)
	entryGate := admit.NewEntryGate()
	entryGate.Learn(now, "lots", "node-lots-1", admit.Order(schema.High, 0), 0)
	for _, tc := range []admissionCase{
		{"two hops before the overloaded service", http.MethodPost, "/rounds", "", result.DoorClosed, "lots"},
		{"one hop before the overloaded service", http.MethodGet, "/stock", "", result.DoorClosed, "lots"},
		{"same service without calls", http.MethodGet, "/rounds", "", result.OK, ""},
		{"higher importance", http.MethodPost, "/feasts", "", result.OK, ""},
		{"call of a request in flight", http.MethodGet, "/stock", "known", result.OK, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			answer := runAdmissionCase(set, entryGate, now, tc)
			is.Equal(answer.Code, tc.want)
			is.Equal(answer.Detail, tc.detail) // the service that would reject the request
		})
	}
}

func runAdmissionCase(set *schema.Set, entryGate *admit.EntryGate, now time.Time, tc admissionCase) *call.Answer {
	inbound := newTestFilters(now, func() *Rules { return rulesOf(set) })
	inbound.Serving = func(handle string) (*call.Serving, bool) {
		return &call.Serving{Deadline: now.Add(time.Second), Tokens: call.NewTokens(0)}, handle == "known"
	}
	inbound.ChainAdmits = func(services []string, order uint32) (string, bool) {
		return entryGate.Allows(now, services, order)
	}
	request := httptest.NewRequest(tc.method, tc.path, nil)
	request.Header.Set(local.ContextHeader, tc.handle)
	chain := Chain(inbound.Filters(), func(context.Context, *Exchange) *call.Answer {
		return &call.Answer{Code: result.OK}
	})
	return chain(context.Background(), &Exchange{Request: request, Call: &call.Call{}})
}
