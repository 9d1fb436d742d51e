package httpd

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
)

// limitedReader reads from a connection and returns io.EOF once the head of a request
// exceeds its limit.
type limitedReader struct {
	raw net.Conn
	// ahead holds the bytes that were read while a request waited, and come next.
	ahead     []byte
	remaining int64
	exceeded  bool
	// aheadRead is called once ahead has been read.
	aheadRead func()
	// reserve takes memory for the bytes of a head; nil while no head is read. refused is set
	// once it has failed.
	reserve func(arrived []byte) error
	refused bool
	// inRequest is set while a head or body is read. readingSince is then when the read in
	// progress began, in Unix nanoseconds, and 0 if there is none.
	inRequest    bool
	readingSince *atomic.Int64
	// readErr is the connection's own error, which a parser may replace by its own.
	readErr error
}

// refusal says why a request could not be read. Status 0 closes the connection without an
// answer.
type refusal struct {
	status int
	reason string
	// request is set if its head was read and there is no memory for its body.
	request *http.Request
}

const (
	// unlimited disables the limit on the bytes read.
	unlimited = int64(1) << 62
	// noMemory is the reason of a refusal for lack of memory.
	noMemory = "the node has no memory left for the request"
)

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		r.exceeded = true
		return 0, io.EOF
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	if len(r.ahead) > 0 {
		n := copy(p, r.ahead)
		r.ahead = r.ahead[n:]
		if len(r.ahead) == 0 {
			r.ahead = nil
			r.aheadRead()
		}
		r.remaining -= int64(n)
		return r.admit(p, n, nil)
	}
	if r.inRequest {
		r.readingSince.Store(time.Now().UnixNano())
	}
	n, err := r.raw.Read(p)
	r.readingSince.Store(0)
	r.remaining -= int64(n)
	r.readErr = err
	return r.admit(p, n, err)
}

// admit returns what was read, or io.EOF if it belongs to a head and there is no memory for
// it.
func (r *limitedReader) admit(p []byte, n int, err error) (int, error) {
	if r.reserve == nil || n == 0 {
		return n, err
	}
	if r.reserve(p[:n]) != nil {
		r.refused = true
		return 0, io.EOF
	}
	return n, err
}

// readAhead reads bytes that the parser has not asked for yet. It returns how many they are,
// and the connection's error.
func (r *limitedReader) readAhead() (int, error) {
	var buffer [readBufferBytes]byte
	n, err := r.raw.Read(buffer[:])
	r.ahead = append(r.ahead, buffer[:n]...)
	return n, err
}

// readRequest reads the next request including its body. It returns neither a request nor
// a refusal if the caller closed the connection or the idle timeout passed.
func (c *conn) readRequest() (*http.Request, *refusal) {
	if !c.awaitRequest() {
		return nil, nil
	}
	c.input.inRequest = true
	defer func() { c.input.inRequest = false }()
	limits := c.server.Limits()
	c.limitRead(limits.HeaderTimeout)
	c.input.remaining = limits.HeaderBytes
	request, err := c.readHead()
	if err != nil {
		return nil, c.headerRefusal(err)
	}
	c.input.remaining = unlimited
	request.RemoteAddr = c.raw.RemoteAddr().String()
	// The limits may have changed while the head arrived.
	if refused := c.readBody(request, c.server.Limits()); refused != nil {
		return nil, refused
	}
	return request, nil
}

// awaitRequest waits for the first byte of the next request. It reports false if the caller
// closed the connection or the idle timeout passed, which may be raised during the wait.
func (c *conn) awaitRequest() bool {
	c.input.remaining = unlimited
	c.limitIdle(c.server.Limits().IdleTimeout)
	for {
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendIdle(c.server.Limits().IdleTimeout) {
			return false
		}
	}
}

