package entry

import (
	"context"

	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// Onward carries a call to other targets after the one beside this node refused
// it with the code. Each attempt is a repeat and is paid for as such, but for
// the first after a stopped target, to which nothing was sent.
func (s *Sender) Onward(ctx context.Context, c *call.Call, refused result.Code) *call.Answer {
	sending := &sending{sender: s, call: c, tried: map[string]bool{s.besideName(c): true}}
	answer := call.Refuse(refused, "")
	switch {
	case refused == result.TargetStopped && !sending.elsewhere():
		return answer
	case refused != result.TargetStopped && !sending.again(ctx, answer):
		return answer
	}
	return sending.run(ctx)
}

// besideName returns the name of the target beside this node.
func (s *Sender) besideName(c *call.Call) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service(c.Kind.Service).targets[s.Self].Name
}
