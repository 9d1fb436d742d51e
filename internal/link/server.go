package link

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/gctune"
	"github.com/dandelionfield/dandelionfield/internal/gopool"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

type (
	// Server serves the calls of other nodes.
	Server struct {
		// Carry handles one call. It returns nil if the context ended before there was a
		// response.
		Carry func(ctx context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse
		// Memory bounds what calls hold, and Refuse answers a call for which there is none
		// left. A nil Memory sets no limit.
		Memory *alloc.Pool
		Refuse func(request *relaypb.CarryRequest) *relaypb.CarryResponse

		mu     sync.Mutex
		closed bool
		peers  map[*peer]struct{}
	}

	// peer is a connection that another node has opened.
	peer struct {
		server *Server
		conn   *conn
		ctx    context.Context
		stop   context.CancelFunc

		mu sync.Mutex
		// highest is the highest number of an accepted call.
		highest    uint32
		calls      map[uint32]*accepted
		goAwaySent bool
	}

	// accepted is a call from its arrival to its response.
	accepted struct {
		ctx     context.Context
		cancel  context.CancelFunc
		account alloc.Account
		// incoming is a call whose body arrives in pieces. It is nil until there is memory for
		// the body, and once the body is complete. The mutex of the peer guards it.
		incoming *incoming
	}

	// splitter is a listener for the connections that do not speak the link protocol.
	splitter struct {
		net.Listener
		others chan net.Conn
		failed chan error
		server *Server
	}

	// peekedConn is a connection whose first bytes have been read into a buffer.
	peekedConn struct {
		net.Conn
		reader *bufio.Reader
	}
)

const (
	// prefixBytes is how many bytes distinguish the link protocol from HTTP.
	prefixBytes = 4
	// prefixTimeout limits the wait for the first bytes of a connection.
	prefixTimeout = 3 * time.Second
	// peerReadTimeout is how long a peer may send nothing. A live peer pings earlier
	// while it has calls in flight, and closes connections without calls.
	peerReadTimeout = 10 * time.Second
	// acceptBackoff is the pause after a temporary accept error, such as running out of
	// file descriptors.
	acceptBackoff = 20 * time.Millisecond
	// closePollInterval is the time between two checks of whether all calls have ended,
	// and the time that the last frames get to be sent.
	closePollInterval = 5 * time.Millisecond
)

// Split serves the connections of a listener that speak the link protocol and returns a
// listener for all others.
func Split(listener net.Listener, server *Server) net.Listener {
	s := &splitter{Listener: listener, others: make(chan net.Conn), failed: make(chan error, 1), server: server}
	go s.run()
	return s
}

// Accept returns the next connection that does not speak the link protocol.
func (s *splitter) Accept() (net.Conn, error) {
	select {
	case other := <-s.others:
		return other, nil
	case err := <-s.failed:
		s.failed <- err
		return nil, err
	}
}

func (s *splitter) run() {
	for {
		raw, err := s.Listener.Accept()
		if err != nil {
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				time.Sleep(acceptBackoff)
				continue
			}
			s.failed <- err
			return
		}
		go s.classify(raw)
	}
}

// classify determines the protocol of a connection by its first bytes.
func (s *splitter) classify(raw net.Conn) {
	c := newConn(raw)
	_ = raw.SetReadDeadline(time.Now().Add(prefixTimeout))
	first, err := c.reader.Peek(prefixBytes)
	_ = raw.SetReadDeadline(time.Time{})
	if err == nil && string(first) == hello[:prefixBytes] {
		s.server.serve(c)
		return
	}
	if len(first) == 0 {
		_ = raw.Close()
		return
	}
	select {
	case s.others <- &peekedConn{Conn: raw, reader: c.reader}:
	case err := <-s.failed:
		s.failed <- err
		_ = raw.Close()
	}
}

func (p *peekedConn) Read(to []byte) (int, error) {
	return p.reader.Read(to)
}

