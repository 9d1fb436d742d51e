package httpd

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/gctune"
)

// wholeBody is a body that has been read completely.
type wholeBody struct {
	*bytes.Reader
	data []byte
}

const (
	// memoryWait is how long a request waits for memory before it is refused. It is longer
	// than minStall, so that stalled connections are closed before a request is refused.
	memoryWait = 2 * time.Second
	// firstBodyBytes is the memory for a body before any of it has arrived. It grows with what
	// arrives, so that announcing a size takes no memory.
	firstBodyBytes = 16 << 10
	// bodyGrowth is the factor by which the memory for a body grows. While it is copied, both
	// copies are held.
	bodyGrowth = 4
)

// skippedBody replaces a body that was discarded. Reads of it return ErrSkipped.
type skippedBody struct{}

// ErrSkipped is returned by reads of a body that was discarded because the head of its request
// was refused.
var ErrSkipped = errors.New("httpd: the body was not kept")

var errNoMemory = errors.New("httpd: no memory for the request")

// Close implements io.Closer.
func (b *wholeBody) Close() error {
	return nil
}

func (skippedBody) Read([]byte) (int, error) {
	return 0, ErrSkipped
}

// Close implements io.Closer.
func (skippedBody) Close() error {
	return nil
}

// WholeBody returns the body of a request that Handle was called with, without copying it,
// and false if the body is not known to be in memory.
func WholeBody(request *http.Request) ([]byte, bool) {
	body, ok := request.Body.(*wholeBody)
	if !ok {
		return nil, false
	}
	return body.data, true
}

// reserve takes memory for the request that is being read, and waits for it if need be. The
// connection is not read meanwhile, which holds the caller back.
func (c *conn) reserve(bytes int64) error {
	memory := c.server.Memory
	if memory.Take(c.account.Load(), bytes) {
		return nil
	}
	c.waitingSince.Store(time.Now().UnixNano())
	defer c.waitingSince.Store(0)
	ctx, cancel := context.WithTimeout(c.ctx, memoryWait)
	defer cancel()
	if !memory.Reserve(ctx, c.account.Load(), bytes, c.server.closeStalled) {
		return errNoMemory
	}
	c.restartTimeout()
	return nil
}

// setMemoryClass sets the class of the memory that is taken from now on for the request that is
// being read, of which nil means that its head is not known yet.
func (c *conn) setMemoryClass(request *http.Request) {
	if c.server.MemoryClass != nil {
		c.server.Memory.SetClass(c.account.Load(), c.server.MemoryClass(c.raw, request))
	}
}

// reserveHead takes memory for bytes of a head that arrived. It is called before they are
// parsed, because the parser keeps what it has read of a head that is never completed.
func (c *conn) reserveHead(arrived []byte) error {
	return c.reserve(alloc.LinesCost(len(arrived), bytes.Count(arrived, []byte("\n"))))
}

// settleHead returns the memory that was taken beyond the cost of the head, since the bytes
// that arrived may include a part of what follows the head.
func (c *conn) settleHead(request *http.Request) {
	length, lines := len(request.RequestURI)+len(request.Host), 0
	for name, values := range request.Header {
		lines += len(values)
		for _, value := range values {
			length += len(name) + len(value)
		}
	}
	surplus := c.server.Memory.Bytes(c.account.Load()) - alloc.HeadCost(length, lines)
	if surplus > 0 {
		c.server.Memory.Return(c.account.Load(), surplus)
	}
}

// readAll reads a body of the given length, -1 if it is unknown, into memory that is taken
// as the body arrives.
func (c *conn) readAll(body io.Reader, length, maxBytes int64) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			var err error
			if buffer, err = c.growBody(buffer, length, maxBytes); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// growBody returns the buffer of a body with a larger capacity. One byte more than the body
// may have is enough to notice its end.
func (c *conn) growBody(buffer []byte, length, maxBytes int64) ([]byte, error) {
	former := int64(cap(buffer))
	next := max(firstBodyBytes, bodyGrowth*former)
	if length >= 0 {
		next = min(next, length+1)
	}
	if next >= maxBytes {
		next = maxBytes + 1
	}
	if err := c.reserve(next); err != nil {
		return nil, err
	}
	gctune.BeforeAllocating(next)
	grown := make([]byte, len(buffer), next)
	copy(grown, buffer)
	c.server.Memory.Return(c.account.Load(), former)
	return grown, nil
}

// heldBytes returns what the connection holds for the request that is being read and for
// answers that have not been sent.
func (c *conn) heldBytes() int64 {
	return c.server.Memory.Bytes(c.account.Load()) + c.unsent.Load()
}

// releaseReading releases what the request holds that was being read.
func (c *conn) releaseReading() {
	c.server.Memory.Release(c.account.Load())
	c.server.Memory.Release(&c.aheadAccount)
}

// releaseAhead releases what was read ahead once it has been parsed.
func (c *conn) releaseAhead() {
	memory := c.server.Memory
	memory.Return(&c.aheadAccount, memory.Bytes(&c.aheadAccount))
}

// expectsContinue reports whether the caller waits for the response 100 Continue
// before it sends the body.
func expectsContinue(request *http.Request) bool {
	return strings.EqualFold(request.Header.Get("Expect"), "100-continue")
}
