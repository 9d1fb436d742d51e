package local

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// forward sends a call with an idempotency key to another target of the service if the
// local target did not run it. This node remains the owner of the key: it keeps the
// record, prevents any other run of the key meanwhile, and returns the answer. Calls
// without a key are not forwarded, because their sender can choose another node; it
// cannot choose another owner of a key.
func (a *attempt) forward(ctx context.Context, refused *relaypb.CarryResponse) *relaypb.CarryResponse {
	s := a.server
	code := result.Code(refused.Code)
	if !a.keyed || s.settings.Forward == nil || !forwardable(code) {
		return refused
	}
	answer := s.settings.Forward(ctx, a.keylessCall(), code)
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

// forwardable reports whether a rejection applies to the local target only, so that
// another target may still run the call.
func forwardable(code result.Code) bool {
	switch code {
	case result.Overloaded, result.QueueExpired, result.Evicted, result.TargetShed, result.TargetStopped:
		return true
	}
	return false
}

// keylessCall returns the attempt as a call without a key, which any target may run.
func (a *attempt) keylessCall() *call.Call {
	return &call.Call{
		RequestID:  a.request.RequestId,
		Kind:       a.kind,
		Importance: a.serving.Importance,
		Position:   a.serving.Position,
		Deadline:   a.serving.Deadline,
		Team:       a.request.Team,
		Tokens:     a.serving.Tokens,
		Method:     a.request.Method,
		Path:       a.request.Path,
		Header:     Unpack(a.request.Headers),
		Body:       a.request.Body,
		Limits:     a.server.settings.Limits(),
		Revision:   a.request.Revision,
	}
}
