// Package ahead serves HTTP/1.1 connections on which callers may send further
// requests before the first has its answer.
//
// Safe requests of one connection run side by side, and their answers go out in
// the order in which they were sent. The connection is read all the while, so
// that a caller that leaves ends its work at once, also with requests still in
// line. Parsing is that of net/http.
package ahead

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

type (
	// Answer is a whole answer to one request.
	Answer struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Bounds limit what a caller may send and how long it may take.
	Bounds struct {
		HeaderBytes   int64
		BodyBytes     int64
		HeaderTimeout time.Duration
		// IdleTimeout is how long a connection without a request stays open.
		IdleTimeout time.Duration
	}

	// Server serves the connections of one listener. Its fields are set before
	// Serve; its methods are safe for concurrent use.
	Server struct {
		// Handle answers a request whose body is whole. The context ends when the
		// caller leaves. A nil answer closes the connection without one.
		Handle func(ctx context.Context, request *http.Request) *Answer
		// Refuse makes the answer to a request that could not be read.
		Refuse func(status int, reason string) *Answer
		// Bounds returns the bounds in force.
		Bounds func() Bounds
		Log    hclog.Logger

		leaving  atomic.Bool
		requests atomic.Int64
		// taken counts the requests that were read so far.
		taken    atomic.Int64
		mu       sync.Mutex
		closed   bool
		listener net.Listener
		conns    map[*conn]struct{}
		// arrived is when the last request came, in Unix nanoseconds.
		arrived atomic.Int64
	}
)

// shutdownPoll is the time between two looks at whether requests have ended.
const shutdownPoll = 5 * time.Millisecond

// ErrClosed is what Serve returns after Close.
var ErrClosed = errors.New("ahead: server closed")

// Serve accepts connections until Close or an error of the listener.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return ErrClosed
	}
	for {
		raw, err := listener.Accept()
		if err != nil {
			if s.isClosed() {
				return ErrClosed
			}
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				s.Log.Warn("accept_failed", "error", err)
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		c := newConn(s, raw)
		if !s.add(c) {
			_ = raw.Close()
			return ErrClosed
		}
		go c.run()
	}
}

// Leave lets every connection end with the answer to its next request.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// Busy returns how many requests are under way, answers that are being written
// among them.
func (s *Server) Busy() int {
	return int(s.requests.Load())
}

// Taken returns how many requests have been read so far.
func (s *Server) Taken() int64 {
	return s.taken.Load()
}

// LastRequest returns when the last request arrived, the zero time before any.
func (s *Server) LastRequest() time.Time {
	nanos := s.arrived.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Shutdown stops accepting, and closes all connections once the requests under way
// have their answers, or when the context ends.
func (s *Server) Shutdown(ctx context.Context) {
	s.closeListener()
	for s.Busy() > 0 && ctx.Err() == nil {
		time.Sleep(shutdownPoll)
	}
	s.Close()
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	s.closeListener()
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.raw.Close()
	}
}

func (s *Server) closeListener() {
	s.mu.Lock()
	s.closed = true
	listener := s.listener
	s.listener = nil
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
