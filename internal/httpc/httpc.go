// Package httpc is a client of a single HTTP/1.1 server for callers that need to know
// what became of a request.
//
// A request is written once and never retried. The client reports whether any byte of the
// request may have reached the server, and never takes bytes that arrived before the
// request was written for its response. The response is read by the goroutine that makes
// the call, so that a call starts no goroutine of its own unless its request is large.
package httpc

import (
	"errors"
	"strings"
	"time"
)

type (
	// Field is one field line of a head. A head is the start line and the header section
	// of a message.
	Field struct {
		Name  string
		Value string
	}

	// Fields are the field lines of a head in the order of arrival.
	Fields []Field

	// Request is a request with its complete body.
	Request struct {
		Method string
		// Target is the path with the query, as sent on the wire.
		Target string
		Host   string
		// Fields are sent unchanged. The client adds Host and Content-Length.
		Fields Fields
		Body   []byte
		// ID identifies the request in responses; empty if responses do not name it.
		ID string
	}

	// Response is the head of a response.
	Response struct {
		Status int
		Fields Fields
		// Length is the length of the body, -1 if the server does not announce it.
		Length int64
	}
)

const (
	// maxHeadBytes limits the total size of the heads of one response, including interim
	// ones, and the size of its trailer section.
	maxHeadBytes = 64 << 10
	// maxLineBytes limits the size of a line of the chunked encoding.
	maxLineBytes    = 4 << 10
	readBufferBytes = 4 << 10
	// asyncWriteBytes is the size above which a request is written while its response is
	// read: a server may respond before it has read a long body.
	asyncWriteBytes = 16 << 10
	// idleMargin is subtracted from the time for which a server says that it keeps an
	// idle connection.
	idleMargin = time.Second
	// noConnectionLimit is more connections than a process has file descriptors for.
	noConnectionLimit = 1 << 20
	// maxRefused limits the refused requests that are remembered for a connection.
	maxRefused = 16
)

// Reasons why a call has no response.
var (
	// ErrMalformed means that the server sent bytes that are not a valid response.
	ErrMalformed = errors.New("http1: malformed answer")
	// ErrUnsendable means that the request cannot be written as a single valid request:
	// its method, target, host or a field holds bytes, such as a line break, that are not
	// allowed there.
	ErrUnsendable = errors.New("http1: request has bytes that no line may hold")
	// ErrHeadTooLong means that a head or trailer section exceeds maxHeadBytes.
	ErrHeadTooLong = errors.New("http1: head too long")
)

// Get returns the first value of the field with that name, empty if there is none. Names
// are compared without regard to case.
func (f Fields) Get(name string) string {
	for i := range f {
		if len(f[i].Name) == len(name) && strings.EqualFold(f[i].Name, name) {
			return f[i].Value
		}
	}
	return ""
}

// Has reports whether there is a field with that name. Names are compared without regard
// to case.
func (f Fields) Has(name string) bool {
	for i := range f {
		if len(f[i].Name) == len(name) && strings.EqualFold(f[i].Name, name) {
			return true
		}
	}
	return false
}
