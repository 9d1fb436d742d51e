package member

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Deltas returns the rows that one message should carry: those that changed
// lately, each for a number of messages of about twice the logarithm of the
// number of members, after which nearly all have it. The rest is found by the
// hash.
func (v *View) Deltas(_ time.Time) []Member {
	var due []*entry
	for _, e := range v.entries {
		if e.sends > 0 {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		if a.sends != b.sends {
			return b.sends - a.sends
		}
		return strings.Compare(a.row.Name, b.row.Name)
	})
	due = due[:min(len(due), deltaRows)]
	rows := make([]Member, len(due))
	for i, e := range due {
		e.sends--
		rows[i] = e.row
	}
	return rows
}

// Full returns every row that another node may lack.
func (v *View) Full(now time.Time) []Member {
	rows := make([]Member, 0, len(v.entries))
	for _, e := range v.entries {
		if e.row.State != Gone || now.Sub(e.gone) < goneSent {
			rows = append(rows, e.row)
		}
	}
	slices.SortFunc(rows, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return rows
}

// Rounds returns the number of messages that carry a changed row among n
// members.
func Rounds(n int) int {
	return 2 * max(2, bits.Len(uint(n)))
}

// Hash returns a hash over the rows that are not gone. It does not depend on
// their order: it is the sum of the rows' own hashes.
func (v *View) Hash() uint64 {
	return v.hash
}

// HashRows returns the hash of a view that holds just these rows.
func HashRows(rows []Member) uint64 {
	var sum uint64
	for i := range rows {
		sum += hashRow(rows[i])
	}
	return sum
}

// newer orders the rows of one name. The incarnation decides between equal
// starts, and the state between equal versions, so that any two rows have the
// same winner everywhere.
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

// hashRow hashes what tells two rows of a name apart; a Gone row counts as
// absent.
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
	return xxhash.Sum64(text)
}
