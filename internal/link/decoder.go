package link

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// decoder decodes the request or response message of a frame. It reads the same format as
// the generated code but allocates less: all strings of a message share one allocation,
// and so do its headers. A message has about 30 strings.
type decoder struct {
	frame []byte
	// text is the frame without the body field's value, which lies between bodyBegin and
	// bodyEnd. Strings of the message are substrings of text.
	text           string
	bodyBegin      int
	bodyEnd        int
	headers        []relaypb.Header
	headerPointers []*relaypb.Header
	err            error
}

// field is one field of a message in the frame.
type field struct {
	number protowire.Number
	// value is the value of a numeric field. begin and end delimit the value of a
	// length-delimited field within the frame.
	value uint64
	begin int
	end   int
}

// Numbers of the fields of relay.proto that newDecoder locates before the fields are
// decoded.
const (
	requestHeaders  = 13
	requestBody     = 14
	responseHeaders = 4
	responseBody    = 5
)

var errMalformedFrame = errors.New("link: malformed message in frame")

// newDecoder returns a decoder for the message of a frame, given the numbers of the fields
// that hold its headers and its body.
func newDecoder(frame []byte, headers, body protowire.Number) *decoder {
	d := &decoder{frame: frame, bodyBegin: len(frame), bodyEnd: len(frame)}
	count := 0
	d.eachField(0, len(frame), func(f field) {
		switch f.number {
		case headers:
			count++
		case body:
			d.bodyBegin, d.bodyEnd = f.begin, f.end
		}
	})
	d.text = string(frame[:d.bodyBegin]) + string(frame[d.bodyEnd:])
	if count > 0 {
		d.headers = make([]relaypb.Header, 0, count)
		d.headerPointers = make([]*relaypb.Header, 0, count)
	}
	return d
}

// eachField calls a function with each field of the message between two offsets of the
// frame.
func (d *decoder) eachField(begin, end int, use func(f field)) {
	for begin < end && d.err == nil {
		f, next := d.nextField(begin, end)
		if d.err == nil {
			use(f)
		}
		begin = next
	}
}

// nextField reads the field at an offset and returns the offset after it.
func (d *decoder) nextField(begin, end int) (field, int) {
	number, kind, n := protowire.ConsumeTag(d.frame[begin:end])
	if n < 0 {
		d.err = errMalformedFrame
		return field{}, end
	}
	begin += n
	f := field{number: number}
	switch kind {
	case protowire.VarintType:
		f.value, n = protowire.ConsumeVarint(d.frame[begin:end])
	case protowire.Fixed64Type:
		f.value, n = protowire.ConsumeFixed64(d.frame[begin:end])
	case protowire.BytesType:
		var bytes []byte
		bytes, n = protowire.ConsumeBytes(d.frame[begin:end])
		f.end = begin + n
		f.begin = f.end - len(bytes)
	default:
		n = protowire.ConsumeFieldValue(number, kind, d.frame[begin:end])
	}
	if n < 0 {
		d.err = errMalformedFrame
		return field{}, end
	}
	return f, begin + n
}

// string returns the value of a string field.
func (d *decoder) string(f field) string {
	if f.begin >= d.bodyEnd {
		skipped := d.bodyEnd - d.bodyBegin
		return d.text[f.begin-skipped : f.end-skipped]
	}
	if f.end > d.bodyBegin {
		d.err = errMalformedFrame
		return ""
	}
	return d.text[f.begin:f.end]
}

// body returns a copy of the body field, nil if it is empty.
func (d *decoder) body() []byte {
	if d.bodyBegin == d.bodyEnd {
		return nil
	}
	return append([]byte(nil), d.frame[d.bodyBegin:d.bodyEnd]...)
}

func (d *decoder) addHeader(at field) {
	d.headers = append(d.headers, relaypb.Header{})
	header := &d.headers[len(d.headers)-1]
	d.headerPointers = append(d.headerPointers, header)
	d.eachField(at.begin, at.end, func(f field) {
		switch f.number {
		case 1:
			header.Name = d.string(f)
		case 2:
			header.Value = d.string(f)
		}
	})
}

// decodeRequest decodes the message of a callFrame.
func decodeRequest(frame []byte) (*relaypb.CarryRequest, error) {
	d := newDecoder(frame, requestHeaders, requestBody)
	r := &relaypb.CarryRequest{}
	d.eachField(0, len(frame), func(f field) { d.requestField(r, f) })
	r.Headers = d.headerPointers
	r.Body = d.body()
	return r, d.err
}

