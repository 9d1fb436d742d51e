package httpd

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/gopool"
)

type (
	// conn is one connection of a caller.
	conn struct {
		server *Server
		raw    net.Conn
		input  *limitedReader
		reader *bufio.Reader
		ctx    context.Context
		cancel context.CancelFunc
		// evicted is set once the server has closed the connection to make room.
		evicted atomic.Bool
		// account counts the memory that the request being read holds.
		account atomic.Pointer[alloc.Account]
		// aheadAccount counts the memory of the bytes that were read ahead.
		aheadAccount alloc.Account
		// abandoned is called if the request that is being read does not get to Handle. nil
		// means that there is nothing to call.
		abandoned func()
		// readTimeout is the time that the current head or body may take to arrive.
		readTimeout time.Duration
		// waitingSince is when the request that is being read began to wait for memory, in Unix
		// nanoseconds, and 0 if it does not wait.
		waitingSince atomic.Int64
		// readingSince is when a read of a head or body began that has not ended, and
		// idleSince when the connection became idle, in Unix nanoseconds. Each is 0 if that is
		// not the case.
		readingSince atomic.Int64
		idleSince    atomic.Int64

		mu sync.Mutex
		// pipeline holds the requests whose answers have not been written yet, in the
		// order of their arrival.
		pipeline []*pendingRequest
		// unsent is the size of the bodies in the pipeline that are ready. It changes only
		// while mu is held.
		unsent atomic.Int64
		// answers counts the memory of these bodies in Server.Memory.
		answers alloc.Account
		// sendingSince is when the write in progress began, in Unix nanoseconds, and 0 if
		// there is none.
		sendingSince atomic.Int64
		// advanced is signalled when the pipeline becomes shorter.
		advanced *sync.Cond
		// readingAhead is set while the reader waits for the pipeline in a read.
		readingAhead bool
		// writing is set while one goroutine writes answers.
		writing bool
		broken  bool
		// ended is set once the caller has disconnected or the last request was read and
		// answered.
		ended bool
		// writeClosed is set once the last answer has been written.
		writeClosed bool
		// idleTimeout limits the wait for the next request. It is 0 while a request is
		// being read.
		idleTimeout time.Duration
	}

	// pendingRequest is one request in the pipeline.
	pendingRequest struct {
		answer *Answer
		done   bool
		// closeAfter is set if the connection closes after this answer.
		closeAfter bool
		// headOnly is set for a HEAD request.
		headOnly bool
	}
)

const (
	// maxPipelined limits the unanswered requests of one connection, and maxPipelinedBytes
	// the answers that wait to be sent before another request is read.
	maxPipelined      = 32
	maxPipelinedBytes = 1 << 20
	// maxReadAheadBytes limits what is read of a connection while its next request waits.
	maxReadAheadBytes = 64 << 10
	// bodyTimeout is the least time that a caller is given to send a body.
	bodyTimeout = 10 * time.Second
	// writeTimeout limits how long a caller may read nothing of an answer, which is sent in
	// parts of writePartBytes.
	writeTimeout   = 10 * time.Second
	writePartBytes = 64 << 10
	// lingerTimeout is how long the connection is read after its last answer. Closing a
	// connection with unread bytes would reset it, and the caller could lose that answer.
	lingerTimeout = time.Second
	// acceptPause is the wait after an accept that failed for lack of file descriptors.
	acceptPause = 20 * time.Millisecond
	// readBufferBytes is the memory for bytes that have been received and not parsed.
	readBufferBytes = 4 << 10
	// headCapacity is the memory, in bytes, that is allocated for the head of an answer.
	headCapacity = 512
)

