package httpc

import (
	"strconv"
	"sync"
)

// requestBuffer holds a request in wire format.
type requestBuffer struct {
	bytes []byte
}

// maxRecycledBytes is the largest buffer that is kept for further requests.
const maxRecycledBytes = 16 << 10

var bufferPool = sync.Pool{New: func() any { return &requestBuffer{} }}

func getBuffer() *requestBuffer {
	return bufferPool.Get().(*requestBuffer)
}

// recycle returns the buffer to the pool unless it has grown too large.
func (b *requestBuffer) recycle() {
	if cap(b.bytes) <= maxRecycledBytes {
		bufferPool.Put(b)
	}
}

// encode replaces the contents of the buffer with a request. It leaves out the body if that
// is larger than asyncWriteBytes, so that a large body is not copied.
func (b *requestBuffer) encode(request *Request) {
	b.bytes = b.bytes[:0]
	b.add(request.Method, " ", request.Target, " HTTP/1.1\r\nHost: ", request.Host, "\r\n")
	for i := range request.Fields {
		b.add(request.Fields[i].Name, ": ", request.Fields[i].Value, "\r\n")
	}
	if len(request.Body) > 0 || sendsZeroLength(request.Method) {
		b.add("Content-Length: ")
		b.bytes = strconv.AppendInt(b.bytes, int64(len(request.Body)), 10)
		b.add("\r\n")
	}
	b.add("\r\n")
	if len(request.Body) <= asyncWriteBytes {
		b.bytes = append(b.bytes, request.Body...)
	}
}

func (b *requestBuffer) add(texts ...string) {
	for _, text := range texts {
		b.bytes = append(b.bytes, text...)
	}
}

// sendsZeroLength reports whether a request with that method has a Content-Length even if
// its body is empty.
func sendsZeroLength(method string) bool {
	return method == "POST" || method == "PUT" || method == "PATCH"
}

// sendable reports whether the method, target, host and fields hold only bytes that are
// allowed there, so that none of them can start a line or a request of its own.
func (r *Request) sendable() bool {
	if !isToken(r.Method) || !isVisible(r.Target) || !isVisible(r.Host) || r.Target == "" {
		return false
	}
	for i := range r.Fields {
		if !isToken(r.Fields[i].Name) || !isFieldValue(r.Fields[i].Value) {
			return false
		}
	}
	return true
}

// isVisible reports whether text has no space and no control character.
func isVisible(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == 0x7f {
			return false
		}
	}
	return true
}

// isFieldValue reports whether text has no control character other than a tab.
func isFieldValue(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
