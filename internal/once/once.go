// Package once ensures that a request with an idempotency key runs at most once.
//
// Every service has a Plan in a table of the platform, which assigns each key to an owner.
// The plan has a fixed number of slots, each with a list of holdings whose intervals of mint
// time never overlap. The hash of a key determines its slot, and the key belongs to the
// holding of that slot that covers its mint time. Only the owner of the holding runs the
// key, and it records the key in its Ledger, in memory. Handling a request writes
// nothing to the platform.
//
// Next computes the changes that a node should make to the plan, and Ledger decides whether
// a key may run.
package once

import (
	"cmp"
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
		// Text is the canonical form, in lower case.
		Text string
		// Minted is the mint time encoded in the key, in whole milliseconds.
		Minted time.Time
	}

	// Holding assigns to one node incarnation the keys of a slot that are minted in
	// [FromMS, UntilMS), both in Unix milliseconds.
	Holding struct {
		Name        string `json:"name"`
		Incarnation string `json:"incarnation"`
		Address     string `json:"address"`
		// StartedMS is the start time of the incarnation in Unix milliseconds.
		StartedMS int64 `json:"started_ms"`
		FromMS    int64 `json:"from_ms"`
		UntilMS   int64 `json:"until_ms"`
		// Records is the incarnation that took over the records in a graceful
		// handover. It is empty if Incarnation still has them.
		Records string `json:"records,omitempty"`
	}

	// Slot is one hash partition of the keys, with its holdings from oldest to newest.
	Slot struct {
		Holdings []Holding `json:"holdings"`
	}

	// Plan assigns the keys of a service to node incarnations.
	Plan struct {
		Service string `json:"service"`
		// Version increases with every change and is part of the content. When
		// plans are compared, their versions must all be set by Next, or all be taken
		// from the version of the table row.
		Version int64  `json:"version"`
		Slots   []Slot `json:"slots"`
		// Generation is the generation of the store in which the plan was adopted, 0 if
		// the store was never restored from an older copy. A plan of a former generation
		// is changed only by Adopt.
		Generation int64 `json:"generation,omitempty"`
		// AdoptedMS separates holdings from before the adoption of the plan, which begin
		// earlier, from those that were given to a node since. No holding in a plan that
		// the store has lost ends after LostUntilMS. Both are Unix milliseconds.
		AdoptedMS   int64 `json:"adopted_ms,omitempty"`
		LostUntilMS int64 `json:"lost_until_ms,omitempty"`
	}

	// Node describes a member of the service to Next.
	Node struct {
		Name        string
		Incarnation string
		Address     string
		// StartedMS is the start time of the incarnation in Unix milliseconds, read
		// after the relay address was bound. The successful bind proves that the
		// former incarnation at the address no longer accepts requests. A node that
		// is not leaving keeps the address bound.
		StartedMS int64
		Leaving   bool
		// Translated is set if the published address differs from the bound one. The
		// bind then proves nothing about a former incarnation, which may be on
		// another host, so the holdings of that incarnation are not closed early.
		Translated bool
	}

	// Rules are the declared limits and durations.
	Rules struct {
		// Slots is the number of slots of a new plan. An existing plan keeps its
		// number of slots, because the number determines the slot of each key.
		Slots int
		// Lease is the time by which a renewal extends a holding beyond now. It should
		// be at least 16 times Margin, so that holdings are renewed well before they
		// count as free.
		Lease time.Duration
		// Margin is the largest difference between the clocks of two hosts.
		Margin time.Duration
		// ClaimLead is additional time between the closing of a holding and its end. It
		// lets the next holder claim the slot before the holding ends, so that no key
		// is without an owner.
		ClaimLead time.Duration
		// KeyAge is how long after its mint time a key is accepted.
		KeyAge time.Duration
	}
)

var (
	namespace = errorx.NewNamespace("once")
	// InvalidKey means that a text is not a UUIDv7 in canonical form.
	InvalidKey = namespace.NewType("invalid_key")
	// InvalidPlan means that a document is not a plan, or is a plan with overlapping
	// holdings.
	InvalidPlan = namespace.NewType("invalid_plan")
)

