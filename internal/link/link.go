// Package link carries calls from one node to another. All calls to a node are
// multiplexed on one connection.
//
// A frame consists of its length, its kind and the number of the call, followed by the
// request or response message. Frames that are queued while a write is in progress are
// sent together in the next write.
package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
)

type (
	// frameKind is the type of a frame.
	frameKind uint8

	// frame is one frame without its length field.
	frame struct {
		kind frameKind
		// call is the number of the call, assigned by the calling side. In a
		// goAwayFrame it is the highest number of an accepted call.
		call uint32
		body []byte
	}

	// conn is a connection, as used by either side.
	conn struct {
		raw    net.Conn
		reader *bufio.Reader
		// lastRead is when the last frame arrived, in nanoseconds since start.
		lastRead atomic.Int64
		start    time.Time

		mu sync.Mutex
		// queue holds the encoded frames that have not been written yet. spare is the
		// buffer of an earlier write, kept for reuse.
		queue  []byte
		spare  []byte
		failed error
		// taken is signalled when the writer has taken the queue or the connection has failed.
		taken *sync.Cond
		// wake tells the writer that the queue is not empty.
		wake chan struct{}
		// features is closed once the peer's features are known. takesPieces is set before.
		features     chan struct{}
		featuresOnce sync.Once
		takesPieces  bool
	}
)

// Kinds of frames.
const (
	// callFrame and responseFrame carry a request and its response.
	callFrame frameKind = iota + 1
	responseFrame
	// cancelFrame says that the caller has given up on the call, and noResponseFrame that
	// the call ended without a response.
	cancelFrame
	noResponseFrame
	// tooLargeFrame says that the response exceeds the size limit of a frame.
	tooLargeFrame
	// pingFrame requests a pongFrame.
	pingFrame
	pongFrame
	// goAwayFrame says that no call with a higher number than that of the frame was or
	// will be accepted.
	goAwayFrame
	// featuresFrame has a set of features in place of a call number. A peer that does not
	// know a kind of frame ignores it.
	featuresFrame
	// callOfferFrame and responseOfferFrame carry the size of a body and a message without
	// it. The body follows in pieceFrames, that of a call once a grantFrame has said that
	// there is memory for it.
	callOfferFrame
	responseOfferFrame
	grantFrame
	pieceFrame
)

const (
	// hello is the first thing that both sides send. It is as long as the preface of
	// HTTP/2 and ends like the head of an HTTP/1 message, so that servers of both
	// protocols reject it at once.
	hello = "dandelionfield-link/1\r\n\r\n"
	// frameHeaderBytes is the size of a frame's header: length, kind and call number.
	frameHeaderBytes = 9
	lengthBytes      = 4
	// maxFrameBytes limits the size of one frame. Larger bodies are sent in pieces.
	maxFrameBytes = 16 << 20
	// maxQueueBytes limits the data that is queued for a peer that does not read.
	maxQueueBytes = 32 << 20
	// maxRecycledBytes is the largest buffer that is kept for further frames. It is small
	// because a node of a large installation has a hundred connections or more.
	maxRecycledBytes = 8 << 10
	readBufferBytes  = 4 << 10
	handshakeTimeout = 500 * time.Millisecond
	writeTimeout     = 5 * time.Second
	// pingNumber is the call number in a pingFrame, which belongs to no call.
	pingNumber = 1
)

// Reasons why a call has no response.
var (
	// ErrNotAccepted means that the peer did not accept the call, so the call did not
	// run.
	ErrNotAccepted = errors.New("link: call not accepted by the peer")
	// ErrTooLarge means that a message exceeds the size limit of a frame.
	ErrTooLarge = errors.New("link: message too large")
	// ErrNoResponse means that the peer ended the call without a response.
	ErrNoResponse = errors.New("link: call ended without a response")
	// ErrSilent means that the connection was closed because the peer did not answer a
	// ping in time.
	ErrSilent = errors.New("link: peer did not answer the ping")
	// ErrOtherProtocol means that the peer does not speak this protocol.
	ErrOtherProtocol = errors.New("link: peer does not speak the link protocol")

	errIdle      = errors.New("link: idle connection closed")
	errQueueFull = errors.New("link: write queue full: peer does not read")
	errClosed    = errors.New("link: connection closed")
)

