package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

type (
	// Opener opens a connection, as net.Dialer does.
	Opener func(ctx context.Context, network, address string) (net.Conn, error)

	// Pool keeps one connection to each node that is called.
	Pool struct {
		// Silent is told of a connection that is closed since the other side does not
		// answer its ping. It is set before the first call and may be nil.
		Silent func(address string)

		open  Opener
		watch Watch

		mu    sync.Mutex
		slots map[string]*slot
		// clients are the connections that are looked at.
		clients []*Client
	}

	// slot is the connection to one address.
	slot struct {
		mu      sync.Mutex
		client  *Client
		opening *opening
		// otherUntil is until when the address is taken to speak another protocol.
		otherUntil time.Time
	}

	// opening is a connection that is being opened; the rest is set when it is done.
	opening struct {
		done   chan struct{}
		client *Client
		err    error
	}
)

// otherProtocolFor is how long an address that does not speak this protocol is not
// asked again whether it does.
const otherProtocolFor = 5 * time.Second

// NewPool returns a pool without connections.
func NewPool(open Opener, watch Watch) *Pool {
	return &Pool{open: open, watch: watch, slots: map[string]*slot{}}
}

// Carry sends a call to the node at an address. An error that wraps ErrNeverTaken
// or ErrOtherProtocol, and one of the opener, mean that the call was not sent.
func (p *Pool) Carry(ctx context.Context, address string, request *relaypb.CarryRequest) (*relaypb.CarryResponse, error) {
	client, err := p.slot(address).get(ctx, p, address)
	if err != nil {
		return nil, err
	}
	return client.Carry(ctx, request)
}

func (p *Pool) slot(address string) *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.slots[address]
	if !ok {
		s = &slot{}
		p.slots[address] = s
	}
	return s
}

// get returns the connection of a slot, and has one opened where there is none.
func (s *slot) get(ctx context.Context, pool *Pool, address string) (*Client, error) {
	s.mu.Lock()
	if s.client != nil && s.client.Usable() {
		defer s.mu.Unlock()
		return s.client, nil
	}
	if time.Now().Before(s.otherUntil) {
		defer s.mu.Unlock()
		return nil, ErrOtherProtocol
	}
	if s.opening == nil {
		s.opening = &opening{done: make(chan struct{})}
		go s.fill(s.opening, pool, address)
	}
	opening := s.opening
	s.mu.Unlock()
	select {
	case <-opening.done:
		return opening.client, opening.err
	case <-ctx.Done():
		return nil, neverTaken(ctx.Err())
	}
}

// fill opens the connection for all calls that wait for it.
func (s *slot) fill(opening *opening, pool *Pool, address string) {
	client, err := Dial(context.Background(), pool.open, address)
	if client != nil {
		pool.keep(client)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, ErrOtherProtocol) {
		s.otherUntil = time.Now().Add(otherProtocolFor)
	}
	if err != nil {
		opening.err = neverTaken(err)
	}
	opening.client = client
	s.client = client
	s.opening = nil
	close(opening.done)
}

// neverTaken marks an error by which a call was not sent.
func neverTaken(err error) error {
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrOtherProtocol) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNeverTaken, err)
}
