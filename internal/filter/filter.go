// Package filter is the chain that every request of a caller or a target
// passes through on its way in.
package filter

import (
	"context"
	"net/http"

	"github.com/dandelionfield/dandelionfield/internal/call"
)

// Exchange is one request with what the filters have found out about it.
type Exchange struct {
	Request *http.Request
	Call    *call.Call
	// Remote is the host that the request came from, as an IP number.
	Remote string
}

// Next runs the rest of the chain.
type Next func(ctx context.Context, exchange *Exchange) *call.Answer

// Filter looks at a request and answers it, or lets it pass to the next one.
type Filter struct {
	Name string
	Run  func(ctx context.Context, exchange *Exchange, next Next) *call.Answer
}

// Chain returns a function that runs the filters in order and then the end.
//
// With the filters Record and Classify, a request runs as
//
//	Record -> Classify -> end -> Classify -> Record
//
// so that Record sees the answer whichever filter gave it.
func Chain(filters []Filter, end Next) Next {
	chain := end
	for i := len(filters) - 1; i >= 0; i-- {
		chain = link(filters[i], chain)
	}
	return chain
}

func link(filter Filter, next Next) Next {
	return func(ctx context.Context, exchange *Exchange) *call.Answer {
		return filter.Run(ctx, exchange, next)
	}
}
