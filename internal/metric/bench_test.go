package metric_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/dandelionfield/dandelionfield/internal/metric"
)

// BenchmarkScrape measures one scrape of all metrics of a node that has seen a number of
// services, with six kinds each and four results per kind.
func BenchmarkScrape(b *testing.B) {
	for _, services := range []int{4, 14, 27, 54} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			set := metric.New()
			for i := range services {
				service := fmt.Sprintf("service%d", i)
				set.Attempts.WithLabelValues(service).Inc()
				set.RelaySeconds.WithLabelValues(service).Observe(0.01)
				for j := range 4 {
					name := fmt.Sprintf("result%d", j)
					set.Refusals.WithLabelValues(service, name).Inc()
					set.Retries.WithLabelValues(service, name).Inc()
					for kind := range 6 {
						set.Requests.WithLabelValues(fmt.Sprintf("kind%d", 6*i+kind), name).Inc()
					}
				}
			}
			handler := promhttp.HandlerFor(set.Registry, promhttp.HandlerOpts{DisableCompression: true})
			size := 0
			for b.Loop() {
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
				size = recorder.Body.Len()
			}
			b.ReportMetric(float64(size), "bytes/scrape")
		})
	}
}
