package httpc

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// conn is one connection, which carries one call at a time.
	conn struct {
		raw net.Conn
		// rawConn is used to read without blocking; nil if the connection has no file
		// descriptor. readProbe is the probe method as a function value, and wouldBlock
		// its result.
		rawConn    syscall.RawConn
		readProbe  func(descriptor uintptr) bool
		wouldBlock bool
		// reader is nil while the connection is idle.
		reader *bufio.Reader
		// refused are the IDs of the requests that were refused on this connection.
		refused []string
		// idleFor is how long the connection may stay idle after a call; 0 prevents its
		// reuse. idleUntil is when the current idle time ends.
		idleFor   time.Duration
		idleUntil time.Time
	}

	// body reads the body of a response.
	body struct {
		conn *conn
		// upload is the write of a large request, nil for others.
		upload *upload
		// remaining is the number of bytes of the body, or of the current chunk, still to
		// be read.
		remaining int64
		chunked   bool
		// untilClose is set for a body that ends when the connection is closed.
		untilClose bool
		// firstChunk is set until the first chunk has been reached.
		firstChunk bool
		ended      bool
	}
)

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

	// emptyLine ends a head, together with the line break before it. Some servers leave
	// out the carriage returns.
	emptyLine     = []byte("\n\r\n")
	bareEmptyLine = []byte("\n\n")
)

func newConn(raw net.Conn, idleFor time.Duration) *conn {
	c := &conn{raw: raw, idleFor: idleFor}
	if withDescriptor, ok := raw.(syscall.Conn); ok {
		if rawConn, err := withDescriptor.SyscallConn(); err == nil {
			c.rawConn = rawConn
			c.readProbe = c.probe
		}
	}
	return c
}

func (c *conn) close() {
	c.release()
	_ = c.raw.Close()
}

// release returns the reader to the pool.
func (c *conn) release() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	readerPool.Put(c.reader)
	c.reader = nil
}

func (c *conn) hasRefused(id string) bool {
	return len(c.refused) > 0 && slices.Contains(c.refused, id)
}

// stillIdle reports whether an idle connection is open and has received nothing. Bytes
// that arrive before a request is written belong to no request.
func (c *conn) stillIdle() bool {
	if c.rawConn == nil {
		return true
	}
	c.wouldBlock = false
	err := c.rawConn.Read(c.readProbe)
	return err == nil && c.wouldBlock
}

// probe tries to read one byte without blocking. It sets wouldBlock if the connection is
// open and has no byte to read.
func (c *conn) probe(descriptor uintptr) bool {
	var one [1]byte
	_, err := syscall.Read(int(descriptor), one[:])
	c.wouldBlock = errors.Is(err, syscall.EAGAIN)
	return true
}

// reusable reports whether another request may be sent after a response that was read to
// its end.
func (c *conn) reusable(response Response) bool {
	if c.reader.Buffered() > 0 || len(c.refused) > maxRefused {
		return false
	}
	for _, field := range response.Fields {
		switch {
		case strings.EqualFold(field.Name, "Connection"):
			if containsToken(field.Value, "close") {
				return false
			}
		case strings.EqualFold(field.Name, "Keep-Alive"):
			c.applyKeepAlive(field.Value)
		}
	}
	return c.idleFor > 0
}

// applyKeepAlive shortens idleFor to the time for which the server keeps an idle
// connection, less idleMargin.
func (c *conn) applyKeepAlive(value string) {
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 && seconds < int(c.idleFor/time.Second)+2 {
			c.idleFor = min(c.idleFor, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}

func containsToken(list, token string) bool {
	for part := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(part), token) {
			return true
		}
	}
	return false
}

// readResponse reads the head of the final response and skips interim ones.
func (c *conn) readResponse() (Response, error) {
	if c.reader == nil {
		c.reader = readerPool.Get().(*bufio.Reader)
		c.reader.Reset(c.raw)
	}
	remaining := maxHeadBytes
	for {
		head, err := c.readHead(&remaining)
		if err != nil {
			return Response{}, err
		}
		response, err := parseHead(head)
		if err != nil {
			return Response{}, err
		}
		if response.Status >= 200 {
			return response, nil
		}
		if response.Status == 101 {
			return Response{}, ErrMalformed // the request has no Upgrade field
		}
	}
}

