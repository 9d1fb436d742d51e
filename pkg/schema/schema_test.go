package schema

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestParse runs the files under testdata/parse. The command `parse` prints the canonical
// document, and `accept` prints ok; both print all problems of an invalid document with
// their positions.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata/parse", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			set, err := Parse("mesh.yaml", []byte(d.Input))
			if err != nil {
				return err.Error() + "\n"
			}
			if d.Cmd == "accept" {
				return "ok\n"
			}
			return string(set.Document())
		})
	})
}

// TestSet runs the files under testdata/set. The command `declare` replaces the set, `diff`
// does so and prints the changes, and the other commands query the set.
func TestSet(t *testing.T) {
	datadriven.Walk(t, "testdata/set", func(t *testing.T, path string) {
		set := &Set{Limits: DefaultLimits()}
		var matcher *Matcher
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "declare", "diff":
				next, err := Parse("mesh.yaml", []byte(d.Input))
				if err != nil {
					t.Fatal(err)
				}
				answer := "ok\n"
				if d.Cmd == "diff" {
					answer = changesText(set.Diff(next))
				}
				set, matcher = next, NewMatcher(next)
				return answer
			case "chain":
				return strings.Join(set.Chain(strings.TrimSpace(d.Input)), " ") + "\n"
			case "match":
				return matchText(matcher, d.Input)
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

func changesText(changes []Change) string {
	var text strings.Builder
	for _, change := range changes {
		fmt.Fprintf(&text, "%s %s %s\n", change.Action, change.Type, change.Name)
		for _, field := range change.Fields {
			fmt.Fprintf(&text, "  %s: %q -> %q\n", field.Key, field.Before, field.After)
		}
	}
	return text.String()
}

func matchText(matcher *Matcher, input string) string {
	var text strings.Builder
	for line := range strings.Lines(input) {
		method, path, _ := strings.Cut(strings.TrimSpace(line), " ")
		name := "none"
		if kind, ok := matcher.Match(method, path); ok {
			name = kind.Name
		}
		fmt.Fprintf(&text, "%s %s: %s\n", method, path, name)
	}
	return text.String()
}

func TestReferencesResolveAcrossFiles(t *testing.T) {
	is := is.New(t)
	set, err := ParseDir("testdata/mesh")
	is.NoErr(err)
	is.Equal(len(set.Services), 1)
	is.Equal(len(set.Kinds), 1)
	_, err = ParseFiles("testdata/mesh/kinds.yaml")
	is.True(err != nil) // the service is declared in the other file
	is.True(strings.HasPrefix(err.Error(), "testdata/mesh/kinds.yaml:3:10: service: expected a declared service"))
}

func TestWithoutRemovesOneResource(t *testing.T) {
	is := is.New(t)
	set, err := ParseDir("testdata/mesh")
	is.NoErr(err)
	rest, found := set.Without(TypeKind, "check_allowance")
	is.True(found)
	is.Equal(rest.Diff(set)[0].Action, Created)
	_, found = set.Without(TypeService, "check_allowance")
	is.True(!found) // only a kind has this name
}

// The removal of a team's keys must not open its kinds to the same keys and to requests without
// any. Only the removal of the authentication says that no keys are needed.
func TestWithoutLastTeamStillRequiresKeys(t *testing.T) {
	is := is.New(t)
	set := &Set{Teams: []Team{{Name: "north"}, {Name: "south"}}, Limits: DefaultLimits()}
	rest, _ := set.Without(TypeTeam, "south")
	is.Equal(rest.Authentication, Authentication{}) // north remains
	rest, found := rest.Without(TypeTeam, "north")
	is.True(found)
	is.Equal(len(rest.Teams), 0)
	is.True(rest.RequiresKeys())
	reparsed, err := Parse("rest.yaml", rest.Document())
	is.NoErr(err)
	is.True(reparsed.RequiresKeys())
	rest, found = rest.Without(TypeAuthentication, AuthenticationName)
	is.True(found)
	is.True(!rest.RequiresKeys())
	rest, found = rest.Without(TypeTeam, "north")
	is.True(!found)
	is.True(!rest.RequiresKeys()) // nothing was removed
}

// FuzzParse looks for panics, and for sets that change when their canonical form is parsed
// again.
func FuzzParse(f *testing.F) {
	f.Add([]byte("resource: service\nname: a\nslots: 1\nconnections: 1\nretry_share: 1e-3\n"))
	f.Add([]byte("resource: request_kind\nname: k\nservice: a\npath: /a/{b}\ncalls: [k]\n---\nresource: limits\nkey_age: 1h\n"))
	f.Add([]byte("resource: data_centre\nname: n\nregion: r\ndistances: {n: 1ms, m: 0.5ms}\n"))
	f.Add([]byte("resource: team\nname: t\nkey_digests: []\nimportance: high\nrate: 0.5\nburst: 7\n"))
	f.Add([]byte("resource: authentication\nkeys: required\n"))
	f.Add([]byte("a: &a [*a]\n--- !!binary x\n--- [1]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := Parse("fuzz.yaml", data)
		if err != nil {
			return
		}
		document := set.Document()
		reparsed, err := Parse("fuzz.yaml", document)
		if err != nil {
			t.Fatalf("the canonical form does not parse: %v\n%s", err, document)
		}
		if !bytes.Equal(reparsed.Document(), document) || len(set.Diff(reparsed)) > 0 {
			t.Fatalf("the canonical form changes:\n%s\n%s", document, reparsed.Document())
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	set, err := ParseDir("testdata/mesh")
	if err != nil {
		b.Fatal(err)
	}
	matcher := NewMatcher(set)
	b.ReportAllocs()
	for b.Loop() {
		matcher.Match("GET", "/allowances/41")
	}
}
