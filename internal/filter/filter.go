// Package filter processes every incoming request of a caller or a target in a chain of
// filters.
package filter

import (
	"context"
	"net/http"

	"github.com/dandelionfield/dandelionfield/internal/call"
)

// Exchange is one request and the call that the filters derive from it.
type Exchange struct {
	Request *http.Request
	Call    *call.Call
	// Remote is the IP address of the host that sent the request.
	Remote string
	// rules were in force when the request was classified. Later filters use them, so that
	// one request is never handled by parts of two revisions.
	rules *Rules
	// confirmed is set if the rules may be taken for the newest.
	confirmed bool
	// head is what was decided when the head of the request had been read. It is nil if
	// nothing was.
	head *headDecision
	// bodySkipped is set if the body was not kept because the head was refused.
	bodySkipped bool
}

// Next runs the rest of the chain.
type Next func(ctx context.Context, exchange *Exchange) *call.Answer

// Filter answers a request or passes it to the next filter.
type Filter struct {
	Name string
	Run  func(ctx context.Context, exchange *Exchange, next Next) *call.Answer
}

// Chain returns a function that runs the filters in order and then the handler.
//
// With the filters Record and Classify, a request runs as
//
//	Record -> Classify -> handler -> Classify -> Record
//
// so that Record sees the answer no matter which filter gave it.
func Chain(filters []Filter, handler Next) Next {
	chain := handler
	for i := len(filters) - 1; i >= 0; i-- {
		chain = wrap(filters[i], chain)
	}
	return chain
}

func wrap(filter Filter, next Next) Next {
	return func(ctx context.Context, exchange *Exchange) *call.Answer {
		return filter.Run(ctx, exchange, next)
	}
}
