package httpc_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/httpc"
)

const (
	// uploadBytes is more than the socket buffers of both ends hold, so that the upload
	// blocks until the server reads it.
	uploadBytes = 32 << 20
	// shortBytes is the size of a body that is written before the response is read.
	shortBytes = 4
)

// uploadConn is a connection that signals that a write has failed.
type uploadConn struct {
	net.Conn
	once   sync.Once
	failed chan struct{}
}

func (c *uploadConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// A body without a length is complete only if the server ended the connection in order. If
// the server resets the connection during an upload, the kernel reports that either to the
// goroutine that writes the request or to the one that reads the response, and the other
// one sees the end of the connection. Here the error always goes to the writer.
func TestBodyWithoutLengthDuringUpload(t *testing.T) {
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	for _, test := range []struct {
		name      string
		bodyBytes int
		end       func(conn *net.TCPConn)
		// breaksUpload is set if the write of the request fails at this end.
		breaksUpload bool
		complete     bool
	}{
		{"reset", uploadBytes, reset, true, false},
		{"reset after a short request", shortBytes, reset, false, false},
		{"closed in order", uploadBytes, func(conn *net.TCPConn) { _ = conn.CloseWrite() }, false, true},
		{"closed in order and then reset", uploadBytes, func(conn *net.TCPConn) { _ = conn.CloseWrite(); reset(conn) }, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			partRead, done := make(chan struct{}), make(chan struct{})
			s := serve(t, func(_ *server, conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nro")
				<-partRead
				test.end(conn.(*net.TCPConn))
				<-done
			})
			defer close(done)
			failed := make(chan struct{})
			client := httpc.New(s.listener.Addr().String(), 1, time.Second, func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &uploadConn{Conn: conn, failed: failed}, err
			})
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			call := client.Do(ctx, &httpc.Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, test.bodyBytes)})
			defer call.Close()
			is.NoErr(call.Err)
			part := make([]byte, len("ro"))
			_, err := io.ReadFull(call, part)
			is.NoErr(err)
			close(partRead)
			if test.breaksUpload {
				<-failed
			}
			rest, err := io.ReadAll(call)
			is.Equal(string(part)+string(rest), "ro")
			is.Equal(err == nil, test.complete)
		})
	}
}
