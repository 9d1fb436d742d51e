package httpd_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/httpd"
)

// Guards against requests on a kept connection that are judged by the limits that were in
// force when the connection became idle.
func TestLimitsAreThoseInForceWhenARequestArrives(t *testing.T) {
	before := httpd.Limits{HeaderBytes: 512, BodyBytes: 100, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: time.Second}
	after := httpd.Limits{HeaderBytes: 4096, BodyBytes: 1000, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	body := strings.Repeat("b", int(before.BodyBytes)+1)
	long := fmt.Sprintf("X-Long: %s\r\n", strings.Repeat("h", int(before.HeaderBytes)))
	for _, test := range []struct {
		name, request string
		// idle is the time on the connection before the request, and pause that within it.
		idle, pause time.Duration
	}{
		{"max_body_bytes", fmt.Sprintf("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body), 0, 0},
		{"max_header_bytes", "GET /b HTTP/1.1\r\nHost: h\r\n" + long + "\r\n", 0, 0},
		{"header_timeout", get("/b"), 0, 4 * before.HeaderTimeout},
		{"idle_timeout", get("/b"), 2 * before.IdleTimeout, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var limits atomic.Pointer[httpd.Limits]
			limits.Store(&before)
			s := startServerWith(t, func() httpd.Limits { return *limits.Load() })
			conn, reader := s.dial(t)
			send(t, conn, get("/a"))
			head, _ := readAnswer(t, reader)
			is.Equal(head.StatusCode, http.StatusOK)
			time.Sleep(before.IdleTimeout / 10) // the server waits for the next request by now

			limits.Store(&after)
			time.Sleep(test.idle)
			send(t, conn, test.request[:1])
			time.Sleep(test.pause)
			send(t, conn, test.request[1:])
			head, _ = readAnswer(t, reader)
			is.Equal(head.StatusCode, http.StatusOK)
		})
	}
}

// A connection is closed by the idle timeout in force when it expires, also where that was
// raised meanwhile.
func TestRaisedIdleTimeoutExpires(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const before, after = time.Second, 1500 * time.Millisecond
	var raised atomic.Bool
	s := startServerWith(t, func() httpd.Limits {
		limits := httpd.Limits{HeaderBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: before}
		if raised.Load() {
			limits.IdleTimeout = after
		}
		return limits
	})
	conn, reader := s.dial(t)
	sent := time.Now()
	send(t, conn, get("/a"))
	_, _ = readAnswer(t, reader)
	raised.Store(true)
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF) // the server closed the connection
	is.True(time.Since(sent) >= after)
}
