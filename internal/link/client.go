package link

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

type (
	// Client is the calling side of one connection. It is safe for concurrent use.
	Client struct {
		conn    *conn
		address string
		stop    context.CancelFunc

		mu         sync.Mutex
		lastNumber uint32
		pending    map[uint32]*pending
		// lastUsed is when a call last started or ended. busySince is when a call last
		// started while no other was in flight.
		lastUsed  time.Time
		busySince time.Time
		// goingAway is set once the peer has sent a goAwayFrame.
		goingAway bool
		// pingSentAt is when the unanswered ping was sent, zero if there is none. Only
		// the goroutine that runs Pool.monitor uses it.
		pingSentAt time.Time
	}

	// pending is a call that awaits its response. response and err are set before done is
	// closed.
	pending struct {
		done     chan struct{}
		response *relaypb.CarryResponse
		err      error
	}
)

// Dial opens a connection with the given function and performs the handshake. An error of
// the function is returned unchanged.
func Dial(ctx context.Context, dial DialFunc, address string) (*Client, error) {
	raw, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: newConn(raw), address: address, pending: map[uint32]*pending{}, lastUsed: time.Now()}
	if err := c.conn.handshake(); err != nil {
		_ = raw.Close()
		return nil, err
	}
	running, stop := context.WithCancel(context.Background())
	c.stop = stop
	go c.conn.write(running)
	go c.receive()
	return c, nil
}

// Carry sends a call and waits for its response. When the context ends first, the peer is
// told to cancel the call.
func (c *Client) Carry(ctx context.Context, request *relaypb.CarryRequest) (*relaypb.CarryResponse, error) {
	number, p := c.register()
	if p == nil {
		return nil, ErrNotAccepted
	}
	if err := c.conn.send(callFrame, number, request); err != nil {
		c.removePending(number)
		return nil, notAccepted(err)
	}
	select {
	case <-p.done:
		return p.response, p.err
	case <-ctx.Done():
	}
	if c.removePending(number) {
		// The error is ignored: if the connection has failed, the peer notices that too.
		_ = c.conn.send(cancelFrame, number, nil)
		return nil, ctx.Err()
	}
	<-p.done
	return p.response, p.err
}

// Usable reports whether further calls may be sent.
func (c *Client) Usable() bool {
	c.mu.Lock()
	goingAway := c.goingAway
	c.mu.Unlock()
	return !goingAway && c.conn.failure() == nil
}

// Close closes the connection, which fails the calls in flight.
func (c *Client) Close() {
	c.conn.fail(errClosed)
}

// register assigns a number to a new call. It returns nil once the peer has sent a
// goAwayFrame.
func (c *Client) register() (uint32, *pending) {
	p := &pending{done: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.goingAway {
		return 0, nil
	}
	c.lastNumber++
	c.lastUsed = time.Now()
	if len(c.pending) == 0 {
		c.busySince = c.lastUsed
	}
	c.pending[c.lastNumber] = p
	return c.lastNumber, p
}

// removePending removes a call from the pending ones and reports whether it was still
// pending.
func (c *Client) removePending(number uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, found := c.pending[number]
	delete(c.pending, number)
	c.lastUsed = time.Now()
	return found
}

// takePending removes a call from the pending ones and returns it, nil if it was not
// pending any more.
func (c *Client) takePending(number uint32) *pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending[number]
	delete(c.pending, number)
	c.lastUsed = time.Now()
	return p
}

func (c *Client) receive() {
	var buffer []byte
	for {
		var got frame
		var err error
		got, buffer, err = c.conn.read(buffer)
		if err != nil {
			c.conn.fail(err)
			c.failPending()
			return
		}
		c.handle(got)
	}
}

func (c *Client) handle(got frame) {
	switch got.kind {
	case responseFrame:
		if p := c.takePending(got.call); p != nil {
			p.response, p.err = decodeResponse(got.body)
			close(p.done)
		}
	case noResponseFrame:
		if p := c.takePending(got.call); p != nil {
			p.fail(ErrNoResponse)
		}
	case tooLargeFrame:
		if p := c.takePending(got.call); p != nil {
			p.fail(ErrTooLarge)
		}
	case pingFrame:
		_ = c.conn.send(pongFrame, got.call, nil)
	case goAwayFrame:
		c.handleGoAway(got.call)
	}
}

// handleGoAway fails the calls that the peer did not accept and keeps further calls from
// being sent on this connection.
func (c *Client) handleGoAway(lastAccepted uint32) {
	c.mu.Lock()
	c.goingAway = true
	var rejected []*pending
	for number, p := range c.pending {
		if number > lastAccepted {
			delete(c.pending, number)
			rejected = append(rejected, p)
		}
	}
	c.mu.Unlock()
	for _, p := range rejected {
		p.fail(ErrNotAccepted)
	}
}

// failPending fails all pending calls after the connection has failed.
func (c *Client) failPending() {
	c.stop()
	reason := c.conn.failure()
	c.mu.Lock()
	unanswered := c.pending
	c.pending = map[uint32]*pending{}
	c.mu.Unlock()
	for _, p := range unanswered {
		p.fail(reason)
	}
}

func (p *pending) fail(reason error) {
	p.err = reason
	close(p.done)
}