func (d *decoder) requestField(r *relaypb.CarryRequest, f field) {
	if f.number == requestHeaders {
		d.addHeader(f)
		return
	}
	if text := requestStringField(r, f.number); text != nil {
		*text = d.string(f)
		return
	}
	setRequestNumber(r, f)
}

// requestStringField returns the field of r with that number, nil if it is not a string
// field.
func requestStringField(r *relaypb.CarryRequest, number protowire.Number) *string {
	switch number {
	case 1:
		return &r.AttemptId
	case 2:
		return &r.RequestId
	case 3:
		return &r.Incarnation
	case 4:
		return &r.Service
	case 5:
		return &r.Kind
	case 10:
		return &r.Key
	case 11:
		return &r.Method
	case 12:
		return &r.Path
	case 15:
		return &r.OriginDataCentre
	case 17:
		return &r.Host
	case 18:
		return &r.CallerService
	case 21:
		return &r.Team
	}
	return nil
}

func setRequestNumber(r *relaypb.CarryRequest, f field) {
	switch f.number {
	case 6:
		r.Importance = uint32(f.value)
	case 7:
		r.Position = uint32(f.value)
	case 8:
		r.Tokens = uint32(f.value)
	case 9:
		r.TimeLeftMs = uint32(f.value)
	case 16:
		r.Revision = int64(f.value)
	case 19:
		r.Repeatable = f.value != 0
	case 20:
		r.Earlier = relaypb.Earlier(f.value)
	}
}

// decodeResponse decodes the message of a responseFrame.
func decodeResponse(frame []byte) (*relaypb.CarryResponse, error) {
	d := newDecoder(frame, responseHeaders, responseBody)
	r := &relaypb.CarryResponse{}
	d.eachField(0, len(frame), func(f field) { d.responseField(r, f) })
	r.Headers = d.headerPointers
	r.Body = d.body()
	return r, d.err
}

func (d *decoder) responseField(r *relaypb.CarryResponse, f field) {
	switch f.number {
	case responseHeaders:
		d.addHeader(f)
	case 2:
		r.Detail = d.string(f)
	case 8:
		r.Levels = append(r.Levels, d.level(f))
	case 9:
		r.Load = d.load(f)
	case 11:
		r.AttemptId = d.string(f)
	case 16:
		r.Pressed = append(r.Pressed, d.pressed(f))
	default:
		setResponseNumber(r, f)
	}
}

func setResponseNumber(r *relaypb.CarryResponse, f field) {
	switch f.number {
	case 1:
		r.Code = uint32(f.value)
	case 3:
		r.Status = uint32(f.value)
	case 6:
		r.Digest = f.value
	case 7:
		r.TokensLeft = uint32(f.value)
	case 10:
		r.Revision = int64(f.value)
	case 12:
		r.Replayed = f.value != 0
	case 13:
		r.Below = f.value != 0
	case 14:
		r.Inner = f.value != 0
	case 17:
		r.ConfirmedAgeMs = proto.Uint32(uint32(f.value))
	}
}

func (d *decoder) level(at field) *relaypb.Level {
	level := &relaypb.Level{}
	d.eachField(at.begin, at.end, func(f field) {
		switch f.number {
		case 1:
			level.Service = d.string(f)
		case 2:
			level.Node = d.string(f)
		case 3:
			level.Floor = uint32(f.value)
		case 4:
			level.AgeMs = uint32(f.value)
		}
	})
	return level
}

func (d *decoder) load(at field) *relaypb.Load {
	load := &relaypb.Load{}
	d.eachField(at.begin, at.end, func(f field) {
		switch f.number {
		case 1:
			load.InFlight = uint32(f.value)
		case 2:
			load.Limit = uint32(f.value)
		case 3:
			load.Queued = uint32(f.value)
		case 4:
			load.Leaving = f.value != 0
		case 5:
			load.Cold = f.value != 0
		case 6:
			load.StoppedMs = uint32(f.value)
		case 7:
			load.OfferedPermille = uint32(f.value)
		case 8:
			load.KindUs = uint32(f.value)
		case 9:
			load.PacePermille = uint32(f.value)
		case 10:
			load.MeanUs = uint32(f.value)
		case 11:
			load.HeldUs = uint32(f.value)
		}
	})
	return load
}

func (d *decoder) pressed(at field) *relaypb.Pressed {
	pressed := &relaypb.Pressed{}
	d.eachField(at.begin, at.end, func(f field) {
		switch f.number {
		case 1:
			pressed.Service = d.string(f)
		case 2:
			pressed.Permille = uint32(f.value)
		case 3:
			pressed.AgeMs = uint32(f.value)
		case 4:
			pressed.Below = f.value != 0
		}
	})
	return pressed
}
