package local

import (
	"bytes"
	"context"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/httpc"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// Reading a body of known length allocates little more memory than the length. Memory and
// garbage collection per call limit the load that a node can carry in a surge.
func TestBodyOfKnownLengthAllocatesLittle(t *testing.T) {
	is := is.New(t)
	const (
		runs      = 200
		bodyBytes = 5000
		overhead  = 1000
	)
	body := bytes.Repeat([]byte("x"), bodyBytes)
	target := NewTarget("127.0.0.1:1", 1, NewHeldMemory(func() int64 { return 1 << 20 }))
	read := func() *Reply {
		reply := &Reply{}
		target.readBody(context.Background(), reply, bytes.NewReader(body), bodyBytes, 1<<20)
		return reply
	}
	is.True(bytes.Equal(read().Body, body))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		is.True(read().Facts.BodyComplete)
	}
	runtime.ReadMemStats(&after)
	perBody := (after.TotalAlloc - before.TotalAlloc) / runs
	is.True(perBody < bodyBytes+overhead)
	is.Equal(target.HeldBytes(), int64(0))
}

// A body that ends before its announced length is not complete.
func TestShortBodyIsIncomplete(t *testing.T) {
	is := is.New(t)
	target := NewTarget("127.0.0.1:1", 1, NewHeldMemory(func() int64 { return 1 << 20 }))
	reply := &Reply{}
	target.readBody(context.Background(), reply, bytes.NewReader([]byte("short")), 10, 1<<20)
	is.Equal(reply.Facts.BodyComplete, false)
	is.Equal(reply.Body, nil)
	is.Equal(target.HeldBytes(), int64(0))
}

// The headers that a node sets replace the caller's headers of the same name, and the
// hidden header is not forwarded.
func TestNodeHeadersReplaceCallerHeaders(t *testing.T) {
	is := is.New(t)
	target := NewTarget("127.0.0.1:1", 1, NewHeldMemory(func() int64 { return 1 << 20 }))
	target.Wire = Wire{
		HiddenHeader: "Dandelion-Deadline",
		Headers:      func(info CallInfo) httpc.Fields { return httpc.Fields{{Name: "Target", Value: info.TargetID}} },
	}
	request := target.buildRequest(context.Background(), "", &relaypb.CarryRequest{
		Method: "GET", Path: "/a?b=c", Incarnation: "node/i-1",
		Headers: []*relaypb.Header{{Name: "target", Value: "forged"}, {Name: "Dandelion-Deadline", Value: "1s"}, {Name: "X", Value: "kept"}},
	})
	is.Equal(request.Fields, httpc.Fields{{Name: "X", Value: "kept"}, {Name: "Target", Value: "i-1"}})
	is.Equal(request.Target, "/a?b=c")
	is.Equal(request.Host, "127.0.0.1:1")
}
