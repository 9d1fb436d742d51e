package entry

import (
	"time"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// learnConfirmed passes on what an answer says about the age of the other node's revision.
// The age counts from the sending of the attempt, since the answer may have been held up or
// recorded before it arrived.
func (s *Sender) learnConfirmed(sent time.Time, request *relaypb.CarryRequest, response *relaypb.CarryResponse) {
	if s.OnConfirmed == nil || response == nil || response.ConfirmedAgeMs == nil || response.AttemptId != request.AttemptId {
		return
	}
	s.OnConfirmed(sent.Add(-time.Duration(*response.ConfirmedAgeMs)*time.Millisecond), response.Revision)
}