func newConn(server *Server, raw net.Conn) *conn {
	c := &conn{server: server, raw: raw}
	c.input = &limitedReader{raw: raw, readingSince: &c.readingSince, aheadRead: c.releaseAhead}
	c.account.Store(&alloc.Account{})
	c.reader = bufio.NewReaderSize(c.input, readBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.advanced = sync.NewCond(&c.mu)
	return c
}

// run reads requests until the caller disconnects or the connection is to be closed.
func (c *conn) run() {
	defer c.server.remove(c)
	defer func() { _ = c.raw.Close() }()
	defer c.cancelRequests()
	defer c.releaseReading()
	for {
		request, refused := c.readRequest()
		if request == nil {
			c.abandon()
			if refused != nil && refused.status != 0 {
				c.refuse(refused)
				c.discardInput()
			}
			return
		}
		if c.start(request) {
			c.discardInput()
			return
		}
	}
}

// start runs a request and reports whether it is the last of its connection. A request
// that is not safe waits until all requests before it are answered. It does not run if the
// caller disconnects meanwhile.
func (c *conn) start(request *http.Request) bool {
	account := c.account.Swap(&alloc.Account{})
	c.mu.Lock()
	c.awaitPipeline(func() bool { return c.mustWait(request) })
	if c.broken {
		c.mu.Unlock()
		c.abandon()
		c.server.Memory.Release(account)
		return true
	}
	c.abandoned = nil
	c.server.Memory.Serve(account)
	last := request.Close || c.server.noKeepAlive.Load() || !request.ProtoAtLeast(1, 1)
	p := &pendingRequest{closeAfter: last, headOnly: request.Method == http.MethodHead}
	c.pipeline = append(c.pipeline, p)
	c.mu.Unlock()
	c.server.lastArrival.Store(time.Now().UnixNano())
	c.server.inFlight.Add(1)
	c.server.requestsRead.Add(1)
	gopool.Go(func() {
		defer c.server.inFlight.Add(-1)
		c.complete(p, c.handle(request, account))
	})
	return last
}

// handle answers the request and releases its memory before the answer is written, because a
// caller may read the answer slowly.
func (c *conn) handle(request *http.Request, account *alloc.Account) *Answer {
	defer c.server.Memory.Release(account)
	answer := c.server.Handle(c.ctx, request)
	request.Body = http.NoBody
	request.Header = nil
	return answer
}

// awaitPipeline waits until the pipeline no longer makes the reader wait, or the connection is
// broken. Meanwhile it reads ahead, to notice a caller that disconnects: that breaks the
// connection and cancels its requests. A caller that sends more than maxReadAheadBytes is
// not read further until its turn comes. c.mu must be held.
func (c *conn) awaitPipeline(mustWait func() bool) {
	for !c.broken && mustWait() {
		if len(c.input.ahead) >= maxReadAheadBytes || !c.server.Memory.Take(&c.aheadAccount, readBufferBytes) {
			c.advanced.Wait()
			continue
		}
		c.readingAhead = true
		_ = c.raw.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		n, err := c.input.readAhead()
		c.server.Memory.Return(&c.aheadAccount, int64(readBufferBytes-n))
		c.mu.Lock()
		c.readingAhead = false
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.breakLocked()
		}
	}
}

// signalAdvanced wakes the reader if it waits for the pipeline. c.mu must be held.
func (c *conn) signalAdvanced() {
	c.advanced.Broadcast()
	if c.readingAhead {
		_ = c.raw.SetReadDeadline(time.Now())
	}
}

