package local

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// onward sends a call to another target of the service when the target beside
// this node did not run it. This node stays the owner of the call's key: it
// keeps the record, lets nobody else run the key meanwhile, and passes the
// answer on. Other calls need no such help, since their sender may choose
// another node; the key's owner it cannot choose.
func (a *attempt) onward(ctx context.Context, refused *relaypb.CarryResponse) *relaypb.CarryResponse {
	s := a.server
	code := result.Code(refused.Code)
	if !a.keyed || s.settings.Onward == nil || !movable(code) {
		return refused
	}
	answer := s.settings.Onward(ctx, a.call(), code)
	if answer.Code.Family() == result.NotRun {
		return refused
	}
	return &relaypb.CarryResponse{
		Code:       uint32(answer.Code),
		Detail:     answer.Detail,
		Status:     uint32(answer.Status),
		Headers:    Pack(answer.Header),
		Body:       answer.Body,
		Digest:     xxhash.Sum64(answer.Body),
		TokensLeft: uint32(a.serving.Tokens.Left()),
	}
}

// movable says whether a refusal speaks of the target beside this node alone.
func movable(code result.Code) bool {
	switch code {
	case result.Overloaded, result.QueueExpired, result.Evicted, result.TargetShed, result.TargetStopped:
		return true
	}
	return false
}

// call makes the attempt a call without a key, which any target may run.
func (a *attempt) call() *call.Call {
	return &call.Call{
		RequestID:  a.request.RequestId,
		Kind:       a.kind,
		Importance: a.serving.Importance,
		Position:   a.serving.Position,
		Deadline:   a.serving.Deadline,
		Tokens:     a.serving.Tokens,
		Method:     a.request.Method,
		Path:       a.request.Path,
		Header:     Unpack(a.request.Headers),
		Body:       a.request.Body,
		Limits:     a.server.settings.Limits(),
		Revision:   a.request.Revision,
	}
}
