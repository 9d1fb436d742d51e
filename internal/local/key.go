package local

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// claimKey asks the ledger whether the key may run here. It returns nil if this attempt
// is the one to run it, and the answer to the attempt otherwise.
func (a *attempt) claimKey(ctx context.Context) *relaypb.CarryResponse {
	key, err := once.ParseKey(a.request.Key)
	if err != nil {
		return a.refusal(result.KeyInvalid)
	}
	s := a.server
	s.mu.Lock()
	verdict, recorded, code := s.settings.Ledger.Accept(s.settings.Clock.Now(), key, a.kind.Name, a.requestHash())
	if verdict == once.Run {
		a.key = key
		a.keyed = true
		s.byKey[key.Text] = a
	}
	running := s.byKey[key.Text]
	s.mu.Unlock()
	switch verdict {
	case once.Run:
		return nil
	case once.Done:
		return a.replay(recorded)
	case once.Running:
		return a.awaitRunning(ctx, running)
	}
	return a.refusal(code)
}

// awaitRunning waits for the attempt that already runs the same key and returns its
// answer as a replay.
func (a *attempt) awaitRunning(ctx context.Context, running *attempt) *relaypb.CarryResponse {
	if running == nil {
		return a.refusal(result.RunningStill)
	}
	select {
	case <-running.done:
		return a.replay(running.answer)
	case <-ctx.Done():
		return a.refusal(result.RunningStill)
	}
}

func (a *attempt) replay(recorded *relaypb.CarryResponse) *relaypb.CarryResponse {
	if recorded == nil {
		return a.refusal(result.Lost)
	}
	a.server.settings.Metrics.Replayed.Inc()
	code := recorded.Code
	if result.Code(code) == result.OK {
		code = uint32(result.Replayed)
	}
	return &relaypb.CarryResponse{
		Code:       code,
		Status:     recorded.Status,
		Headers:    recorded.Headers,
		Body:       recorded.Body,
		Digest:     recorded.Digest,
		Detail:     recorded.Detail,
		TokensLeft: a.request.Tokens,
		Replayed:   true,
	}
}

// recordKey records in the ledger how the run of the key ended. The server's mutex must
// be held.
func (a *attempt) recordKey(now time.Time, code result.Code, answer *relaypb.CarryResponse, size int) {
	ledger := a.server.settings.Ledger
	switch {
	case code.Family() == result.NotRun:
		ledger.Abandon(now, a.key)
	case code == result.PartlyRun && a.serving.OnlySafeRan():
		// The target shed the call itself, and the calls that ran on its behalf
		// are all safe to retry. The key may therefore be tried again.
		ledger.Abandon(now, a.key)
	case code == result.OK:
		ledger.Finish(now, a.key, answer, size)
	default:
		ledger.MarkLost(now, a.key)
	}
}

// requestHash returns a hash by which the ledger detects different requests with the
// same key.
func (a *attempt) requestHash() uint64 {
	digest := xxhash.New()
	for _, part := range []string{a.request.Kind, a.request.Method, a.request.Path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(a.request.Body)
	return digest.Sum64()
}
