// Package http1 is a client of one HTTP/1.1 server for callers that have to know what
// became of a request.
//
// It writes a request once and never again, says whether a byte of it may have reached
// the server, and takes no bytes for an answer that came before the request was
// written. The goroutine that makes a call reads its answer too, so that a call costs
// no further ones.
package http1

import (
	"errors"
	"strings"
	"time"
)

type (
	// Field is one line of a head.
	Field struct {
		Name  string
		Value string
	}

	// Fields are the lines of a head in the order in which they came.
	Fields []Field

	// Request is a request whose body is whole.
	Request struct {
		Method string
		// Target is the path with the query, as it goes on the wire.
		Target string
		Host   string
		// Fields go out as they are; the client adds those of the connection and of
		// the length.
		Fields Fields
		Body   []byte
		// ID is how the answer names the request; empty if it does not.
		ID string
	}

	// Answer is the head of an answer.
	Answer struct {
		Status int
		Fields Fields
		// Length is that of the body, -1 if the server does not announce it.
		Length int64
	}
)

const (
	// maxHeadBytes bounds the heads of one answer together, and its trailer.
	maxHeadBytes = 64 << 10
	// maxLineBytes bounds the line before a chunk.
	maxLineBytes = 4 << 10
	readBytes    = 4 << 10
	// asideBytes is the size above which a request is written while its answer is
	// read: a server may answer before it has read a long body.
	asideBytes = 16 << 10
	// idleMargin is kept back of the time for which a server says that it keeps an
	// idle connection.
	idleMargin = time.Second
	// unbounded is more connections than a process has descriptors for.
	unbounded = 1 << 20
	// maxRefused bounds the requests that are remembered as refused on a connection.
	maxRefused = 16
)

// Why a call has no answer.
var (
	// ErrMalformed means that the server sent bytes that are no answer.
	ErrMalformed = errors.New("http1: malformed answer")
	// ErrUnsendable means that the request cannot be written in one piece of a
	// connection: a line of it would hold the end of a line.
	ErrUnsendable = errors.New("http1: request has bytes that no line may hold")
	// ErrHeadTooLong means that a head has no end within its bound.
	ErrHeadTooLong = errors.New("http1: head too long")
)

// Get returns the first value of a name in any case, empty if there is none.
func (f Fields) Get(name string) string {
	for i := range f {
		if len(f[i].Name) == len(name) && strings.EqualFold(f[i].Name, name) {
			return f[i].Value
		}
	}
	return ""
}

// Has says whether there is a field of that name in any case.
func (f Fields) Has(name string) bool {
	for i := range f {
		if len(f[i].Name) == len(name) && strings.EqualFold(f[i].Name, name) {
			return true
		}
	}
	return false
}
