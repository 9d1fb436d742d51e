package httpd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/httpd"
)

// Guards against judgements that stay charged for requests that never get to Handle, and
// against such that are undone for requests that do. Each request is judged once.
func TestEachJudgedRequestIsHandledOrAbandoned(t *testing.T) {
	post := func(headers, body string) string {
		return "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + headers + "\r\n" + body
	}
	for name, tc := range map[string]struct {
		message string
		// full is set if there is no memory for a body.
		full bool
		want string
	}{
		"complete body":        {post("Content-Length: 4\r\n", "rope"), false, "judged handled"},
		"no body":              {post("", ""), false, "handled"},
		"refused by its head":  {post("Refuse: 1\r\nContent-Length: 4\r\n", "rope"), false, "judged handled"},
		"disconnected":         {post("Content-Length: 9\r\n", "rope"), false, "judged abandoned"},
		"refused, no body":     {post("Refuse: 1\r\nContent-Length: 9\r\n", "rope"), false, "judged abandoned"},
		"too large, in chunks": {post("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 200<<10, strings.Repeat("x", 200<<10))), false, "judged abandoned"},
		"no memory":            {post(fmt.Sprintf("Content-Length: %d\r\n", 90<<10), strings.Repeat("x", 90<<10)), true, "judged abandoned"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			events := make(chan string, 10)
			memory := alloc.NewPool(memoryLimit)
			server := &httpd.Server{
				Handle: func(context.Context, *http.Request) *httpd.Answer {
					events <- "handled"
					return &httpd.Answer{Status: http.StatusOK, Header: http.Header{}}
				},
				Refuse: func(status int, _ string) *httpd.Answer {
					return &httpd.Answer{Status: status, Header: http.Header{}}
				},
				JudgeHead: func(request *http.Request) httpd.HeadVerdict {
					events <- "judged"
					if tc.full {
						for memory.Take(&alloc.Account{}, 1<<10) {
						}
					}
					return httpd.HeadVerdict{Refused: request.Header.Get("Refuse") != "", Abandoned: func() { events <- "abandoned" }}
				},
				Limits: func() httpd.Limits {
					return httpd.Limits{HeaderBytes: 1 << 14, BodyBytes: 100 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
				},
				Memory: memory,
				Log:    hclog.NewNullLogger(),
			}
			raw, err := net.Dial("tcp", listen(t, server))
			is.NoErr(err)
			send(t, raw, tc.message)
			is.NoErr(raw.(*net.TCPConn).CloseWrite())
			_, _ = io.Copy(io.Discard, raw)
			_ = raw.Close()
			for _, want := range strings.Fields(tc.want) {
				is.Equal(<-events, want)
			}
			is.Equal(len(events), 0)
		})
	}
}

// Guards against a unit that stays charged when a caller disconnects while its request waits for
// the one before it.
func TestWaitingRequestIsAbandonedWithItsCaller(t *testing.T) {
	is := is.New(t)
	abandoned := make(chan bool, 1)
	started := make(chan bool, 2)
	server := &httpd.Server{
		Handle: func(ctx context.Context, _ *http.Request) *httpd.Answer {
			started <- true
			<-ctx.Done()
			return nil
		},
		JudgeHead: func(*http.Request) httpd.HeadVerdict {
			return httpd.HeadVerdict{Abandoned: func() { abandoned <- true }}
		},
		Limits: func() httpd.Limits {
			return httpd.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
		},
		Log: hclog.NewNullLogger(),
	}
	raw, err := net.Dial("tcp", listen(t, server))
	is.NoErr(err)
	send(t, raw, get("/slow")+put("/order", "rope"))
	<-started
	is.NoErr(raw.Close())
	is.True(<-abandoned)
	is.Equal(len(started), 0)
}
