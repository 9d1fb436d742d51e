// Package relay connects nodes with each other. Calls are sent over links; everything
// else, and calls to nodes without links, uses connect-go over HTTP/2. Connections that
// fall silent are dropped. The package also provides the matching transport settings of
// the server.
package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/link"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/relaypb/relaypbconnect"
)

// Client connects to all other nodes. It has a separate transport for each of them, so
// that dropping a silent connection does not affect the others.
type Client struct {
	// LocalIP is the local IP address that connections are opened from. If it is nil, the
	// system chooses one.
	LocalIP net.IP

	// links carry the calls.
	links *link.Pool

	mu sync.Mutex
	// calls holds the peers whose connections are pinged, so that a call on a silent
	// connection ends in time. control holds the peers for control traffic, whose
	// connections are not pinged: a node talks to nearly all other nodes in turn, and with
	// 530 nodes the pings alone would cost more than everything else.
	calls   map[string]*peer
	control map[string]*peer
}

// peer is the connect-go client for one node, with its transport.
type peer struct {
	transport *http.Transport
	client    relaypbconnect.RelayClient
}

const (
	// A connection on which nothing arrives for pingAfter is pinged, and dropped when the
	// ping is not answered within pingTimeout. Together they detect a silent connection
	// in 600 ms, even while the kernel regards it as open.
	pingAfter   = 300 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	// dialTimeout limits the time to open a connection, which normally takes about 1 ms.
	dialTimeout = 500 * time.Millisecond
	// callIdleTimeout closes connections to nodes that are rarely called, because every
	// open HTTP/2 connection for calls costs pings.
	callIdleTimeout = 3 * time.Second
	// controlIdleTimeout keeps connections open over several rounds of exchange. Of 530
	// members, any two in different data centres exchange every 160 s, so a longer
	// timeout would mostly spend memory on connections that are not used again.
	controlIdleTimeout = 10 * time.Second
	// maxMessageBytes limits the size of one message between nodes.
	maxMessageBytes = 16 << 20
	// gzip is the compression that connect-go enables by default. It is disabled here: a
	// message is a few hundred bytes, and compressing it takes longer than sending it.
	gzip = "gzip"
	// streamsPerConnection is the maximum number of concurrent attempts on one
	// connection.
	streamsPerConnection = 250
)

// NewClient returns a client without open connections.
func NewClient() *Client {
	c := &Client{calls: map[string]*peer{}, control: map[string]*peer{}}
	c.links = link.NewPool(c.open, link.Keepalive{PingAfter: pingAfter, PingTimeout: pingTimeout, IdleTimeout: callIdleTimeout})
	return c
}

// OnSilent sets a function that is called with the address of a node whose connection is
// closed because the node did not answer a ping. OnSilent must be called before the first
// call.
func (c *Client) OnSilent(report func(address string)) {
	c.links.OnSilent = report
}

// SetMemory sets the pool that counts the memory of answers that arrive in pieces. It must be
// called before the first call.
func (c *Client) SetMemory(memory *alloc.Pool) {
	c.links.Memory = memory
}

// Carry sends an attempt to the node at an address and waits for its response. A node
// that does not support links is called over connect-go.
func (c *Client) Carry(ctx context.Context, address string, request *relaypb.CarryRequest) (*relaypb.CarryResponse, error) {
	answer, err := c.links.Carry(ctx, address, request)
	if !errors.Is(err, link.ErrOtherProtocol) {
		return answer, err
	}
	response, err := c.CallClient(address).Carry(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// open opens a connection to another node.
func (c *Client) open(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if c.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.LocalIP}
	}
	return dialer.DialContext(ctx, network, address)
}

// CallClient returns the connect-go client for calls through the node at an address. It
// does not open a connection.
func (c *Client) CallClient(address string) relaypbconnect.RelayClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.calls[address]
	if !ok {
		p = c.newPeer(address, http2WithPings(), callIdleTimeout)
		c.calls[address] = p
	}
	return p.client
}

// ControlClient returns the connect-go client for all other requests to the node at an
// address. Its connections are not pinged; Exchange drops one that may be silent.
func (c *Client) ControlClient(address string) relaypbconnect.RelayClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.control[address]
	if !ok {
		p = c.newPeer(address, HTTP2(), controlIdleTimeout)
		c.control[address] = p
	}
	return p.client
}

// Exchange swaps membership updates with the node at an address. If it fails, the
// connection may be silent, so it is dropped and the next exchange opens another one.
func (c *Client) Exchange(ctx context.Context, address string, request *relaypb.ExchangeRequest) (*relaypb.ExchangeResponse, error) {
	response, err := c.ControlClient(address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		c.Drop(address)
		return nil, err
	}
	return response.Msg, nil
}

// Drop discards the control client of an address and closes its idle connections.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	p := c.control[address]
	delete(c.control, address)
	c.mu.Unlock()
	if p != nil {
		p.transport.CloseIdleConnections()
	}
}

// NeverSent reports whether an error proves that the other node did not accept the call,
// for instance because the connection could not be opened.
func NeverSent(err error) bool {
	if errors.Is(err, link.ErrNotAccepted) {
		return true
	}
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// TooLarge reports whether an error means that a message exceeds the size limit of
// messages between nodes.
func TooLarge(err error) bool {
	return errors.Is(err, link.ErrTooLarge) || connect.CodeOf(err) == connect.CodeResourceExhausted
}

// JoinIncarnation returns the name of a process of a target together with the node beside
// it: the incarnation of the node and the ID of the target's process, or the former alone
// if the latter is empty.
func JoinIncarnation(node, target string) string {
	if target == "" {
		return node
	}
	return node + "/" + target
}

// SplitIncarnation is the inverse of JoinIncarnation.
func SplitIncarnation(incarnation string) (node, target string) {
	node, target, _ = strings.Cut(incarnation, "/")
	return node, target
}

// HTTP2 returns the HTTP/2 settings of a server, and of connections without pings.
func HTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{MaxConcurrentStreams: streamsPerConnection}
}

// http2WithPings returns the HTTP/2 settings of a connection for calls.
func http2WithPings() *http.HTTP2Config {
	settings := HTTP2()
	settings.SendPingTimeout = pingAfter
	settings.PingTimeout = pingTimeout
	return settings
}

// Protocols returns the only protocol that nodes accept over HTTP: HTTP/2 without TLS.
func Protocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// HandlerOptions returns the connect-go options of the server.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression(gzip, nil, nil)}
}

func (c *Client) newPeer(address string, settings *http.HTTP2Config, idleTimeout time.Duration) *peer {
	transport := &http.Transport{
		DialContext:     c.open,
		Protocols:       Protocols(),
		HTTP2:           settings,
		IdleConnTimeout: idleTimeout,
		// Servers do not compress, so compression is not requested.
		DisableCompression: true,
	}
	client := relaypbconnect.NewRelayClient(
		&http.Client{Transport: transport},
		"http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithAcceptCompression(gzip, nil, nil),
	)
	return &peer{transport: transport, client: client}
}
