package local

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/dial"
	"github.com/dandelionfield/dandelionfield/internal/fate"
	"github.com/dandelionfield/dandelionfield/internal/http1"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// Target is the door to the target beside this node.
	Target struct {
		address     string
		connections int
		client      atomic.Pointer[http1.Client]
		held        *Held
		// Wire is set before the first call.
		Wire Wire
	}

	// Wire is how a node and its target speak about a call. The zero value is
	// the project's own way.
	Wire struct {
		// IDHeader is the header by which an answer names its request, and Hidden one
		// of the caller's that the target is not shown.
		IDHeader string
		Hidden   string
		// Dress returns the headers that tell the target what it has to know of a
		// call. They take the place of any of the caller's by the same name.
		Dress func(about About) http1.Fields
		// Judge says what the head of an answer tells of the call; nil takes the
		// status for it.
		Judge func(requestID string, status int, header http1.Fields) Mark
	}

	// About is what a target has to know of a call.
	About struct {
		RequestID string
		// CallerService is the service whose host the request comes from.
		CallerService string
		// TargetID is the process of the target that the call is meant for.
		TargetID string
		// Left is the time left for the call.
		Left time.Duration
	}

	// Mark is what the head of an answer tells of a call.
	Mark uint8
)

// The marks.
const (
	// Answered means that the target answered the call.
	Answered Mark = iota
	// NotRun means that the target says that it did not run the call.
	NotRun
	// Moved means that another process than the one meant refused the call.
	Moved
	// Foreign means that the answer is not that of the call.
	Foreign
)

// Held bounds the memory for answers that are held until they are whole.
type Held struct {
	bytes atomic.Int64
	limit func() int64
}

// Reply is what came of a call to the target.
type Reply struct {
	Facts   fate.Facts
	Status  int
	Headers []*relaypb.Header
	Body    []byte
	Detail  string
}

// Headers by which a node and its target speak about a call.
const (
	ContextHeader  = "Dandelion-Context"
	TimeLeftHeader = "Dandelion-Time-Left"
)

const (
	// targetDialTimeout bounds the opening of a connection, about 1 ms.
	targetDialTimeout = 500 * time.Millisecond
	// targetIdleTimeout is shorter than what targets use, so that a connection
	// is seldom closed by the target at the moment a call is written to it.
	targetIdleTimeout = 5 * time.Second
	// readChunkBytes is the step in which an answer's memory is taken.
	readChunkBytes = 32 << 10
)

var errHeldFull = errors.New("the bound on held answers is reached")

// NewTarget returns the door to the target at an address, with a bound on the
// connections that it accepts.
func NewTarget(address string, connections int, held *Held) *Target {
	t := &Target{address: address, held: held}
	t.SetConnections(connections)
	return t
}

// SetConnections changes the bound on connections. Calls under way end on the
// connections that they have.
func (t *Target) SetConnections(connections int) {
	if connections == t.connections {
		return
	}
	t.connections = connections
	t.renew()
}

// Restart lets go of the connections to a former process of the target.
func (t *Target) Restart(connections int) {
	t.connections = connections
	t.renew()
}

func (t *Target) renew() {
	former := t.client.Swap(http1.New(t.address, t.connections, targetIdleTimeout, dial.Dialer(targetDialTimeout).DialContext))
	if former != nil {
		former.Close()
	}
}

// HeldBytes returns the memory of answers that are not whole yet.
func (t *Target) HeldBytes() int64 {
	return t.held.Bytes()
}

// NewHeld returns a bound that is read anew at each use.
func NewHeld(limit func() int64) *Held {
	return &Held{limit: limit}
}

// Bytes returns how much memory is held.
func (h *Held) Bytes() int64 {
	return h.bytes.Load()
}

// Call sends one attempt and holds the answer until it is whole.
func (t *Target) Call(ctx context.Context, handle string, attempt *relaypb.CarryRequest, limits schema.Limits) *Reply {
	reply := &Reply{}
	call := t.client.Load().Do(ctx, t.request(ctx, handle, attempt))
	defer call.Close()
	// Once a byte may have reached the target, the call may run.
	reply.Facts.Sent = call.Sent
	if call.Err != nil {
		reply.Detail = call.Err.Error()
		t.interrupted(ctx, reply)
		return reply
	}
	reply.Status = call.Answer.Status
	reply.Facts.Status = call.Answer.Status
	reply.Headers = packFields(call.Answer.Fields)
	if t.Wire.Judge != nil {
		t.judge(attempt, call, &reply.Facts)
	}
	if reply.Facts.Foreign {
		call.Discard()
		reply.Detail = "the answer bears the id of another request"
		return reply
	}
	t.readBody(ctx, reply, call, call.BodyLength(), limits.MaxAnswerBytes)
	return reply
}

