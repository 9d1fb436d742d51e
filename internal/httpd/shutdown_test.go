package httpd_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/httpd"
)

// A request that has been read when the listener closes is still answered.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	is := is.New(t)
	s := startServer(t, httpd.Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}, "/held")
	conn, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-s.started
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		s.server.Shutdown(ctx)
		close(ended)
	}()
	for {
		probe, err := net.Dial("tcp", s.address)
		if err != nil {
			break // the listener is closed
		}
		_ = probe.Close()
		time.Sleep(time.Millisecond)
	}
	s.holds["/held"] <- struct{}{}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	_ = response.Body.Close()
	<-ended
}

// A request that does not end does not delay Shutdown beyond its context.
func TestShutdownStopsWaitingWhenContextEnds(t *testing.T) {
	s := startServer(t, httpd.Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}, "/held")
	is := is.New(t)
	conn, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-s.started
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	s.server.Shutdown(ctx)
	is.Equal(<-s.cancelled, "/held cancelled")
}
