package bench

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAddedLatencyIsPairedDifference(t *testing.T) {
	is := is.New(t)
	pairs := make([]latencyPair, 0, 101)
	// The direct time varies between 10 and 109 ms; the mesh always adds 2 ms.
	for i := range 100 {
		direct := time.Duration(10+i) * time.Millisecond
		pairs = append(pairs, latencyPair{direct: direct, relayed: direct + 2*time.Millisecond})
	}
	pairs = append(pairs, latencyPair{direct: time.Hour, failed: true})
	report := summarisePairs(pairs)
	is.Equal(report.Failed, 1)
	is.Equal(report.AddedP50MS, 2.0)
	is.Equal(report.AddedP99MS, 2.0)
	is.Equal(report.DirectP99MS, 108.0)
}

func TestAddedLatencyAlternatesOrder(t *testing.T) {
	is := is.New(t)
	var order []string
	serve := func(name string) *httptest.Server {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			order = append(order, name)
		}))
		t.Cleanup(server.Close)
		return server
	}
	added := AddedLatency{
		Entry:   strings.TrimPrefix(serve("relayed").URL, "http://"),
		Target:  strings.TrimPrefix(serve("direct").URL, "http://"),
		Path:    "/stock/{item}",
		Pairs:   2,
		Workers: 1,
		Clock:   &instantClock{},
	}
	report, err := added.Run(testContext(t))
	is.NoErr(err)
	is.Equal(report.Pairs, 2)
	is.Equal(order, []string{"direct", "relayed", "relayed", "direct"})
	added.Processes = []int{-1}
	_, err = added.Run(testContext(t))
	is.True(err != nil) // the processor time of a process that has ended was reported
	added.Processes = nil
	stopped, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = added.Run(stopped)
	is.True(err != nil) // an incomplete run gave a report
}

func TestParseStat(t *testing.T) {
	is := is.New(t)
	line := "42 (a (b) c) S 1 1 1 0 -1 4194304 100 0 0 0 150 50 0 0 20 0 5 0 100 1000 10"
	is.Equal(parseStat(line), 2*time.Second)
	is.Equal(parseStat("42 (short) S 1"), time.Duration(0))
}
