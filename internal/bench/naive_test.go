package bench

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestNaiveRelayMultipliesRetries shows the retry amplification that makes the naive
// relay the baseline: while a service at the end of the chain sheds, one order reaches it
// once for every combination of attempts along the chain.
func TestNaiveRelayMultipliesRetries(t *testing.T) {
	is := is.New(t)
	mesh := testMesh()
	var atLines, atStock atomic.Int64
	lines := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		atLines.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer lines.Close()
	stock := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		atStock.Add(1)
	}))
	defer stock.Close()
	node := httptest.NewUnstartedServer(nil)
	orders := httptest.NewServer(NewTarget(TargetConfig{
		Name: "orders-1", Slots: 4, NodeAddress: node.Listener.Addr().String(),
		Kinds: []TargetKind{{Name: "order", Method: "POST", Path: "/orders",
			Before: []Call{{"GET", "/stock/{item}"}, {"POST", "/lines"}}}},
	}, &instantClock{}).Handler())
	defer orders.Close()
	naive := NewNaiveRelay(NaiveConfig{Retries: naiveRetries, Targets: map[string][]string{
		"stock":  {strings.TrimPrefix(stock.URL, "http://")},
		"orders": {strings.TrimPrefix(orders.URL, "http://")},
		"lines":  {strings.TrimPrefix(lines.URL, "http://")},
	}})
	node.Config.Handler = naive.Handler(mesh)
	node.Start()
	defer node.Close()

	answer, err := http.Post(node.URL+"/orders", "application/json", strings.NewReader("{}"))
	is.NoErr(err)
	defer answer.Body.Close()
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	const attempts = 1 + naiveRetries
	is.Equal(atStock.Load(), int64(attempts))
	is.Equal(atLines.Load(), int64(attempts*attempts))
}

func TestNaiveRelayRoundRobin(t *testing.T) {
	is := is.New(t)
	var calls [3]atomic.Int64
	addresses := make([]string, 0, len(calls))
	for i := range calls {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls[i].Add(1)
			if i == 0 {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}))
		defer server.Close()
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	naive := NewNaiveRelay(NaiveConfig{Retries: naiveRetries, Targets: map[string][]string{"stock": addresses}})
	handler := naive.Handler(testMesh())
	for range 6 {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/stock/1", nil))
		is.Equal(recorder.Code, http.StatusOK) // the retry at the next target did not succeed
	}
	is.True(calls[0].Load() > 0) // the failing target was removed from the list
	is.True(calls[1].Load()+calls[2].Load() == 6)
}
