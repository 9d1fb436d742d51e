package http1

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
	// conn is one connection. One call at a time uses it.
	conn struct {
		raw net.Conn
		// probe reads without waiting; nil where the connection has no descriptor.
		// look is what it calls, and silent what that found.
		probe  syscall.RawConn
		look   func(descriptor uintptr) bool
		silent bool
		// reader is nil while the connection is idle.
		reader *bufio.Reader
		// refused are the requests that were refused on this connection.
		refused   []string
		idleFor   time.Duration
		idleUntil time.Time
	}

	// body reads the body of an answer.
	body struct {
		conn *conn
		// left is how much of the body, or of the chunk, is to come.
		left    int64
		chunked bool
		// toClose is set for a body that ends with the connection.
		toClose bool
		// first is set until the first chunk has begun.
		first bool
		ended bool
	}
)

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBytes) }}

	// emptyLine ends a head, behind the end of the line before it; some servers leave
	// out the carriage return.
	emptyLine     = []byte("\n\r\n")
	bareEmptyLine = []byte("\n\n")
)

func newConn(raw net.Conn, idleFor time.Duration) *conn {
	c := &conn{raw: raw, idleFor: idleFor}
	if withDescriptor, ok := raw.(syscall.Conn); ok {
		if probe, err := withDescriptor.SyscallConn(); err == nil {
			c.probe = probe
			c.look = c.peek
		}
	}
	return c
}

func (c *conn) close() {
	c.release()
	_ = c.raw.Close()
}

// release gives back the reader.
func (c *conn) release() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
}

func (c *conn) hasRefused(id string) bool {
	return len(c.refused) > 0 && slices.Contains(c.refused, id)
}

// quiet says whether an idle connection is open and has brought nothing. Bytes that came
// before a request was written belong to no request.
func (c *conn) quiet() bool {
	if c.probe == nil {
		return true
	}
	c.silent = false
	err := c.probe.Read(c.look)
	return err == nil && c.silent
}

// peek reads a byte if there is one.
func (c *conn) peek(descriptor uintptr) bool {
	var one [1]byte
	_, err := syscall.Read(int(descriptor), one[:])
	c.silent = errors.Is(err, syscall.EAGAIN)
	return true
}

// reusable says whether a further request may be sent after an answer that was read to
// its end.
func (c *conn) reusable(answer Answer) bool {
	if c.reader.Buffered() > 0 || len(c.refused) > maxRefused {
		return false
	}
	for _, field := range answer.Fields {
		switch {
		case strings.EqualFold(field.Name, "Connection"):
			if containsToken(field.Value, "close") {
				return false
			}
		case strings.EqualFold(field.Name, "Keep-Alive"):
			c.keepAlive(field.Value)
		}
	}
	return c.idleFor > 0
}

// keepAlive takes in for how long the server keeps an idle connection.
func (c *conn) keepAlive(value string) {
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

// readAnswer reads the head of the final answer, behind interim ones.
func (c *conn) readAnswer() (Answer, error) {
	if c.reader == nil {
		c.reader = readers.Get().(*bufio.Reader)
		c.reader.Reset(c.raw)
	}
	left := maxHeadBytes
	for {
		head, err := c.readHead(&left)
		if err != nil {
			return Answer{}, err
		}
		answer, err := parseHead(head)
		if err != nil {
			return Answer{}, err
		}
		if answer.Status >= 200 {
			return answer, nil
		}
		if answer.Status == 101 {
			return Answer{}, ErrMalformed // nobody asked for another protocol
		}
	}
}

// readHead reads up to the empty line that ends a head, and returns it without that line.
func (c *conn) readHead(left *int) (string, error) {
	if head, ok := c.bufferedHead(left); ok {
		return head, nil
	}
	var head []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		*left -= len(line)
		if *left < 0 {
			return "", ErrHeadTooLong
		}
		head = append(head, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return "", unexpected(err)
		}
		if endsHead(head) {
			return string(head), nil
		}
	}
}

// bufferedHead returns a head that came in one piece, as nearly all do, without copying
// it line by line.
func (c *conn) bufferedHead(left *int) (string, bool) {
	if _, err := c.reader.Peek(1); err != nil {
		return "", false
	}
	come, _ := c.reader.Peek(c.reader.Buffered())
	end := bytes.Index(come, emptyLine)
	if end < 0 || end+len(emptyLine) > *left || bytes.Contains(come[:end+1], bareEmptyLine) {
		return "", false
	}
	head := string(come[:end+len(emptyLine)])
	*left -= len(head)
	_, _ = c.reader.Discard(len(head))
	return head, true
}

// endsHead says whether the last line is empty.
func endsHead(head []byte) bool {
	return bytes.HasSuffix(head, emptyLine) || bytes.HasSuffix(head, bareEmptyLine)
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// bodyOf says where the body of an answer ends.
func (c *conn) bodyOf(method string, answer Answer) (body, error) {
	b := body{conn: c}
	switch {
	case method == "HEAD", answer.Status == 204, answer.Status == 304:
		b.ended = true
		return b, nil
	case answer.Fields.Has("Transfer-Encoding"):
		if answer.Length >= 0 || !onlyChunked(answer.Fields) {
			return b, ErrMalformed
		}
		b.chunked = true
		b.first = true
		return b, nil
	case answer.Length >= 0:
		b.left = answer.Length
		b.ended = b.left == 0
		return b, nil
	}
	b.toClose = true
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
	if b.toClose {
		n, err := b.conn.reader.Read(p)
		if errors.Is(err, io.EOF) {
			// The connection has ended with the body and carries nothing further.
			b.ended = true
			b.conn.idleFor = 0
		}
		return n, err
	}
	if b.chunked && b.left == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.conn.reader.Read(p)
	b.left -= int64(n)
	if b.left == 0 && !b.chunked {
		b.ended = true
		return n, nil
	}
	return n, unexpected(err)
}

// nextChunk reads the line before a chunk, and behind the last one the trailer, after
// which it returns io.EOF.
func (b *body) nextChunk() error {
	if !b.first {
		if line, err := b.line(); err != nil || line != "" {
			return orMalformed(err)
		}
	}
	b.first = false
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
		b.left = int64(length)
		return nil
	}
	for left := maxHeadBytes; left > 0; left -= len(line) + 2 {
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

// line reads one line without its end.
func (b *body) line() (string, error) {
	line, err := b.conn.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > maxLineBytes {
		return "", ErrMalformed
	}
	if err != nil {
		return "", unexpected(err)
	}
	return string(bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))), nil
}
