// Package once runs a request with an idempotency key at most once.
//
// The mint time inside the key chooses its owner. Every service has a Plan in
// the platform's table: a fixed number of slots, each with a list of holdings
// whose intervals of mint time never overlap. A key falls into one slot by its
// hash and belongs to the holding that covers its mint time. Only the keeper of
// that holding runs the key, and the keeper's Ledger in memory is the record.
// Nothing is written to the platform on the path of a request.
//
// Next says how a node should change the plan, and Ledger decides each key.
package once

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

type (
	// Key is an idempotency key, a UUIDv7.
	Key struct {
		// Text is the canonical form in lower case.
		Text string
		// Minted is the time inside the key, in whole milliseconds.
		Minted time.Time
	}

	// Holding gives one node incarnation the keys of a slot that were minted in
	// [FromMS, UntilMS), both in Unix milliseconds.
	Holding struct {
		Name        string `json:"name"`
		Incarnation string `json:"incarnation"`
		Address     string `json:"address"`
		// StartedMS is the start of the incarnation in Unix milliseconds.
		StartedMS int64 `json:"started_ms"`
		FromMS    int64 `json:"from_ms"`
		UntilMS   int64 `json:"until_ms"`
		// Records names the incarnation that took over the records after a
		// graceful handover; empty means the holder itself.
		Records string `json:"records,omitempty"`
	}

	// Slot is the list of holdings of one share of the keys, oldest first.
	Slot struct {
		Holdings []Holding `json:"holdings"`
	}

	// Plan says which incarnation runs which keys of a service.
	Plan struct {
		Service string `json:"service"`
		// Version rises with every change. It belongs to the content: plans
		// that are compared must all have it from Next, or all from the
		// version of the table's row.
		Version int64  `json:"version"`
		Slots   []Slot `json:"slots"`
	}

	// Node is a member of the service as Next sees it.
	Node struct {
		Name        string
		Incarnation string
		Address     string
		// StartedMS is the start of the incarnation in Unix milliseconds, read
		// after the relay address was bound: the bind proves that the former
		// incarnation at the address accepts nothing any more. A node that is
		// not leaving keeps it bound.
		StartedMS int64
		Leaving   bool
		// Translated says that the address is not the one that was bound. The
		// bind then proves nothing of a former incarnation, which may be on
		// another host, so its holdings run to their ends.
		Translated bool
	}

	// Rules are the declared bounds.
	Rules struct {
		// Slots is the number of slots of a new plan. A plan keeps the number
		// that it was made with, since it decides the slot of each key.
		Slots int
		// Lease is how far ahead a holding is renewed. It should be at least
		// 16 times Margin, so that holdings are renewed well before they count as free.
		Lease time.Duration
		// Margin is the most by which the clocks of two hosts differ.
		Margin time.Duration
		// ClaimLead is how much earlier than needed a holding is closed, so that
		// the next holder has claimed the slot before the end comes and no key
		// finds it without an owner.
		ClaimLead time.Duration
		// KeyAge is how long a key is accepted after its minting.
		KeyAge time.Duration
	}
)

var (
	namespace = errorx.NewNamespace("once")
	// InvalidKey means that the text is not a UUIDv7 in canonical form.
	InvalidKey = namespace.NewType("invalid_key")
	// InvalidPlan means that the document is not a plan or has overlapping
	// holdings.
	InvalidPlan = namespace.NewType("invalid_plan")
)

// ParseKey reads a UUIDv7 in canonical lower case. It returns InvalidKey.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, InvalidKey.New("not a uuid")
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, InvalidKey.New("not version 7")
	}
	if id.String() != text {
		return Key{}, InvalidKey.New("not in canonical form")
	}
	return keyOf(id), nil
}

// Mint makes a key with the given mint time and random bits.
func Mint(now time.Time) Key {
	return mint(now, uuid.New())
}

// DecodePlan reads a plan as Encode wrote it. It returns InvalidPlan.
func DecodePlan(document []byte) (Plan, error) {
	var p Plan
	if err := json.Unmarshal(document, &p); err != nil {
		return Plan{}, InvalidPlan.Wrap(err, "not a plan")
	}
	for i, slot := range p.Slots {
		if !slot.ordered() {
			return Plan{}, InvalidPlan.New("slot %d has overlapping holdings", i)
		}
	}
	return p, nil
}