func newConn(raw net.Conn) *conn {
	c := &conn{
		raw:      raw,
		reader:   bufio.NewReaderSize(raw, readBufferBytes),
		start:    time.Now(),
		wake:     make(chan struct{}, 1),
		features: make(chan struct{}),
	}
	c.taken = sync.NewCond(&c.mu)
	limitUnsent(raw)
	return c
}

// handshake sends the hello and waits for the peer's.
func (c *conn) handshake() error {
	_ = c.raw.SetDeadline(time.Now().Add(handshakeTimeout))
	if _, err := io.WriteString(c.raw, hello); err != nil {
		return err
	}
	if err := c.readHello(); err != nil {
		return err
	}
	if err := c.raw.SetDeadline(time.Time{}); err != nil {
		return err
	}
	return c.send(featuresFrame, featurePieces, nil)
}

func (c *conn) readHello() error {
	got := make([]byte, len(hello))
	if _, err := io.ReadFull(c.reader, got); err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return err
		}
		return fmt.Errorf("%w: %w", ErrOtherProtocol, err)
	}
	if string(got) != hello {
		return ErrOtherProtocol
	}
	return nil
}

// send queues a frame. The message may be nil.
func (c *conn) send(kind frameKind, call uint32, message proto.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return c.failed
	}
	if len(c.queue) > maxQueueBytes {
		c.failLocked(errQueueFull)
		return errQueueFull
	}
	queue, err := appendFrame(c.queue, kind, call, message)
	if err != nil {
		return err
	}
	c.queue = queue
	c.signal()
	return nil
}

// appendFrame appends a frame to a buffer. On an error it returns the buffer unchanged.
func appendFrame(buffer []byte, kind frameKind, call uint32, message proto.Message) ([]byte, error) {
	begin := len(buffer)
	var head [frameHeaderBytes]byte
	head[lengthBytes] = byte(kind)
	binary.BigEndian.PutUint32(head[lengthBytes+1:], call)
	buffer = append(buffer, head[:]...)
	if message != nil {
		var err error
		if buffer, err = (proto.MarshalOptions{}).MarshalAppend(buffer, message); err != nil {
			return buffer[:begin], err
		}
	}
	length := len(buffer) - begin - lengthBytes
	if length > maxFrameBytes {
		return buffer[:begin], ErrTooLarge
	}
	binary.BigEndian.PutUint32(buffer[begin:], uint32(length))
	return buffer, nil
}

// read returns the next frame and the buffer that holds its body. The body is valid until
// that buffer is passed to the next read.
func (c *conn) read(buffer []byte) (frame, []byte, error) {
	var head [frameHeaderBytes]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return frame{}, buffer, err
	}
	length := int(binary.BigEndian.Uint32(head[:])) - (frameHeaderBytes - lengthBytes)
	if length < 0 || length > maxFrameBytes {
		return frame{}, buffer, ErrTooLarge
	}
	if cap(buffer) < length || cap(buffer) > maxRecycledBytes {
		buffer = make([]byte, length)
	}
	buffer = buffer[:length]
	if _, err := io.ReadFull(c.reader, buffer); err != nil {
		return frame{}, buffer, err
	}
	c.lastRead.Store(int64(time.Since(c.start)))
	return frame{
		kind: frameKind(head[lengthBytes]),
		call: binary.BigEndian.Uint32(head[lengthBytes+1:]),
		body: buffer,
	}, buffer, nil
}

// sinceLastRead returns the time since the last frame arrived.
func (c *conn) sinceLastRead() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastRead.Load())
}

// write sends the queued frames until the connection fails or the context ends.
func (c *conn) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		// Lets other goroutines queue their frames, so that they join this write.
		runtime.Gosched()
		c.mu.Lock()
		batch := c.queue
		c.queue = c.spare[:0]
		c.spare = nil
		c.taken.Broadcast()
		c.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.raw.Write(batch); err != nil {
			c.fail(err)
			return
		}
		c.recycle(batch)
	}
}

// recycle keeps a written buffer for reuse unless it has grown too large.
func (c *conn) recycle(batch []byte) {
	if cap(batch) > maxRecycledBytes {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spare = batch
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// fail closes the connection. Only the first reason is recorded.
func (c *conn) fail(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(reason)
}

func (c *conn) failLocked(reason error) {
	if c.failed == nil {
		c.failed = reason
		c.taken.Broadcast()
		_ = c.raw.Close()
	}
}

func (c *conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}