// ParseKey parses a UUIDv7 in its canonical form, in lower case. Its errors are of type
// InvalidKey.
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

// Mint returns a new key with the given mint time and random bits.
func Mint(now time.Time) Key {
	return mint(now, uuid.New())
}

// DecodePlan parses a document that was returned by Encode. Its errors are of type
// InvalidPlan.
func DecodePlan(document []byte) (Plan, error) {
	var p Plan
	if err := json.Unmarshal(document, &p); err != nil {
		return Plan{}, InvalidPlan.Wrap(err, "cannot decode plan")
	}
	for i, slot := range p.Slots {
		if !slot.ordered() {
			return Plan{}, InvalidPlan.New("slot %d has overlapping holdings", i)
		}
	}
	return p, nil
}

// Compare orders plans of one service by their age: below 0 if p is older than other. Every
// plan of a later generation is newer than those of former ones.
func (p Plan) Compare(other Plan) int {
	return cmp.Or(cmp.Compare(p.Generation, other.Generation), cmp.Compare(p.Version, other.Version))
}

// Encode returns the plan as a JSON document.
func (p Plan) Encode() []byte {
	document, err := json.Marshal(p)
	if err != nil {
		// A struct of strings and integers can always be encoded as JSON.
		panic(err)
	}
	return document
}

// Find returns the holding that the key belongs to, and whether there is one.
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

// Owner returns the incarnation that runs the keys of the holding and has their records.
func (h Holding) Owner() string {
	if h.Records != "" {
		return h.Records
	}
	return h.Incarnation
}

// Route determines how an entry node handles a key. If the code is 0, the entry node forwards
// the key to the incarnation that owns the returned holding. Otherwise the code is the result
// of the request.
//
// isLive reports whether an incarnation is a reachable member. The entry node does not know
// what ran on other nodes. For a key that may have been sent before, it therefore returns a
// code of the family NotRun only if the code holds under every newer plan as well.
func Route(now time.Time, p Plan, k Key, sentBefore bool, isLive func(incarnation string) bool, rules Rules) (Holding, result.Code) {
	// The owner accepts mint times up to one margin ahead of its own clock, which may in
	// turn be one margin ahead of the local clock.
	if k.Minted.After(now.Add(2 * rules.Margin)) {
		return Holding{}, result.KeyFromFuture
	}
	if now.Sub(k.Minted) > rules.KeyAge {
		return Holding{}, result.Forgotten
	}
	holding, ok := p.Find(k)
	if ok && isLive(holding.Owner()) {
		return holding, 0
	}
	if !ok && p.neverCovered(k) {
		return Holding{}, result.KeyTooOld
	}
	if sentBefore {
		return Holding{}, result.OwnerGone
	}
	return Holding{}, result.NoOwner
}

// Conclude combines the result codes of a key that was sent several times: the combined code
// so far and the code of the newest request. Callers outside of the project apply the same
// rule, Code.Then.
func Conclude(former, newest result.Code) result.Code {
	return former.Then(newest)
}

func (p Plan) slotOf(k Key) int {
	return int(xxhash.Sum64String(k.Text) % uint64(len(p.Slots)))
}

// neverCovered reports, for a key without a holding, whether a holding of its slot begins after
// the mint time of the key. Holdings are only appended to the list, so no later plan can
// cover the key. Holdings are removed from the list only when all of their keys are older
// than KeyAge, so the caller must check the age of the key first. A plan that the store has
// lost may have covered the key.
func (p Plan) neverCovered(k Key) bool {
	if len(p.Slots) == 0 || k.Minted.UnixMilli() < p.LostUntilMS {
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

// mint overwrites random bits of a UUIDv4 with the time and the version of a UUIDv7. The
// variant of both is the same.
func mint(now time.Time, id uuid.UUID) Key {
	ms := uint64(now.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = 0x70 | id[6]&0x0f
	return keyOf(id)
}
