package http1

import (
	"context"
	"net"
	"sync"
	"time"
)

type (
	// Client keeps connections to one server. Its fields are set before the first
	// call; its methods are safe for concurrent use.
	Client struct {
		Address string
		// Dial opens a connection.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
		// IdleTimeout is how long a connection without a call is kept.
		IdleTimeout time.Duration

		// busy holds a token for each call that has a connection.
		busy chan struct{}

		mu sync.Mutex
		// idle holds the connections without a call, the last used one at the end.
		idle   []*conn
		closed bool
		// sweep closes idle connections in time; nil while there are none.
		sweep *time.Timer
	}

	// Call is one request that has been sent, until it is closed.
	Call struct {
		Answer Answer
		// Sent is set once a byte of the request may have reached the server.
		Sent bool
		// Err is why there is no answer, nil if there is one.
		Err error

		client  *Client
		conn    *conn
		request *Request
		body    body
		// unwatch ends the watch on the context, and says whether it had not ended yet.
		unwatch func() bool
		// written is closed when a request that is written aside is out.
		written chan struct{}
		failed  bool
	}
)

// New returns a client that opens so many connections at most; 0 sets no bound.
func New(address string, connections int, idleTimeout time.Duration, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if connections <= 0 {
		connections = unbounded
	}
	return &Client{Address: address, Dial: dial, IdleTimeout: idleTimeout, busy: make(chan struct{}, connections)}
}

// Close closes the idle connections, and those of calls when they end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	idle := c.idle
	c.idle = nil
	if c.sweep != nil {
		c.sweep.Stop()
	}
	c.mu.Unlock()
	for _, one := range idle {
		one.close()
	}
}

// Do sends a request and reads the head of its answer. The call has to be closed, also
// where it has no answer.
func (c *Client) Do(ctx context.Context, request *Request) *Call {
	call := &Call{client: c, request: request}
	if call.Err = c.begin(ctx, call); call.Err != nil {
		return call
	}
	call.watch(ctx)
	call.Err = call.exchange()
	call.failed = call.Err != nil
	return call
}

// begin gives a call its connection.
func (c *Client) begin(ctx context.Context, call *Call) error {
	if !call.request.sendable() {
		return ErrUnsendable
	}
	select {
	case c.busy <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	used, err := c.connect(ctx, call.request.ID)
	if err != nil {
		<-c.busy
		return err
	}
	call.conn = used
	return nil
}

// connect returns the idle connection that was used last and may carry the request, or a
// new one.
func (c *Client) connect(ctx context.Context, id string) (*conn, error) {
	for {
		used := c.takeIdle(id)
		if used == nil {
			break
		}
		if used.quiet() {
			return used, nil
		}
		used.close()
	}
	c.makeRoom()
	raw, err := c.Dial(ctx, "tcp", c.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, c.IdleTimeout), nil
}

// takeIdle takes out an idle connection on which the request was not refused before: a
// faulty server may write an earlier refusal once more.
func (c *Client) takeIdle(id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i := len(c.idle) - 1; i >= 0; i-- {
		one := c.idle[i]
		if now.After(one.idleUntil) || one.hasRefused(id) {
			continue
		}
		c.idle = append(c.idle[:i], c.idle[i+1:]...)
		return one
	}
	return nil
}

// makeRoom closes the idle connections that would be too many beside a new one.
func (c *Client) makeRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 && len(c.idle)+len(c.busy) > cap(c.busy) {
		c.idle[0].close()
		c.idle = append(c.idle[:0], c.idle[1:]...)
	}
}

// put keeps a connection for further calls.
func (c *Client) put(used *conn) {
	now := time.Now()
	used.idleUntil = now.Add(used.idleFor)
	used.release()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		used.close()
		return
	}
	c.idle = append(c.idle, used)
	if c.sweep == nil {
		c.sweep = time.AfterFunc(c.IdleTimeout, c.closeExpired)
	}
}

// closeExpired closes the connections that have been idle for too long, and comes again
// while there are others.
func (c *Client) closeExpired() {
	now := time.Now()
	var expired []*conn
	c.mu.Lock()
	kept := c.idle[:0]
	for _, one := range c.idle {
		if now.After(one.idleUntil) {
			expired = append(expired, one)
			continue
		}
		kept = append(kept, one)
	}
	clear(c.idle[len(kept):])
	c.idle = kept
	if len(kept) > 0 {
		c.sweep.Reset(c.IdleTimeout)
	} else {
		c.sweep = nil
	}
	c.mu.Unlock()
	for _, one := range expired {
		one.close()
	}
}

// watch ends the call's reading and writing when the context ends. A connection on which
// that happened is not used again, so that no other deadline is ever set.
func (c *Call) watch(ctx context.Context) {
	raw := c.conn.raw
	c.unwatch = context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
}

// exchange writes the request and reads the head of its answer.
func (c *Call) exchange() error {
	message := takeMessage()
	message.write(c.request)
	if len(message.bytes) <= asideBytes {
		n, err := c.conn.raw.Write(message.bytes)
		message.keep()
		c.Sent = n > 0
		if err != nil {
			return err
		}
		return c.readHead()
	}
	c.Sent = true
	c.written = make(chan struct{})
	raw, written := c.conn.raw, c.written
	go func() {
		// A request that is not out whole is noticed when its answer ends.
		if _, err := raw.Write(message.bytes); err == nil {
			close(written)
		}
	}()
	return c.readHead()
}

func (c *Call) readHead() error {
	answer, err := c.conn.readAnswer()
	if err != nil {
		return err
	}
	c.Answer = answer
	c.body, err = c.conn.bodyOf(c.request.Method, answer)
	return err
}

// Read reads from the body. It returns io.EOF only behind a whole one.
func (c *Call) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	if err != nil && !c.body.ended {
		c.failed = true
	}
	return n, err
}

// BodyLength returns how long the body is, -1 if that is not known yet.
func (c *Call) BodyLength() int64 {
	if c.body.ended {
		return 0
	}
	return c.Answer.Length
}

// Refused notes that the answer says that the server did not run the request, and
// whether it names the request. The same bytes may come once more: so the request does
// not use the connection again, and after an unnamed refusal nobody does.
func (c *Call) Refused(named bool) {
	if !named || c.request.ID == "" {
		c.failed = true
		return
	}
	c.conn.refused = append(c.conn.refused, c.request.ID)
}

// Discard keeps the connection from being used again.
func (c *Call) Discard() {
	c.failed = true
}

// Close ends the call. Its connection is used again if the answer was read to its end and
// nothing speaks against it.
func (c *Call) Close() {
	if c.conn == nil {
		return
	}
	intact := c.unwatch()
	reusable := intact && !c.failed && c.body.ended && c.conn.reusable(c.Answer) && c.out()
	if reusable {
		c.client.put(c.conn)
	} else {
		c.conn.close()
	}
	c.conn = nil
	<-c.client.busy
}

// out says whether the whole request is written.
func (c *Call) out() bool {
	if c.written == nil {
		return true
	}
	select {
	case <-c.written:
		return true
	default:
		return false
	}
}
