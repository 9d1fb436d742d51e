// Package link carries calls from one node to another. All calls to a node share
// one connection, on which their frames are mixed.
//
// A frame is its length, its kind and the number of the call, followed by the
// message of the call or of its answer. Frames that become ready while others are
// written go out together, in one write.
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
	// frameKind says what a frame is for.
	frameKind uint8

	// frame is one frame without its length.
	frame struct {
		kind frameKind
		// call is the number of the call, counted by the side that makes it.
		call uint32
		body []byte
	}

	// conn is either end of a connection.
	conn struct {
		raw    net.Conn
		reader *bufio.Reader
		// heard is when the last frame arrived, in nanoseconds since start.
		heard atomic.Int64
		start time.Time

		mu sync.Mutex
		// queue holds the frames that are not written yet, and spare the memory of
		// those that were.
		queue  []byte
		spare  []byte
		failed error
		// wake tells the writer that the queue is not empty or that the end has come.
		wake chan struct{}
	}
)

// The kinds of frames.
const (
	// callFrame and answerFrame carry messages.
	callFrame frameKind = iota + 1
	answerFrame
	// cancelFrame says that nobody waits for the call any more, and noAnswerFrame
	// that it ended without an answer.
	cancelFrame
	noAnswerFrame
	// tooLargeFrame says that the answer does not fit into a frame.
	tooLargeFrame
	// pingFrame asks for a pongFrame.
	pingFrame
	pongFrame
	// leavingFrame says that no call above its number was taken or ever will be.
	leavingFrame
)

const (
	// hello is what both sides send first. It is as long as the preface of HTTP/2 and
	// ends like a head of HTTP/1, so that servers of both refuse it at once.
	hello = "dandelionfield-link/1\r\n\r\n"
	// headBytes is the size of a frame's head: the length, the kind and the number.
	headBytes   = 9
	lengthBytes = 4
	// maxFrameBytes bounds one frame.
	maxFrameBytes = 16 << 20
	// maxQueueBytes bounds what is held for a peer that does not read.
	maxQueueBytes = 32 << 20
	// keptBytes is the largest buffer that is kept for further frames. A node of a
	// large installation has a hundred connections and more.
	keptBytes   = 8 << 10
	readBytes   = 4 << 10
	helloWait   = 500 * time.Millisecond
	writeWait   = 5 * time.Second
	firstNumber = 1
)

// Why a call has no answer.
var (
	// ErrNeverTaken means that the call was not taken by the other node.
	ErrNeverTaken = errors.New("link: the other node took no further call")
	// ErrTooLarge means that a message is larger than a frame may be.
	ErrTooLarge = errors.New("link: message too large")
	// ErrNoAnswer means that the other node ended the call without an answer.
	ErrNoAnswer = errors.New("link: the call ended without an answer")
	// ErrSilent means that the connection brings nothing any more.
	ErrSilent = errors.New("link: connection is silent")
	// ErrOtherProtocol means that the other node does not speak this protocol.
	ErrOtherProtocol = errors.New("link: the other side speaks another protocol")

	errIdle   = errors.New("link: idle connection closed")
	errQueue  = errors.New("link: the peer does not read")
	errClosed = errors.New("link: closed")
)

func newConn(raw net.Conn) *conn {
	return &conn{
		raw:    raw,
		reader: bufio.NewReaderSize(raw, readBytes),
		start:  time.Now(),
		wake:   make(chan struct{}, 1),
	}
}

// greet sends the hello and reads that of the other side.
func (c *conn) greet() error {
	_ = c.raw.SetDeadline(time.Now().Add(helloWait))
	if _, err := io.WriteString(c.raw, hello); err != nil {
		return err
	}
	if err := c.readHello(); err != nil {
		return err
	}
	return c.raw.SetDeadline(time.Time{})
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

// send queues a frame with a message, which may be nil.
func (c *conn) send(kind frameKind, call uint32, message proto.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return c.failed
	}
	if len(c.queue) > maxQueueBytes {
		c.failLocked(errQueue)
		return errQueue
	}
	queue, err := appendFrame(c.queue, kind, call, message)
	if err != nil {
		return err
	}
	c.queue = queue
	c.signal()
	return nil
}

// appendFrame adds a frame to a buffer, which stays as it was on an error.
func appendFrame(buffer []byte, kind frameKind, call uint32, message proto.Message) ([]byte, error) {
	begin := len(buffer)
	var head [headBytes]byte
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

// read returns the next frame, whose body is valid until the next call.
func (c *conn) read(buffer []byte) (frame, []byte, error) {
	var head [headBytes]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return frame{}, buffer, err
	}
	length := int(binary.BigEndian.Uint32(head[:])) - (headBytes - lengthBytes)
	if length < 0 || length > maxFrameBytes {
		return frame{}, buffer, ErrTooLarge
	}
	if cap(buffer) < length || cap(buffer) > keptBytes {
		buffer = make([]byte, length)
	}
	buffer = buffer[:length]
	if _, err := io.ReadFull(c.reader, buffer); err != nil {
		return frame{}, buffer, err
	}
	c.heard.Store(int64(time.Since(c.start)))
	return frame{
		kind: frameKind(head[lengthBytes]),
		call: binary.BigEndian.Uint32(head[lengthBytes+1:]),
		body: buffer,
	}, buffer, nil
}

// silence returns how long nothing has arrived.
func (c *conn) silence() time.Duration {
	return time.Since(c.start) - time.Duration(c.heard.Load())
}

// write sends what is queued until the connection fails.
func (c *conn) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		// What else is about to be sent joins in.
		runtime.Gosched()
		c.mu.Lock()
		batch := c.queue
		c.queue = c.spare[:0]
		c.spare = nil
		c.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeWait))
		if _, err := c.raw.Write(batch); err != nil {
			c.fail(err)
			return
		}
		c.keep(batch)
	}
}

// keep lets a written buffer be used again unless it has grown large.
func (c *conn) keep(batch []byte) {
	if cap(batch) > keptBytes {
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

// fail ends the connection; the first reason stands.
func (c *conn) fail(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(reason)
}

func (c *conn) failLocked(reason error) {
	if c.failed == nil {
		c.failed = reason
		_ = c.raw.Close()
	}
}

func (c *conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}
