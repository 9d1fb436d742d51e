package httpd

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// limitedReader reads from a connection and returns io.EOF once the head of a request
// exceeds its limit.
type limitedReader struct {
	raw net.Conn
	// ahead holds the bytes that were read while a request waited, and come next.
	ahead     []byte
	remaining int64
	exceeded  bool
	// readErr is the connection's own error, which a parser may replace by its own.
	readErr error
}

// refusal says why a request could not be read. Status 0 closes the connection without an
// answer.
type refusal struct {
	status int
	reason string
}

// unlimited disables the limit on the bytes read.
const unlimited = int64(1) << 62

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
		r.remaining -= int64(n)
		return n, nil
	}
	n, err := r.raw.Read(p)
	r.remaining -= int64(n)
	r.readErr = err
	return n, err
}

// readAhead reads bytes that the parser has not asked for yet, and returns the connection's
// error.
func (r *limitedReader) readAhead() error {
	var buffer [readBufferBytes]byte
	n, err := r.raw.Read(buffer[:])
	r.ahead = append(r.ahead, buffer[:n]...)
	return err
}

// readRequest reads the next request including its body. It returns neither a request nor
// a refusal if the caller closed the connection or the idle timeout passed.
func (c *conn) readRequest() (*http.Request, *refusal) {
	limits := c.server.Limits()
	c.input.remaining = unlimited
	c.limitIdle(limits.IdleTimeout)
	if _, err := c.reader.Peek(1); err != nil {
		return nil, nil
	}
	c.limitRead(limits.HeaderTimeout)
	c.input.remaining = limits.HeaderBytes
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.headerRefusal(err)
	}
	c.input.remaining = unlimited
	request.RemoteAddr = c.raw.RemoteAddr().String()
	if refused := c.readBody(request, limits); refused != nil {
		return nil, refused
	}
	return request, nil
}

func (c *conn) headerRefusal(err error) *refusal {
	switch {
	case c.input.exceeded:
		return &refusal{http.StatusRequestHeaderFieldsTooLarge, "the header is longer than max_header_bytes"}
	case errors.Is(c.input.readErr, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "the header took longer than header_timeout"}
	case c.input.readErr != nil:
		return nil
	}
	return &refusal{http.StatusBadRequest, err.Error()}
}

// readBody reads the whole body into memory, so that the request can be forwarded with a
// known length.
func (c *conn) readBody(request *http.Request, limits Limits) *refusal {
	if request.ContentLength == 0 {
		request.Body = http.NoBody
		return nil
	}
	if request.ContentLength > limits.BodyBytes {
		return &refusal{http.StatusRequestEntityTooLarge, "the body is longer than max_request_bytes"}
	}
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") && !c.sendContinue() {
		return &refusal{}
	}
	c.limitRead(max(limits.HeaderTimeout, bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(nil, request.Body, limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, "the body is longer than max_request_bytes"}
	case err != nil && errors.Is(c.input.readErr, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "the body took too long"}
	case err != nil && c.input.readErr != nil:
		return &refusal{}
	case err != nil:
		return &refusal{http.StatusBadRequest, err.Error()}
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	request.TransferEncoding = nil
	return nil
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
	_ = c.raw.SetReadDeadline(time.Now().Add(idle))
}

// limitRead limits the time to read a request that has begun to arrive.
func (c *conn) limitRead(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleTimeout = 0
	_ = c.raw.SetReadDeadline(time.Now().Add(timeout))
}