// readBody takes the body whole, or says in the facts why it could not. Its length is -1
// where that is not known.
func (t *Target) readBody(ctx context.Context, reply *Reply, from io.Reader, length, most int64) {
	if length >= 0 && length <= min(most, readChunkBytes) {
		t.readAtOnce(ctx, reply, from, length)
		return
	}
	t.readInSteps(ctx, reply, from, most)
}

// readAtOnce takes a body of a known length. A buffer that grows with it takes nearly
// three times the memory and is then copied, a tenth of all memory that calls took.
func (t *Target) readAtOnce(ctx context.Context, reply *Reply, from io.Reader, length int64) {
	if t.held.bytes.Load() > t.held.limit() {
		reply.Facts.TooLarge = true
		reply.Detail = errHeldFull.Error()
		return
	}
	t.held.bytes.Add(length)
	defer t.held.bytes.Add(-length)
	body := make([]byte, length)
	if _, err := io.ReadFull(from, body); err != nil {
		reply.Detail = err.Error()
		t.interrupted(ctx, reply)
		return
	}
	reply.Facts.BodyWhole = true
	reply.Body = body
}

// judge takes in what the head of an answer says.
func (t *Target) judge(attempt *relaypb.CarryRequest, call *http1.Call, facts *fate.Facts) {
	facts.Marks = true
	switch t.Wire.Judge(attempt.RequestId, call.Answer.Status, call.Answer.Fields) {
	case NotRun:
		facts.NotRun = true
		call.Refused(t.Wire.named(attempt.RequestId, call.Answer.Fields))
	case Moved:
		facts.Moved = true
		call.Refused(t.Wire.named(attempt.RequestId, call.Answer.Fields))
	case Foreign:
		facts.Foreign = true
	case Answered:
	}
}

// named says whether an answer says which request it speaks of.
func (w Wire) named(requestID string, header http1.Fields) bool {
	return w.IDHeader != "" && header.Get(w.IDHeader) == requestID
}

// readInSteps takes a body of unknown length, or a long one, as far as it comes.
func (t *Target) readInSteps(ctx context.Context, reply *Reply, body io.Reader, most int64) {
	var buffer bytes.Buffer
	defer func() { t.held.bytes.Add(-int64(buffer.Cap())) }()
	for {
		before := int64(buffer.Cap())
		if t.held.bytes.Load() > t.held.limit() {
			reply.Facts.TooLarge = true
			reply.Detail = errHeldFull.Error()
			return
		}
		n, err := io.CopyN(&buffer, body, readChunkBytes)
		t.held.bytes.Add(int64(buffer.Cap()) - before)
		if int64(buffer.Len()) > most {
			reply.Facts.TooLarge = true
			return
		}
		if errors.Is(err, io.EOF) {
			reply.Facts.BodyWhole = true
			// The answer is kept for a while, without the buffer's spare room.
			reply.Body = bytes.Clone(buffer.Bytes())
			return
		}
		if err != nil {
			reply.Detail = err.Error()
			t.interrupted(ctx, reply)
			return
		}
		if n == 0 {
			return
		}
	}
}

// interrupted says whether the call ended because its time or its caller did.
func (t *Target) interrupted(ctx context.Context, reply *Reply) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reply.Facts.TimedOut = true
	case ctx.Err() != nil:
		reply.Facts.Cancelled = true
	}
}

func (t *Target) request(ctx context.Context, handle string, attempt *relaypb.CarryRequest) *http1.Request {
	request := &http1.Request{
		Method: attempt.Method,
		Target: attempt.Path,
		Host:   attempt.Host,
		Body:   attempt.Body,
		ID:     attempt.RequestId,
	}
	if request.Host == "" {
		request.Host = t.address
	}
	own := t.ownHeaders(ctx, handle, attempt)
	request.Fields = make(http1.Fields, 0, len(attempt.Headers)+len(own))
	for _, header := range attempt.Headers {
		if !own.Has(header.Name) && header.Name != t.Wire.Hidden {
			request.Fields = append(request.Fields, http1.Field{Name: header.Name, Value: header.Value})
		}
	}
	request.Fields = append(request.Fields, own...)
	return request
}

// ownHeaders are those by which the node speaks to its target about a call.
func (t *Target) ownHeaders(ctx context.Context, handle string, attempt *relaypb.CarryRequest) http1.Fields {
	left := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	if t.Wire.Dress == nil {
		return http1.Fields{
			{Name: ContextHeader, Value: handle},
			{Name: TimeLeftHeader, Value: strconv.FormatInt(left.Milliseconds(), 10)},
		}
	}
	_, targetID := relay.SplitIncarnation(attempt.Incarnation)
	return t.Wire.Dress(About{
		RequestID:     attempt.RequestId,
		CallerService: attempt.CallerService,
		TargetID:      targetID,
		Left:          left,
	})
}
