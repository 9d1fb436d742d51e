package httpd_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/httpd"
)

const (
	// largeAnswer is the largest answer that the project's limits allow by default. It is
	// more than the buffers of a connection take.
	largeAnswer = 4 << 20
	unsentLimit = 3 * largeAnswer
	smallAnswer = "small"
)

// startLargeServer returns the address of a server that answers /large with a large body.
func startLargeServer(t *testing.T) (*httpd.Server, string) {
	t.Helper()
	body := make([]byte, largeAnswer)
	server := &httpd.Server{
		Handle: func(_ context.Context, request *http.Request) *httpd.Answer {
			if request.URL.Path == "/large" {
				return &httpd.Answer{Status: http.StatusOK, Header: http.Header{}, Body: body}
			}
			return &httpd.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte(smallAnswer)}
		},
		Limits: func() httpd.Limits {
			return httpd.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 16, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
		},
		UnsentBytes: unsentLimit,
		Log:         hclog.NewNullLogger(),
	}
	return server, listen(t, server)
}

// requestLarge requests a large answer on a connection with a small receive buffer and
// returns the connection unread.
func requestLarge(t *testing.T, address string, times int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	for range times {
		send(t, conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	return conn
}

// fetch requests a path on a connection of its own and returns the size of the answer.
func fetch(address, path string) (int64, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return io.Copy(io.Discard, response.Body)
}

// Callers that never read their answers must not fill the node's memory, nor keep other
// callers from theirs: those that have stalled for longest are disconnected.
func TestStalledCallersAreDisconnectedForMemory(t *testing.T) {
	is := is.New(t)
	server, address := startLargeServer(t)
	for range 12 {
		requestLarge(t, address, 1)
		time.Sleep(200 * time.Millisecond)
		size, err := fetch(address, "/small")
		is.NoErr(err)
		is.Equal(size, int64(len(smallAnswer)))
	}
	time.Sleep(1100 * time.Millisecond) // the last callers have stalled for long enough
	size, err := fetch(address, "/large")
	is.NoErr(err)
	is.Equal(size, int64(largeAnswer)) // a caller that reads gets the whole answer
	for range 50 {
		if server.Unsent() <= unsentLimit {
			return
		}
		time.Sleep(20 * time.Millisecond) // connections that were closed are being released
	}
	t.Errorf("%d bytes unsent, the limit is %d", server.Unsent(), unsentLimit)
}

// A caller that sends requests ahead but reads no answer holds one answer beyond the bound
// of a connection, not one for each request.
func TestUnreadAnswersEndReadingAhead(t *testing.T) {
	is := is.New(t)
	server, address := startLargeServer(t)
	conn := requestLarge(t, address, 1)
	time.Sleep(200 * time.Millisecond)
	for range 8 {
		send(t, conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	time.Sleep(200 * time.Millisecond)
	is.Equal(server.RequestsRead(), int64(1)) // the others wait
	is.Equal(server.Unsent(), int64(largeAnswer))
}

// A caller that reads slowly but steadily gets the whole answer, even while others stall.
func TestSlowCallerGetsTheWholeAnswer(t *testing.T) {
	is := is.New(t)
	_, address := startLargeServer(t)
	slow, _ := net.Dial("tcp", address)
	t.Cleanup(func() { _ = slow.Close() })
	send(t, slow, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	done := make(chan int64, 1)
	go func() {
		var read int64
		buffer := make([]byte, 64<<10)
		for read < largeAnswer {
			n, err := slow.Read(buffer)
			read += int64(n)
			if err != nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		done <- read
	}()
	for range 6 {
		requestLarge(t, address, 1)
		time.Sleep(150 * time.Millisecond)
	}
	is.True(<-done >= largeAnswer)
}

// When its caller leaves midway, an answer no longer counts.
func TestAnswerOfACallerThatLeftIsReleased(t *testing.T) {
	is := is.New(t)
	server, address := startLargeServer(t)
	conn := requestLarge(t, address, 1)
	time.Sleep(100 * time.Millisecond)
	is.True(server.Unsent() > 0)
	_ = conn.Close()
	for range 100 {
		if server.Unsent() == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("%d bytes still count", server.Unsent())
}
