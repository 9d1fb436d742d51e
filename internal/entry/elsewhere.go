package entry

import (
	"context"

	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// SendElsewhere sends a call to other targets after the one beside this node refused it with
// the code. Each attempt counts as a retry, except for the first one if the target beside
// this node has stopped, since nothing was sent to that target.
func (s *Sender) SendElsewhere(ctx context.Context, c *call.Call, refused result.Code) *call.Answer {
	state := &sendState{sender: s, call: c, tried: map[string]bool{s.localTargetName(c): true}}
	answer := call.Refuse(refused, "")
	switch {
	case refused == result.TargetStopped && !state.hasOtherTarget():
		return answer
	case refused != result.TargetStopped && !state.prepareRetry(ctx, answer):
		return answer
	}
	return state.run(ctx)
}

// localTargetName returns the name of the target beside this node.
func (s *Sender) localTargetName(c *call.Call) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service(c.Kind.Service).targets[s.Self].Name
}
