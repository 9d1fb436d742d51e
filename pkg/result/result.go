// Package result defines the numbered result codes that callers receive.
//
// The first digit of a code gives its family:
//
//	1xx  complete: the answer is complete and belongs to this request
//	2xx  not run: the request did not run anywhere, so repeating it is safe
//	3xx  unknown or failed: the request ran or may have run
package result

import "strconv"

// Family groups codes by whether the request ran.
type Family uint8

// Code is a result code, as sent in the header Dandelion-Code.
type Code uint16

// Info describes one code.
type Info struct {
	Code    Code
	Name    string
	Meaning string
	Advice  string
	// Status is the HTTP status that a node sends with the code when there is no status
	// from the target.
	Status int
}

// The families, numbered by the first digit of their codes.
const (
	Complete Family = 1
	NotRun   Family = 2
	Unknown  Family = 3
)

// The result codes. A number is never reused with a different meaning.
const (
	OK       Code = 100
	Replayed Code = 101

	Overloaded       Code = 200
	DoorClosed       Code = 201
	QueueExpired     Code = 202
	Evicted          Code = 203
	NoTarget         Code = 204
	DeadlinePassed   Code = 205
	UnknownKind      Code = 206
	NoConfiguration  Code = 207
	Leaving          Code = 208
	OtherIncarnation Code = 209
	Unreachable      Code = 210
	TargetShed       Code = 211
	KeyInvalid       Code = 212
	KeyTooOld        Code = 213
	KeyFromFuture    Code = 214
	NoOwner          Code = 215
	BodyTooLarge     Code = 216
	MemoryBound      Code = 217
	Cancelled        Code = 218
	Tombstoned       Code = 219
	BadRequest       Code = 220
	BudgetSpent      Code = 221
	TargetStopped    Code = 222
	Misdirected      Code = 223
	Unauthenticated  Code = 224
	QuotaExceeded    Code = 225
	Unconfirmed      Code = 226

	Lost            Code = 300
	TimedOut        Code = 301
	TargetFailed    Code = 302
	AnswerTruncated Code = 303
	AnswerTooLarge  Code = 304
	OwnerGone       Code = 305
	KeyReused       Code = 306
	RunningStill    Code = 307
	Forgotten       Code = 308
	PartlyRun       Code = 309
	CancelledLate   Code = 310
	OwnerUnclear    Code = 311
	RepeatRefused   Code = 312
)

