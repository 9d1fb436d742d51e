package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

type (
	// DialFunc opens a connection, as net.Dialer.DialContext does.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// Pool keeps one connection to each node that is called.
	Pool struct {
		// OnSilent is called when a connection is closed because the peer did not answer
		// a ping. It must be set before the first call and may be nil.
		OnSilent func(address string)
		// Memory counts the responses that arrive in pieces. It must be set before the first
		// call and may be nil.
		Memory *alloc.Pool

		dial      DialFunc
		keepalive Keepalive

		mu    sync.Mutex
		slots map[string]*slot
		// clients are the connections whose liveness is monitored.
		clients []*Client
	}

	// slot holds the connection to one address.
	slot struct {
		mu      sync.Mutex
		client  *Client
		opening *opening
		// otherProtocolUntil is the time until which the address is assumed to speak
		// another protocol.
		otherProtocolUntil time.Time
	}

	// opening is a connection attempt in progress. client and err are set before done is
	// closed.
	opening struct {
		done   chan struct{}
		client *Client
		err    error
	}
)

// protocolRecheckAfter is how long an address that does not speak this protocol is not
// tried again.
const protocolRecheckAfter = 5 * time.Second

// NewPool returns a pool without connections.
func NewPool(dial DialFunc, keepalive Keepalive) *Pool {
	return &Pool{dial: dial, keepalive: keepalive, slots: map[string]*slot{}}
}

// Carry sends a call to the node at an address and waits for the response. The call did
// not run if the error wraps ErrNotAccepted or ErrOtherProtocol; errors of the dial
// function are wrapped in ErrNotAccepted.
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

// get returns the open connection of the slot. If there is none, it starts opening one,
// or joins an attempt in progress, and waits for it.
func (s *slot) get(ctx context.Context, pool *Pool, address string) (*Client, error) {
	s.mu.Lock()
	if s.client != nil && s.client.Usable() {
		defer s.mu.Unlock()
		return s.client, nil
	}
	if time.Now().Before(s.otherProtocolUntil) {
		defer s.mu.Unlock()
		return nil, ErrOtherProtocol
	}
	if s.opening == nil {
		s.opening = &opening{done: make(chan struct{})}
		go s.connect(s.opening, pool, address)
	}
	opening := s.opening
	s.mu.Unlock()
	select {
	case <-opening.done:
		return opening.client, opening.err
	case <-ctx.Done():
		return nil, notAccepted(ctx.Err())
	}
}

// connect opens the connection on behalf of all calls that wait for it.
func (s *slot) connect(opening *opening, pool *Pool, address string) {
	client, err := Dial(context.Background(), pool.dial, address, pool.Memory)
	if client != nil {
		pool.addClient(client)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, ErrOtherProtocol) {
		s.otherProtocolUntil = time.Now().Add(protocolRecheckAfter)
	}
	if err != nil {
		opening.err = notAccepted(err)
	}
	opening.client = client
	s.client = client
	s.opening = nil
	close(opening.done)
}

// notAccepted wraps an error that kept a call from being sent in ErrNotAccepted.
// ErrTooLarge and ErrOtherProtocol are returned as they are.
func notAccepted(err error) error {
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrOtherProtocol) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, err)
}
