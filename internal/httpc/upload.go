package httpc

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// upload is the write of a request by a goroutine of its own, while the response is read.
// A nil upload stands for a request that was written before the response was read.
type upload struct {
	raw net.Conn
	// done is closed once the write has ended. err is set before.
	done chan struct{}
	err  error
}

func startUpload(raw net.Conn, parts net.Buffers) *upload {
	u := &upload{raw: raw, done: make(chan struct{})}
	go func() {
		_, u.err = parts.WriteTo(raw)
		close(u.done)
	}()
	return u
}

// complete reports whether the whole request has been written.
func (u *upload) complete() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// abort ends the write after the end of the connection was read. It returns the error by
// which the connection broke, nil if the server ended it in order.
//
// The kernel reports the error of a connection once, to a read or to a write, and later
// reads return io.EOF as after an orderly end. If the server resets the connection after an
// orderly end, the write fails with EPIPE in place of ECONNRESET.
func (u *upload) abort() error {
	if u == nil {
		return nil
	}
	_ = u.raw.SetWriteDeadline(expired)
	<-u.done
	if errors.Is(u.err, os.ErrDeadlineExceeded) || errors.Is(u.err, syscall.EPIPE) {
		return nil
	}
	return u.err
}
