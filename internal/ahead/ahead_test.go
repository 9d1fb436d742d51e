package ahead_test

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

	"github.com/dandelionfield/dandelionfield/internal/ahead"
)

// reply is the head of an answer.
type reply struct {
	StatusCode    int
	ContentLength int64
	Close         bool
}

type play struct {
	server  *ahead.Server
	address string
	// release holds back the request of a path until something is sent.
	release map[string]chan struct{}
	began   chan string
	ended   chan string
	runs    atomic.Int64
}

// begin serves with a handler that echoes method, path and body.
func begin(t *testing.T, bounds ahead.Bounds, held ...string) *play {
	t.Helper()
	p := &play{release: map[string]chan struct{}{}, began: make(chan string, 100), ended: make(chan string, 100)}
	for _, path := range held {
		p.release[path] = make(chan struct{}, 10)
	}
	p.server = &ahead.Server{
		Handle: p.handle,
		Refuse: func(status int, reason string) *ahead.Answer {
			return &ahead.Answer{Status: status, Header: http.Header{}, Body: []byte(reason)}
		},
		Bounds: func() ahead.Bounds { return bounds },
		Log:    hclog.NewNullLogger(),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.address = listener.Addr().String()
	go func() { _ = p.server.Serve(listener) }()
	t.Cleanup(p.server.Close)
	return p
}

func (p *play) handle(ctx context.Context, request *http.Request) *ahead.Answer {
	p.runs.Add(1)
	p.began <- request.URL.Path
	if hold := p.release[request.URL.Path]; hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			p.ended <- request.URL.Path + " cancelled"
			return nil
		}
	}
	body, _ := io.ReadAll(request.Body)
	return &ahead.Answer{
		Status: http.StatusOK,
		Header: http.Header{"X-Path": {request.URL.Path}, "Content-Length": {"999"}},
		Body:   fmt.Appendf(nil, "%s %s %s", request.Method, request.RequestURI, body),
	}
}

func (p *play) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", p.address)
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

func answer(t *testing.T, reader *bufio.Reader) (reply, string) {
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
	return reply{response.StatusCode, response.ContentLength, response.Close}, string(body)
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n"
}

var wide = ahead.Bounds{HeaderBytes: 4 << 10, BodyBytes: 1 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}

// Safe requests run side by side, and their answers keep the order.
func TestAnswersKeepTheOrderOfTheRequests(t *testing.T) {
	is := is.New(t)
	p := begin(t, wide, "/slow")
	conn, reader := p.dial(t)
	send(t, conn, get("/slow")+get("/fast?x=1")+get("/last"))
	seen := map[string]bool{}
	for range 3 {
		seen[<-p.began] = true
	}
	is.Equal(len(seen), 3) // all have begun, while the first waits
	p.release["/slow"] <- struct{}{}
	for _, path := range []string{"/slow", "/fast?x=1", "/last"} {
		response, body := answer(t, reader)
		is.Equal(body, "GET "+path+" ")
		is.Equal(response.ContentLength, int64(len(body)))
		is.True(!response.Close)
	}
}

// A request that may change something waits for those before it.
func TestUnsafeRequestWaitsForItsTurn(t *testing.T) {
	is := is.New(t)
	p := begin(t, wide, "/slow")
	conn, reader := p.dial(t)
	send(t, conn, get("/slow")+"POST /order HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nrop\r\n1\r\ne\r\n0\r\n\r\n")
	is.Equal(<-p.began, "/slow")
	select {
	case path := <-p.began:
		t.Fatalf("%s began too early", path)
	case <-time.After(50 * time.Millisecond):
	}
	p.release["/slow"] <- struct{}{}
	is.Equal(<-p.began, "/order")
	_, first := answer(t, reader)
	_, second := answer(t, reader)
	is.Equal(first, "GET /slow ")
	is.Equal(second, "POST /order rope")
}

// A caller that leaves ends its work, also with further requests in line.
func TestCallerThatLeavesEndsItsWork(t *testing.T) {
	is := is.New(t)
	p := begin(t, wide, "/one", "/two")
	conn, _ := p.dial(t)
	send(t, conn, get("/one")+get("/two"))
	<-p.began
	<-p.began
	_ = conn.Close()
	ended := map[string]bool{<-p.ended: true, <-p.ended: true}
	is.True(ended["/one cancelled"] && ended["/two cancelled"])
}

// Once the server leaves, the next request is the last of its connection, and
// what was sent behind it is not run.
func TestLeavingClosesWithTheNextAnswer(t *testing.T) {
	is := is.New(t)
	p := begin(t, wide, "/slow")
	conn, reader := p.dial(t)
	send(t, conn, get("/before"))
	response, _ := answer(t, reader)
	is.True(!response.Close)
	p.server.Leave()
	send(t, conn, get("/slow")+get("/behind"))
	p.release["/slow"] <- struct{}{}
	response, body := answer(t, reader)
	is.True(response.Close)
	is.Equal(body, "GET /slow ")
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(p.runs.Load(), int64(2))
	for p.server.Busy() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(!p.server.LastRequest().IsZero())
}

func TestRequestsOutsideTheBoundsAreRefused(t *testing.T) {
	for _, one := range []struct {
		name, request string
		status        int
	}{
		{"header too long", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", 431},
		{"body too long", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n", 413},
		{"chunks too long", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", 413},
		{"no request", "rope\r\n\r\n", 400},
	} {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			p := begin(t, wide)
			conn, reader := p.dial(t)
			send(t, conn, one.request)
			response, _ := answer(t, reader)
			is.Equal(response.StatusCode, one.status)
			is.True(response.Close)
			is.Equal(p.runs.Load(), int64(0))
		})
	}
}

func TestSlowHeaderTimesOut(t *testing.T) {
	is := is.New(t)
	narrow := wide
	narrow.HeaderTimeout = 50 * time.Millisecond
	p := begin(t, narrow)
	conn, reader := p.dial(t)
	send(t, conn, "GET / HTTP/1.1\r\nHo")
	response, _ := answer(t, reader)
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
}

// The idle timeout runs from the last answer, not while a request is under way.
func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	narrow := wide
	narrow.IdleTimeout = 100 * time.Millisecond
	p := begin(t, narrow, "/slow")
	conn, reader := p.dial(t)
	send(t, conn, get("/slow"))
	<-p.began
	time.Sleep(3 * narrow.IdleTimeout)
	p.release["/slow"] <- struct{}{}
	_, body := answer(t, reader)
	is.Equal(body, "GET /slow ")
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
}

func TestBodyIsAskedForWhenTheCallerHoldsItBack(t *testing.T) {
	is := is.New(t)
	p := begin(t, wide)
	conn, reader := p.dial(t)
	send(t, conn, "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	line, err := reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, _ = reader.ReadString('\n')
	send(t, conn, "rope")
	_, body := answer(t, reader)
	is.Equal(body, "POST /order rope")
}
