package filter

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// meshModel draws the outcomes of the transmissions of one request.
type meshModel struct {
	t    *rapid.T
	runs int
	// late counts transmissions that run after all answers have arrived.
	late int
}

var refusals = []result.Code{
	result.Overloaded, result.NoTarget, result.Leaving, result.Unreachable,
	result.TargetShed, result.KeyTooOld, result.NoOwner, result.BudgetSpent,
}

// respond simulates the mesh behind the filters.
func (m *meshModel) respond(context.Context, *Exchange) *call.Answer {
	switch rapid.SampledFrom([]string{"run", "late", "refuse"}).Draw(m.t, "end") {
	case "run":
		m.runs++
		return &call.Answer{Code: result.OK}
	case "late":
		m.late++
		return call.Refuse(result.Lost, "")
	}
	return call.Refuse(rapid.SampledFrom(refusals).Draw(m.t, "refusal"), "")
}

// A caller with a plain HTTP client may lose answers and relies on the code of the last
// one. The code may say "not run" only if no transmission of the request ran or will run.
func TestNotRunIsNotReportedIfRequestMayHaveRun(t *testing.T) {
	set, err := schema.Parse("declarations", []byte(declarations))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		model := &meshModel{t: t}
		var rules *Rules
		inbound := newTestFilters(time.Unix(1_800_000_000, 0), func() *Rules { return rules })
		inbound.ChainAdmits = func([]string, uint32) (string, bool) { return "orders", rapid.Bool().Draw(t, "open") }
		handler := Handler(Chain(inbound.Filters(), model.respond))
		method, path := http.MethodPost, "/orders"
		if rapid.Bool().Draw(t, "safe") {
			method, path = http.MethodGet, "/stock/rope"
		}
		reportedNotRun := false
		for i := range rapid.IntRange(1, 4).Draw(t, "transmissions") {
			rules = nil
			if rapid.IntRange(0, 9).Draw(t, "configured") > 0 {
				rules = rulesOf(set)
			}
			request := httptest.NewRequest(method, path, nil)
			request.Header.Set(KeyHeader, "019a0000-0000-7000-8000-000000000001")
			if i == 0 {
				request.Header.Set(FreshHeader, "true")
			}
			answer := handler(context.Background(), request)
			code, _ := result.Parse(answer.Header.Get(CodeHeader))
			reportedNotRun = code.Family() == result.NotRun
			is.Equal(answer.Header.Get(RefusalHeader) != "", code == result.RepeatRefused)
		}
		if reportedNotRun { // by the last answer
			is.Equal(model.runs+model.late, 0)
		}
	})
}

// Only the node can set the headers that report the result of a request.
func TestTargetCannotForgeResultHeaders(t *testing.T) {
	is := is.New(t)
	forged := http.Header{}
	for _, name := range []string{CodeHeader, ResultHeader, RequestHeader, RefusalHeader} {
		forged.Set(name, "forged")
	}
	answer := Reply("", &call.Answer{Code: result.TargetFailed, Status: http.StatusInternalServerError, Header: forged})
	is.Equal(answer.Header.Get(CodeHeader), "302")
	is.Equal(answer.Header.Get(ResultHeader), "target_failed")
	is.Equal(answer.Header.Get(RequestHeader), "")
	is.Equal(answer.Header.Get(RefusalHeader), "")
}
