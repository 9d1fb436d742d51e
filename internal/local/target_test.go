package local

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// A body of a known length takes its own memory and little more: a surge is carried
// with the memory and the collector's time that calls leave.
func TestBodyOfKnownLengthTakesItsOwnMemory(t *testing.T) {
	is := is.New(t)
	const (
		runs        = 200
		bytesOfBody = 5000
		overhead    = 1000
	)
	whole := bytes.Repeat([]byte("x"), bytesOfBody)
	target := NewTarget("127.0.0.1:1", 1, NewHeld(func() int64 { return 1 << 20 }))
	take := func() *Reply {
		reply := &Reply{}
		response := &http.Response{ContentLength: bytesOfBody, Body: io.NopCloser(bytes.NewReader(whole))}
		target.readBody(context.Background(), reply, response, 1<<20)
		return reply
	}
	is.True(bytes.Equal(take().Body, whole))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		is.True(take().Facts.BodyWhole)
	}
	runtime.ReadMemStats(&after)
	each := (after.TotalAlloc - before.TotalAlloc) / runs
	is.True(each < bytesOfBody+overhead)
	is.Equal(target.HeldBytes(), int64(0))
}

// A body that ends before its announced length is not whole.
func TestShortBodyIsNotWhole(t *testing.T) {
	is := is.New(t)
	target := NewTarget("127.0.0.1:1", 1, NewHeld(func() int64 { return 1 << 20 }))
	reply := &Reply{}
	response := &http.Response{ContentLength: 10, Body: io.NopCloser(bytes.NewReader([]byte("short")))}
	target.readBody(context.Background(), reply, response, 1<<20)
	is.Equal(reply.Facts.BodyWhole, false)
	is.Equal(reply.Body, nil)
	is.Equal(target.HeldBytes(), int64(0))
}
