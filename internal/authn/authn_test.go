package authn

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// A key must lead to its own team only, also next to keys whose digests begin alike.
func TestFindReturnsTheTeamOfAKey(t *testing.T) {
	is := is.New(t)
	alike := DigestOf("north-1")
	alike[len(alike)-1]++
	table := New([]schema.Team{
		{Name: "south", KeyDigests: []string{alike.String(), "not a digest"}},
		{Name: "north", KeyDigests: []string{DigestOf("north-1").String(), DigestOf("north-2").String()}},
	})
	is.Equal(table.Find(DigestOf("north-1")).Name, "north")
	is.Equal(table.Find(DigestOf("north-2")).Name, "north")
	is.Equal(table.Find(DigestOf("north-3")), nil)
	is.Equal(New(nil).Find(DigestOf("north-1")), nil) // an empty table has no key
}

func TestBearerKey(t *testing.T) {
	for _, test := range []struct {
		values []string
		want   string
	}{
		{nil, ""},
		{[]string{"Bearer abc"}, "abc"},
		{[]string{"bearer  abc "}, "abc"},
		{[]string{"Bearer"}, ""},
		{[]string{"Bearer "}, ""},
		{[]string{"Basic abc"}, ""},
		{[]string{"abc"}, ""},
		{[]string{"Bearer abc", "Bearer abd"}, ""},
	} {
		is := is.New(t)
		is.Equal(BearerKey(test.values), test.want)
	}
}

// The time and allocations for a key must not grow with the number of teams.
func BenchmarkAuthenticate(b *testing.B) {
	for _, count := range []int{10, 1_000, 10_000} {
		teams := make([]schema.Team, count)
		keys := make([]string, count)
		for i := range teams {
			keys[i] = "Bearer key-of-team-" + strconv.Itoa(i)
			digest := DigestOf(BearerKey([]string{keys[i]})).String()
			teams[i] = schema.Team{Name: "team-" + strconv.Itoa(i), KeyDigests: []string{digest}}
		}
		table := New(teams)
		for _, unknown := range []bool{false, true} {
			b.Run("teams="+strconv.Itoa(count)+"/unknown="+strconv.FormatBool(unknown), func(b *testing.B) {
				values := []string{"Bearer key-of-nobody"}
				b.ReportAllocs()
				for i := range b.N {
					if !unknown {
						values[0] = keys[i%count]
					}
					if (table.Find(DigestOf(BearerKey(values))) == nil) != unknown {
						b.Fatal("wrong verdict")
					}
				}
			})
		}
	}
}
