package link

import (
	"context"
	"encoding/binary"
	"net"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// incoming is a message whose body arrives in pieces.
type incoming struct {
	message []byte
	body    []byte
	size    int
}

const (
	// featurePieces says that the sender takes bodies in pieces.
	featurePieces = 1
	// pieceThreshold is the size above which a body is sent in pieces. At 200 Mbit/s, a frame
	// of this size delays the frames behind it by 10 ms.
	pieceThreshold = 256 << 10
	// pieceBytes is the size of a piece. Other frames pass between two pieces. The buffers of
	// such frames are used again, so that a body leaves no garbage of its own size.
	pieceBytes = maxRecycledBytes - frameHeaderBytes
	// maxBodyBytes limits a body that is sent in pieces. It is the largest that may be
	// declared for requests and answers.
	maxBodyBytes = 64 << 20
	// offerBytes is the length of the body's size at the beginning of an offer.
	offerBytes = 8
	// maxUnsentBytes is how much the system may queue of a connection that it cannot send
	// yet. Frames cannot pass what is queued there.
	maxUnsentBytes = 64 << 10
	// memoryWait is how long a call from another node waits for memory before it is refused.
	memoryWait = time.Second
)

// limitUnsent sets maxUnsentBytes for a connection. A system without that option queues more.
func limitUnsent(raw net.Conn) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}

// RequestCost returns the memory in bytes that a request takes while it is served.
func RequestCost(request *relaypb.CarryRequest) int64 {
	length := len(request.Path)
	for _, header := range request.Headers {
		length += len(header.Name) + len(header.Value)
	}
	return alloc.HeadCost(length, len(request.Headers)) + int64(len(request.Body))
}

// learnFeatures records the features of the peer.
func (c *conn) learnFeatures(features uint32) {
	c.featuresOnce.Do(func() {
		c.takesPieces = features&featurePieces != 0
		close(c.features)
	})
}

// sendsInPieces reports whether a body of the given size is sent in pieces. Where one frame
// could not hold it, it waits for the peer's features.
func (c *conn) sendsInPieces(ctx context.Context, size int) bool {
	if size <= pieceThreshold {
		return false
	}
	select {
	case <-c.features:
		return c.takesPieces
	default:
	}
	if size < maxFrameBytes {
		return false
	}
	timeout := time.NewTimer(handshakeTimeout)
	defer timeout.Stop()
	select {
	case <-c.features:
		return c.takesPieces
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// sendOffer queues a message without its body, which is to follow in pieces.
func (c *conn) sendOffer(kind frameKind, call uint32, message proto.Message, size int) error {
	if size > maxBodyBytes {
		return ErrTooLarge
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return c.failed
	}
	head, err := proto.Marshal(withoutBody(message))
	if err != nil {
		return err
	}
	return c.queueLocked(kind, call, binary.BigEndian.AppendUint64(nil, uint64(size)), head)
}

// sendPieces sends a body. Each piece waits until the writer has taken all frames before it,
// so that a frame of another call waits for one piece at most. It returns an error only if the
// last piece was not sent.
func (c *conn) sendPieces(ctx context.Context, call uint32, body []byte) error {
	for len(body) > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		piece := body[:min(len(body), pieceBytes)]
		body = body[len(piece):]
		if err := c.sendPiece(call, piece); err != nil {
			return err
		}
	}
	return nil
}

func (c *conn) sendPiece(call uint32, piece []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > 0 && c.failed == nil {
		c.taken.Wait()
	}
	if c.failed != nil {
		return c.failed
	}
	return c.queueLocked(pieceFrame, call, piece)
}

// queueLocked queues a frame whose body consists of parts. c.mu must be held.
func (c *conn) queueLocked(kind frameKind, call uint32, parts ...[]byte) error {
	begin := len(c.queue)
	queue, err := appendFrame(c.queue, kind, call, nil)
	if err != nil {
		return err
	}
	for _, part := range parts {
		queue = append(queue, part...)
	}
	length := len(queue) - begin - lengthBytes
	if length > maxFrameBytes {
		return ErrTooLarge
	}
	binary.BigEndian.PutUint32(queue[begin:], uint32(length))
	c.queue = queue
	c.signal()
	return nil
}

// withoutBody returns a copy of a message that shares all of its fields but the body.
func withoutBody(message proto.Message) proto.Message {
	source := message.ProtoReflect()
	body := source.Descriptor().Fields().ByName("body")
	head := source.New()
	source.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if field != body {
			head.Set(field, value)
		}
		return true
	})
	return head.Interface()
}

// newIncoming reads an offer.
func newIncoming(offer []byte) (*incoming, error) {
	if len(offer) < offerBytes {
		return nil, errMalformedFrame
	}
	size := binary.BigEndian.Uint64(offer)
	if size > maxBodyBytes {
		return nil, ErrTooLarge
	}
	// The frame's buffer is reused, the message is kept.
	return &incoming{message: append([]byte(nil), offer[offerBytes:]...), size: int(size)}, nil
}

// add takes a piece of the body and reports whether the body is complete.
func (i *incoming) add(piece []byte) (bool, error) {
	if len(piece) == 0 || len(i.body)+len(piece) > i.size {
		return false, errMalformedFrame
	}
	if i.body == nil {
		i.body = make([]byte, 0, i.size)
	}
	i.body = append(i.body, piece...)
	return len(i.body) == i.size, nil
}
