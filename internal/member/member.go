// Package member knows which nodes are there.
//
// View is the pure part: a set of rows, one per node name, that merges by
// rules which give the same result in any order. Controller keeps a View fresh
// by exchanges with other nodes and by lease rows in the platform's table.
package member

import (
	"slices"
	"time"
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
	// returnTime is how long a member that went is looked for at its address.
	returnTime = time.Minute
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
		// TargetID names the process of the target, where targets announce
		// themselves, and TargetSlots the slots that it announced.
		TargetID    string
		TargetSlots int
		State       State
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

// All returns the members that are neither gone, lapsed nor replaced by another at
// their address, by name, with the node itself.
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

func (v *View) alter() {
	v.dirty = true
	v.edition++
}

// lastAtAddress returns the member that started last at each relay address.
func (v *View) lastAtAddress() map[string]*entry {
	last := make(map[string]*entry, len(v.entries))
	for _, e := range v.entries {
		address := e.row.RelayAddress
		if known := last[address]; address != "" && (known == nil || e.row.StartedMS > known.row.StartedMS) {
			last[address] = e
		}
	}
	return last
}

// replacedBy says whether the last member at the address has taken this one's place:
// its host was replaced, although its lease has not run out. That holds also once
// the last one is gone, unless there was a sign of life after that; then it was a
// predecessor whose clock was ahead.
func (e *entry) replacedBy(last *entry) bool {
	if last == nil || e.row.StartedMS >= last.row.StartedMS {
		return false
	}
	return last.row.State != Gone || !e.heard.After(last.gone)
}

func (v *View) names() []string {
	if !v.dirty {
		return v.present
	}
	v.dirty = false
	v.present = v.present[:0]
	last := v.lastAtAddress()
	for name, e := range v.entries {
		if e.row.State != Gone && e.lapsed.IsZero() && (name == v.name || !e.replacedBy(last[e.row.RelayAddress])) {
			v.present = append(v.present, name)
		}
	}
	slices.Sort(v.present)
	return v.present
}
