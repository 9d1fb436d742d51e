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

const (
	memoryLimit = 1 << 20
	bodyLimit   = 4 << 20
)

// startBounded serves with memoryLimit and answers with the size of the body. Requests of
// /unknown are refused by their head.
func startBounded(t *testing.T, maxConns int) (*httpd.Server, string) {
	t.Helper()
	server := &httpd.Server{
		Handle: func(_ context.Context, request *http.Request) *httpd.Answer {
			data, err := io.ReadAll(request.Body)
			return &httpd.Answer{Status: http.StatusOK, Header: http.Header{}, Body: fmt.Appendf(nil, "%d %v", len(data), err)}
		},
		Refuse: func(status int, reason string) *httpd.Answer {
			return &httpd.Answer{Status: status, Header: http.Header{}, Body: []byte(reason)}
		},
		JudgeHead: func(request *http.Request) httpd.HeadVerdict {
			return httpd.HeadVerdict{Refused: request.URL.Path == "/unknown"}
		},
		Limits: func() httpd.Limits {
			return httpd.Limits{HeaderBytes: 1 << 14, BodyBytes: bodyLimit, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
		},
		Memory:   alloc.NewPool(memoryLimit),
		MaxConns: maxConns,
		Log:      hclog.NewNullLogger(),
	}
	return server, listen(t, server)
}

func post(t *testing.T, address, path string, size int) (int, string) {
	t.Helper()
	response, err := http.Post("http://"+address+path, "text/plain", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// stall announces a body and sends all of it but one byte.
func stall(t *testing.T, address string, size int) net.Conn {
	t.Helper()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = raw.Close() })
	send(t, raw, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1)))
	return raw
}

// Callers that stall short of the end of their bodies are disconnected once others need the
// memory. Without that, the large request is refused after its wait.
func TestStalledBodiesGiveWay(t *testing.T) {
	is := is.New(t)
	server, address := startBounded(t, 0)
	for range 3 {
		stall(t, address, memoryLimit/4)
	}
	status, text := post(t, address, "/", memoryLimit/3)
	is.Equal(status, http.StatusOK)
	is.Equal(text, fmt.Sprintf("%d <nil>", memoryLimit/3))
	is.True(server.Memory.Held() <= memoryLimit)
}

// The memory of a request is released when it has been answered. A body that is larger than
// the limit is served.
func TestRequestsReleaseTheirMemory(t *testing.T) {
	is := is.New(t)
	server, address := startBounded(t, 0)
	for _, size := range []int{1, memoryLimit / 2, bodyLimit - 1, bodyLimit} {
		status, text := post(t, address, "/", size)
		is.Equal(status, http.StatusOK)
		is.Equal(text, fmt.Sprintf("%d <nil>", size))
	}
	for range 100 {
		if server.Memory.Held() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d bytes are held", server.Memory.Held())
}

// A request that finds no memory is refused without being run, and its connection closes.
func TestRequestWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	server, address := startBounded(t, 0)
	for server.Memory.Take(&alloc.Account{}, 1<<10) {
	}
	response, err := http.Post("http://"+address+"/", "text/plain", strings.NewReader("rope"))
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Close)
	is.Equal(server.RequestsRead(), int64(0))
}

// A body is not kept if the head decides, and the connection carries further requests.
func TestBodyIsSkippedIfTheHeadSuffices(t *testing.T) {
	is := is.New(t)
	server, address := startBounded(t, 0)
	var other alloc.Account
	server.Memory.Force(&other, memoryLimit/2)
	raw, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = raw.Close() })
	body := strings.Repeat("x", bodyLimit)
	send(t, raw, fmt.Sprintf("POST /unknown HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%sGET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", bodyLimit, body))
	text, _ := io.ReadAll(raw)
	is.True(strings.Contains(string(text), "0 "+httpd.ErrSkipped.Error()))
	is.True(strings.HasSuffix(string(text), "0 <nil>"))
}

// At the limit on connections, the one that has been idle for the longest time is closed in
// favour of a new one.
func TestIdleConnectionGivesWay(t *testing.T) {
	is := is.New(t)
	_, address := startBounded(t, 2)
	idle, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = idle.Close() })
	for range 3 {
		time.Sleep(20 * time.Millisecond)
		raw, err := net.Dial("tcp", address)
		is.NoErr(err)
		t.Cleanup(func() { _ = raw.Close() })
		send(t, raw, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		buffer := make([]byte, 1)
		_, err = raw.Read(buffer)
		is.NoErr(err)
	}
	_ = idle.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
