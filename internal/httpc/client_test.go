package httpc_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/httpc"
)

// server runs a script on each connection.
type server struct {
	listener net.Listener
	opened   atomic.Int32
	// ended counts the connections whose script has returned, for instance because the
	// client closed them.
	ended atomic.Int32
}

func serve(t testing.TB, script func(s *server, conn net.Conn, reader *bufio.Reader)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				script(s, conn, bufio.NewReader(conn))
				s.ended.Add(1)
			}()
		}
	}()
	return s
}

func (s *server) client(t testing.TB, connections int) *httpc.Client {
	client := httpc.New(s.listener.Addr().String(), connections, 5*time.Second, (&net.Dialer{}).DialContext)
	t.Cleanup(client.Close)
	return client
}

// respondWith returns a script that reads requests and writes the same response to each of
// them.
func respondWith(text string) func(s *server, conn net.Conn, reader *bufio.Reader) {
	return func(_ *server, conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func get() *httpc.Request {
	return &httpc.Request{Method: "GET", Target: "/", Host: "h", ID: "r"}
}

// fetch makes one call and returns the body of its response.
func fetch(client *httpc.Client, request *httpc.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	call := client.Do(ctx, request)
	defer call.Close()
	if call.Err != nil {
		return "", call.Err
	}
	body, err := io.ReadAll(call)
	return string(body), err
}

// TestResponses sends the responses of testdata/answers and checks how each is read and
// whether the connection is reused for the next call.
func TestResponses(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers", func(t *testing.T, d *datadriven.TestData) string {
		text, err := unescapeAnswer(d.Input)
		if err != nil {
			t.Fatal(err)
		}
		respond := respondWith(text)
		s := serve(t, func(s *server, conn net.Conn, reader *bufio.Reader) {
			if d.HasArg("close") {
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, text)
				}
				return
			}
			respond(s, conn, reader)
		})
		client := s.client(t, 4)
		request := get()
		if d.HasArg("head") {
			request.Method = "HEAD"
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		call := client.Do(ctx, request)
		if call.Err != nil {
			call.Close()
			return fmt.Sprintf("sent=%t error: %s\n", call.Sent, call.Err)
		}
		status, fields := call.Response.Status, call.Response.Fields
		body, err := io.ReadAll(call)
		call.Close()
		if err != nil {
			return fmt.Sprintf("status=%d body=%q error: %s\n", status, body, err)
		}
		_, _ = fetch(client, request)
		return fmt.Sprintf("status=%d fields=%d body=%q kept=%t\n", status, len(fields), body, s.opened.Load() == 1)
	})
}

// unescapeAnswer returns the bytes of an answer of testdata/answers, which explains the
// escapes.
func unescapeAnswer(input string) (string, error) {
	quoted := strings.NewReplacer("\n", "", `\n`, `\r\n`, `\l`, `\n`, `"`, `\"`).Replace(input)
	return strconv.Unquote(`"` + quoted + `"`)
}

// A request is written in one piece and its fields are unchanged.
func TestRequestWireFormat(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	s := serve(t, func(_ *server, conn net.Conn, reader *bufio.Reader) {
		text := make([]byte, 1024)
		n, _ := reader.Read(text)
		got <- string(text[:n])
		_, _ = io.WriteString(conn, okResponse)
	})
	_, err := fetch(s.client(t, 1), &httpc.Request{Method: "POST", Target: "/a%2Fb?c", Host: "shop", Fields: httpc.Fields{{Name: "x-y", Value: "z"}}, Body: []byte("rope")})
	is.NoErr(err)
	is.Equal(<-got, "POST /a%2Fb?c HTTP/1.1\r\nHost: shop\r\nx-y: z\r\nContent-Length: 4\r\n\r\nrope")
}

// A line break within a field or the start line would let the server see a second request.
// A request with such bytes, or without a target, must not be sent.
func TestUnsendableRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	s := serve(t, respondWith(okResponse))
	client := s.client(t, 1)
	for _, bad := range []*httpc.Request{
		{Method: "GET /x", Target: "/", Host: "h"},
		{Method: "GET", Target: "/ HTTP/1.1\r\nX: y", Host: "h"},
		{Method: "GET", Target: "/", Host: "h\r\nX: y"},
		{Method: "GET", Target: "/", Host: "h", Fields: httpc.Fields{{Name: "X", Value: "y\r\n\r\nGET /"}}},
		{Method: "GET", Target: "/", Host: "h", Fields: httpc.Fields{{Name: "X: y\r\nZ", Value: "z"}}},
		{Method: "GET", Target: "", Host: "h"},
	} {
		call := client.Do(context.Background(), bad)
		call.Close()
		is.True(errors.Is(call.Err, httpc.ErrUnsendable))
		is.True(!call.Sent)
	}
	is.Equal(s.opened.Load(), int32(0))
}

