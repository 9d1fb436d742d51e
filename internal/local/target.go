package local

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/dedup"
	"github.com/dandelionfield/dandelionfield/internal/dial"
	"github.com/dandelionfield/dandelionfield/internal/httpc"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// Target is the client for the target beside this node.
	Target struct {
		address     string
		connections int
		client      atomic.Pointer[httpc.Client]
		held        *HeldMemory
		// Wire must be set before the first call.
		Wire Wire
	}

	// Wire is the protocol by which a node and its target exchange metadata about a call.
	// The zero value is the project's default protocol.
	Wire struct {
		// IDHeader is the answer header that names the request, and HiddenHeader a
		// header of the caller that is not passed to the target.
		IDHeader     string
		HiddenHeader string
		// TeamHeader is the header that names the team of a request.
		TeamHeader string
		// Headers returns the headers that describe a call to the target. They replace the
		// caller's headers of the same names. If it is nil, ContextHeader and
		// TimeLeftHeader are set.
		Headers func(info CallInfo) httpc.Fields
		// Classify classifies the head of an answer. If it is nil, the answer is classified
		// by its status.
		Classify func(requestID string, status int, header httpc.Fields) Disposition
	}

	// CallInfo describes a call to a target.
	CallInfo struct {
		RequestID string
		// CallerService is the service whose node sent the request.
		CallerService string
		// Team is the team whose key the request bore, or empty.
		Team string
		// TargetID is the id of the target process to which the call is addressed.
		TargetID string
		// Left is the time until the deadline of the call.
		Left time.Duration
	}

	// Disposition is what the head of an answer says about a call.
	Disposition uint8
)

// These are the dispositions.
const (
	// Answered means that the target answered the call.
	Answered Disposition = iota
	// NotRun means that the target reports that it did not run the call.
	NotRun
	// WrongProcess means that a process other than the addressed one rejected the call.
	WrongProcess
	// WrongRequest means that the answer does not belong to the call.
	WrongRequest
)

// Reply is the result of a call to the target.
type Reply struct {
	Facts   dedup.Facts
	Status  int
	Headers []*relaypb.Header
	Body    []byte
	Detail  string
}

// Headers by which a node describes a call to its target, in the default protocol.
const (
	ContextHeader  = "Dandelion-Context"
	TimeLeftHeader = "Dandelion-Time-Left"
	// TeamHeader is set where teams are declared and the request bore the key of one.
	TeamHeader = "Dandelion-Team"
)

const (
	// targetDialTimeout bounds the opening of a connection, which normally takes about
	// 1 ms.
	targetDialTimeout = 500 * time.Millisecond
	// targetIdleTimeout is shorter than the idle timeout of common targets, so that a
	// target seldom closes a connection while a call is being written to it.
	targetIdleTimeout = 5 * time.Second
	// readChunkBytes is the step by which the buffer of an answer grows, and the size from
	// which on an answer is large.
	readChunkBytes = 32 << 10
)

// NewTarget returns a client for the target at an address. It opens at most the given
// number of connections.
func NewTarget(address string, connections int, held *HeldMemory) *Target {
	t := &Target{address: address, held: held}
	t.SetConnections(connections)
	return t
}

// SetConnections changes the maximum number of connections. Calls in flight continue on
// their connections.
func (t *Target) SetConnections(connections int) {
	if connections == t.connections {
		return
	}
	t.connections = connections
	t.replaceClient()
}

// Restart drops the connections to a former process of the target.
func (t *Target) Restart(connections int) {
	t.connections = connections
	t.replaceClient()
}

// replaceClient replaces the HTTP client and closes the idle connections of the old one.
func (t *Target) replaceClient() {
	former := t.client.Swap(httpc.New(t.address, t.connections, targetIdleTimeout, dial.Dialer(targetDialTimeout).DialContext))
	if former != nil {
		former.Close()
	}
}

// HeldBytes returns the memory in bytes of answers that are not complete yet.
func (t *Target) HeldBytes() int64 {
	return t.held.Bytes()
}

// Call sends one attempt to the target and buffers the answer until it is complete.
func (t *Target) Call(ctx context.Context, handle string, attempt *relaypb.CarryRequest, limits schema.Limits) *Reply {
	reply := &Reply{}
	call := t.client.Load().Do(ctx, t.buildRequest(ctx, handle, attempt))
	defer call.Close()
	// Once a byte may have reached the target, the target may run the call.
	reply.Facts.Sent = call.Sent
	if call.Err != nil {
		reply.Detail = call.Err.Error()
		t.recordInterruption(ctx, reply)
		return reply
	}
	reply.Status = call.Response.Status
	reply.Facts.Status = call.Response.Status
	head := &alloc.Account{}
	t.held.Pool.Force(head, headCost(call.Response.Fields))
	defer t.held.Pool.Release(head)
	reply.Headers = packFields(call.Response.Fields)
	if t.Wire.Classify != nil {
		t.classifyHead(attempt, call, &reply.Facts)
	}
	if reply.Facts.OtherCall {
		call.Discard()
		reply.Detail = "the answer bears the id of another request"
		return reply
	}
	t.readBody(ctx, reply, call, call.BodyLength(), limits.MaxAnswerBytes)
	return reply
}

// headCost returns the memory that the head of an answer takes.
func headCost(fields httpc.Fields) int64 {
	length := 0
	for i := range fields {
		length += len(fields[i].Name) + len(fields[i].Value)
	}
	return alloc.LinesCost(length, len(fields))
}

