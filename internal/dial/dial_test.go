package dial_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/dandelionfield/dandelionfield/internal/dial"
)

// Checks the socket options that make the kernel probe a silent connection, and limit how
// long sent bytes may stay unacknowledged.
func TestDialerSetsKeepaliveAndUserTimeout(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	conn, err := dial.Dialer(time.Second).Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	options := map[int]int{}
	is.NoErr(raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPCNT} {
			options[option], _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
		}
	}))
	is.Equal(options, map[int]int{unix.TCP_USER_TIMEOUT: 1500, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPCNT: 2})
}
