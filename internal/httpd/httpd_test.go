package httpd_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/httpd"
)

// answerHead is the head of an answer.
type answerHead struct {
	StatusCode    int
	ContentLength int64
	Close         bool
}

type testServer struct {
	server  *httpd.Server
	address string
	// holds blocks the requests of a path until something is sent on its channel.
	holds     map[string]chan struct{}
	started   chan string
	cancelled chan string
	runs      atomic.Int64
}

// startServer serves with a handler that echoes method, path and body.
func startServer(t *testing.T, limits httpd.Limits, held ...string) *testServer {
	t.Helper()
	return startServerWith(t, func() httpd.Limits { return limits }, held...)
}

// startServerWith is startServer with limits that may change.
func startServerWith(t *testing.T, limits func() httpd.Limits, held ...string) *testServer {
	t.Helper()
	s := &testServer{holds: map[string]chan struct{}{}, started: make(chan string, 100), cancelled: make(chan string, 100)}
	for _, path := range held {
		s.holds[path] = make(chan struct{}, 10)
	}
	s.server = &httpd.Server{
		Handle: s.handle,
		Refuse: func(status int, reason string) *httpd.Answer {
			return &httpd.Answer{Status: status, Header: http.Header{}, Body: []byte(reason)}
		},
		Limits: limits,
		Log:    hclog.NewNullLogger(),
	}
	s.address = listen(t, s.server)
	return s
}

// listen lets a server serve on a free port until the test ends, and returns its address.
func listen(t *testing.T, server *httpd.Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

func (s *testServer) handle(ctx context.Context, request *http.Request) *httpd.Answer {
	s.runs.Add(1)
	s.started <- request.URL.Path
	if hold := s.holds[request.URL.Path]; hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			s.cancelled <- request.URL.Path + " cancelled"
			return nil
		}
	}
	body, _ := io.ReadAll(request.Body)
	return &httpd.Answer{
		Status: http.StatusOK,
		Header: http.Header{"X-Path": {request.URL.Path}, "Content-Length": {"999"}},
		Body:   fmt.Appendf(nil, "%s %s %s", request.Method, request.RequestURI, body),
	}
}

func (s *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

func readAnswer(t *testing.T, reader *bufio.Reader) (answerHead, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answerHead{response.StatusCode, response.ContentLength, response.Close}, string(body)
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n"
}

var defaultLimits = httpd.Limits{HeaderBytes: 4 << 10, BodyBytes: 1 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}

// Safe requests run concurrently, and their answers are sent in the order of the
// requests.
func TestPipelinedAnswersKeepRequestOrder(t *testing.T) {
	is := is.New(t)
	s := startServer(t, defaultLimits, "/slow")
	conn, reader := s.dial(t)
	send(t, conn, get("/slow")+get("/fast?x=1")+get("/last"))
	seen := map[string]bool{}
	for range 3 {
		seen[<-s.started] = true
	}
	is.Equal(len(seen), 3) // all have started while the first is blocked
	s.holds["/slow"] <- struct{}{}
	for _, path := range []string{"/slow", "/fast?x=1", "/last"} {
		response, body := readAnswer(t, reader)
		is.Equal(body, "GET "+path+" ")
		is.Equal(response.ContentLength, int64(len(body)))
		is.True(!response.Close)
	}
}

// A request that is not safe waits for the requests before it.
func TestUnsafeRequestWaitsForEarlierRequests(t *testing.T) {
	is := is.New(t)
	s := startServer(t, defaultLimits, "/slow")
	conn, reader := s.dial(t)
	send(t, conn, get("/slow")+"POST /order HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nrop\r\n1\r\ne\r\n0\r\n\r\n")
	is.Equal(<-s.started, "/slow")
	select {
	case path := <-s.started:
		t.Fatalf("%s began too early", path)
	case <-time.After(50 * time.Millisecond):
	}
	s.holds["/slow"] <- struct{}{}
	is.Equal(<-s.started, "/order")
	_, first := readAnswer(t, reader)
	_, second := readAnswer(t, reader)
	is.Equal(first, "GET /slow ")
	is.Equal(second, "POST /order rope")
}

// A caller that disconnects cancels all its requests, including those further back in the
// pipeline.
func TestDisconnectCancelsRequests(t *testing.T) {
	is := is.New(t)
	s := startServer(t, defaultLimits, "/one", "/two")
	conn, _ := s.dial(t)
	send(t, conn, get("/one")+get("/two"))
	<-s.started
	<-s.started
	_ = conn.Close()
	ended := map[string]bool{<-s.cancelled: true, <-s.cancelled: true}
	is.True(ended["/one cancelled"] && ended["/two cancelled"])
}

// After DisableKeepAlives, the next request is the last of its connection, and requests
// sent after it are not run.
func TestDisableKeepAlivesClosesConnectionAfterNextAnswer(t *testing.T) {
	is := is.New(t)
	s := startServer(t, defaultLimits, "/slow")
	conn, reader := s.dial(t)
	send(t, conn, get("/before"))
	response, _ := readAnswer(t, reader)
	is.True(!response.Close)
	s.server.DisableKeepAlives()
	send(t, conn, get("/slow")+get("/behind"))
	s.holds["/slow"] <- struct{}{}
	response, body := readAnswer(t, reader)
	is.True(response.Close)
	is.Equal(body, "GET /slow ")
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(s.runs.Load(), int64(2))
	for s.server.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(!s.server.LastRequest().IsZero())
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	for _, test := range []struct {
		name, request string
		status        int
	}{
		{"header too long", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", 431},
		{"body too long", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n", 413},
		{"chunks too long", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", 413},
		{"no request", "rope\r\n\r\n", 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, defaultLimits)
			conn, reader := s.dial(t)
			send(t, conn, test.request)
			response, _ := readAnswer(t, reader)
			is.Equal(response.StatusCode, test.status)
			is.True(response.Close)
			is.Equal(s.runs.Load(), int64(0))
		})
	}
}

func TestSlowHeaderTimesOut(t *testing.T) {
	is := is.New(t)
	limits := defaultLimits
	limits.HeaderTimeout = 50 * time.Millisecond
	s := startServer(t, limits)
	conn, reader := s.dial(t)
	send(t, conn, "GET / HTTP/1.1\r\nHo")
	response, _ := readAnswer(t, reader)
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
}

// The idle timeout starts with the last answer and does not run during a request.
func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	limits := defaultLimits
	limits.IdleTimeout = 100 * time.Millisecond
	s := startServer(t, limits, "/slow")
	conn, reader := s.dial(t)
	send(t, conn, get("/slow"))
	<-s.started
	time.Sleep(3 * limits.IdleTimeout)
	s.holds["/slow"] <- struct{}{}
	_, body := readAnswer(t, reader)
	is.Equal(body, "GET /slow ")
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
}

func TestExpectContinueIsAnswered(t *testing.T) {
	is := is.New(t)
	s := startServer(t, defaultLimits)
	conn, reader := s.dial(t)
	send(t, conn, "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	line, err := reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, _ = reader.ReadString('\n')
	send(t, conn, "rope")
	_, body := readAnswer(t, reader)
	is.Equal(body, "POST /order rope")
}