// readBody reads the complete body, or records in the facts why this failed. A length of -1
// means that the length is not known.
func (t *Target) readBody(ctx context.Context, reply *Reply, body io.Reader, length, maxBytes int64) {
	switch {
	case length > maxBytes:
		reply.Facts.TooLarge = true
	case length >= 0:
		t.readSized(ctx, reply, body, length)
	default:
		t.readInChunks(ctx, reply, body, maxBytes)
	}
}

// readSized reads a body of a known length into one allocation. A growing buffer needs
// nearly three times the memory and a final copy; it took a tenth of all memory that
// calls allocated. While other answers take up the memory, the target has to wait with a
// large one. Small ones never wait for those, as the number of calls in flight bounds them.
func (t *Target) readSized(ctx context.Context, reply *Reply, reader io.Reader, length int64) {
	if length <= readChunkBytes {
		t.held.add(length)
	} else if !t.held.reserve(ctx, length) {
		reply.Detail = errHeldLimit.Error()
		t.recordInterruption(ctx, reply)
		return
	}
	defer t.held.release(length)
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		reply.Detail = err.Error()
		t.recordInterruption(ctx, reply)
		return
	}
	reply.Facts.BodyComplete = true
	reply.Body = body
}

// classifyHead records in the facts what the head of an answer says about the call.
func (t *Target) classifyHead(attempt *relaypb.CarryRequest, call *httpc.Call, facts *dedup.Facts) {
	facts.MarksNotRun = true
	switch t.Wire.Classify(attempt.RequestId, call.Response.Status, call.Response.Fields) {
	case NotRun:
		facts.NotRun = true
		call.RecordRefusal(t.Wire.namesRequest(attempt.RequestId, call.Response.Fields))
	case WrongProcess:
		facts.OtherIncarnation = true
		call.RecordRefusal(t.Wire.namesRequest(attempt.RequestId, call.Response.Fields))
	case WrongRequest:
		facts.OtherCall = true
	case Answered:
	}
}

// namesRequest reports whether an answer carries the id of the request.
func (w Wire) namesRequest(requestID string, header httpc.Fields) bool {
	return w.IDHeader != "" && header.Get(w.IDHeader) == requestID
}

// readInChunks reads a body that is long or of unknown length into a growing buffer.
func (t *Target) readInChunks(ctx context.Context, reply *Reply, body io.Reader, maxBytes int64) {
	var buffer bytes.Buffer
	defer func() { t.held.release(int64(buffer.Cap())) }()
	for {
		before := int64(buffer.Cap())
		if t.held.full() {
			reply.Facts.TooLarge = true
			reply.Detail = errHeldLimit.Error()
			return
		}
		n, err := io.CopyN(&buffer, body, readChunkBytes)
		t.held.add(int64(buffer.Cap()) - before)
		if int64(buffer.Len()) > maxBytes {
			reply.Facts.TooLarge = true
			return
		}
		if errors.Is(err, io.EOF) {
			reply.Facts.BodyComplete = true
			// The answer is stored for a while, so it must not retain the spare
			// capacity of the buffer.
			reply.Body = bytes.Clone(buffer.Bytes())
			return
		}
		if err != nil {
			reply.Detail = err.Error()
			t.recordInterruption(ctx, reply)
			return
		}
		if n == 0 {
			return
		}
	}
}

// recordInterruption records in the facts whether the call ended because its deadline
// passed or it was cancelled.
func (t *Target) recordInterruption(ctx context.Context, reply *Reply) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reply.Facts.TimedOut = true
	case ctx.Err() != nil:
		reply.Facts.Cancelled = true
	}
}

// buildRequest returns the HTTP request for an attempt. The headers of the node replace
// those of the caller with the same names.
func (t *Target) buildRequest(ctx context.Context, handle string, attempt *relaypb.CarryRequest) *httpc.Request {
	request := &httpc.Request{
		Method: attempt.Method,
		Target: attempt.Path,
		Host:   attempt.Host,
		Body:   attempt.Body,
		ID:     attempt.RequestId,
	}
	if request.Host == "" {
		request.Host = t.address
	}
	nodeHeaders := t.nodeHeaders(ctx, handle, attempt)
	request.Fields = make(httpc.Fields, 0, len(attempt.Headers)+len(nodeHeaders))
	for _, header := range attempt.Headers {
		if !nodeHeaders.Has(header.Name) && header.Name != t.Wire.HiddenHeader {
			request.Fields = append(request.Fields, httpc.Field{Name: header.Name, Value: header.Value})
		}
	}
	request.Fields = append(request.Fields, nodeHeaders...)
	return request
}

// nodeHeaders returns the headers by which the node describes a call to its target.
func (t *Target) nodeHeaders(ctx context.Context, handle string, attempt *relaypb.CarryRequest) httpc.Fields {
	left := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	if t.Wire.Headers == nil {
		fields := httpc.Fields{
			{Name: ContextHeader, Value: handle},
			{Name: TimeLeftHeader, Value: strconv.FormatInt(left.Milliseconds(), 10)},
		}
		if attempt.Team != "" {
			fields = append(fields, httpc.Field{Name: TeamHeader, Value: attempt.Team})
		}
		return fields
	}
	_, targetID := relay.SplitIncarnation(attempt.Incarnation)
	return t.Wire.Headers(CallInfo{
		RequestID:     attempt.RequestId,
		CallerService: attempt.CallerService,
		Team:          attempt.Team,
		TargetID:      targetID,
		Left:          left,
	})
}
