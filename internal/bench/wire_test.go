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

// wireFixture is a wire with the connections that arrive at its destination.
type wireFixture struct {
	wire     *Wire
	address  string
	accepted chan net.Conn
}

func newWireFixture(t *testing.T) *wireFixture {
	t.Helper()
	is := is.New(t)
	far, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	near, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	f := &wireFixture{
		wire:     NewWire(WireConfig{To: far.Addr().String(), Hosts: map[string]string{"127.0.0.2": "orders-1"}}),
		address:  near.Addr().String(),
		accepted: make(chan net.Conn, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = far.Close()
	})
	go func() {
		for conn, err := far.Accept(); err == nil; conn, err = far.Accept() {
			f.accepted <- conn
		}
	}()
	go func() { _ = f.wire.forward(ctx, near) }()
	return f
}

// open dials through the wire and returns both ends of the connection.
func (f *wireFixture) open(t *testing.T) (near, far net.Conn) {
	t.Helper()
	return f.openFrom(t, "127.0.0.1")
}

func (f *wireFixture) openFrom(t *testing.T, ip string) (near, far net.Conn) {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	near, err := dialer.Dial("tcp", f.address)
	is.New(t).NoErr(err)
	far = <-f.accepted
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	// A byte in each direction shows that the wire forwards both.
	requirePassed(t, near, far)
	requirePassed(t, far, near)
	return near, far
}

func requirePassed(t *testing.T, from, to net.Conn) {
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

// requireHeldBack sends a byte and requires that neither the byte nor an end of the
// connection arrives.
func requireHeldBack(t *testing.T, from, to net.Conn) {
	t.Helper()
	is := is.New(t)
	send(t, from)
	is.NoErr(to.SetReadDeadline(time.Now().Add(quietPeriod)))
	_, err := to.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // a byte or an end of the connection arrived
}

// endsWithoutData reports whether a connection ends without any further byte.
func endsWithoutData(t *testing.T, conn net.Conn) bool {
	t.Helper()
	is.New(t).NoErr(conn.SetReadDeadline(time.Now().Add(readTimeout)))
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func TestWireHoldsBackOneDirection(t *testing.T) {
	is := is.New(t)
	fixture := newWireFixture(t)
	near, far := fixture.open(t)
	fixture.wire.SetFaults(WireFaults{SilentTo: true})
	requireHeldBack(t, near, far)
	requirePassed(t, far, near)
	fixture.wire.SetFaults(WireFaults{SilentFrom: true})
	receive(t, far) // the byte that was held back arrives late
	requireHeldBack(t, far, near)
	requirePassed(t, near, far)
	is.Equal(fixture.wire.Stats(), WireStats{Opened: 1, Open: 1, Silenced: 1})
	fixture.wire.SetFaults(WireFaults{})
	receive(t, near)
}

func TestWireOpenOnlySparesNewConnections(t *testing.T) {
	is := is.New(t)
	fixture := newWireFixture(t)
	near, far := fixture.open(t)
	fixture.wire.SetFaults(WireFaults{SilentTo: true, SilentFrom: true, OpenOnly: true})
	fixture.open(t)
	requireHeldBack(t, near, far)
	requireHeldBack(t, far, near)
	is.Equal(fixture.wire.Stats(), WireStats{Opened: 2, Open: 2, Silenced: 1})
}

func TestWireFaultsBySourceHost(t *testing.T) {
	fixture := newWireFixture(t)
	near, far := fixture.openFrom(t, "127.0.0.2")
	otherNear, otherFar := fixture.open(t)
	fixture.wire.SetFaults(WireFaults{SilentTo: true, From: []string{"orders-1"}})
	requireHeldBack(t, near, far)
	requirePassed(t, otherNear, otherFar)
	fixture.open(t)
}

func TestWireHoldsBackClose(t *testing.T) {
	is := is.New(t)
	fixture := newWireFixture(t)
	near, far := fixture.open(t)
	fixture.wire.SetFaults(WireFaults{SilentTo: true, SilentFrom: true})
	is.NoErr(near.Close())
	is.NoErr(far.SetReadDeadline(time.Now().Add(quietPeriod)))
	_, err := far.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // the end of the connection arrived
	fixture.wire.SetFaults(WireFaults{})
	is.True(endsWithoutData(t, far))
}

func TestWireCutResetsConnections(t *testing.T) {
	is := is.New(t)
	fixture := newWireFixture(t)
	near, far := fixture.open(t)
	fixture.wire.SetFaults(WireFaults{SilentTo: true})
	requireHeldBack(t, near, far)
	fixture.wire.SetFaults(WireFaults{Cut: true})
	is.True(endsWithoutData(t, near))
	is.True(endsWithoutData(t, far)) // the held byte arrived, or the connection is still open
	// The reset of a new connection may arrive before the dial has returned.
	again, err := net.Dial("tcp", fixture.address)
	if err == nil {
		is.True(endsWithoutData(t, again)) // a new connection was not reset
		_ = again.Close()
	}
	fixture.wire.SetFaults(WireFaults{})
	fixture.open(t)
}