// readHead reads the head of a request. It takes memory for each part of the head before
// that is parsed.
func (c *conn) readHead() (*http.Request, error) {
	c.setMemoryClass(nil)
	if err := c.reserve(alloc.HeadCost(0, 0)); err != nil {
		c.input.refused = true
		return nil, err
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.reserveHead(buffered); err != nil {
		c.input.refused = true
		return nil, err
	}
	c.input.reserve = c.reserveHead
	request, err := http.ReadRequest(c.reader)
	c.input.reserve = nil
	if err != nil {
		return nil, err
	}
	c.settleHead(request)
	c.setMemoryClass(request)
	return request, nil
}

func (c *conn) headerRefusal(err error) *refusal {
	switch {
	case c.input.refused:
		return newRefusal(http.StatusServiceUnavailable, noMemory)
	case c.input.exceeded:
		return newRefusal(http.StatusRequestHeaderFieldsTooLarge, "the header is longer than max_header_bytes")
	case errors.Is(c.input.readErr, os.ErrDeadlineExceeded):
		return newRefusal(http.StatusRequestTimeout, "the header took longer than header_timeout")
	case c.input.readErr != nil:
		return nil
	}
	return newRefusal(http.StatusBadRequest, err.Error())
}

// readBody reads the whole body into memory, so that the request can be forwarded with a
// known length.
func (c *conn) readBody(request *http.Request, limits Limits) *refusal {
	if request.ContentLength == 0 {
		request.Body = http.NoBody
		return nil
	}
	if request.ContentLength > limits.BodyBytes {
		return newRefusal(http.StatusRequestEntityTooLarge, "the body is longer than max_request_bytes")
	}
	if expectsContinue(request) && !c.sendContinue() {
		return &refusal{}
	}
	c.limitRead(max(limits.HeaderTimeout, bodyTimeout))
	body, err := c.takeBody(request, limits.BodyBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		return &refusal{status: http.StatusServiceUnavailable, reason: noMemory, request: request}
	case errors.As(err, &tooLarge):
		return newRefusal(http.StatusRequestEntityTooLarge, "the body is longer than max_request_bytes")
	case err != nil && errors.Is(c.input.readErr, os.ErrDeadlineExceeded):
		return newRefusal(http.StatusRequestTimeout, "the body took too long")
	case err != nil && c.input.readErr != nil:
		return &refusal{}
	case err != nil:
		return newRefusal(http.StatusBadRequest, err.Error())
	}
	request.Body = body
	request.TransferEncoding = nil
	return nil
}

// takeBody reads the body of a request to its end and returns the body that Handle gets: the
// bytes in memory, or skippedBody if the head is refused.
func (c *conn) takeBody(request *http.Request, maxBytes int64) (io.ReadCloser, error) {
	limited := http.MaxBytesReader(nil, request.Body, maxBytes)
	if c.server.JudgeHead != nil {
		verdict := c.server.JudgeHead(request)
		c.abandoned = verdict.Abandoned
		if verdict.Refused {
			_, err := io.Copy(io.Discard, limited)
			return skippedBody{}, err
		}
	}
	data, err := c.readAll(limited, request.ContentLength, maxBytes)
	request.ContentLength = int64(len(data))
	return &wholeBody{Reader: bytes.NewReader(data), data: data}, err
}

// abandon reports a request that does not get to Handle although its head was judged.
func (c *conn) abandon() {
	if c.abandoned != nil {
		c.abandoned()
		c.abandoned = nil
	}
}

func newRefusal(status int, reason string) *refusal {
	return &refusal{status: status, reason: reason}
}

// limitIdle limits the wait for the next request. While a request is in flight there is no
// limit: the connection stays open and is read, to notice a caller that disconnects.
func (c *conn) limitIdle(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleTimeout = idle
	if len(c.pipeline) > 0 {
		_ = c.raw.SetReadDeadline(time.Time{})
		return
	}
	c.idleSince.Store(time.Now().UnixNano())
	_ = c.raw.SetReadDeadline(time.Now().Add(idle))
}

// extendIdle replaces an idle timeout that has passed, and reports false if the new one has
// passed as well or the connection was not idle.
func (c *conn) extendIdle(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.idleSince.Load()
	if c.broken || since == 0 {
		return false
	}
	expires := time.Unix(0, since).Add(idle)
	if !expires.After(time.Now()) {
		return false
	}
	c.idleTimeout = idle
	_ = c.raw.SetReadDeadline(expires)
	return true
}

// limitRead limits the time to read a request that has begun to arrive.
func (c *conn) limitRead(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleTimeout = 0
	c.idleSince.Store(0)
	c.readTimeout = timeout
	_ = c.raw.SetReadDeadline(time.Now().Add(timeout))
}

// restartTimeout restarts the timeout of limitRead after a wait during which the connection was
// not read.
func (c *conn) restartTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.broken {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.readTimeout))
	}
}
