package bench

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// quietPeriod is how long a test waits for bytes that must not arrive.
	quietPeriod = 50 * time.Millisecond
	// readTimeout fails a test whose bytes do not arrive.
	readTimeout = 5 * time.Second
)

// wirePair is a wire with the connections that arrive at its destination.
type wirePair struct {
	wire    *Wire
	address string
	arrived chan net.Conn
}

func newWirePair(t *testing.T) *wirePair {
	t.Helper()
	is := is.New(t)
	far, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	near, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p := &wirePair{
		wire:    NewWire(WireConfig{To: far.Addr().String(), Hosts: map[string]string{"127.0.0.2": "orders-1"}}),
		address: near.Addr().String(),
		arrived: make(chan net.Conn, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = far.Close()
	})
	go func() {
		for conn, err := far.Accept(); err == nil; conn, err = far.Accept() {
			p.arrived <- conn
		}
	}()
	go func() { _ = p.wire.forward(ctx, near) }()
	return p
}

// open dials through the wire and returns both ends of the connection.
func (p *wirePair) open(t *testing.T) (near, far net.Conn) {
	t.Helper()
	return p.openFrom(t, "127.0.0.1")
}

func (p *wirePair) openFrom(t *testing.T, ip string) (near, far net.Conn) {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	near, err := dialer.Dial("tcp", p.address)
	is.New(t).NoErr(err)
	far = <-p.arrived
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	// A byte in each direction shows that the wire forwards both.
	passes(t, near, far)
	passes(t, far, near)
	return near, far
}

func passes(t *testing.T, from, to net.Conn) {
	t.Helper()
	send(t, from)
	receive(t, to)
}

func send(t *testing.T, from net.Conn) {
	t.Helper()
	_, err := from.Write([]byte{1})
	is.New(t).NoErr(err)
}

func receive(t *testing.T, to net.Conn) {
	t.Helper()
	is := is.New(t)
	is.NoErr(to.SetReadDeadline(time.Now().Add(readTimeout)))
	_, err := io.ReadFull(to, make([]byte, 1))
	is.NoErr(err)
}

// holds sends a byte and requires that neither the byte nor an end of the connection
// arrives.
func holds(t *testing.T, from, to net.Conn) {
	t.Helper()
	is := is.New(t)
	send(t, from)
	is.NoErr(to.SetReadDeadline(time.Now().Add(quietPeriod)))
	_, err := to.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // a byte or an end of the connection arrived
}

// ends reports whether a connection ends without any further byte.
func ends(t *testing.T, conn net.Conn) bool {
	t.Helper()
	is.New(t).NoErr(conn.SetReadDeadline(time.Now().Add(readTimeout)))
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func TestWireHoldsOneDirection(t *testing.T) {
	is := is.New(t)
	p := newWirePair(t)
	near, far := p.open(t)
	p.wire.SetFaults(WireFaults{SilentTo: true})
	holds(t, near, far)
	passes(t, far, near)
	p.wire.SetFaults(WireFaults{SilentFrom: true})
	receive(t, far) // the byte that was held back arrives late
	holds(t, far, near)
	passes(t, near, far)
	is.Equal(p.wire.Stats(), WireStats{Opened: 1, Open: 1, Silenced: 1})
	p.wire.SetFaults(WireFaults{})
	receive(t, near)
}

func TestWireHoldsOpenConnectionsOnly(t *testing.T) {
	is := is.New(t)
	p := newWirePair(t)
	near, far := p.open(t)
	p.wire.SetFaults(WireFaults{SilentTo: true, SilentFrom: true, OpenOnly: true})
	p.open(t)
	holds(t, near, far)
	holds(t, far, near)
	is.Equal(p.wire.Stats(), WireStats{Opened: 2, Open: 2, Silenced: 1})
}

func TestWireTellsHostsApart(t *testing.T) {
	p := newWirePair(t)
	near, far := p.openFrom(t, "127.0.0.2")
	otherNear, otherFar := p.open(t)
	p.wire.SetFaults(WireFaults{SilentTo: true, From: []string{"orders-1"}})
	holds(t, near, far)
	passes(t, otherNear, otherFar)
	p.open(t)
}

func TestWireHoldsTheEndOfAConnection(t *testing.T) {
	is := is.New(t)
	p := newWirePair(t)
	near, far := p.open(t)
	p.wire.SetFaults(WireFaults{SilentTo: true, SilentFrom: true})
	is.NoErr(near.Close())
	is.NoErr(far.SetReadDeadline(time.Now().Add(quietPeriod)))
	_, err := far.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // the end of the connection arrived
	p.wire.SetFaults(WireFaults{})
	is.True(ends(t, far))
}

func TestCutWireResets(t *testing.T) {
	is := is.New(t)
	p := newWirePair(t)
	near, far := p.open(t)
	p.wire.SetFaults(WireFaults{SilentTo: true})
	holds(t, near, far)
	p.wire.SetFaults(WireFaults{Cut: true})
	is.True(ends(t, near))
	is.True(ends(t, far)) // the held byte arrived, or the connection is still open
	// The reset of a new connection may arrive before the dial has returned.
	again, err := net.Dial("tcp", p.address)
	if err == nil {
		is.True(ends(t, again)) // a new connection was not reset
		_ = again.Close()
	}
	p.wire.SetFaults(WireFaults{})
	p.open(t)
}
