package http1

import (
	"strconv"
	"sync"
)

// message is a request as it goes on the wire.
type message struct {
	bytes []byte
}

// keptBytes is the largest buffer that is kept for further requests.
const keptBytes = 16 << 10

var messages = sync.Pool{New: func() any { return &message{} }}

func takeMessage() *message {
	return messages.Get().(*message)
}

// keep lets the buffer be used again unless it has grown large.
func (m *message) keep() {
	if cap(m.bytes) <= keptBytes {
		messages.Put(m)
	}
}

// write replaces what is held by a request.
func (m *message) write(request *Request) {
	m.bytes = m.bytes[:0]
	m.add(request.Method, " ", request.Target, " HTTP/1.1\r\nHost: ", request.Host, "\r\n")
	for i := range request.Fields {
		m.add(request.Fields[i].Name, ": ", request.Fields[i].Value, "\r\n")
	}
	if len(request.Body) > 0 || announcesEmpty(request.Method) {
		m.add("Content-Length: ")
		m.bytes = strconv.AppendInt(m.bytes, int64(len(request.Body)), 10)
		m.add("\r\n")
	}
	m.add("\r\n")
	m.bytes = append(m.bytes, request.Body...)
}

func (m *message) add(texts ...string) {
	for _, text := range texts {
		m.bytes = append(m.bytes, text...)
	}
}

// announcesEmpty says whether a request of a method announces the length of an empty
// body too.
func announcesEmpty(method string) bool {
	return method == "POST" || method == "PUT" || method == "PATCH"
}

// sendable says whether every line of the head is one line on the wire.
func (r *Request) sendable() bool {
	if !isToken(r.Method) || !isVisible(r.Target) || !isVisible(r.Host) || r.Target == "" {
		return false
	}
	for i := range r.Fields {
		if !isToken(r.Fields[i].Name) || !isValue(r.Fields[i].Value) {
			return false
		}
	}
	return true
}

func isVisible(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == 0x7f {
			return false
		}
	}
	return true
}

func isValue(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
