package link

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

type (
	// Client is the calling side of one connection. It is safe for concurrent use.
	Client struct {
		conn    *conn
		address string
		memory  *alloc.Pool
		stop    context.CancelFunc
		// beginMu is held from the numbering of a call until its first frame is queued.
		beginMu sync.Mutex

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
		// granted is closed, and wasGranted set, once the peer has memory for the body of the
		// call. granted is nil for a call that is sent in one frame.
		granted    chan struct{}
		wasGranted bool
		// incoming is a response whose body arrives in pieces, and account counts its memory.
		incoming *incoming
		account  alloc.Account
	}
)

// Dial opens a connection with the given function and performs the handshake. An error of
// the function is returned unchanged. The memory of responses that arrive in pieces is counted
// in the given pool, which may be nil.
func Dial(ctx context.Context, dial DialFunc, address string, memory *alloc.Pool) (*Client, error) {
	raw, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: newConn(raw), address: address, memory: memory, pending: map[uint32]*pending{}, lastUsed: time.Now()}
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
	inPieces := c.conn.sendsInPieces(ctx, len(request.Body))
	number, p, err := c.begin(request, inPieces)
	if err != nil {
		return nil, err
	}
	defer c.memory.Release(&p.account)
	if inPieces {
		if response, err, ended := c.sendBody(ctx, number, p, request.Body); ended {
			return response, err
		}
	}
	return c.await(ctx, number, p)
}

// begin assigns a number to a new call and queues its first frame. Calls arrive at the peer in
// the order of their numbers, so that a goAwayFrame tells the accepted ones from the others.
func (c *Client) begin(request *relaypb.CarryRequest, inPieces bool) (uint32, *pending, error) {
	c.beginMu.Lock()
	defer c.beginMu.Unlock()
	number, p := c.register(inPieces)
	if p == nil {
		return 0, nil, ErrNotAccepted
	}
	var err error
	if inPieces {
		err = c.conn.sendOffer(callOfferFrame, number, request, len(request.Body))
	} else {
		err = c.conn.send(callFrame, number, request)
	}
	if err != nil {
		c.removePending(number)
		return 0, nil, notAccepted(err)
	}
	return number, p, nil
}

// sendBody sends the body of a call in pieces once the peer has memory for it. It reports ended
// if the call has a result before that. A call whose body was not sent completely is not
// accepted.
func (c *Client) sendBody(ctx context.Context, number uint32, p *pending, body []byte) (response *relaypb.CarryResponse, err error, ended bool) {
	select {
	case <-p.granted:
		err = c.conn.sendPieces(ctx, number, body)
	case <-p.done:
		if p.err != nil {
			return nil, notAccepted(p.err), true
		}
		return p.response, nil, true
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		return nil, nil, false
	}
	if c.removePending(number) {
		_ = c.conn.send(cancelFrame, number, nil)
	}
	return nil, notAccepted(err), true
}

// await waits for the response to a call that was sent.
func (c *Client) await(ctx context.Context, number uint32, p *pending) (*relaypb.CarryResponse, error) {
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
func (c *Client) register(inPieces bool) (uint32, *pending) {
	p := &pending{done: make(chan struct{})}
	if inPieces {
		p.granted = make(chan struct{})
	}
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
	case featuresFrame:
		c.conn.learnFeatures(got.call)
	case grantFrame, responseOfferFrame, pieceFrame:
		if err := c.handlePieces(got); err != nil {
			c.conn.fail(err)
		}
	}
}

// handlePieces handles a frame of a call or a response whose body is sent in pieces. Such
// frames may still arrive after the call was given up.
func (c *Client) handlePieces(got frame) error {
	c.mu.Lock()
	p := c.pending[got.call]
	c.mu.Unlock()
	if p == nil {
		return nil
	}
	switch got.kind {
	case grantFrame:
		if p.granted == nil || p.wasGranted {
			return errMalformedFrame
		}
		p.wasGranted = true
		close(p.granted)
		return nil
	case responseOfferFrame:
		var err error
		if p.incoming, err = newIncoming(got.body); err == nil {
			// A response gets its memory at once, because it ends a request.
			c.memory.Force(&p.account, int64(p.incoming.size))
		}
		return err
	}
	return c.handlePiece(got, p)
}

func (c *Client) handlePiece(got frame, p *pending) error {
	if p.incoming == nil {
		return errMalformedFrame
	}
	complete, err := p.incoming.add(got.body)
	if err != nil || !complete || c.takePending(got.call) == nil {
		return err
	}
	p.response, p.err = decodeResponse(p.incoming.message)
	if p.err == nil {
		p.response.Body = p.incoming.body
	}
	close(p.done)
	return nil
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
