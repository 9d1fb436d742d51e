// Package member knows which nodes are there.
//
// View is the pure part: a set of rows, one per node name, that merges by
// rules which give the same result in any order. Controller keeps a View fresh
// by exchanges with other nodes and by lease rows in the platform's table.
package member

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// LeaseDuration is how long a member counts as present after the last
	// sign of it, while the platform is up.
	LeaseDuration = 30 * time.Second

	// goneKept is how long a Gone row shields against stale rows. It is longer
	// than a partition of regions lasts.
	goneKept = 2 * time.Hour
	// goneSent is how long a Gone row is handed on, half of goneKept so that
	// nodes do not keep refreshing it in each other.
	goneSent = goneKept / 2
	// lapsedKept is how long a lapsed member stays in the table.
	lapsedKept = 10 * time.Minute
	// deltaRows bounds the rows of one message.
	deltaRows = 64
)

type (
	// State is where a node is in its life.
	State uint8

	// Member is the row of one node. Only the node itself raises its version.
	Member struct {
		Name        string
		Incarnation string
		// StartedMS is the start of the incarnation in Unix milliseconds. It
		// orders the incarnations of one name.
		StartedMS     int64
		Version       uint64
		RelayAddress  string
		CallerAddress string
		AdminAddress  string
		DataCentre    string
		Region        string
		Service       string
		State         State
		// Revision is the configuration revision in force at the node.
		Revision int64
	}

	// View is what one node knows of all nodes. It is not safe for concurrent
	// use and reads no clock.
	View struct {
		name       string
		entries    map[string]*entry
		present    []string // sorted names of the members neither gone nor lapsed
		dirty      bool     // present must be made anew
		edition    uint64   // counts what could change present
		hash       uint64
		settled    bool // a later row of our own name is another process
		superseded *Member
		// leasesFrom is since when leases are judged; zero while the platform
		// is down.
		leasesFrom time.Time
	}

	entry struct {
		row    Member
		hash   uint64
		heard  time.Time
		lapsed time.Time // zero while the lease holds
		gone   time.Time // zero unless the row is Gone
		sends  int       // messages that are still to carry the row
		table  int64     // platform version of the lease row, 0 if never seen
	}
)

// The states in the order of a node's life. Of two rows that are otherwise
// alike the later state wins.
const (
	Starting State = iota
	Cold
	Active
	Leaving
	Gone
)

// String returns the state as it appears in logs and the resource API.
func (s State) String() string {
	if s > Gone {
		return "unknown"
	}
	return [...]string{"starting", "cold", "active", "leaving", "gone"}[s]
}

// NewView returns a view that holds only the node's own row.
func NewView(self Member) *View {
	v := &View{name: self.Name, entries: make(map[string]*entry)}
	self.Version = max(self.Version, 1)
	v.put(time.Time{}, self)
	return v
}

// Merge takes in rows from others and returns those that changed the view.
// Per name the later start wins, then the higher version, so the result does
// not depend on the order in which rows arrive.
func (v *View) Merge(now time.Time, rows []Member) (changed []Member) {
	for _, row := range rows {
		if row.Name == v.name {
			v.mergeOwn(now, row)
			continue
		}
		known := v.entries[row.Name]
		if known != nil && known.row.Incarnation == row.Incarnation && known.row.StartedMS == row.StartedMS {
			// The revision only rises and is no part of the version, see
			// SetSelf, so the higher one holds whichever row wins.
			known.row.Revision = max(known.row.Revision, row.Revision)
			row.Revision = known.row.Revision
		}
		if known != nil && !newer(row, known.row) {
			continue
		}
		v.put(now, row)
		changed = append(changed, row)
	}
	return changed
}

// Self returns the node's own row.
func (v *View) Self() Member {
	return v.entries[v.name].row
}

// SetSelf changes the node's own row and raises its version, unless nothing
// changed. A new revision alone does not raise it: one configuration would
// otherwise send 530 rows through every node. It travels with the lease row
// and with the messages of the node itself.
func (v *View) SetSelf(now time.Time, change func(*Member)) {
	row := v.Self()
	before := row
	change(&row)
	before.Revision = row.Revision
	if row == before {
		v.entries[v.name].row = row
		return
	}
	row.Version = before.Version + 1
	v.put(now, row)
}

// All returns the members that are neither gone nor lapsed, by name, with the
// node itself.
func (v *View) All(_ time.Time) []Member {
	names := v.names()
	members := make([]Member, len(names))
	for i, name := range names {
		members[i] = v.entries[name].row
	}
	return members
}

// Service returns the members beside targets of the service that are neither
// gone nor lapsed, by name. Those in state Leaving are among them.
func (v *View) Service(now time.Time, service string) []Member {
	var members []Member
	for _, member := range v.All(now) {
		if member.Service == service {
			members = append(members, member)
		}
	}
	return members
}

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

// Heard notes a sign of life from the member at a relay address, where the
// revision is in force, and returns whether that ended a lapse. Of several
// names at the address, as when a host was replaced, the last started is meant.
func (v *View) Heard(now time.Time, relayAddress string, revision int64) bool {
	var heard *entry
	for name, e := range v.entries {
		if e.row.RelayAddress != relayAddress || e.row.State == Gone || name == v.name {
			continue
		}
		if heard == nil || e.row.StartedMS > heard.row.StartedMS {
			heard = e
		}
	}
	if heard == nil {
		return false
	}
	heard.row.Revision = max(heard.row.Revision, revision)
	return v.renew(now, heard)
}