// serve accepts the calls of one connection until it fails.
func (s *Server) serve(c *conn) {
	if c.handshake() != nil {
		_ = c.raw.Close()
		return
	}
	p := &peer{server: s, conn: c, calls: map[uint32]*accepted{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	defer p.stop()
	defer s.remove(p)
	defer p.endAll()
	go c.write(p.ctx)
	if !s.add(p) {
		p.sendGoAway()
	}
	var buffer []byte
	for {
		_ = c.raw.SetReadDeadline(time.Now().Add(peerReadTimeout))
		var got frame
		var err error
		got, buffer, err = c.read(buffer)
		if err != nil {
			c.fail(err)
			return
		}
		if err := p.handle(got); err != nil {
			c.fail(err)
			return
		}
	}
}

func (p *peer) handle(got frame) error {
	switch got.kind {
	case callFrame:
		request, err := decodeRequest(got.body)
		if err != nil {
			return err
		}
		if call := p.begin(got.call); call != nil {
			gopool.Go(func() { p.admit(call, got.call, request) })
		}
	case callOfferFrame:
		return p.handleOffer(got)
	case pieceFrame:
		return p.handlePiece(got)
	case cancelFrame:
		p.end(got.call)
	case pingFrame:
		_ = p.conn.send(pongFrame, got.call, nil)
	case featuresFrame:
		p.conn.learnFeatures(got.call)
	}
	return nil
}

// begin registers a call. It returns nil if this node has sent a goAwayFrame.
func (p *peer) begin(number uint32) *accepted {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.goAwaySent {
		return nil
	}
	call := &accepted{account: alloc.Account{Class: alloc.FromNodes}}
	call.ctx, call.cancel = context.WithCancel(p.ctx)
	// Clients of earlier versions do not always send calls in the order of their numbers.
	p.highest = max(p.highest, number)
	p.calls[number] = call
	return call
}

// end cancels the context of a call, removes the call and releases what it holds.
func (p *peer) end(number uint32) {
	p.mu.Lock()
	call := p.calls[number]
	delete(p.calls, number)
	p.mu.Unlock()
	if call != nil {
		call.cancel()
		p.server.Memory.Release(&call.account)
	}
}

// endAll ends the calls of a connection that has failed, also those whose bodies will never be
// complete and that nothing else would end.
func (p *peer) endAll() {
	p.mu.Lock()
	numbers := slices.Collect(maps.Keys(p.calls))
	p.mu.Unlock()
	for _, number := range numbers {
		p.end(number)
	}
}

// admit runs a call that came in one frame if there is memory for it.
func (p *peer) admit(call *accepted, number uint32, request *relaypb.CarryRequest) {
	if !p.server.Memory.Take(&call.account, RequestCost(request)) {
		defer p.end(number)
		p.respond(call.ctx, number, p.server.Refuse(request))
		return
	}
	p.carry(call, number, request)
}

func (p *peer) carry(call *accepted, number uint32, request *relaypb.CarryRequest) {
	p.server.Memory.Serve(&call.account)
	response := p.server.Carry(call.ctx, request)
	defer p.end(number)
	if response == nil {
		_ = p.conn.send(noResponseFrame, number, nil)
		return
	}
	p.respond(call.ctx, number, response)
}

func (p *peer) respond(ctx context.Context, number uint32, response *relaypb.CarryResponse) {
	var err error
	if p.conn.sendsInPieces(ctx, len(response.Body)) {
		err = p.conn.sendOffer(responseOfferFrame, number, response, len(response.Body))
		if err == nil {
			err = p.conn.sendPieces(ctx, number, response.Body)
		}
	} else {
		err = p.conn.send(responseFrame, number, response)
	}
	if errors.Is(err, ErrTooLarge) {
		_ = p.conn.send(tooLargeFrame, number, nil)
	}
}

// handleOffer accepts a call whose body is to follow in pieces, and asks for the body once
// there is memory for it. The connection is read meanwhile.
func (p *peer) handleOffer(got frame) error {
	offered, err := newIncoming(got.body)
	if err != nil {
		return err
	}
	request, err := decodeRequest(offered.message)
	if err != nil {
		return err
	}
	call := p.begin(got.call)
	if call == nil {
		return nil
	}
	gopool.Go(func() {
		if !p.reserve(call, RequestCost(request)+int64(offered.size)) {
			defer p.end(got.call)
			p.respond(call.ctx, got.call, p.server.Refuse(request))
			return
		}
		gctune.BeforeAllocating(int64(offered.size))
		offered.body = make([]byte, 0, offered.size)
		p.mu.Lock()
		call.incoming = offered
		p.mu.Unlock()
		_ = p.conn.send(grantFrame, got.call, nil)
	})
	return nil
}

// reserve takes memory for a call, and waits for it if need be.
func (p *peer) reserve(call *accepted, bytes int64) bool {
	ctx, cancel := context.WithTimeout(call.ctx, memoryWait)
	defer cancel()
	return p.server.Memory.Reserve(ctx, &call.account, bytes, func() {})
}

// handlePiece takes a piece of a call's body, and runs the call once the body is complete.
// Pieces may still arrive after the call was cancelled.
func (p *peer) handlePiece(got frame) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	call := p.calls[got.call]
	if call == nil {
		return nil
	}
	offered := call.incoming
	if offered == nil {
		return errMalformedFrame
	}
	complete, err := offered.add(got.body)
	if err != nil || !complete {
		return err
	}
	call.incoming = nil
	request, err := decodeRequest(offered.message)
	if err != nil {
		return err
	}
	request.Body = offered.body
	gopool.Go(func() { p.carry(call, got.call, request) })
	return nil
}

// sendGoAway tells the peer that no further call is accepted.
func (p *peer) sendGoAway() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.goAwaySent {
		return
	}
	p.goAwaySent = true
	_ = p.conn.send(goAwayFrame, p.highest, nil)
}

func (p *peer) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls) > 0
}

// Close stops accepting calls, waits for those in flight until the context ends, and
// closes all connections.
func (s *Server) Close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	peers := make([]*peer, 0, len(s.peers))
	for p := range s.peers {
		peers = append(peers, p)
	}
	s.mu.Unlock()
	for _, p := range peers {
		p.sendGoAway()
	}
	for _, p := range peers {
		for p.busy() && ctx.Err() == nil {
			time.Sleep(closePollInterval)
		}
	}
	time.Sleep(closePollInterval)
	for _, p := range peers {
		p.conn.fail(errClosed)
	}
}

// add registers a connection and reports whether the server accepts calls.
func (s *Server) add(p *peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = map[*peer]struct{}{}
	}
	s.peers[p] = struct{}{}
	return !s.closed
}

func (s *Server) remove(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, p)
}