// mustWait reports whether a request must wait for the answers to earlier ones. c.mu must
// be held.
func (c *conn) mustWait(request *http.Request) bool {
	full := len(c.pipeline) >= maxPipelined || c.unsent.Load() > maxPipelinedBytes
	return full || len(c.pipeline) > 0 && !isSafeMethod(request.Method)
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func (c *conn) refuse(refused *refusal) {
	p := &pendingRequest{closeAfter: true}
	c.mu.Lock()
	c.pipeline = append(c.pipeline, p)
	c.mu.Unlock()
	if refused.reason == noMemory && c.server.OnNoMemory != nil {
		c.server.OnNoMemory()
	}
	if refused.request != nil && c.server.RefuseForMemory != nil {
		c.complete(p, c.server.RefuseForMemory(c.ctx, refused.request))
		return
	}
	c.complete(p, c.server.Refuse(refused.status, refused.reason))
}

// complete records the answer, and writes all answers that are due in the order of the
// pipeline.
func (c *conn) complete(p *pendingRequest, answer *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.answer = answer
	p.done = true
	c.countUnsent(p.bodyBytes())
	if c.writing {
		return
	}
	c.writing = true
	for len(c.pipeline) > 0 && c.pipeline[0].done {
		first := c.pipeline[0]
		c.mu.Unlock()
		written := !c.isBroken() && c.writeAnswer(first)
		c.mu.Lock()
		c.countUnsent(-first.bodyBytes())
		c.pipeline = c.pipeline[1:]
		if !written {
			c.breakLocked()
		}
		c.signalAdvanced()
		if first.closeAfter {
			break
		}
	}
	c.writing = false
	if len(c.pipeline) == 0 && c.idleTimeout > 0 && !c.broken {
		c.idleSince.Store(time.Now().UnixNano())
		_ = c.raw.SetReadDeadline(time.Now().Add(c.idleTimeout))
	}
}

// countUnsent adds to the size of the bodies that are ready, here and in the server. c.mu
// must be held.
func (c *conn) countUnsent(bytes int64) {
	if c.ended {
		return
	}
	c.unsent.Add(bytes)
	if bytes < 0 {
		c.server.Memory.Return(&c.answers, -bytes)
	} else {
		c.server.Memory.Force(&c.answers, bytes)
	}
	c.server.addUnsent(bytes)
}

// bodyBytes returns the size of the answer's body.
func (p *pendingRequest) bodyBytes() int64 {
	if p.answer == nil {
		return 0
	}
	return int64(len(p.answer.Body))
}

func (c *conn) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// breakLocked marks the connection as broken because no further answer can be written,
// cancels its requests and ends the current read. c.mu must be held.
func (c *conn) breakLocked() {
	c.broken = true
	c.cancel()
	_ = c.raw.SetReadDeadline(time.Now())
}

// cancelRequests cancels the requests of a caller that has disconnected.
func (c *conn) cancelRequests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
	c.countUnsent(-c.unsent.Load())
	c.ended = true
	c.cancel()
	c.advanced.Broadcast()
}

// writeAnswer writes one answer and reports whether it was written completely.
func (c *conn) writeAnswer(p *pendingRequest) bool {
	if p.answer == nil {
		return false
	}
	var message bytes.Buffer
	message.Grow(headCapacity + min(len(p.answer.Body), writePartBytes))
	message.WriteString("HTTP/1.1 " + strconv.Itoa(p.answer.Status) + " " + http.StatusText(p.answer.Status) + "\r\n")
	if err := p.answer.Header.WriteSubset(&message, connectionHeaders); err != nil {
		return false
	}
	body := p.answer.Body
	if mayHaveBody(p.answer.Status) {
		message.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	} else {
		body = nil
	}
	if p.closeAfter {
		message.WriteString("Connection: close\r\n")
	}
	message.WriteString("\r\n")
	if p.headOnly {
		body = nil
	}
	first := min(len(body), writePartBytes)
	message.Write(body[:first])
	if !c.writeParts(message.Bytes(), body[first:]) {
		return false
	}
	if p.closeAfter {
		c.closeWrite()
	}
	return true
}

// writeParts writes the first part and then the rest in parts, and reports whether all of it
// was written. A caller that reads slowly has writeTimeout for each part.
func (c *conn) writeParts(part, rest []byte) bool {
	defer c.sendingSince.Store(0)
	for {
		now := time.Now()
		c.sendingSince.Store(now.UnixNano())
		_ = c.raw.SetWriteDeadline(now.Add(writeTimeout))
		if _, err := c.raw.Write(part); err != nil {
			return false
		}
		if len(rest) == 0 {
			return true
		}
		next := min(len(rest), writePartBytes)
		part, rest = rest[:next], rest[next:]
	}
}

// connectionHeaders are the headers that the connection sets itself.
var connectionHeaders = map[string]bool{"Content-Length": true, "Connection": true, "Transfer-Encoding": true}

func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// closeWrite signals the end of the answers to the caller, and limits further reading to
// lingerTimeout.
func (c *conn) closeWrite() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeClosed = true
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// discardInput reads on after the last request, to notice a caller that disconnects and
// to leave no bytes unread.
func (c *conn) discardInput() {
	c.mu.Lock()
	if !c.writeClosed && !c.broken {
		_ = c.raw.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.raw)
}

// sendContinue asks for the body of a request with Expect: 100-continue, once all earlier
// requests are answered. It returns false if the caller disconnects before.
func (c *conn) sendContinue() bool {
	c.mu.Lock()
	c.awaitPipeline(func() bool { return len(c.pipeline) > 0 })
	broken := c.broken
	c.mu.Unlock()
	if broken {
		return false
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	// A write error is ignored: reading the body then fails as well.
	_, _ = io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n")
	return true
}
