package link

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

type (
	// Client is this side of one connection. It is safe for concurrent use.
	Client struct {
		conn    *conn
		address string
		stop    context.CancelFunc

		mu      sync.Mutex
		last    uint32
		pending map[uint32]*pending
		// used is when the last call ended or began, and busySince when one began while
		// no other waited.
		used      time.Time
		busySince time.Time
		// left is set once the other side has said that it takes no further call.
		left bool
		// pinged is when the other side was pinged that has not been heard since. Only
		// the watch of the pool uses it.
		pinged time.Time
	}

	// pending is a call that waits for its answer.
	pending struct {
		done   chan struct{}
		answer *relaypb.CarryResponse
		err    error
	}
)

// Dial opens a connection by a function and greets the other side. An error of the
// function is returned as it is.
func Dial(ctx context.Context, open Opener, address string) (*Client, error) {
	raw, err := open(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: newConn(raw), address: address, pending: map[uint32]*pending{}, used: time.Now()}
	if err := c.conn.greet(); err != nil {
		_ = raw.Close()
		return nil, err
	}
	running, stop := context.WithCancel(context.Background())
	c.stop = stop
	go c.conn.write(running)
	go c.receive()
	return c, nil
}

// Carry sends a call and waits for its answer. When the context ends first, the
// other side is told that nobody waits any more.
func (c *Client) Carry(ctx context.Context, request *relaypb.CarryRequest) (*relaypb.CarryResponse, error) {
	number, p := c.register()
	if p == nil {
		return nil, ErrNeverTaken
	}
	if err := c.conn.send(callFrame, number, request); err != nil {
		c.forget(number)
		return nil, neverTaken(err)
	}
	select {
	case <-p.done:
		return p.answer, p.err
	case <-ctx.Done():
	}
	if c.forget(number) {
		// If the connection has failed, the other side learns from that.
		_ = c.conn.send(cancelFrame, number, nil)
		return nil, ctx.Err()
	}
	<-p.done
	return p.answer, p.err
}

// Usable says whether further calls may be sent.
func (c *Client) Usable() bool {
	c.mu.Lock()
	left := c.left
	c.mu.Unlock()
	return !left && c.conn.failure() == nil
}

// Close ends the connection and the calls on it.
func (c *Client) Close() {
	c.conn.fail(errClosed)
}

// register gives a call its number; there is none once the other side leaves.
func (c *Client) register() (uint32, *pending) {
	p := &pending{done: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return 0, nil
	}
	c.last++
	c.used = time.Now()
	if len(c.pending) == 0 {
		c.busySince = c.used
	}
	c.pending[c.last] = p
	return c.last, p
}

// forget takes a call from those that wait, and says whether it still did.
func (c *Client) forget(number uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, waits := c.pending[number]
	delete(c.pending, number)
	c.used = time.Now()
	return waits
}

// take is forget, and returns the call.
func (c *Client) take(number uint32) *pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending[number]
	delete(c.pending, number)
	c.used = time.Now()
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
			c.end()
			return
		}
		c.handle(got)
	}
}

func (c *Client) handle(got frame) {
	switch got.kind {
	case answerFrame:
		if p := c.take(got.call); p != nil {
			p.answer, p.err = decodeResponse(got.body)
			close(p.done)
		}
	case noAnswerFrame:
		if p := c.take(got.call); p != nil {
			p.fail(ErrNoAnswer)
		}
	case tooLargeFrame:
		if p := c.take(got.call); p != nil {
			p.fail(ErrTooLarge)
		}
	case pingFrame:
		_ = c.conn.send(pongFrame, got.call, nil)
	case leavingFrame:
		c.leaving(got.call)
	}
}

// leaving ends the calls that the other side did not take, and lets no further one
// be sent here.
func (c *Client) leaving(through uint32) {
	c.mu.Lock()
	c.left = true
	var left []*pending
	for number, p := range c.pending {
		if number > through {
			delete(c.pending, number)
			left = append(left, p)
		}
	}
	c.mu.Unlock()
	for _, p := range left {
		p.fail(ErrNeverTaken)
	}
}

// end fails all calls after the connection has.
func (c *Client) end() {
	c.stop()
	reason := c.conn.failure()
	c.mu.Lock()
	left := c.pending
	c.pending = map[uint32]*pending{}
	c.mu.Unlock()
	for _, p := range left {
		p.fail(reason)
	}
}

func (p *pending) fail(reason error) {
	p.err = reason
	close(p.done)
}