// readHead reads a head up to and including the empty line that ends it.
func (c *conn) readHead(remaining *int) (string, error) {
	if head, ok := c.bufferedHead(remaining); ok {
		return head, nil
	}
	var head []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		*remaining -= len(line)
		if *remaining < 0 {
			return "", ErrHeadTooLong
		}
		head = append(head, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return "", unexpectedEOF(err)
		}
		if endsHead(head) {
			return string(head), nil
		}
	}
}

// bufferedHead returns a head that is in the buffer as a whole, as nearly all are,
// without copying it line by line.
func (c *conn) bufferedHead(remaining *int) (string, bool) {
	if _, err := c.reader.Peek(1); err != nil {
		return "", false
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	end := bytes.Index(buffered, emptyLine)
	if end < 0 || end+len(emptyLine) > *remaining || bytes.Contains(buffered[:end+1], bareEmptyLine) {
		return "", false
	}
	head := string(buffered[:end+len(emptyLine)])
	*remaining -= len(head)
	_, _ = c.reader.Discard(len(head))
	return head, true
}

// endsHead reports whether the last line is empty.
func endsHead(head []byte) bool {
	return bytes.HasSuffix(head, emptyLine) || bytes.HasSuffix(head, bareEmptyLine)
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// newBody returns the reader of the response's body, which determines where the body
// ends.
func (c *conn) newBody(method string, response Response, upload *upload) (body, error) {
	b := body{conn: c, upload: upload}
	switch {
	case method == "HEAD", response.Status == 204, response.Status == 304:
		b.ended = true
		return b, nil
	case response.Fields.Has("Transfer-Encoding"):
		if response.Length >= 0 || !onlyChunked(response.Fields) {
			return b, ErrMalformed
		}
		b.chunked = true
		b.firstChunk = true
		return b, nil
	case response.Length >= 0:
		b.remaining = response.Length
		b.ended = b.remaining == 0
		return b, nil
	}
	b.untilClose = true
	return b, nil
}

func onlyChunked(fields Fields) bool {
	count := 0
	for _, field := range fields {
		if strings.EqualFold(field.Name, "Transfer-Encoding") {
			count++
			if !strings.EqualFold(strings.TrimSpace(field.Value), "chunked") {
				return false
			}
		}
	}
	return count == 1
}

func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	if len(p) == 0 {
		return 0, nil
	}
	if b.untilClose {
		return b.readUntilClose(p)
	}
	if b.chunked && b.remaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.conn.reader.Read(p)
	b.remaining -= int64(n)
	if b.remaining == 0 && !b.chunked {
		b.ended = true
		return n, nil
	}
	return n, unexpectedEOF(err)
}

// readUntilClose reads from a body that is complete once the server has ended the
// connection in order. Only the upload may know that it has not.
func (b *body) readUntilClose(p []byte) (int, error) {
	n, err := b.conn.reader.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := b.upload.abort(); err != nil {
		return n, err
	}
	// The connection has ended with the body and carries nothing further.
	b.ended = true
	b.conn.idleFor = 0
	return n, io.EOF
}

// nextChunk reads the line before a chunk. After the last chunk it reads the trailer
// section and returns io.EOF.
func (b *body) nextChunk() error {
	if !b.firstChunk {
		if line, err := b.line(); err != nil || line != "" {
			return orMalformed(err)
		}
	}
	b.firstChunk = false
	line, err := b.line()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	length, err := strconv.ParseUint(strings.TrimSpace(size), 16, 63)
	if err != nil {
		return ErrMalformed
	}
	if length > 0 {
		b.remaining = int64(length)
		return nil
	}
	for remaining := maxHeadBytes; remaining > 0; remaining -= len(line) + 2 {
		if line, err = b.line(); err != nil {
			return err
		}
		if line == "" {
			b.ended = true
			return io.EOF
		}
	}
	return ErrHeadTooLong
}

func orMalformed(err error) error {
	if err != nil {
		return err
	}
	return ErrMalformed
}

// line reads one line and returns it without its line break.
func (b *body) line() (string, error) {
	line, err := b.conn.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > maxLineBytes {
		return "", ErrMalformed
	}
	if err != nil {
		return "", unexpectedEOF(err)
	}
	return string(bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))), nil
}
