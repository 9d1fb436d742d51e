package link

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/crew"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

type (
	// Server answers the calls of other nodes.
	Server struct {
		// Carry answers one call, nil when its context ended first.
		Carry func(ctx context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse

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

		mu    sync.Mutex
		last  uint32
		calls map[uint32]context.CancelFunc
		gone  bool
	}

	// splitter hands out the connections that are no links.
	splitter struct {
		net.Listener
		others chan net.Conn
		failed chan error
		server *Server
	}

	// peeked is a connection of which the first bytes were looked at.
	peeked struct {
		net.Conn
		reader *bufio.Reader
	}
)

const (
	// firstBytes is how many bytes tell a link from HTTP.
	firstBytes = 4
	// firstBytesWait bounds the wait for what a connection begins with.
	firstBytesWait = 3 * time.Second
	// silentAfter is how long a peer may send nothing: it pings while it is there.
	silentAfter = 10 * time.Second
	// acceptPause is the wait after an accept that failed for want of descriptors.
	acceptPause = 20 * time.Millisecond
	// closePoll is the time between two looks at whether calls have ended, and what
	// the last frames get to go out.
	closePoll = 5 * time.Millisecond
)

// Split serves the links among the connections of a listener, and returns a
// listener of all others.
func Split(listener net.Listener, server *Server) net.Listener {
	s := &splitter{Listener: listener, others: make(chan net.Conn), failed: make(chan error, 1), server: server}
	go s.run()
	return s
}

// Accept returns the next connection that is no link.
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
				time.Sleep(acceptPause)
				continue
			}
			s.failed <- err
			return
		}
		go s.sort(raw)
	}
}

// sort tells by its first bytes what a connection is.
func (s *splitter) sort(raw net.Conn) {
	c := newConn(raw)
	_ = raw.SetReadDeadline(time.Now().Add(firstBytesWait))
	first, err := c.reader.Peek(firstBytes)
	_ = raw.SetReadDeadline(time.Time{})
	if err == nil && string(first) == hello[:firstBytes] {
		s.server.serve(c)
		return
	}
	if len(first) == 0 {
		_ = raw.Close()
		return
	}
	select {
	case s.others <- &peeked{Conn: raw, reader: c.reader}:
	case err := <-s.failed:
		s.failed <- err
		_ = raw.Close()
	}
}

func (p *peeked) Read(to []byte) (int, error) {
	return p.reader.Read(to)
}

// serve takes the calls of one connection until it ends.
func (s *Server) serve(c *conn) {
	if c.greet() != nil {
		_ = c.raw.Close()
		return
	}
	p := &peer{server: s, conn: c, calls: map[uint32]context.CancelFunc{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	defer p.stop()
	defer s.remove(p)
	go c.write(p.ctx)
	if !s.add(p) {
		p.leave()
	}
	var buffer []byte
	for {
		_ = c.raw.SetReadDeadline(time.Now().Add(silentAfter))
		var got frame
		var err error
		got, buffer, err = c.read(buffer)
		if err != nil {
			c.fail(err)
			return
		}
		p.handle(got)
	}
}

func (p *peer) handle(got frame) {
	switch got.kind {
	case callFrame:
		request, err := decodeRequest(got.body)
		if err != nil {
			p.conn.fail(err)
			return
		}
		if ctx, taken := p.begin(got.call); taken {
			crew.Go(func() { p.carry(ctx, got.call, request) })
		}
	case cancelFrame:
		p.end(got.call)
	case pingFrame:
		_ = p.conn.send(pongFrame, got.call, nil)
	}
}

// begin notes a call, unless this node has said that it takes no further one.
func (p *peer) begin(number uint32) (context.Context, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return nil, false
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.last = number
	p.calls[number] = cancel
	return ctx, true
}

// end cancels a call and forgets it.
func (p *peer) end(number uint32) {
	p.mu.Lock()
	cancel := p.calls[number]
	delete(p.calls, number)
	p.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (p *peer) carry(ctx context.Context, number uint32, request *relaypb.CarryRequest) {
	answer := p.server.Carry(ctx, request)
	defer p.end(number)
	if answer == nil {
		_ = p.conn.send(noAnswerFrame, number, nil)
		return
	}
	if errors.Is(p.conn.send(answerFrame, number, answer), ErrTooLarge) {
		_ = p.conn.send(tooLargeFrame, number, nil)
	}
}

// leave says that no further call is taken.
func (p *peer) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return
	}
	p.gone = true
	_ = p.conn.send(leavingFrame, p.last, nil)
}

func (p *peer) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls) > 0
}

// Close takes no further call, waits for those under way until the context ends,
// and closes all connections.
func (s *Server) Close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	peers := make([]*peer, 0, len(s.peers))
	for p := range s.peers {
		peers = append(peers, p)
	}
	s.mu.Unlock()
	for _, p := range peers {
		p.leave()
	}
	for _, p := range peers {
		for p.busy() && ctx.Err() == nil {
			time.Sleep(closePoll)
		}
	}
	time.Sleep(closePoll)
	for _, p := range peers {
		p.conn.fail(errClosed)
	}
}

// add notes a connection, and says whether calls are taken on it.
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
