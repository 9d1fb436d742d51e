package local

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/dial"
	"github.com/dandelionfield/dandelionfield/internal/fate"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// Target is the door to the target beside this node.
	Target struct {
		address     string
		connections int
		transport   atomic.Pointer[http.Transport]
		held        *Held
		// Wire is set before the first call.
		Wire Wire
	}

	// Wire is how a node and its target speak about a call. The zero value is
	// the project's own way.
	Wire struct {
		// Dress adds what the target has to know of a call to its headers.
		Dress func(header http.Header, about About)
		// Judge says what the head of an answer tells of the call; nil takes the
		// status for it.
		Judge func(requestID string, status int, header http.Header) Mark
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
	connections := t.connections
	former := t.transport.Swap(&http.Transport{
		DialContext:         dial.Dialer(targetDialTimeout).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     targetIdleTimeout,
		DisableCompression:  true,
	})
	if former != nil {
		former.CloseIdleConnections()
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
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		// From here on bytes may reach the target, so the call may run.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	request, err := t.request(httptrace.WithClientTrace(ctx, trace), handle, attempt)
	if err != nil {
		reply.Detail = err.Error()
		return reply
	}
	response, err := t.transport.Load().RoundTrip(request)
	reply.Facts.Sent = sent.Load()
	if err != nil {
		reply.Detail = err.Error()
		t.interrupted(ctx, reply)
		return reply
	}
	defer response.Body.Close()
	reply.Status = response.StatusCode
	reply.Facts.Status = response.StatusCode
	reply.Headers = pack(response.Header)
	if t.Wire.Judge != nil {
		t.judge(attempt, response, &reply.Facts)
	}
	if reply.Facts.Foreign {
		reply.Detail = "the answer bears the id of another request"
		return reply
	}
	t.readBody(ctx, reply, response, limits.MaxAnswerBytes)
	return reply
}

// readBody takes the body whole, or says in the facts why it could not.
func (t *Target) readBody(ctx context.Context, reply *Reply, response *http.Response, most int64) {
	if fitsOneChunk(response, most) {
		t.readAtOnce(ctx, reply, response)
		return
	}
	t.readInSteps(ctx, reply, response.Body, most)
}

// fitsOneChunk says whether a body is announced with a length for which memory may be
// taken before any of it has come. The answer to HEAD announces a body that never comes.
func fitsOneChunk(response *http.Response, most int64) bool {
	return response.Body != http.NoBody && response.ContentLength >= 0 && response.ContentLength <= min(most, readChunkBytes)
}

// readAtOnce takes a body of a known length. A buffer that grows with it takes nearly
// three times the memory and is then copied, a tenth of all memory that calls took.
func (t *Target) readAtOnce(ctx context.Context, reply *Reply, response *http.Response) {
	if t.held.bytes.Load() > t.held.limit() {
		reply.Facts.TooLarge = true
		reply.Detail = errHeldFull.Error()
		return
	}
	t.held.bytes.Add(response.ContentLength)
	defer t.held.bytes.Add(-response.ContentLength)
	body := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		reply.Detail = err.Error()
		t.interrupted(ctx, reply)
		return
	}
	reply.Facts.BodyWhole = true
	reply.Body = body
}

// judge takes in what the head of an answer says. A connection that brought a
// foreign answer is not used again.
func (t *Target) judge(attempt *relaypb.CarryRequest, response *http.Response, facts *fate.Facts) {
	facts.Marks = true
	switch t.Wire.Judge(attempt.RequestId, response.StatusCode, response.Header) {
	case NotRun:
		facts.NotRun = true
	case Moved:
		facts.Moved = true
	case Foreign:
		facts.Foreign = true
	case Answered:
	}
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

func (t *Target) request(ctx context.Context, handle string, attempt *relaypb.CarryRequest) (*http.Request, error) {
	// The body's type hides that it could be read again, so that net/http
	// never repeats the call by itself on another connection.
	body := io.NopCloser(struct{ io.Reader }{bytes.NewReader(attempt.Body)})
	request, err := http.NewRequestWithContext(ctx, attempt.Method, "http://"+t.address+attempt.Path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(attempt.Body))
	for _, header := range attempt.Headers {
		request.Header.Add(header.Name, header.Value)
	}
	request.Host = attempt.Host
	left := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	if t.Wire.Dress != nil {
		_, targetID := relay.SplitIncarnation(attempt.Incarnation)
		t.Wire.Dress(request.Header, About{
			RequestID:     attempt.RequestId,
			CallerService: attempt.CallerService,
			TargetID:      targetID,
			Left:          left,
		})
		return request, nil
	}
	request.Header.Set(ContextHeader, handle)
	request.Header.Set(TimeLeftHeader, strconv.FormatInt(left.Milliseconds(), 10))
	return request, nil
}

// pack turns HTTP headers into the form in which they travel, without those
// that belong to one connection only.
func pack(header http.Header) []*relaypb.Header {
	packed := make([]*relaypb.Header, 0, len(header))
	for name, values := range header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			packed = append(packed, &relaypb.Header{Name: name, Value: value})
		}
	}
	return packed
}
