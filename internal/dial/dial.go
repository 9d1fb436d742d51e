// Package dial opens connections that do not hang when the other side falls
// silent. What lies between two hosts may lose track of a connection without a
// reset; only the kernel's own probes show that.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle is how long nothing arrives before the other side is probed, and
	// probeCount how many probes in a row may stay unanswered.
	probeIdle  = time.Second
	probeCount = 2
	// ackTimeout is how long bytes may stay unacknowledged, since a connection with
	// such bytes is not probed. An acknowledgement takes milliseconds.
	ackTimeout = 1500 * time.Millisecond
)

// Dialer returns a dialer whose connections break within some two seconds of
// silence, and which gives up opening one after the timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeIdle, Count: probeCount,
		},
		Control: boundAcks,
	}
}

// boundAcks sets the bound on unacknowledged bytes. A socket without it is as good
// as any other until a connection falls silent, so a failure ends nothing.
func boundAcks(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
}
