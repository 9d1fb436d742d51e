package httpd_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/httpd"
)

// startHeldRequest starts a server and a request that the server reads but does not answer
// yet. It returns the reader of the answer.
func startHeldRequest(t *testing.T) (*testServer, *bufio.Reader) {
	t.Helper()
	limits := httpd.Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	s := startServer(t, limits, "/held")
	conn, reader := s.dial(t)
	send(t, conn, get("/held"))
	<-s.started
	return s, reader
}

// A request that has been read when the listener closes is still answered.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	is := is.New(t)
	s, reader := startHeldRequest(t)
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
	head, _ := readAnswer(t, reader)
	is.Equal(head.StatusCode, http.StatusOK)
	<-ended
}

// A request that does not end does not delay Shutdown beyond its context.
func TestShutdownStopsWaitingWhenContextEnds(t *testing.T) {
	is := is.New(t)
	s, _ := startHeldRequest(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	s.server.Shutdown(ctx)
	is.Equal(<-s.cancelled, "/held cancelled")
}
