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

// doorCase is one request while the floor of lots lets only high importance in.
type doorCase struct {
	name, method, path string
	// handle is that of the call that the request belongs to, if any.
	handle string
	want   result.Code
	detail string
}

// The door refuses a request that would be refused three calls deep, and nothing
// else: neither what does not go there, nor what is important enough, nor the
// calls of a request for which work has been done.
func TestDoorHeedsTheFloorsOfTheWholeChain(t *testing.T) {
	set, err := schema.Parse("declarations", []byte(chainKinds))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_800_000_000, 0)
	door := admit.NewDoor()
	door.Learn(now, "lots", "node-lots-1", admit.Order(schema.High, 0), 0)
	for _, one := range []doorCase{
		{"two calls above the full service", http.MethodPost, "/rounds", "", result.DoorClosed, "lots"},
		{"one call above it", http.MethodGet, "/stock", "", result.DoorClosed, "lots"},
		{"of the same service, but without calls", http.MethodGet, "/rounds", "", result.OK, ""},
		{"more important", http.MethodPost, "/feasts", "", result.OK, ""},
		{"part of a request under way", http.MethodGet, "/stock", "known", result.OK, ""},
	} {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			answer := passDoor(set, door, now, one)
			is.Equal(answer.Code, one.want)
			is.Equal(answer.Detail, one.detail) // the service that would refuse
		})
	}
}

func passDoor(set *schema.Set, door *admit.Door, now time.Time, one doorCase) *call.Answer {
	inward := newPlain(now, func() *Rules { return rulesOf(set) })
	inward.Serving = func(handle string) (*call.Serving, bool) {
		return &call.Serving{Deadline: now.Add(time.Second), Tokens: call.NewTokens(0)}, handle == "known"
	}
	inward.Allows = func(services []string, order uint32) (string, bool) {
		return door.Allows(now, services, order)
	}
	request := httptest.NewRequest(one.method, one.path, nil)
	request.Header.Set(local.ContextHeader, one.handle)
	chain := Chain(inward.Filters(), func(context.Context, *Exchange) *call.Answer {
		return &call.Answer{Code: result.OK}
	})
	return chain(context.Background(), &Exchange{Request: request, Call: &call.Call{}})
}
