package httpc

import (
	"context"
	"net"
	"sync"
	"time"
)

type (
	// Client keeps connections to one server. Its fields must be set before the first
	// call; its methods are safe for concurrent use.
	Client struct {
		Address string
		// Dial opens a connection.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
		// IdleTimeout is how long a connection without a call is kept open.
		IdleTimeout time.Duration

		// slots holds one element for each call that has a connection.
		slots chan struct{}

		mu sync.Mutex
		// idle holds the connections without a call, the most recently used one last.
		idle   []*conn
		closed bool
		// sweepTimer runs closeExpired. It is nil until a connection becomes idle, and
		// again after a run that left none.
		sweepTimer *time.Timer
	}

	// Call is one request and its response. It must be closed.
	Call struct {
		Response Response
		// Sent is set once a byte of the request may have reached the server.
		Sent bool
		// Err says why there is no response, nil if there is one.
		Err error

		client  *Client
		conn    *conn
		request *Request
		body    body
		// stopWatch stops watching the context and reports whether the context had not
		// ended yet.
		stopWatch func() bool
		// upload is the write of a large request, nil for others.
		upload  *upload
		noReuse bool
	}
)

// expired is a deadline in the past, which interrupts the current reads or writes of a
// connection.
var expired = time.Unix(1, 0)

// New returns a client that has at most the given number of connections open at a time; 0
// sets no limit.
func New(address string, connections int, idleTimeout time.Duration, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if connections <= 0 {
		connections = noConnectionLimit
	}
	return &Client{Address: address, Dial: dial, IdleTimeout: idleTimeout, slots: make(chan struct{}, connections)}
}

// Close closes the idle connections. Connections in use are closed when their calls end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	idle := c.idle
	c.idle = nil
	if c.sweepTimer != nil {
		c.sweepTimer.Stop()
	}
	c.mu.Unlock()
	for _, idleConn := range idle {
		idleConn.close()
	}
}

// Do sends a request and reads the head of its response. The call must be closed even if
// it failed.
func (c *Client) Do(ctx context.Context, request *Request) *Call {
	call := &Call{client: c, request: request}
	if call.Err = c.acquire(ctx, call); call.Err != nil {
		return call
	}
	call.watchContext(ctx)
	call.Err = call.exchange()
	call.noReuse = call.Err != nil
	return call
}

// acquire waits for a slot and gives the call a connection.
func (c *Client) acquire(ctx context.Context, call *Call) error {
	if !call.request.sendable() {
		return ErrUnsendable
	}
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	acquired, err := c.connect(ctx, call.request.ID)
	if err != nil {
		<-c.slots
		return err
	}
	call.conn = acquired
	return nil
}

// connect returns the most recently used idle connection that may carry the request, or a
// new one.
func (c *Client) connect(ctx context.Context, id string) (*conn, error) {
	for {
		idleConn := c.takeIdle(id)
		if idleConn == nil {
			break
		}
		if idleConn.stillIdle() {
			return idleConn, nil
		}
		idleConn.close()
	}
	c.evictIdle()
	raw, err := c.Dial(ctx, "tcp", c.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, c.IdleTimeout), nil
}

// takeIdle removes and returns the most recently used idle connection on which the request
// was not refused before, nil if there is none: a faulty server may send an earlier
// refusal again.
func (c *Client) takeIdle(id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i := len(c.idle) - 1; i >= 0; i-- {
		candidate := c.idle[i]
		if now.After(candidate.idleUntil) || candidate.hasRefused(id) {
			continue
		}
		c.idle = append(c.idle[:i], c.idle[i+1:]...)
		return candidate
	}
	return nil
}

// evictIdle closes the least recently used idle connections that would exceed the limit
// together with a new one.
func (c *Client) evictIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 && len(c.idle)+len(c.slots) > cap(c.slots) {
		c.idle[0].close()
		c.idle = append(c.idle[:0], c.idle[1:]...)
	}
}

