package fate

import (
	"net/http"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

type (
	// Facts are what the node beside the target knows of an attempt that ended.
	Facts struct {
		// Sent is set when bytes of the request may have reached the target.
		Sent bool
		// Status is the target's HTTP status, 0 when none came.
		Status int
		// ShedStatus is the declared status by which the target says that it
		// did not run the call; 0 stands for 503.
		ShedStatus int
		// Marks is set where targets mark the calls that they did not run, and
		// NotRun when this one is marked. The status tells nothing then.
		Marks  bool
		NotRun bool
		// Moved is set when another process than the one meant refused the call.
		Moved bool
		// Foreign is set when the answer is not that of the call.
		Foreign bool
		// BodyWhole is set when the answer's body came to its declared end.
		BodyWhole bool
		// TooLarge is set when the answer is longer than the declared size.
		TooLarge  bool
		TimedOut  bool
		Cancelled bool
		// ChildrenRan is set when any of the target's own calls ran or may have.
		ChildrenRan bool
	}

	// Loss is what the sending node knows of an attempt whose answer is missing.
	Loss struct {
		// Sent is set when bytes of the attempt may have reached the node.
		Sent bool
		// Asked is set when the node answered the question for the fate.
		Asked bool
		// OtherIncarnation is set when the answer came from another incarnation
		// than the one that the attempt was addressed to.
		OtherIncarnation bool
		State            State
		// Answer is the code of the recorded answer when State is Done.
		Answer    result.Code
		TimedOut  bool
		Cancelled bool
	}
)

// Code returns the code for an attempt that Begin didn't let run, and 0 for Fresh
// and Done. An invalid id may become valid as the clock goes on, so that the
// attempt cannot be said never to run.
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

// Classify returns the result code of an attempt at the node beside the target.
// A code of the family NotRun is returned only if the call ran nowhere.
func Classify(f Facts) result.Code {
	if !f.Sent && !f.ChildrenRan {
		return notRun(f.TimedOut, f.Cancelled, result.Unreachable)
	}
	if f.Status == 0 || f.Foreign {
		return mayHaveRun(f.TimedOut, f.Cancelled, result.Lost)
	}
	if f.Moved {
		return result.OtherIncarnation
	}
	if f.shed() {
		return classifyShed(f.ChildrenRan)
	}
	if f.TooLarge {
		return result.AnswerTooLarge
	}
	if !f.BodyWhole {
		return mayHaveRun(f.TimedOut, f.Cancelled, result.AnswerTruncated)
	}
	if f.Status < http.StatusOK || f.Status >= http.StatusInternalServerError {
		return result.TargetFailed
	}
	// A whole answer that refuses, such as 404 or 409, is a true answer too.
	return result.OK
}

// Resolve returns what the sending node concludes of an attempt whose answer
// is missing.
func Resolve(l Loss) result.Code {
	if !l.Sent {
		return notRun(l.TimedOut, l.Cancelled, result.Unreachable)
	}
	if !l.Asked || l.OtherIncarnation {
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
	if f.Marks {
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
