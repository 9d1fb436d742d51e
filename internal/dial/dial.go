// Package dial opens TCP connections that fail soon after the peer falls silent. A device
// between two hosts may lose the state of a connection without sending a reset; only the
// kernel's keep-alive probes detect that.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle is how long nothing may arrive before the peer is probed, and the time
	// between two probes. probeCount is how many probes in a row may go unanswered.
	probeIdle  = time.Second
	probeCount = 2
	// ackTimeout is how long sent bytes may stay unacknowledged, since the kernel does
	// not probe a connection with such bytes. An acknowledgement normally takes
	// milliseconds.
	ackTimeout = 1500 * time.Millisecond
)

// Dialer returns a dialer whose connections fail after about two seconds of silence. The
// timeout limits the opening of a connection.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeIdle, Count: probeCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout limits how long sent bytes may stay unacknowledged. Its errors are
// ignored: a socket without the limit works until the peer falls silent.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
}
