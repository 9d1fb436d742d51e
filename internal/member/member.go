// Package member implements the membership protocol of the nodes.
//
// View is a data structure without I/O: a set of rows, one per node name, with a merge
// that is commutative, associative and idempotent. Controller keeps a View up to date by
// gossip exchanges with other nodes and by lease rows in a table of the platform.
package member

import (
	"slices"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/beat"
)

const (
	// LeaseDuration is how long a member counts as present at least after the last contact
	// with the member or renewal of its lease, while the platform is up. With more than
	// LeaseDuration/leasePerNode members the time grows with their number.
	LeaseDuration = 30 * time.Second
	leasePerNode  = 500 * time.Millisecond

	// tombstoneRetention is how long a view keeps a Gone row, so that stale rows do not
	// bring the member back. It is longer than a partition between regions lasts.
	tombstoneRetention = 2 * time.Hour
	// tombstoneSendPeriod is how long a node sends a Gone row to others. It is half of
	// tombstoneRetention, so that nodes do not keep refreshing the row in each other.
	tombstoneSendPeriod = tombstoneRetention / 2
	// recentlyGonePeriod is how long nodes go on probing the address of a member that is
	// gone, in case it restarts there.
	recentlyGonePeriod = time.Minute
	// lapsedRowRetention is how long the lease row of a lapsed member stays in the table.
	lapsedRowRetention = 10 * time.Minute
	// maxDeltaRows limits the changed rows in one message.
	maxDeltaRows = 64
)

type (
	// State is a node's stage between start and departure.
	State uint8

	// Member is the row of one node. Only the node itself increments its version.
	Member struct {
		Name        string
		Incarnation string
		// StartedMS is when the incarnation started, in Unix milliseconds. It orders the
		// incarnations of one name.
		StartedMS     int64
		Version       uint64
		RelayAddress  string
		CallerAddress string
		AdminAddress  string
		DataCentre    string
		Region        string
		Service       string
		// TargetID identifies the process of the target, if targets announce themselves, and
		// TargetSlots is the number of slots that the target announced.
		TargetID    string
		TargetSlots int
		// TargetDepartures holds what the target has announced to any incarnation of the
		// node. Of all rows of a name the latest departures are kept, whichever row wins. A
		// node that restarts thereby learns what its predecessor confirmed to the target.
		TargetDepartures beat.Departures
		State            State
		// Revision is the configuration revision in force at the node.
		Revision int64
	}

	// View is what one node knows of all nodes. It is not safe for concurrent use. It reads
	// no clock: callers pass the time.
	View struct {
		name         string
		entries      map[string]*entry
		present      []string // sorted names of the members present, as All lists them
		dirty        bool     // present must be rebuilt
		generation   uint64   // incremented by every change that could affect present
		hash         uint64
		startupEnded bool // a later row of the own name belongs to another process
		superseded   *Member
		// platformUpSince is when the platform's table was read again after an outage; zero
		// while the platform is down.
		platformUpSince time.Time
	}

	entry struct {
		row          Member
		hash         uint64
		lastSeen     time.Time
		lapsed       time.Time // zero while the lease is valid
		gone         time.Time // zero unless the row is Gone
		sendsLeft    int       // number of further messages that will carry the row
		leaseVersion int64     // platform version of the lease row, 0 if never read
	}
)

// The states in the order in which a node passes through them. Of two rows that are
// otherwise equal the one with the later state wins.
const (
	Starting State = iota
	Cold
	Active
	Leaving
	Gone
)

// String returns the name of the state in logs and in the resource API.
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