var table = []Info{
	{OK, "ok", "The target's whole answer to this request.", "Use the answer.", 200},
	{Replayed, "replayed", "The recorded answer of an earlier run with the same idempotency key.", "Use the answer; nothing ran again.", 200},

	{Overloaded, "overloaded", "The node beside the target refused the call for load.", "Try again after the time in Retry-After.", 503},
	{DoorClosed, "door_closed", "The entry node refused the request because a service in its chain is overloaded.", "Try again after the time in Retry-After.", 503},
	{QueueExpired, "queue_expired", "The call waited for a slot until its wait bound or deadline passed.", "Try again later or with a longer deadline.", 503},
	{Evicted, "evicted", "A queued call gave its place to a more important one.", "Try again after the time in Retry-After.", 503},
	{NoTarget, "no_target", "No target of the service takes work.", "Try again; look at the service's targets if it lasts.", 503},
	{DeadlinePassed, "deadline_passed", "The deadline passed before anything was sent to a target.", "Send a longer deadline or try again.", 504},
	{UnknownKind, "unknown_kind", "No declared request kind matches the method and path.", "Check the path, or declare the kind.", 404},
	{NoConfiguration, "no_configuration", "The node has no configuration yet.", "Try another node, or try again in a moment.", 503},
	{Leaving, "leaving", "The node or its target is leaving and takes no new work.", "Try again; another takes it.", 503},
	{OtherIncarnation, "other_incarnation", "The attempt was addressed to a process that has been replaced, and the new one never saw it.", "Try again.", 503},
	{Unreachable, "unreachable", "No connection to the target could be opened, so nothing was sent.", "Try again.", 503},
	{TargetShed, "target_shed", "The target shed the call itself and none of its own calls ran.", "Try again after the time in Retry-After.", 503},
	{KeyInvalid, "key_invalid", "The Idempotency-Key is not a UUIDv7.", "Mint the key as a UUIDv7.", 400},
	{KeyTooOld, "key_too_old", "The key was minted before its owner began and was not sent before.", "Mint a new key.", 409},
	{KeyFromFuture, "key_from_future", "The key's mint time is ahead of the node's clock by more than the margin.", "Correct the clock and mint a new key.", 400},
	{NoOwner, "no_owner", "No owner covers the key's mint time, so the request cannot run.", "Try again in a few seconds with the same key.", 503},
	{BodyTooLarge, "body_too_large", "The request body is longer than the declared size.", "Send a shorter body.", 413},
	{MemoryBound, "memory_bound", "A memory bound of the node refused the request.", "Try again after the time in Retry-After.", 503},
	{Cancelled, "cancelled", "The caller went away before anything was sent to a target.", "Nothing.", 499},
	{Tombstoned, "tombstoned", "The attempt arrived after its sender had been told that it was never seen.", "Nothing; the sender has moved on.", 409},
	{BadRequest, "bad_request", "The request could not be read.", "Correct the request.", 400},
	{BudgetSpent, "budget_spent", "Every attempt was refused before it ran, and no retry was left: of the request, or of the budget of its service.", "Try again after the time in Retry-After.", 503},
	{TargetStopped, "target_stopped", "The target has stopped answering, so the call was not sent to it.", "Try again; look at the target if it lasts.", 503},
	{Misdirected, "misdirected", "A process other than the addressed one received the call at the target's address and rejected it.", "Try again.", 503},
	{Unauthenticated, "unauthenticated", "The request has no key, or its key belongs to no team.", "Send a valid key.", 401},
	{QuotaExceeded, "quota_exceeded", "The team has used up its quota of requests.", "Try again after the time in Retry-After, and send fewer.", 429},
	{Unconfirmed, "unconfirmed", "The node cannot show that it has the newest configuration, so the key may have been withdrawn.", "Try another node, or try again in a moment.", 503},

	{Lost, "lost", "The attempt's fate could not be learned.", "Ask for the state of the order, or repeat with the same key.", 502},
	{TimedOut, "timed_out", "The deadline passed while the target was at work.", "Ask for the state, or repeat with the same key.", 504},
	{TargetFailed, "target_failed", "The target answered that it failed; the call ran in part or whole.", "Read the target's answer.", 502},
	{AnswerTruncated, "answer_truncated", "The target's answer ended before it was complete.", "Repeat with the same key if the kind allows it.", 502},
	{AnswerTooLarge, "answer_too_large", "The target's answer is longer than the declared size.", "Ask for less, or have the declared size raised.", 502},
	{OwnerGone, "owner_gone", "The owner of the key is gone, and with it the record of whether the key ran.", "Ask for the state: the key has no answer any more. If it was never sent before, mint a new one.", 503},
	{KeyReused, "key_reused", "The key was used before for another request.", "Mint a key for each request.", 422},
	{RunningStill, "running_still", "A run with the same key has not ended within the deadline.", "Repeat with the same key.", 504},
	{Forgotten, "forgotten", "The key is older than the time for which records are kept.", "Ask for the state; mint a new key for a new request.", 409},
	{PartlyRun, "partly_run", "The target refused the call after some of its own calls had run.", "Repeat with the same key if the kind allows it.", 502},
	{CancelledLate, "cancelled_late", "The caller went away while the target was at work.", "Repeat with the same key.", 499},
	{OwnerUnclear, "owner_unclear", "The node cannot tell or reach the owner of the key now. If the key ran, its record may still have the answer.", "Repeat with the same key in a few seconds.", 503},
	{RepeatRefused, "repeat_refused", "This sending was refused and ran nowhere, but an earlier one of the same key may have run.", "Act on the refusal named in Dandelion-Refusal, and keep the key: only its answer tells what became of the request.", 503},
}

var byCode = index()

// Family returns the family of the code.
func (c Code) Family() Family {
	return Family(c / 100)
}

// Then combines the result so far of a request that was sent several times with the newest
// code, and returns the overall result. A NotRun code describes only the attempt that it
// answers, so it does not replace an earlier Unknown code: the earlier attempt may have run.
//
//	Lost, then Overloaded   Lost
//	Overloaded, then Lost   Lost
//	Lost, then Replayed     Replayed
func (c Code) Then(newest Code) Code {
	if c.Family() == Unknown && newest.Family() == NotRun {
		return c
	}
	return newest
}

// Info returns the description of the code, and whether the code is defined.
func (c Code) Info() (Info, bool) {
	info, ok := byCode[c]
	return info, ok
}

// String returns the code's name, or its number if the code is not defined.
func (c Code) String() string {
	if info, ok := byCode[c]; ok {
		return info.Name
	}
	return strconv.Itoa(int(c))
}

// String returns the family's name as used in the documentation.
func (f Family) String() string {
	switch f {
	case Complete:
		return "complete"
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	}
	return "family_" + strconv.Itoa(int(f))
}

// All returns the descriptions of all codes in ascending order.
func All() []Info {
	return append([]Info(nil), table...)
}

// Parse returns the code with the given number or name, and whether such a code is defined.
// For an undefined number from 1 to 999 it still returns that number as the code.
func Parse(text string) (Code, bool) {
	if number, err := strconv.Atoi(text); err == nil && number > 0 && number < 1000 {
		_, ok := byCode[Code(number)]
		return Code(number), ok
	}
	for _, info := range table {
		if info.Name == text {
			return info.Code, true
		}
	}
	return 0, false
}

func index() map[Code]Info {
	byCode := make(map[Code]Info, len(table))
	for _, info := range table {
		byCode[info.Code] = info
	}
	return byCode
}