// Encode returns the plan as a JSON document.
func (p Plan) Encode() []byte {
	document, err := json.Marshal(p)
	if err != nil {
		// A struct of strings and integers always has a JSON form.
		panic(err)
	}
	return document
}

// Find returns the holding that the key belongs to.
func (p Plan) Find(k Key) (Holding, bool) {
	if len(p.Slots) == 0 {
		return Holding{}, false
	}
	mintedMS := k.Minted.UnixMilli()
	holdings := p.Slots[p.slotOf(k)].Holdings
	for _, h := range slices.Backward(holdings) {
		if h.FromMS <= mintedMS && mintedMS < h.UntilMS {
			return h, true
		}
	}
	return Holding{}, false
}

// Keeper returns the incarnation that runs the holding's keys and has their
// records.
func (h Holding) Keeper() string {
	if h.Records != "" {
		return h.Records
	}
	return h.Incarnation
}

// Route says where an entry node sends a key: the code is 0 and the keeper of
// the holding runs it, or the code is the truthful answer.
//
// living tells whether the incarnation is a member that can be reached. The
// entry node cannot know what ran elsewhere, so for a key that may have been
// sent before, it answers with a code of the family NotRun only where that
// holds whatever newer plan there is.
func Route(now time.Time, p Plan, k Key, sentBefore bool, living func(incarnation string) bool, rules Rules) (Holding, result.Code) {
	// The owner accepts mint times up to its own clock and one margin, and its
	// clock may be one margin ahead of this one.
	if k.Minted.After(now.Add(2 * rules.Margin)) {
		return Holding{}, result.KeyFromFuture
	}
	if now.Sub(k.Minted) > rules.KeyAge {
		return Holding{}, result.Forgotten
	}
	holding, ok := p.Find(k)
	if ok && living(holding.Keeper()) {
		return holding, 0
	}
	if !ok && p.passedBy(k) {
		return Holding{}, result.KeyTooOld
	}
	if sentBefore {
		return Holding{}, result.OwnerGone
	}
	return Holding{}, result.NoOwner
}

// Conclude returns what a caller may conclude of a key that it sent several
// times, from the conclusion so far and the newest code. Callers outside the
// project apply the same rule, Code.Then.
func Conclude(former, newest result.Code) result.Code {
	return former.Then(newest)
}

func (p Plan) slotOf(k Key) int {
	return int(xxhash.Sum64String(k.Text) % uint64(len(p.Slots)))
}

// passedBy says of a key that Find doesn't find whether a holding of its slot
// begins later. Holdings are only ever added at the end of the list, so no later
// plan will cover it. They are dropped from the list only when all of their keys
// are older than KeyAge, which has to be checked first.
func (p Plan) passedBy(k Key) bool {
	if len(p.Slots) == 0 {
		return false
	}
	last, ok := p.Slots[p.slotOf(k)].last()
	return ok && k.Minted.UnixMilli() < last.FromMS
}

func (p Plan) clone() Plan {
	slots := make([]Slot, len(p.Slots))
	for i, slot := range p.Slots {
		slots[i].Holdings = slices.Clone(slot.Holdings)
	}
	p.Slots = slots
	return p
}

func (s Slot) ordered() bool {
	untilMS := int64(0)
	for _, h := range s.Holdings {
		if h.FromMS < untilMS || h.UntilMS < h.FromMS {
			return false
		}
		untilMS = h.UntilMS
	}
	return true
}

func (s Slot) last() (Holding, bool) {
	if len(s.Holdings) == 0 {
		return Holding{}, false
	}
	return s.Holdings[len(s.Holdings)-1], true
}

func keyOf(id uuid.UUID) Key {
	return Key{Text: id.String(), Minted: time.Unix(id.Time().UnixTime())}
}

// mint writes the time and the version over the random bits of a UUIDv4, whose
// variant is the same.
func mint(now time.Time, id uuid.UUID) Key {
	ms := uint64(now.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = 0x70 | id[6]&0x0f
	return keyOf(id)
}
