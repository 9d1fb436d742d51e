package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// net/http accepts some heads that no node sends. They must not count as answers, nor as
// proof that a request did not run.
func TestAnswerWithMalformedHeadIsLost(t *testing.T) {
	for _, test := range []struct{ name, statusLine, field string }{
		{"status 000", "HTTP/1.1 000 OK", "X-Field: x"},
		{"status 600", "HTTP/1.1 600 Odd", "X-Field: x"},
		{"blank within a name", "HTTP/1.1 200 OK", "X Field: x"},
		{"blank at the end of a name", "HTTP/1.1 200 OK", "X-Field : x"},
		{"control character in a name", "HTTP/1.1 200 OK", "X\x01Field: x"},
	} {
		for _, code := range []result.Code{result.OK, result.Overloaded} {
			t.Run(test.name+", "+code.String(), func(t *testing.T) {
				is := is.New(t)
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					_, _ = fmt.Fprintf(conn, "%s\r\n%s: %d\r\n%s\r\nContent-Length: 4\r\n\r\nrope", test.statusLine, codeHeader, code, test.field)
					_ = conn.Close()
				}))
				defer server.Close()
				caller := New([]string{strings.TrimPrefix(server.URL, "http://")})
				caller.Retries = 0
				answer, err := caller.Do(context.Background(), Request{Path: "/rope/1"})
				is.True(errorx.IsOfType(err, Unknown))
				is.Equal(answer.Code, result.Lost)
				is.Equal(answer.Status, 0)
				is.Equal(len(answer.Header), 0)
				is.Equal(len(answer.Body), 0)
			})
		}
	}
}
