package ahead

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

// metered reads from a connection and fails once a request's head is longer
// than it may be.
type metered struct {
	raw  net.Conn
	left int64
	full bool
	// failed is the connection's own error, which a parser may hide behind its own.
	failed error
}

// refusal is why a request could not be read.
type refusal struct {
	status int
	reason string
}

// unmetered stands for no bound on what is read.
const unmetered = int64(1) << 62

func (m *metered) Read(p []byte) (int, error) {
	if m.left <= 0 {
		m.full = true
		return 0, io.EOF
	}
	if int64(len(p)) > m.left {
		p = p[:m.left]
	}
	n, err := m.raw.Read(p)
	m.left -= int64(n)
	m.failed = err
	return n, err
}

// read takes the next request whole. It returns neither a request nor a refusal
// when the caller has closed the connection or let it idle.
func (c *conn) read() (*http.Request, *refusal) {
	bounds := c.server.Bounds()
	c.source.left = unmetered
	c.awaitNext(bounds.IdleTimeout)
	if _, err := c.reader.Peek(1); err != nil {
		return nil, nil
	}
	c.begin(bounds.HeaderTimeout)
	c.source.left = bounds.HeaderBytes
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.headRefusal(err)
	}
	c.source.left = unmetered
	request.RemoteAddr = c.raw.RemoteAddr().String()
	if refused := c.readBody(request, bounds); refused != nil {
		return nil, refused
	}
	return request, nil
}

func (c *conn) headRefusal(err error) *refusal {
	switch {
	case c.source.full:
		return &refusal{http.StatusRequestHeaderFieldsTooLarge, "the header is longer than max_header_bytes"}
	case errors.Is(c.source.failed, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "the header took longer than header_timeout"}
	case c.source.failed != nil:
		return nil
	}
	return &refusal{http.StatusBadRequest, err.Error()}
}

// readBody takes the body into memory, so that the request can be handed on whole.
func (c *conn) readBody(request *http.Request, bounds Bounds) *refusal {
	if request.ContentLength == 0 {
		request.Body = http.NoBody
		return nil
	}
	if request.ContentLength > bounds.BodyBytes {
		return &refusal{http.StatusRequestEntityTooLarge, "the body is longer than max_request_bytes"}
	}
	c.begin(max(bounds.HeaderTimeout, bodyTimeout))
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		c.promptBody()
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, request.Body, bounds.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, "the body is longer than max_request_bytes"}
	case err != nil && errors.Is(c.source.failed, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "the body took too long"}
	case err != nil && c.source.failed != nil:
		return &refusal{}
	case err != nil:
		return &refusal{http.StatusBadRequest, err.Error()}
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	request.TransferEncoding = nil
	return nil
}

// awaitNext bounds the wait for the next request, unless one is under way: then
// the connection stays open, and is read to notice that the caller leaves.
func (c *conn) awaitNext(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	if len(c.line) > 0 {
		_ = c.raw.SetReadDeadline(time.Time{})
		return
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(idle))
}

// begin bounds the reading of a request that has begun to arrive.
func (c *conn) begin(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = 0
	_ = c.raw.SetReadDeadline(time.Now().Add(timeout))
}
