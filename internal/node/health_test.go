package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Only a status of success means healthy. net/http also returns statuses below 100, which a
// target in trouble may send.
func TestReadHealth(t *testing.T) {
	for statusLine, want := range map[string]float64{
		"HTTP/1.1 200 OK":                  1,
		"HTTP/1.1 204 No Content":          1,
		"HTTP/1.1 000 OK":                  0,
		"HTTP/1.1 099 OK":                  0,
		"HTTP/1.1 301 Moved Permanently":   0,
		"HTTP/1.1 503 Service Unavailable": 0,
	} {
		t.Run(statusLine, func(t *testing.T) {
			is := is.New(t)
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = fmt.Fprintf(conn, "%s\r\nConnection: close\r\n\r\n", statusLine)
				_ = conn.Close()
			}))
			defer target.Close()
			is.Equal(readHealth(context.Background(), target.Client(), target.URL), want)
		})
	}
}