// Renewed notes that the member's lease row was written at a version of the
// platform, and returns whether that ended a lapse.
func (v *View) Renewed(now time.Time, row Member, version int64) bool {
	e := v.entries[row.Name]
	if e == nil || e.row.Incarnation != row.Incarnation || version <= e.table {
		return false
	}
	e.table = version
	return v.renew(now, e)
}

// Deleted notes that the member's lease row was deleted at a version of the
// platform. A member that was leaving or had lapsed is gone by it; any other
// writes its row again.
func (v *View) Deleted(now time.Time, name string, version int64) (Member, bool) {
	e := v.entries[name]
	if e == nil || name == v.name || version <= e.table || e.row.State == Gone {
		return Member{}, false
	}
	if e.row.State != Leaving && e.lapsed.IsZero() {
		return Member{}, false
	}
	row := e.row
	row.State = Gone
	v.put(now, row)
	return row, true
}

// PlatformUp notes that the platform's table was read. Leases are judged only
// once it has been up for LeaseDuration, so that everyone had time to renew.
func (v *View) PlatformUp(now time.Time) {
	if v.leasesFrom.IsZero() {
		v.leasesFrom = now.Add(LeaseDuration)
	}
}

// PlatformDown notes that the platform's table could not be read. From then on
// no lease runs out: nobody can renew, and a view that is kept whole serves
// better than none. Calls show which targets are dead.
func (v *View) PlatformDown() {
	v.leasesFrom = time.Time{}
}

// Lapse returns the members whose leases have run out since the last time.
func (v *View) Lapse(now time.Time) []Member {
	var lapsed []Member
	judged := !v.leasesFrom.IsZero() && !now.Before(v.leasesFrom)
	for name, e := range v.entries {
		switch {
		case name == v.name:
		case e.row.State == Gone:
			if now.Sub(e.gone) >= goneKept {
				delete(v.entries, name)
			}
		case judged && e.lapsed.IsZero() && now.Sub(e.heard) >= LeaseDuration:
			e.lapsed = now
			v.alter()
			lapsed = append(lapsed, e.row)
		}
	}
	return lapsed
}

// Lapsed returns the members whose leases have run out, by name. They are
// asked now and then, since a node that starts again on the same address
// while the platform is down knows nobody and must be found.
func (v *View) Lapsed() []Member {
	var rows []Member
	for _, e := range v.entries {
		if !e.lapsed.IsZero() && e.row.State != Gone {
			rows = append(rows, e.row)
		}
	}
	slices.SortFunc(rows, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return rows
}

// Expired returns a lapsed member whose lease row should be deleted from the
// table, and the version at which to delete it. Only the node with the first
// name does so, which keeps 530 nodes from writing the same.
func (v *View) Expired(now time.Time) (Member, int64, bool) {
	if names := v.names(); len(names) == 0 || names[0] != v.name {
		return Member{}, 0, false
	}
	for _, row := range v.Lapsed() {
		e := v.entries[row.Name]
		if e.table > 0 && now.Sub(e.lapsed) >= lapsedKept {
			return row, e.table, true
		}
	}
	return Member{}, 0, false
}

// Settle ends the start of the node. Until then, a later row of its own name
// is taken for a former incarnation whose clock was ahead, and the node moves
// its start behind it; from then on it is a later incarnation.
func (v *View) Settle() {
	v.settled = true
}

// Superseded returns the later incarnation of the node's own name, if one has
// been heard of. The node must then end its calls and stop.
func (v *View) Superseded() (Member, bool) {
	if v.superseded == nil {
		return Member{}, false
	}
	return *v.superseded, true
}

// Rounds returns the number of messages that carry a changed row among n
// members.
func Rounds(n int) int {
	return 2 * max(2, bits.Len(uint(n)))
}

func (v *View) mergeOwn(now time.Time, row Member) {
	self := v.Self()
	if !newer(row, self) {
		return
	}
	switch {
	case row.Incarnation == self.Incarnation:
		// Others hold a row of ours that we do not know: they took us for
		// gone, or we lost count. A higher version of the truth overrides it.
		self.Version = row.Version + 1
		v.put(now, self)
	case !v.settled:
		self.StartedMS = row.StartedMS + 1
		v.put(now, self)
	default:
		v.superseded = &row
	}
}

func (v *View) put(now time.Time, row Member) {
	e := v.entries[row.Name]
	if e == nil {
		e = &entry{}
		v.entries[row.Name] = e
	}
	if e.row.Incarnation != row.Incarnation {
		e.table = 0
	}
	v.hash -= e.hash
	e.row = row
	e.hash = hashRow(row)
	v.hash += e.hash
	e.heard = now
	e.lapsed = time.Time{}
	e.gone = time.Time{}
	if row.State == Gone {
		e.gone = now
	}
	e.sends = Rounds(len(v.entries))
	v.alter()
}

func (v *View) renew(now time.Time, e *entry) bool {
	ended := !e.lapsed.IsZero()
	e.heard = now
	e.lapsed = time.Time{}
	if ended {
		v.alter()
	}
	return ended
}

func (v *View) alter() {
	v.dirty = true
	v.edition++
}

func (v *View) names() []string {
	if !v.dirty {
		return v.present
	}
	v.dirty = false
	v.present = v.present[:0]
	for name, e := range v.entries {
		if e.row.State != Gone && e.lapsed.IsZero() {
			v.present = append(v.present, name)
		}
	}
	slices.Sort(v.present)
	return v.present
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
