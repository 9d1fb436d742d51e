package ahead

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/crew"
)

type (
	// conn is one connection of a caller.
	conn struct {
		server *Server
		raw    net.Conn
		source *metered
		reader *bufio.Reader
		ctx    context.Context
		leave  context.CancelFunc

		mu sync.Mutex
		// line holds the requests that have no answer on the wire yet, in the
		// order in which they were sent.
		line []*place
		// moved is signalled when the line becomes shorter.
		moved *sync.Cond
		// writing is set while one goroutine writes answers.
		writing bool
		broken  bool
		// finished is set once the last answer is on the wire.
		finished bool
		// idle is the wait for the next request, 0 while one is being read.
		idle time.Duration
	}

	// place is one request's place in the line.
	place struct {
		answer *Answer
		done   bool
		// last is set when the connection ends with this answer.
		last bool
		// bodyless is set for a HEAD request.
		bodyless bool
	}
)

const (
	// maxAhead bounds the requests of one connection that run side by side.
	maxAhead = 32
	// bodyTimeout is the least time that a body may take.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds how long a caller may take to read one answer.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a closed connection is still read, since bytes
	// that stay unread would reset it and take the last answer along.
	lingerTimeout = time.Second
	// acceptPause is the wait after an accept that failed for want of descriptors.
	acceptPause = 20 * time.Millisecond
	readBuffer  = 4 << 10
	// headRoom is the memory, in bytes, that is taken for the head of an answer.
	headRoom = 512
)

func newConn(server *Server, raw net.Conn) *conn {
	c := &conn{server: server, raw: raw, source: &metered{raw: raw}}
	c.reader = bufio.NewReaderSize(c.source, readBuffer)
	c.ctx, c.leave = context.WithCancel(context.Background())
	c.moved = sync.NewCond(&c.mu)
	return c
}

// run reads requests until the caller leaves or the connection is to end.
func (c *conn) run() {
	defer c.server.remove(c)
	defer func() { _ = c.raw.Close() }()
	defer c.abandon()
	for {
		request, refused := c.read()
		if request == nil {
			if refused != nil && refused.status != 0 {
				c.refuse(refused)
				c.drain()
			}
			return
		}
		if c.take(request) {
			c.drain()
			return
		}
	}
}

// take starts a request, and says whether it is the last of its connection. A
// request that may change something waits for those before it.
func (c *conn) take(request *http.Request) bool {
	c.mu.Lock()
	for !c.broken && (len(c.line) >= maxAhead || len(c.line) > 0 && !sideBySide(request.Method)) {
		c.moved.Wait()
	}
	last := request.Close || c.server.leaving.Load() || !request.ProtoAtLeast(1, 1)
	p := &place{last: last, bodyless: request.Method == http.MethodHead}
	c.line = append(c.line, p)
	c.mu.Unlock()
	c.server.arrived.Store(time.Now().UnixNano())
	c.server.requests.Add(1)
	c.server.taken.Add(1)
	crew.Go(func() {
		defer c.server.requests.Add(-1)
		c.end(p, c.server.Handle(c.ctx, request))
	})
	return last
}

func sideBySide(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func (c *conn) refuse(refused *refusal) {
	p := &place{last: true}
	c.mu.Lock()
	c.line = append(c.line, p)
	c.mu.Unlock()
	c.end(p, c.server.Refuse(refused.status, refused.reason))
}

// end notes the answer, and writes what is due in the order of the line.
func (c *conn) end(p *place, answer *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.answer = answer
	p.done = true
	if c.writing {
		return
	}
	c.writing = true
	for len(c.line) > 0 && c.line[0].done {
		first := c.line[0]
		c.mu.Unlock()
		whole := !c.gone() && c.write(first)
		c.mu.Lock()
		c.line = c.line[1:]
		if !whole {
			c.breakOff()
		}
		c.moved.Broadcast()
		if first.last {
			break
		}
	}
	c.writing = false
	if len(c.line) == 0 && c.idle > 0 && !c.broken {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.idle))
	}
}

func (c *conn) gone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// breakOff closes a connection on which no further answer can go out. The lock
// is held.
func (c *conn) breakOff() {
	c.broken = true
	c.leave()
	_ = c.raw.SetReadDeadline(time.Now())
}

// abandon ends the work for a caller that has left.
func (c *conn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
	c.leave()
	c.moved.Broadcast()
}

// write sends one answer, and says whether it went out whole.
func (c *conn) write(p *place) bool {
	if p.answer == nil {
		return false
	}
	var head bytes.Buffer
	head.Grow(headRoom + len(p.answer.Body))
	head.WriteString("HTTP/1.1 " + strconv.Itoa(p.answer.Status) + " " + http.StatusText(p.answer.Status) + "\r\n")
	if err := p.answer.Header.WriteSubset(&head, ownHeaders); err != nil {
		return false
	}
	body := p.answer.Body
	if mayHaveBody(p.answer.Status) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	} else {
		body = nil
	}
	if p.last {
		head.WriteString("Connection: close\r\n")
	}
	head.WriteString("\r\n")
	if !p.bodyless {
		head.Write(body)
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.raw.Write(head.Bytes()); err != nil {
		return false
	}
	if p.last {
		c.finish()
	}
	return true
}

// ownHeaders are written by the connection itself.
var ownHeaders = map[string]bool{"Content-Length": true, "Connection": true, "Transfer-Encoding": true}

func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// finish tells the caller that nothing follows, and goes on reading for a while.
func (c *conn) finish() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = true
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// drain reads on after the last request, to notice a caller that leaves and to
// leave nothing unread.
func (c *conn) drain() {
	c.mu.Lock()
	if !c.finished && !c.broken {
		_ = c.raw.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.raw)
}

// promptBody asks for a body that the caller holds back, once no earlier answer
// is due.
func (c *conn) promptBody() {
	c.mu.Lock()
	for !c.broken && len(c.line) > 0 {
		c.moved.Wait()
	}
	c.mu.Unlock()
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	// A caller that cannot be asked is noticed when its body is read.
	_, _ = io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n")
}
