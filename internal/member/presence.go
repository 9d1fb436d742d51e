package member

import (
	"slices"
	"strings"
	"time"
)

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

// Left returns the members that went a short while ago, by name. A node that
// starts again on the same address while the platform is down knows nobody.
func (v *View) Left(now time.Time) []Member {
	var rows []Member
	for _, e := range v.entries {
		if e.row.State == Gone && now.Sub(e.gone) < returnTime {
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

func (v *View) renew(now time.Time, e *entry) bool {
	ended := !e.lapsed.IsZero()
	e.heard = now
	e.lapsed = time.Time{}
	if ended {
		v.alter()
	}
	return ended
}
