// Package alloc bounds the memory that a node holds for requests: their heads, their bodies
// as far as they have been read, and the answers that have not been sent.
package alloc

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Budget decides which requests may take memory. It handles the load pattern of many
	// callers that each stay within the declared limits of one request, but together send
	// more than the host can hold, and leave their requests unfinished. It has no lock; Pool
	// adds one.
	Budget struct {
		// Limit is what all requests together may hold, in bytes.
		Limit int64

		held int64
		// forced is the part of held that was given by Force.
		forced int64
		// served is the part of held of the requests that have been read completely.
		served int64
		// overrun is what accounts take beyond the limit. It is not counted in held, so that
		// other requests are still served meanwhile.
		overrun int64
		// oversized holds, for each class, the accounts that may exceed the limit: one whose
		// request is being read, and one whose request is being served.
		oversized [classCount]struct{ reading, serving *Account }
	}

	// Class says where a request comes from. While a request is served, it may wait for
	// requests of later classes at the same node, but for none of earlier ones. Each class
	// can get memory while the earlier ones hold all that they may, so that requests do not
	// wait for each other in a circle.
	Class uint8

	// Account is what one request holds. The zero value holds nothing. An account is used
	// with one budget only.
	Account struct {
		// Class is set before the first use. Pool.SetClass changes it later.
		Class Class

		held int64
		// forced is the part of held that was given by Force, and overrun what the request
		// takes beyond the limit.
		forced   int64
		overrun  int64
		served   bool
		released bool
	}

	// Stall is a connection on which nothing has moved for some time, and what it holds.
	Stall struct {
		Since time.Time
		Bytes int64
		// Index identifies the connection to the caller of Victims.
		Index int
	}
)

// These are the classes.
const (
	// FromCallers is the class of callers' requests.
	FromCallers Class = iota
	// FromNodes is the class of calls that other nodes send to the target beside this node.
	FromNodes
	// FromTarget is the class of calls that the target beside this node makes, most of them
	// for a request that it is serving.
	FromTarget
	classCount
)

const (
	// smallBytes is the largest step that counts as small. An ordinary head and its body take
	// less.
	smallBytes = 64 << 10
	// Large steps may take largeNumerator/largeDenominator of the limit, so that large
	// requests leave room for ordinary ones.
	largeNumerator   = 3
	largeDenominator = 4
	// Of small steps, each class leaves one part in reservedDivisor of the limit to every
	// later class. At a limit of 24 MiB this is enough for 100 ordinary calls.
	reservedDivisor = 16
	// maxOverrunBytes limits what several accounts together take beyond the limit. It is what
	// one body of the largest size that may be declared (64 MiB) takes while it is read: its
	// buffer and a former one of a quarter of the size. So the memory beyond the limit is the
	// same as if only one request could exceed it.
	maxOverrunBytes = 80 << 20
	// What was forced counts for at most one part in maxForcedDivisor of the limit, so that a
	// few large answers do not keep out all requests. Answers have a bound of their own.
	maxForcedDivisor = 2
	// lineBytes is what one line of a head costs besides its length: an entry in the header
	// map with its name and list of values (200 bytes), a header of the message between
	// nodes (80 bytes) and a field of the request to the target (32 bytes), with
	// room for maps and slices that grow by doubling.
	lineBytes = 512
	// headBytes is what a request costs besides its lines: the request, the call, the attempt
	// and the goroutines that serve them.
	headBytes = 4 << 10
	// textCopies is how often the text of a head is held: as it was read, and in the message
	// or the request that is written.
	textCopies = 2
)

// HeadCost returns the memory in bytes that a head takes while its request is served, given
// its length and the number of its lines.
func HeadCost(length, lines int) int64 {
	return headBytes + LinesCost(length, lines)
}

// LinesCost returns the part of HeadCost for some lines of a head.
func LinesCost(length, lines int) int64 {
	return int64(textCopies*length) + int64(lines)*lineBytes
}

// Take gives an account some bytes if they fit, and reports whether they did. If they do not,
// one account of each class may exceed the limit, see mayExceed.
func (b *Budget) Take(a *Account, bytes int64) bool {
	switch {
	case a.released:
		return false
	case b.exceeds(a):
		return b.takeOverrun(a, bytes)
	case b.held-b.forced+min(b.forced, b.Limit/maxForcedDivisor)+bytes <= b.limit(a.Class, bytes):
		b.hold(a, bytes)
		return true
	case b.oversized[a.Class].reading == nil && b.mayExceed(a, bytes) && b.takeOverrun(a, bytes):
		b.oversized[a.Class].reading = a
		return true
	}
	return false
}

