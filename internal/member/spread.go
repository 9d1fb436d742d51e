package member

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionfield/dandelionfield/internal/beat"
)

// Deltas returns the recently changed rows that the next message should carry. Each row
// is sent in RetransmitLimit messages, about twice the binary logarithm of the number of
// members, after which nearly all members have it. The comparison of view hashes detects
// the members that still lack it.
func (v *View) Deltas(_ time.Time) []Member {
	var due []*entry
	for _, e := range v.entries {
		if e.sendsLeft > 0 {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		if a.sendsLeft != b.sendsLeft {
			return b.sendsLeft - a.sendsLeft
		}
		return strings.Compare(a.row.Name, b.row.Name)
	})
	due = due[:min(len(due), maxDeltaRows)]
	rows := make([]Member, len(due))
	for i, e := range due {
		e.sendsLeft--
		rows[i] = e.row
	}
	return rows
}

// Full returns all rows sorted by name, without Gone rows older than tombstoneSendPeriod.
func (v *View) Full(now time.Time) []Member {
	rows := make([]Member, 0, len(v.entries))
	for _, e := range v.entries {
		if e.row.State != Gone || now.Sub(e.gone) < tombstoneSendPeriod {
			rows = append(rows, e.row)
		}
	}
	slices.SortFunc(rows, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return rows
}

// RetransmitLimit returns the number of messages in which a node sends a changed row in a
// view of n members.
func RetransmitLimit(n int) int {
	return 2 * max(2, bits.Len(uint(n)))
}

// Hash returns a hash of the rows that are not gone. It is the sum of the hashes of the
// rows, so it does not depend on their order.
func (v *View) Hash() uint64 {
	return v.hash
}

// HashRows returns the hash of a view that holds exactly these rows.
func HashRows(rows []Member) uint64 {
	var sum uint64
	for i := range rows {
		sum += hashRow(rows[i])
	}
	return sum
}

// newer reports whether row a replaces row b of the same name. The incarnation decides
// between equal start times and the state between equal versions, so that of any two rows
// every node keeps the same one.
func newer(a, b Member) bool {
	switch {
	case a.StartedMS != b.StartedMS:
		return a.StartedMS > b.StartedMS
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case a.Version != b.Version:
		return a.Version > b.Version
	}
	return a.State > b.State
}

// hashRow hashes the fields that distinguish two rows of a name. A Gone row has hash 0, as
// if it were absent.
func hashRow(row Member) uint64 {
	if row.State == Gone {
		return 0
	}
	var key [128]byte
	text := append(key[:0], row.Name...)
	text = append(text, 0)
	text = append(text, row.Incarnation...)
	text = append(text, 0, byte(row.State))
	for shift := 0; shift < 64; shift += 8 {
		text = append(text, byte(row.Version>>shift), byte(row.StartedMS>>shift))
	}
	// A row without a departure has the hash that versions without the field compute.
	departures := row.TargetDepartures
	if departures != (beat.Departures{}) {
		text = binary.LittleEndian.AppendUint64(text, uint64(departures.StartedMS))
	}
	if departures.ByID != (beat.Process{}) {
		text = binary.LittleEndian.AppendUint64(text, uint64(departures.ByID.StartedMS))
		text = append(text, departures.ByID.ID...)
	}
	return xxhash.Sum64(text)
}