// Merge adds rows received from others and returns those that changed the view. Per name
// the later start wins, then the higher version, so the result does not depend on the
// order in which rows arrive.
func (v *View) Merge(now time.Time, rows []Member) (changed []Member) {
	for _, row := range rows {
		if row.Name == v.name {
			if v.mergeSelf(now, row) {
				changed = append(changed, v.Self())
			}
			continue
		}
		known := v.entries[row.Name]
		if known != nil && known.row.Incarnation == row.Incarnation && known.row.StartedMS == row.StartedMS {
			// The revision only increases and does not change the version, see SetSelf, so
			// the higher revision is kept whichever row wins.
			known.row.Revision = max(known.row.Revision, row.Revision)
			row.Revision = known.row.Revision
		}
		if known != nil && !newer(row, known.row) {
			if merged := known.row; merged.learnDepartures(row) {
				v.setRow(known, merged) // says nothing about whether the member is present
				changed = append(changed, merged)
			}
			continue
		}
		if known != nil {
			row.learnDepartures(known.row)
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

// SetSelf changes the node's own row and increments its version, unless nothing changed.
// A new revision alone does not increment the version, because every new configuration
// would then spread 530 rows (in a cluster of 530 nodes) through every node. Others learn
// the revision from the lease row and from the node's own messages.
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

// All returns the members that are neither gone, nor lapsed, nor replaced by another
// member at their address, including the node itself, sorted by name.
func (v *View) All(_ time.Time) []Member {
	presentNames := v.presentNames()
	members := make([]Member, len(presentNames))
	for i, name := range presentNames {
		members[i] = v.entries[name].row
	}
	return members
}

// Service returns those of All that run beside targets of the service, sorted by name.
// Members in state Leaving are included.
func (v *View) Service(now time.Time, service string) []Member {
	var members []Member
	for _, member := range v.All(now) {
		if member.Service == service {
			members = append(members, member)
		}
	}
	return members
}

// EndStartup marks the end of the node's start. Until then, a later row of the node's own
// name is taken for an earlier incarnation whose clock was ahead, and the node raises its
// own start time above that of the row. Afterwards such a row is a later incarnation,
// which supersedes the node.
func (v *View) EndStartup() {
	v.startupEnded = true
}

// Superseded returns the later incarnation of the node's own name, if one is known. The
// node must then finish its calls and stop.
func (v *View) Superseded() (Member, bool) {
	if v.superseded == nil {
		return Member{}, false
	}
	return *v.superseded, true
}

// mergeSelf merges a row of the node's own name, and reports whether the row named a later
// departure of the target.
func (v *View) mergeSelf(now time.Time, row Member) (departureLearned bool) {
	self := v.Self()
	if self.learnDepartures(row) {
		departureLearned = true
		self.Version++
		v.put(now, self)
	}
	if !newer(row, self) {
		return departureLearned
	}
	switch {
	case row.Incarnation == self.Incarnation:
		// Others have a row of this incarnation that is newer than our own: they
		// considered this node gone, or this node lost count of its versions. Resend the
		// actual row with a higher version, which overrides theirs.
		self.Version = row.Version + 1
		v.put(now, self)
	case !v.startupEnded:
		self.StartedMS = row.StartedMS + 1
		v.put(now, self)
	default:
		v.superseded = &row
	}
	return departureLearned
}

// learnDepartures merges the departures that another row of the same name holds, and reports
// whether any of them is later.
func (m *Member) learnDepartures(from Member) bool {
	before := m.TargetDepartures
	m.TargetDepartures = before.Merge(from.TargetDepartures)
	return m.TargetDepartures != before
}

func (v *View) put(now time.Time, row Member) {
	e := v.entries[row.Name]
	if e == nil {
		e = &entry{}
		v.entries[row.Name] = e
	}
	if e.row.Incarnation != row.Incarnation {
		e.leaseVersion = 0
	}
	v.setRow(e, row)
	e.lastSeen = now
	e.lapsed = time.Time{}
	e.gone = time.Time{}
	if row.State == Gone {
		e.gone = now
	}
}

// setRow replaces the row of an entry and has it sent to other members.
func (v *View) setRow(e *entry, row Member) {
	v.hash -= e.hash
	e.row = row
	e.hash = hashRow(row)
	v.hash += e.hash
	e.sendsLeft = RetransmitLimit(len(v.entries))
	v.markChanged()
}

func (v *View) markChanged() {
	v.dirty = true
	v.generation++
}

// latestByAddress returns the member that started last at each relay address.
func (v *View) latestByAddress() map[string]*entry {
	last := make(map[string]*entry, len(v.entries))
	for _, e := range v.entries {
		address := e.row.RelayAddress
		if known := last[address]; address != "" && (known == nil || e.row.StartedMS > known.row.StartedMS) {
			last[address] = e
		}
	}
	return last
}

// replacedBy reports whether the host of the member was replaced, although its lease has
// not run out: last, the member that started last at the same address, has a later start
// time. This also holds after last is gone. If however the member was seen after last was
// gone, then last was a predecessor whose clock was ahead.
func (e *entry) replacedBy(last *entry) bool {
	if last == nil || e.row.StartedMS >= last.row.StartedMS {
		return false
	}
	return last.row.State != Gone || !e.lastSeen.After(last.gone)
}

func (v *View) presentNames() []string {
	if !v.dirty {
		return v.present
	}
	v.dirty = false
	v.present = v.present[:0]
	last := v.latestByAddress()
	for name, e := range v.entries {
		if e.row.State != Gone && e.lapsed.IsZero() && (name == v.name || !e.replacedBy(last[e.row.RelayAddress])) {
			v.present = append(v.present, name)
		}
	}
	slices.Sort(v.present)
	return v.present
}
