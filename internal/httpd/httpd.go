// Package httpd serves HTTP/1.1 connections with pipelining: callers may send further
// requests before the first is answered.
//
// Safe requests of one connection run concurrently, and their answers are sent in the
// order of the requests. The connection is read the whole time, so that a caller that
// disconnects cancels its requests at once, including those still waiting. Requests are
// parsed by net/http.
package httpd

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/loglim"
)

type (
	// Answer is a complete answer to one request.
	Answer struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// HeadVerdict is what the head of a request decides.
	HeadVerdict struct {
		// Refused reports whether Handle refuses the request whatever its body is. The body
		// is then not kept, and reading it in Handle fails.
		Refused bool
		// Abandoned is called if the request never gets to Handle, because its body cannot be
		// read or the caller disconnects. It may be nil.
		Abandoned func()
	}

	// Limits limit what a caller may send and how long sending may take.
	Limits struct {
		HeaderBytes   int64
		BodyBytes     int64
		HeaderTimeout time.Duration
		// IdleTimeout is how long a connection without a request stays open.
		IdleTimeout time.Duration
	}

	// Server serves the connections of one listener. Its fields are set before Serve; its
	// methods are safe for concurrent use.
	Server struct {
		// Handle answers a request whose body has been read completely. The context ends
		// when the caller disconnects. A nil answer closes the connection without an
		// answer.
		Handle func(ctx context.Context, request *http.Request) *Answer
		// Refuse returns the answer to a request that could not be read.
		Refuse func(status int, reason string) *Answer
		// RefuseForMemory answers a request whose head was read, but for whose body there is
		// no memory. If it is nil, Refuse does.
		RefuseForMemory func(ctx context.Context, request *http.Request) *Answer
		// JudgeHead judges a request with a body when only its head has been read. It may
		// replace the context of the request, which Handle gets with it. It may be nil.
		JudgeHead func(request *http.Request) HeadVerdict
		// Limits returns the limits in force.
		Limits func() Limits
		// UnsentBytes limits the bodies of answers that wait for their callers to read
		// them. Beyond it, the connection that has stalled for the longest is closed. 0
		// sets no limit.
		UnsentBytes int64
		// Memory bounds what requests and answers hold together. Beyond it, connections are not
		// read further, those that have stalled for the longest time are closed, and requests
		// that have waited for memoryWait are refused. nil sets no limit.
		Memory *alloc.Pool
		// MemoryClass returns the class of the memory that a request takes. The request is nil
		// while its head is read. A nil function means that all requests are those of callers.
		MemoryClass func(raw net.Conn, request *http.Request) alloc.Class
		// MaxConns limits the connections. Beyond it, the one that has been idle or has
		// stalled for the longest time is closed in favour of a new one. 0 sets no limit.
		MaxConns int
		// EvictionLimiter limits the rate of log lines about connections that are closed to
		// make room. If it is nil, none are logged.
		EvictionLimiter *loglim.Limiter
		Log             hclog.Logger
		// OnClosed is called with the reason when a connection is closed to make room, and
		// OnNoMemory when a request is refused for lack of memory. Both may be nil.
		OnClosed   func(reason string)
		OnNoMemory func()

		noKeepAlive atomic.Bool
		inFlight    atomic.Int64
		// requestsRead counts the requests that have been read so far.
		requestsRead atomic.Int64
		// unsent is the size of the bodies that have not been sent completely.
		unsent atomic.Int64
		// lastEviction is when stalled connections were last searched for, in Unix
		// nanoseconds.
		lastEviction atomic.Int64
		mu           sync.Mutex
		closed       bool
		listener     net.Listener
		conns        map[*conn]struct{}
		// lastArrival is when the last request arrived, in Unix nanoseconds.
		lastArrival atomic.Int64
	}
)

// Reasons for which connections are closed to make room.
const (
	// ForMemory: others wait for the memory that a stalled connection holds.
	ForMemory = "memory"
	// ForConnections: the connection was idle, stalled or waiting, and a new one takes its
	// place.
	ForConnections = "connections"
	// NotAccepted: the connection was new, and there was none to close in its favour.
	NotAccepted = "not_accepted"
	// Unread: the caller does not read answers that take more than their part of the memory.
	Unread = "unread"
)

const (
	// shutdownPoll is the interval at which Shutdown checks for requests in flight.
	shutdownPoll = 5 * time.Millisecond
	// minStall is how long a caller must have read nothing before its connection may be
	// closed for the memory that its answers take.
	minStall = time.Second
)

// ErrClosed is what Serve returns after Close.
var ErrClosed = errors.New("httpd: server closed")

// Serve accepts connections until Close or a permanent error of the listener.
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
		if !s.admitConn() {
			_ = raw.Close()
			s.countClosed(NotAccepted)
			continue
		}
		c := newConn(s, raw)
		if !s.add(c) {
			_ = raw.Close()
			return ErrClosed
		}
		go c.run()
	}
}

// DisableKeepAlives closes every connection after the answer to its next request.
func (s *Server) DisableKeepAlives() {
	s.noKeepAlive.Store(true)
}

// InFlight returns the number of requests in flight, including those whose answers are
// being written.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// RequestsRead returns how many requests have been read so far.
func (s *Server) RequestsRead() int64 {
	return s.requestsRead.Load()
}

// Unsent returns the size in bytes of the bodies of answers that have not been sent
// completely.
func (s *Server) Unsent() int64 {
	return s.unsent.Load()
}

// addUnsent adds to the size of the bodies that are to be sent. If they grow beyond their
// limit, it closes connections whose callers have stalled, those that have read nothing for
// the longest time first, until the others fit.
func (s *Server) addUnsent(bytes int64) {
	total := s.unsent.Add(bytes)
	if bytes <= 0 || s.UnsentBytes <= 0 || total <= s.UnsentBytes {
		return
	}
	for _, c := range s.stalled(time.Now()) {
		if total <= s.UnsentBytes {
			return
		}
		if c.evicted.CompareAndSwap(false, true) {
			s.Log.Warn("caller_stalled", "caller", c.raw.RemoteAddr().String(), "unsent_bytes", total, "limit_bytes", s.UnsentBytes)
			_ = c.raw.Close()
			s.countClosed(Unread)
		}
		total -= c.unsent.Load()
	}
}

// stalled returns the connections on which nothing could be sent for minStall, the longest
// stalled first.
func (s *Server) stalled(now time.Time) []*conn {
	since := now.Add(-minStall).UnixNano()
	var stalled []*conn
	s.mu.Lock()
	for c := range s.conns {
		if at := c.sendingSince.Load(); at != 0 && at <= since {
			stalled = append(stalled, c)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(stalled, func(a, b *conn) int { return cmp.Compare(a.sendingSince.Load(), b.sendingSince.Load()) })
	return stalled
}

// LastRequest returns when the last request arrived, or the zero time before the first.
func (s *Server) LastRequest() time.Time {
	nanos := s.lastArrival.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Shutdown stops accepting, and closes all connections once the requests in flight have
// been answered or the context ends.
func (s *Server) Shutdown(ctx context.Context) {
	s.closeListener()
	for s.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(shutdownPoll)
	}
	s.Close()
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	s.closeListener()
	for _, c := range s.connections() {
		_ = c.raw.Close()
	}
}

// connections returns the open connections.
func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

func (s *Server) countClosed(reason string) {
	if s.OnClosed != nil {
		s.OnClosed(reason)
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