// putIdle keeps a connection for further calls.
func (c *Client) putIdle(idleConn *conn) {
	now := time.Now()
	idleConn.idleUntil = now.Add(idleConn.idleFor)
	idleConn.release()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		idleConn.close()
		return
	}
	c.idle = append(c.idle, idleConn)
	if c.sweepTimer == nil {
		c.sweepTimer = time.AfterFunc(c.IdleTimeout, c.closeExpired)
	}
}

// closeExpired closes the connections that have been idle for too long, and schedules its
// next run while others are idle.
func (c *Client) closeExpired() {
	now := time.Now()
	var expired []*conn
	c.mu.Lock()
	kept := c.idle[:0]
	for _, idleConn := range c.idle {
		if now.After(idleConn.idleUntil) {
			expired = append(expired, idleConn)
			continue
		}
		kept = append(kept, idleConn)
	}
	clear(c.idle[len(kept):])
	c.idle = kept
	if len(kept) > 0 {
		c.sweepTimer.Reset(c.IdleTimeout)
	} else {
		c.sweepTimer = nil
	}
	c.mu.Unlock()
	for _, idleConn := range expired {
		idleConn.close()
	}
}

// watchContext interrupts the call's reads and writes when the context ends. A connection
// on which that happened is not used again, so the deadline never has to be reset.
func (c *Call) watchContext(ctx context.Context) {
	raw := c.conn.raw
	c.stopWatch = context.AfterFunc(ctx, func() { _ = raw.SetDeadline(expired) })
}

// exchange writes the request and reads the head of its response.
func (c *Call) exchange() error {
	buffer := getBuffer()
	buffer.encode(c.request)
	if len(buffer.bytes) <= asyncWriteBytes && len(c.request.Body) <= asyncWriteBytes {
		n, err := c.conn.raw.Write(buffer.bytes)
		buffer.recycle()
		c.Sent = n > 0
		if err != nil {
			return err
		}
		return c.readHead()
	}
	c.Sent = true
	parts := net.Buffers{buffer.bytes}
	if len(c.request.Body) > asyncWriteBytes {
		parts = append(parts, c.request.Body)
	}
	c.upload = startUpload(c.conn.raw, parts)
	return c.readHead()
}

func (c *Call) readHead() error {
	response, err := c.conn.readResponse()
	if err != nil {
		return err
	}
	c.Response = response
	c.body, err = c.conn.newBody(c.request.Method, response, c.upload)
	return err
}

// Read reads from the body. It returns io.EOF only after a complete body.
func (c *Call) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	if err != nil && !c.body.ended {
		c.noReuse = true
	}
	return n, err
}

// BodyLength returns the length of the body, -1 if it is not known in advance.
func (c *Call) BodyLength() int64 {
	if c.body.ended {
		return 0
	}
	return c.Response.Length
}

// RecordRefusal records that the server refused the request without running it. Named says
// whether the response contains the ID of the request. A faulty server may send the same
// refusal again, so the connection does not carry this request again, and no request at
// all after a refusal that does not name its request.
func (c *Call) RecordRefusal(named bool) {
	if !named || c.request.ID == "" {
		c.noReuse = true
		return
	}
	c.conn.refused = append(c.conn.refused, c.request.ID)
}

// Discard prevents the connection from being reused.
func (c *Call) Discard() {
	c.noReuse = true
}

// Close ends the call. The connection is reused if the response was read to its end, the
// request was written completely and neither side has ruled out reuse.
func (c *Call) Close() {
	if c.conn == nil {
		return
	}
	intact := c.stopWatch()
	reusable := intact && !c.noReuse && c.body.ended && c.conn.reusable(c.Response) && c.upload.complete()
	if reusable {
		c.client.putIdle(c.conn)
	} else {
		c.conn.close()
	}
	c.conn = nil
	<-c.client.slots
}
