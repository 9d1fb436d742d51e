// Package relay is the connection between nodes. Calls travel on links, all else by
// connect-go, on connections that are dropped when they fall silent; the server's
// transport settings match.
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

	"github.com/dandelionfield/dandelionfield/internal/link"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/relaypb/relaypbconnect"
)

// Client speaks to all other nodes. It keeps a transport for each of them, so
// that a silent connection to one can be dropped without touching the others.
type Client struct {
	// From is the IP number of this host that connections go out from; nil
	// leaves the choice to the system.
	From net.IP

	// links carry the calls.
	links *link.Pool

	mu sync.Mutex
	// calls are pinged, so that a call on a silent connection is settled in
	// time. Control traffic has connections of its own without pings: a node
	// speaks to nearly everybody in turn, and at 530 nodes the pings alone
	// would cost more than all else.
	calls   map[string]*peer
	control map[string]*peer
}

type peer struct {
	transport *http.Transport
	client    relaypbconnect.RelayClient
}

const (
	// A connection on which nothing arrives for pingAfter is pinged, and
	// dropped when the ping is not answered within pingTimeout. Together they
	// find a silent connection in 600 ms, whatever the kernel believes.
	pingAfter   = 300 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	// dialTimeout bounds the opening of a connection, which takes about 1 ms.
	dialTimeout = 500 * time.Millisecond
	// callIdleTimeout closes connections to nodes that are seldom called, because
	// every open one costs pings.
	callIdleTimeout = 3 * time.Second
	// controlIdleTimeout keeps connections over several rounds of exchange. Of 530
	// members, two of different data centres meet every 160 s, so that a longer
	// time mostly keeps memory for connections that are not used again.
	controlIdleTimeout = 10 * time.Second
	// maxMessageBytes bounds one message between nodes.
	maxMessageBytes = 16 << 20
	// gzip is the compression that connect-go turns on by itself. A message is
	// a few hundred bytes, and compressing it takes longer than sending it.
	gzip = "gzip"
	// streamsPerConnection is how many attempts share one connection.
	streamsPerConnection = 250
)

// NewClient returns a client without connections.
func NewClient() *Client {
	c := &Client{calls: map[string]*peer{}, control: map[string]*peer{}}
	c.links = link.NewPool(c.open, link.Watch{PingAfter: pingAfter, PingTimeout: pingTimeout, Idle: callIdleTimeout})
	return c
}

// OnSilent has a function told of the nodes whose connections are closed since they do not
// answer. It is called before the first call.
func (c *Client) OnSilent(told func(address string)) {
	c.links.Silent = told
}

// Carry sends an attempt to the node at an address and waits for its answer. A node
// that knows no links is called by connect-go.
func (c *Client) Carry(ctx context.Context, address string, request *relaypb.CarryRequest) (*relaypb.CarryResponse, error) {
	answer, err := c.links.Carry(ctx, address, request)
	if !errors.Is(err, link.ErrOtherProtocol) {
		return answer, err
	}
	response, err := c.To(address).Carry(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// open opens a connection to another node.
func (c *Client) open(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if c.From != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.From}
	}
	return dialer.DialContext(ctx, network, address)
}

// To returns the client for calls through the node at an address. Nothing is
// sent yet.
func (c *Client) To(address string) relaypbconnect.RelayClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.calls[address]
	if !ok {
		p = c.newPeer(address, pinged(), callIdleTimeout)
		c.calls[address] = p
	}
	return p.client
}

// Control returns the client for all else that is asked of the node at an
// address. Its connections are not watched; see Exchange.
func (c *Client) Control(address string) relaypbconnect.RelayClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.control[address]
	if !ok {
		p = c.newPeer(address, HTTP2(), controlIdleTimeout)
		c.control[address] = p
	}
	return p.client
}

// Exchange swaps membership news with the node at an address. When it fails,
// the connection may be silent, so that the next exchange opens another one.
func (c *Client) Exchange(ctx context.Context, address string, request *relaypb.ExchangeRequest) (*relaypb.ExchangeResponse, error) {
	response, err := c.Control(address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		c.Drop(address)
		return nil, err
	}
	return response.Msg, nil
}

// Drop forgets the control connections to an address.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	p := c.control[address]
	delete(c.control, address)
	c.mu.Unlock()
	if p != nil {
		p.transport.CloseIdleConnections()
	}
}

// NeverSent says whether an error proves that the other node took nothing of the call,
// for instance since the connection could not be opened at all.
func NeverSent(err error) bool {
	if errors.Is(err, link.ErrNeverTaken) {
		return true
	}
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// TooLarge says whether an error means that the message is larger than one between
// nodes may be.
func TooLarge(err error) bool {
	return errors.Is(err, link.ErrTooLarge) || connect.CodeOf(err) == connect.CodeResourceExhausted
}

// JoinIncarnation names a process of a target together with the node beside it.
func JoinIncarnation(node, target string) string {
	if target == "" {
		return node
	}
	return node + "/" + target
}

// SplitIncarnation is the reverse of JoinIncarnation.
func SplitIncarnation(incarnation string) (node, target string) {
	node, target, _ = strings.Cut(incarnation, "/")
	return node, target
}

// HTTP2 returns the settings of a server, and of connections without pings.
func HTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{MaxConcurrentStreams: streamsPerConnection}
}

// pinged returns the settings of a connection for calls.
func pinged() *http.HTTP2Config {
	settings := HTTP2()
	settings.SendPingTimeout = pingAfter
	settings.PingTimeout = pingTimeout
	return settings
}

// Protocols returns the one protocol between nodes: HTTP/2 without TLS.
func Protocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// HandlerOptions returns the options of the server's side.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression(gzip, nil, nil)}
}

func (c *Client) newPeer(address string, settings *http.HTTP2Config, idleTimeout time.Duration) *peer {
	transport := &http.Transport{
		DialContext:     c.open,
		Protocols:       Protocols(),
		HTTP2:           settings,
		IdleConnTimeout: idleTimeout,
		// The other node compresses nothing, so nothing is asked for.
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
