package member_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionfield/dandelionfield/internal/beat"
	"github.com/dandelionfield/dandelionfield/internal/member"
)

var start = time.UnixMilli(1_700_000_000_000)

// TestView runs the scripts in testdata/view. The format of a row is
// name/incarnation/started/version/state.
func TestView(t *testing.T) {
	datadriven.Walk(t, "testdata/view", func(t *testing.T, path string) {
		view := member.NewView(parseRow(t, "self/i1/100/1/active"))
		now := start
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			lines := strings.Fields(d.Input)
			switch d.Cmd {
			case "merge":
				return formatRows(view.Merge(now, parseRows(t, lines)))
			case "all":
				return formatRows(view.All(now))
			case "self":
				return formatRows([]member.Member{view.Self()})
			case "pass":
				var text string
				d.ScanArgs(t, "time", &text)
				passed, err := time.ParseDuration(text)
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(passed)
				return "lapsed:\n" + formatRows(view.Lapse(now))
			case "platform":
				if d.HasArg("up") {
					view.PlatformUp(now)
				} else {
					view.PlatformDown()
				}
			case "renewed":
				var version int64
				d.ScanArgs(t, "version", &version)
				for _, row := range parseRows(t, lines) {
					view.Renewed(now, row, version)
				}
			case "deleted":
				var name string
				var version int64
				d.ScanArgs(t, "name", &name)
				d.ScanArgs(t, "version", &version)
				row, gone := view.Deleted(now, name, version)
				if !gone {
					return "kept\n"
				}
				return formatRows([]member.Member{row})
			case "end-startup":
				view.EndStartup()
			case "superseded":
				row, superseded := view.Superseded()
				if !superseded {
					return "no\n"
				}
				return formatRows([]member.Member{row})
			case "deltas":
				return formatRows(view.Deltas(now))
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return "ok\n"
		})
	})
}

func parseRows(t *testing.T, lines []string) []member.Member {
	rows := make([]member.Member, len(lines))
	for i, line := range lines {
		rows[i] = parseRow(t, line)
	}
	return rows
}

func parseRow(t *testing.T, line string) member.Member {
	part := strings.Split(line, "/")
	started, err := strconv.ParseInt(part[2], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	version, err := strconv.ParseUint(part[3], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	state := member.Starting
	for state.String() != part[4] {
		state++
	}
	return member.Member{Name: part[0], Incarnation: part[1], StartedMS: started, Version: version, State: state}
}

func formatRows(rows []member.Member) string {
	var text strings.Builder
	for _, row := range rows {
		fmt.Fprintf(&text, "%s/%s/%d/%d/%s\n", row.Name, row.Incarnation, row.StartedMS, row.Version, row.State)
	}
	if text.Len() == 0 {
		return "none\n"
	}
	return text.String()
}

func drawRow(t *rapid.T) member.Member {
	return member.Member{
		Name:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
		Incarnation: rapid.SampledFrom([]string{"i", "j"}).Draw(t, "incarnation"),
		StartedMS:   rapid.Int64Range(1, 2).Draw(t, "started"),
		Version:     rapid.Uint64Range(1, 3).Draw(t, "version"),
		State:       member.State(rapid.IntRange(0, int(member.Gone)).Draw(t, "state")),
		Revision:    rapid.Int64Range(0, 3).Draw(t, "revision"),

		TargetDepartures: beat.Departures{
			StartedMS: rapid.Int64Range(0, 2).Draw(t, "departed"),
			ByID: beat.Process{
				ID:        rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "departed id"),
				StartedMS: rapid.Int64Range(0, 2).Draw(t, "departed by id"),
			},
		},
	}
}

func mergedView(rows ...[]member.Member) *member.View {
	view := member.NewView(member.Member{Name: "self", Incarnation: "s"})
	for _, batch := range rows {
		view.Merge(start, batch)
	}
	return view
}

// referenceMerge is a simple model of Merge: it keeps the greatest row per name in the
// order of the tuples (start, incarnation, version, state), with the latest departure of any
// row of that name.
func referenceMerge(rows []member.Member) map[string]member.Member {
	best := make(map[string]member.Member)
	departed := make(map[string]beat.Departures)
	rank := func(m member.Member) string {
		return fmt.Sprintf("%04d %s %04d %d", m.StartedMS, m.Incarnation, m.Version, m.State)
	}
	for _, row := range rows {
		if known, ok := best[row.Name]; !ok || rank(row) > rank(known) {
			best[row.Name] = row
		}
		latest, ofRow := departed[row.Name], row.TargetDepartures
		latest.StartedMS = max(latest.StartedMS, ofRow.StartedMS)
		if processRank(ofRow.ByID) > processRank(latest.ByID) {
			latest.ByID = ofRow.ByID
		}
		departed[row.Name] = latest
	}
	for name, row := range best {
		row.TargetDepartures = departed[name]
		best[name] = row
	}
	return best
}

func processRank(p beat.Process) string {
	return fmt.Sprintf("%04d %s", p.StartedMS, p.ID)
}

func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		rows := rapid.SliceOfN(rapid.Custom(drawRow), 0, 12).Draw(t, "rows")
		shuffled := rapid.Permutation(rows).Draw(t, "shuffled")
		cut := rapid.IntRange(0, len(rows)).Draw(t, "cut")

		whole := mergedView(rows)
		other := mergedView(shuffled[cut:], shuffled[:cut], shuffled) // in another order and grouping, and twice
		is.Equal(whole.Full(start), other.Full(start))
		is.Equal(whole.Hash(), other.Hash())
		is.Equal(whole.Hash(), member.HashRows(whole.Full(start)))

		best := referenceMerge(rows)
		for _, row := range whole.Full(start) {
			want := best[row.Name]
			want.Revision = row.Revision
			is.True(row.Name == "self" || row == want)
		}
		names := slices.Collect(maps.Keys(best))
		is.Equal(len(whole.Full(start)), len(names)+1)
	})
}

func TestStaleRowsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		rows := rapid.SliceOfN(rapid.Custom(drawRow), 1, 12).Draw(t, "rows")
		view := mergedView(rows)
		before := view.All(start)
		later := start.Add(time.Hour)
		is.Equal(len(view.Merge(later, rows)), 0)
		is.Equal(view.All(later), before)
	})
}

func TestContactCountsForLatestMemberAtAddress(t *testing.T) {
	is := is.New(t)
	view := mergedView([]member.Member{
		{Name: "old", Incarnation: "a", StartedMS: 1, RelayAddress: "10.0.0.1:1"},
		{Name: "new", Incarnation: "b", StartedMS: 2, RelayAddress: "10.0.0.1:1"},
	})
	view.PlatformUp(start)
	later := start.Add(time.Minute)
	is.Equal(len(view.Lapse(later)), 2)
	for range 20 { // map iteration order is random
		is.True(!view.Contacted(later, "10.0.0.2:1", 1))
		view.Contacted(later, "10.0.0.1:1", 1)
	}
	is.Equal(len(view.Lapsed()), 1)
	is.Equal(view.Lapsed()[0].Name, "old")
}

// A host was lost and another host has taken its address. If the lost node stayed in the
// view until its lease ended, calls to the lost node would reach the new node, which
// rejects them. The lost node must not come back when the new node leaves.
func TestReplacedMemberIsNotPresent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	view := member.NewView(member.Member{Name: "side-1", RelayAddress: "10.0.0.1:7100", StartedMS: 50})
	lost := member.Member{Name: "side-4", RelayAddress: "10.0.0.4:7100", StartedMS: 100, Version: 1, State: member.Active}
	successor := member.Member{Name: "side-6", RelayAddress: "10.0.0.4:7100", StartedMS: 900, Version: 1, State: member.Active}
	names := func() (names []string) {
		for _, m := range view.All(now) {
			names = append(names, m.Name)
		}
		return names
	}
	view.Merge(now, []member.Member{lost})
	is.Equal(names(), []string{"side-1", "side-4"})
	view.Merge(now, []member.Member{successor})
	is.Equal(names(), []string{"side-1", "side-6"})
	successor.State, successor.Version = member.Gone, 2
	view.Merge(now, []member.Member{successor})
	is.Equal(names(), []string{"side-1"})
}

// The clock of a replaced host was ahead, so its successor seems to have started earlier.
// The view must keep the successor if it was seen after the predecessor was gone, and a
// node must never drop itself from its own view.
func TestSuccessorWithClockBehindIsPresent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	ahead := member.Member{Name: "side-4", RelayAddress: "10.0.0.4:7100", StartedMS: 900, Version: 1, State: member.Gone}
	successor := member.Member{Name: "side-6", RelayAddress: "10.0.0.4:7100", StartedMS: 895, Version: 1, State: member.Active}
	other := member.NewView(member.Member{Name: "side-1", RelayAddress: "10.0.0.1:7100", StartedMS: 50})
	other.Merge(now, []member.Member{ahead})
	other.Merge(now.Add(time.Second), []member.Member{successor})
	is.Equal(len(other.All(now)), 2)
	own := member.NewView(successor)
	ahead.State = member.Active
	own.Merge(now, []member.Member{ahead})
	is.Equal(own.All(now)[len(own.All(now))-1].Name, "side-6")
}

// A row that is not the newest one of its name may still name the latest departure of the
// target. It must not make a lapsed or gone member look present.
func TestDepartureInStaleRowDoesNotRestoreMember(t *testing.T) {
	is := is.New(t)
	row := member.Member{Name: "a", Incarnation: "i", StartedMS: 1, Version: 2, State: member.Active}
	view := mergedView([]member.Member{row})
	view.PlatformUp(start)
	later := start.Add(time.Minute)
	is.Equal(len(view.Lapse(later)), 1)
	row.Version, row.TargetDepartures.StartedMS = 1, 50
	is.Equal(view.Merge(later, []member.Member{row})[0].TargetDepartures.StartedMS, int64(50))
	is.Equal(len(view.Lapsed()), 1)
	is.Equal(view.Lapsed()[0].Version, uint64(2))
}
