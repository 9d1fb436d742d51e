package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/route"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const failedAnswers = 10

// failingTarget answers each call with a failure and the given headers. If childRefused is
// set, a call that the target made itself was refused before.
type failingTarget struct {
	server       *local.Server
	header       http.Header
	childRefused bool
}

func (f *failingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if serving, ok := f.server.Serving(r.Header.Get(local.ContextHeader)); ok && f.childRefused {
		serving.ChildSent()
		serving.ChildEnded(result.Overloaded, schema.Safe)
	}
	for name, values := range f.header {
		w.Header()[name] = values
	}
	w.WriteHeader(http.StatusInternalServerError)
}

// A target is ejected for its own failures, but not for those caused by calls that it
// made. The headers of its answers cannot make one look like the other: they are passed
// on without being interpreted.
func TestDownstreamFailureDoesNotEject(t *testing.T) {
	target := &failingTarget{}
	served := httptest.NewServer(target)
	t.Cleanup(served.Close)
	target.server = newServer(served.URL)
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		target.childRefused = rapid.Bool().Draw(t, "below")
		target.header = drawHeader(t)
		s, c := newLocalSender(nil), order()
		node := route.Target{Name: "node", Incarnation: s.Self}
		s.Update(c.Kind.Service, []route.Target{node, {Name: "other", Incarnation: "inc-2"}})
		for range failedAnswers {
			request := s.newRequest(c, node, 0, relaypb.Earlier_EARLIER_UNSPECIFIED)
			response := target.server.Carry(context.Background(), request)
			state := &sendState{sender: s, call: c}
			answer := state.handleResponse(node, request, response, time.Millisecond, c.Tokens.Lend(true))
			is.Equal(answer.Code, result.TargetFailed)
			for name, values := range target.header {
				is.Equal(answer.Header[name], values)
			}
		}
		is.Equal(s.Targets(c.Kind.Service)[0].EjectedUntil.IsZero(), target.childRefused)
	})
}

// drawHeader draws headers that a target may set, mostly ones that look like those used
// between nodes.
func drawHeader(t *rapid.T) http.Header {
	names := []string{
		"Dandelion-Below", "Below", "Dandelion-Code", "Dandelion-Result", "Dandelion-Context",
		"Dandelion-Refusal", "Replayed", "X-" + rapid.StringMatching("[A-Z][a-z]{0,5}").Draw(t, "name"),
	}
	header := http.Header{}
	for range rapid.IntRange(0, 6).Draw(t, "headers") {
		name := rapid.SampledFrom(names).Draw(t, "which")
		header.Add(name, rapid.SampledFrom([]string{"true", "1", "302", "ok"}).Draw(t, "value"))
	}
	return header
}

// An attempt that the caller cancels is not counted against the target.
func TestCancelledAttemptIsBlameless(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	state := &sendState{sender: &Sender{Clock: clock.System{}}, call: order()}
	_, code, outcome := state.resolveLost(ctx, route.Target{}, &relaypb.CarryRequest{}, ctx.Err())
	is.Equal(code, result.CancelledLate)
	is.Equal(outcome, route.Blameless)
}
