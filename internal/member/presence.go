package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Contacted records a message from the member at a relay address, with the revision in
// force at that member, and reports whether the contact ended a lapse. If several names
// have the address, as after the replacement of a host, the contact counts for the one
// that started last.
func (v *View) Contacted(now time.Time, relayAddress string, revision int64) bool {
	var latest *entry
	for name, e := range v.entries {
		if e.row.RelayAddress != relayAddress || e.row.State == Gone || name == v.name {
			continue
		}
		if latest == nil || e.row.StartedMS > latest.row.StartedMS {
			latest = e
		}
	}
	if latest == nil {
		return false
	}
	latest.row.Revision = max(latest.row.Revision, revision)
	return v.renew(now, latest)
}

// Renewed records that the member's lease row was written at a version of the platform,
// and reports whether the renewal ended a lapse.
func (v *View) Renewed(now time.Time, row Member, version int64) bool {
	e := v.entries[row.Name]
	if e == nil || e.row.Incarnation != row.Incarnation || version <= e.leaseVersion {
		return false
	}
	e.leaseVersion = version
	return v.renew(now, e)
}

// Listed records the version of a lease row that says nothing about whether the member is
// present, because the platform was restored from an older copy and the row may be part of
// that copy.
func (v *View) Listed(row Member, version int64) {
	if e := v.entries[row.Name]; e != nil && e.row.Incarnation == row.Incarnation {
		e.leaseVersion = max(e.leaseVersion, version)
	}
}

// forgetLeases drops the versions of all lease rows.
func (v *View) forgetLeases() {
	for _, e := range v.entries {
		e.leaseVersion = 0
	}
}

// forgetLease drops the version of a lease row that is no longer in the table.
func (v *View) forgetLease(name string, version int64) {
	if e := v.entries[name]; e != nil && e.leaseVersion == version {
		e.leaseVersion = 0
	}
}

// Deleted records that the member's lease row was deleted at a version of the platform.
// This marks a leaving or lapsed member as gone, in which case Deleted returns its new
// row and true. Any other member will write its row again.
func (v *View) Deleted(now time.Time, name string, version int64) (Member, bool) {
	e := v.entries[name]
	if e == nil || name == v.name || version <= e.leaseVersion {
		return Member{}, false
	}
	if e.row.State == Gone {
		e.leaseVersion = 0
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

// IsDelegate reports whether the node is one of about count nodes that use the platform on
// behalf of all others. In each data centre those are the members whose names have the
// lowest hashes, so that nodes with equal views agree, and no data centre depends on
// another one.
func (v *View) IsDelegate(count int) bool {
	self := v.Self()
	rank := 0
	centres := map[string]bool{}
	for _, name := range v.presentNames() {
		row := &v.entries[name].row
		centres[row.DataCentre] = true
		if row.DataCentre == self.DataCentre && name != v.name && row.State != Leaving && lowerHash(name, v.name) {
			rank++
		}
	}
	return rank*max(len(centres), 1) < count
}

// lowerHash reports whether the hash of one name is below that of another.
func lowerHash(one, other string) bool {
	oneHash, otherHash := xxhash.Sum64String(one), xxhash.Sum64String(other)
	return oneHash < otherHash || oneHash == otherHash && one < other
}

// leaseDuration returns how long a member counts as present after the last contact with it
// or renewal of its lease, while the platform is up. In a large cluster leases are renewed
// and members contacted less often.
func (v *View) leaseDuration() time.Duration {
	return max(LeaseDuration, time.Duration(len(v.entries))*leasePerNode)
}

// PlatformUp records that the platform's table was read. Leases expire only after the
// platform has been up for the duration of a lease, so that every member had time to renew.
func (v *View) PlatformUp(now time.Time) {
	if v.platformUpSince.IsZero() {
		v.platformUpSince = now
	}
}

// PlatformDown records that the platform's table could not be read. From then on no lease
// expires, because no member can renew and a complete but possibly outdated view is more
// useful than an empty one. Failing calls still show which targets are dead.
func (v *View) PlatformDown() {
	v.platformUpSince = time.Time{}
}

// Lapse marks the members whose leases have expired since the last call as lapsed and
// returns them. It also drops Gone rows that are older than tombstoneRetention.
func (v *View) Lapse(now time.Time) []Member {
	var lapsed []Member
	duration := v.leaseDuration()
	leasesExpire := !v.platformUpSince.IsZero() && now.Sub(v.platformUpSince) >= duration
	for name, e := range v.entries {
		switch {
		case name == v.name:
		case e.row.State == Gone:
			if now.Sub(e.gone) >= tombstoneRetention {
				delete(v.entries, name)
			}
		case leasesExpire && e.lapsed.IsZero() && now.Sub(e.lastSeen) >= duration:
			e.lapsed = now
			v.markChanged()
			lapsed = append(lapsed, e.row)
		}
	}
	return lapsed
}

// Lapsed returns the members whose leases have expired, sorted by name. Nodes probe their
// addresses from time to time, because a node that restarts on the same address while the
// platform is down knows no other members and must be contacted by one.
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

// RecentlyGone returns the members that were marked as gone within recentlyGonePeriod,
// sorted by name. A node that restarts on the same address while the platform is down
// knows no other members.
func (v *View) RecentlyGone(now time.Time) []Member {
	var rows []Member
	for _, e := range v.entries {
		if e.row.State == Gone && now.Sub(e.gone) < recentlyGonePeriod {
			rows = append(rows, e.row)
		}
	}
	slices.SortFunc(rows, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return rows
}

// Expired returns a lapsed member whose lease row should be deleted from the table, and
// the version of that row. It also returns a member that is gone but has a row, which is in
// the table again if the platform came back from an older copy. Only the node with the first
// name deletes rows, so that 530 nodes do not all make the same write.
func (v *View) Expired(now time.Time) (Member, int64, bool) {
	if presentNames := v.presentNames(); len(presentNames) == 0 || presentNames[0] != v.name {
		return Member{}, 0, false
	}
	for _, row := range v.Lapsed() {
		e := v.entries[row.Name]
		if e.leaseVersion > 0 && now.Sub(e.lapsed) >= lapsedRowRetention {
			return row, e.leaseVersion, true
		}
	}
	for _, e := range v.entries {
		if e.row.State == Gone && e.leaseVersion > 0 && now.Sub(e.gone) >= lapsedRowRetention {
			return e.row, e.leaseVersion, true
		}
	}
	return Member{}, 0, false
}

func (v *View) renew(now time.Time, e *entry) bool {
	lapseEnded := !e.lapsed.IsZero()
	e.lastSeen = now
	e.lapsed = time.Time{}
	if lapseEnded {
		v.markChanged()
	}
	return lapseEnded
}