// mayExceed reports whether a request may exceed the limit because it would wait in vain, or for
// requests that may be waiting for it: it does not fit even if only the requests that are being
// served hold memory. A call that another node or the target sends need not wait for those that
// are being read either. Small steps have a reserve instead.
func (b *Budget) mayExceed(a *Account, bytes int64) bool {
	limit := b.limit(a.Class, bytes)
	if bytes <= smallBytes {
		return a.held+bytes > limit
	}
	return a.Class != FromCallers || a.held+b.served+bytes > limit
}

// takeOverrun gives an account some bytes beyond the limit. If no other account has some, there
// is no bound but that of one request.
func (b *Budget) takeOverrun(a *Account, bytes int64) bool {
	if b.overrun > a.overrun && b.overrun+bytes > maxOverrunBytes {
		return false
	}
	a.overrun += bytes
	b.overrun += bytes
	return true
}

// hold adds to what an account holds within the limit.
func (b *Budget) hold(a *Account, bytes int64) {
	a.held += bytes
	b.held += bytes
	if a.served {
		b.served += bytes
	}
}

// serve records that the request of an account has been read completely. Another one may then
// exceed the limit, since the target may make calls for this one.
func (b *Budget) serve(a *Account) {
	if a.served {
		return
	}
	a.served = true
	b.served += a.held
	if slots := &b.oversized[a.Class]; slots.reading == a && slots.serving == nil {
		slots.reading, slots.serving = nil, a
	}
}

// limit returns up to which total a step of the given size may be taken.
func (b *Budget) limit(class Class, bytes int64) int64 {
	if bytes > smallBytes {
		return b.Limit / largeDenominator * largeNumerator
	}
	return b.Limit - int64(FromTarget-class)*(b.Limit/reservedDivisor)
}

// exceeds reports whether the account is one of those of its class that may exceed the limit.
func (b *Budget) exceeds(a *Account) bool {
	slots := b.oversized[a.Class]
	return slots.reading == a || slots.serving == a
}

// setClass changes the class of an account, unless it exceeds the limit in its present class.
func (b *Budget) setClass(a *Account, class Class) {
	if !b.exceeds(a) {
		a.Class = class
	}
}

// Force gives an account some bytes whether they fit or not. It is for what has to be held to
// end a request that has run, and thereby to release what it holds.
func (b *Budget) Force(a *Account, bytes int64) {
	if a.released {
		return
	}
	b.hold(a, bytes)
	b.forced += bytes
	a.forced += bytes
}

// Return takes back some bytes of an account.
func (b *Budget) Return(a *Account, bytes int64) {
	if a.released {
		return
	}
	fromOverrun := min(bytes, a.overrun)
	a.overrun -= fromOverrun
	b.overrun -= fromOverrun
	fromHeld := bytes - fromOverrun
	fromForced := min(fromHeld, a.forced)
	a.forced -= fromForced
	b.forced -= fromForced
	b.hold(a, -fromHeld)
	if a.overrun > 0 {
		return
	}
	slots := &b.oversized[a.Class]
	if slots.reading == a {
		slots.reading = nil
	}
	if slots.serving == a {
		slots.serving = nil
	}
	if reading := slots.reading; reading != nil && reading.served && slots.serving == nil {
		slots.reading, slots.serving = nil, reading
	}
}

// Release takes back all that an account holds. Later calls give the account nothing.
func (b *Budget) Release(a *Account) {
	b.Return(a, a.Bytes())
	a.released = true
}

// Held returns what all accounts hold, in bytes.
func (b *Budget) Held() int64 {
	return b.held + b.overrun
}

// Bytes returns what the account holds.
func (a *Account) Bytes() int64 {
	return a.held + a.overrun
}

// Victims returns the indices of the connections to close so that at least the given number
// of bytes is released, those that have stalled for the longest time first. Connections that
// have stalled for less than minStall or hold nothing are spared.
func Victims(now time.Time, stalls []Stall, bytes int64, minStall time.Duration) []int {
	slices.SortFunc(stalls, func(a, b Stall) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Index, b.Index))
	})
	var victims []int
	for _, stall := range stalls {
		if bytes <= 0 || now.Sub(stall.Since) < minStall {
			break
		}
		if stall.Bytes == 0 {
			continue
		}
		victims = append(victims, stall.Index)
		bytes -= stall.Bytes
	}
	return victims
}
