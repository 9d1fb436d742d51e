package dedup

import (
	"net/http"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

type (
	// Facts describe an attempt that has ended, as observed by the node beside the target.
	Facts struct {
		// Sent is set when bytes of the request may have reached the target.
		Sent bool
		// Status is the HTTP status of the target, or 0 when there was no response.
		Status int
		// ShedStatus is the declared status with which the target reports that it shed
		// the call without running it; 0 stands for 503.
		ShedStatus int
		// MarksNotRun is set if the target marks the responses of calls that it did not run.
		// Only the mark then decides whether the call was shed, not the status.
		MarksNotRun bool
		// NotRun is set if the response to this call bears that mark.
		NotRun bool
		// OtherIncarnation is set when the call reached a process other than the addressed
		// one, and that process rejected the call.
		OtherIncarnation bool
		// OtherCall is set when the answer belongs to another call.
		OtherCall bool
		// BodyComplete is set when the body of the answer was received up to its declared end.
		BodyComplete bool
		// TooLarge is set when the answer exceeds the declared size limit.
		TooLarge  bool
		TimedOut  bool
		Cancelled bool
		// ChildCallsRan is set when a call made by the target ran or may have run.
		ChildCallsRan bool
	}

	// LostAnswer describes an attempt whose answer is missing, as observed by the sending node.
	LostAnswer struct {
		// Sent is set when bytes of the attempt may have reached the node.
		Sent bool
		// Queried is set when the receiving node answered a status query for the attempt.
		Queried bool
		// OtherIncarnation is set when the status query was answered by an incarnation
		// other than the one that the attempt was addressed to.
		OtherIncarnation bool
		State            State
		// Answer is the code of the recorded answer when State is Done.
		Answer    result.Code
		TimedOut  bool
		Cancelled bool
	}
)

// Code returns the result code of an attempt that Begin rejected, and 0 for Fresh and Done.
// Invalid has no code of the family NotRun, because an id from the future becomes valid as
// the clock advances, and the attempt may run then.
func (v Verdict) Code() result.Code {
	switch v {
	case Fresh, Done:
		return 0
	case Running:
		return result.RunningStill
	case Tombstoned:
		return result.Tombstoned
	case Full:
		return result.MemoryBound
	default:
		return result.Lost
	}
}

// Classify returns the result code of an attempt at the node beside the target. It returns
// a code of the family NotRun only if neither the call nor any call made by the target ran.
func Classify(f Facts) result.Code {
	if !f.Sent && !f.ChildCallsRan {
		return notRun(f.TimedOut, f.Cancelled, result.Unreachable)
	}
	if f.Status == 0 || f.OtherCall {
		return mayHaveRun(f.TimedOut, f.Cancelled, result.Lost)
	}
	if f.OtherIncarnation {
		return result.Misdirected
	}
	if f.shed() {
		return classifyShed(f.ChildCallsRan)
	}
	if f.TooLarge {
		return result.AnswerTooLarge
	}
	if !f.BodyComplete {
		return mayHaveRun(f.TimedOut, f.Cancelled, result.AnswerTruncated)
	}
	if f.Status < http.StatusOK || f.Status >= http.StatusInternalServerError {
		return result.TargetFailed
	}
	// A complete answer with an error status below 500, such as 404 or 409, is a valid
	// answer of the target.
	return result.OK
}

// Resolve returns the result code, at the sending node, of an attempt whose answer is
// missing.
func Resolve(l LostAnswer) result.Code {
	if !l.Sent {
		return notRun(l.TimedOut, l.Cancelled, result.Unreachable)
	}
	if !l.Queried || l.OtherIncarnation {
		return mayHaveRun(l.TimedOut, l.Cancelled, result.Lost)
	}
	switch l.State {
	case NeverSeen:
		return notRun(l.TimedOut, l.Cancelled, result.Unreachable)
	case Done:
		return l.Answer
	case Running:
		return mayHaveRun(l.TimedOut, l.Cancelled, result.RunningStill)
	default:
		return mayHaveRun(l.TimedOut, l.Cancelled, result.Lost)
	}
}

func (f Facts) shed() bool {
	if f.MarksNotRun {
		return f.NotRun
	}
	return f.Status == shedStatus(f.ShedStatus)
}

func shedStatus(declared int) int {
	if declared == 0 {
		return http.StatusServiceUnavailable
	}
	return declared
}

func classifyShed(childrenRan bool) result.Code {
	if childrenRan {
		return result.PartlyRun
	}
	return result.TargetShed
}

func notRun(timedOut, cancelled bool, otherwise result.Code) result.Code {
	if cancelled {
		return result.Cancelled
	}
	if timedOut {
		return result.DeadlinePassed
	}
	return otherwise
}

func mayHaveRun(timedOut, cancelled bool, otherwise result.Code) result.Code {
	if cancelled {
		return result.CancelledLate
	}
	if timedOut {
		return result.TimedOut
	}
	return otherwise
}