// An idle connection must not be reused if the server has closed it or has sent bytes
// without a request.
func TestStaleIdleConnectionIsNotReused(t *testing.T) {
	for name, extra := range map[string]string{"closed": "", "extra bytes": okResponse} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{}, 1)
			s := serve(t, func(s *server, conn net.Conn, reader *bufio.Reader) {
				first := s.opened.Load() == 1
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, okResponse)
					if !first {
						continue
					}
					time.Sleep(20 * time.Millisecond) // the client has read the response by then
					_, _ = io.WriteString(conn, extra)
					if extra == "" {
						_ = conn.Close()
					}
					ended <- struct{}{}
				}
			})
			client := s.client(t, 4)
			for range 2 {
				body, err := fetch(client, get())
				is.NoErr(err)
				is.Equal(body, "ok")
				if s.opened.Load() == 1 {
					<-ended
				}
			}
			is.Equal(s.opened.Load(), int32(2))
		})
	}
}

// The timeout of the server's Keep-Alive field limits how long an idle connection is
// used. A connection that is about to time out is not used.
func TestServerKeepAliveTimeoutLimitsReuse(t *testing.T) {
	is := is.New(t)
	s := serve(t, respondWith("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1, max=9\r\nContent-Length: 0\r\n\r\n"))
	client := s.client(t, 4)
	for range 2 {
		_, err := fetch(client, get())
		is.NoErr(err)
	}
	is.Equal(s.opened.Load(), int32(2))
}

// A server may respond before it has read a long request body, and read the rest later.
// The connection must not carry another request then.
func TestResponseBeforeRequestIsReadPreventsReuse(t *testing.T) {
	is := is.New(t)
	rest := make(chan int64, 1)
	answered := make(chan struct{})
	s := serve(t, func(s *server, conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, okResponse)
		if s.opened.Load() > 1 {
			return
		}
		<-answered
		n, _ := io.Copy(io.Discard, request.Body)
		rest <- n
	})
	client := s.client(t, 4)
	long := &httpc.Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 32<<20)}
	body, err := fetch(client, long)
	is.NoErr(err)
	is.Equal(body, "ok")
	body, err = fetch(client, get()) // needs a second connection
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(s.opened.Load(), int32(2))
	close(answered)
	is.True(<-rest <= 32<<20)
}

// A cancelled call closes its connection at once and has no response.
func TestCancelledCallClosesConnection(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{})
	s := serve(t, func(_ *server, conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		close(began)
		_, _ = io.Copy(io.Discard, conn)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	call := s.client(t, 1).Do(ctx, get())
	is.True(call.Err != nil)
	is.Equal(ctx.Err(), context.Canceled)
	is.True(call.Sent)
	call.Close()
	for s.ended.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// The number of open connections stays within the limit under concurrent calls.
func TestConnectionLimitIsEnforced(t *testing.T) {
	is := is.New(t)
	s := serve(t, respondWith(okResponse))
	client := s.client(t, 3)
	errs := make(chan error)
	const calls = 60
	for i := range calls {
		go func() {
			request := get()
			request.ID = fmt.Sprint(i)
			_, err := fetch(client, request)
			errs <- err
		}()
	}
	for range calls {
		is.NoErr(<-errs)
	}
	is.True(s.opened.Load() <= 3)
}

// A call that cannot connect reports that nothing was sent.
func TestDialFailureReportsNothingSent(t *testing.T) {
	is := is.New(t)
	s := serve(t, respondWith(okResponse))
	_ = s.listener.Close()
	call := s.client(t, 1).Do(context.Background(), get())
	call.Close()
	is.True(call.Err != nil)
	is.True(!call.Sent)
}

// Calls do not wait for each other while no limit on the target's connections is
// declared.
func TestZeroConnectionsMeansNoLimit(t *testing.T) {
	is := is.New(t)
	var begun sync.WaitGroup
	begun.Add(3)
	s := serve(t, func(_ *server, conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			begun.Done()
			begun.Wait()
			_, _ = io.WriteString(conn, okResponse)
		}
	})
	client := s.client(t, 0)
	errs := make(chan error)
	for range 3 {
		go func() {
			_, err := fetch(client, get())
			errs <- err
		}()
	}
	for range 3 {
		is.NoErr(<-errs)
	}
}
