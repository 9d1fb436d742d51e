package schema

import (
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// naiveSegments and naiveMethods are the path segments and methods that the differential
// test combines. The segment z stands for every segment that no pattern contains.
var (
	naiveSegments = []string{"a", "b", "z"}
	naiveMethods  = []string{http.MethodGet, http.MethodHead, http.MethodPost}
)

// naiveMatch compares paths segment by segment. A GET kind also matches HEAD requests.
func naiveMatch(kind *Kind, method, path string) bool {
	if kind.Method != method && (kind.Method != http.MethodGet || method != http.MethodHead) {
		return false
	}
	pattern, segments := strings.Split(kind.Path, "/"), strings.Split(path, "/")
	if len(pattern) != len(segments) {
		return false
	}
	for i := range pattern {
		if pattern[i] != segments[i] && !strings.HasPrefix(pattern[i], "{") {
			return false
		}
	}
	return true
}

// naiveRequests returns every combination of a method and a path of one or two segments.
func naiveRequests() [][2]string {
	requests := make([][2]string, 0, len(naiveMethods)*len(naiveSegments)*(1+len(naiveSegments)))
	for _, method := range naiveMethods {
		for _, first := range naiveSegments {
			requests = append(requests, [2]string{method, "/" + first})
			for _, second := range naiveSegments {
				requests = append(requests, [2]string{method, "/" + first + "/" + second})
			}
		}
	}
	return requests
}

// naiveCovers reports whether a matches every request that b matches.
func naiveCovers(a, b *Kind) bool {
	for _, request := range naiveRequests() {
		if naiveMatch(b, request[0], request[1]) && !naiveMatch(a, request[0], request[1]) {
			return false
		}
	}
	return true
}

// naiveConflicts reports whether some request matches both kinds while neither pattern
// matches a strict subset of the other's requests.
func naiveConflicts(a, b *Kind) bool {
	if naiveCovers(a, b) != naiveCovers(b, a) {
		return false
	}
	for _, request := range naiveRequests() {
		if naiveMatch(a, request[0], request[1]) && naiveMatch(b, request[0], request[1]) {
			return true
		}
	}
	return false
}

func drawKinds(t *rapid.T) []Kind {
	segment := rapid.SampledFrom([]string{"/a", "/b", "/{x}"})
	last := rapid.SampledFrom([]string{"", "/a", "/b", "/{y}"})
	kinds := make([]Kind, rapid.IntRange(1, 5).Draw(t, "kinds"))
	for i := range kinds {
		kinds[i] = Kind{
			Name:   string(rune('a' + i)),
			Method: rapid.SampledFrom(naiveMethods).Draw(t, "method"),
			Path:   segment.Draw(t, "first") + last.Draw(t, "last"),
		}
	}
	return kinds
}

// TestMatchAgainstNaive generates kinds and compares conflicts and matches with those of a
// naive implementation that does not use net/http.
func TestMatchAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := &Set{}
		for _, kind := range drawKinds(t) {
			free := true
			for i := range set.Kinds {
				other := &set.Kinds[i]
				conflict := naiveConflicts(other, &kind)
				if conflicts(other, &kind) != conflict {
					t.Fatalf("%s %s and %s %s: conflict should be %v", other.Method, other.Path, kind.Method, kind.Path, conflict)
				}
				free = free && !conflict
			}
			if free {
				set.Kinds = append(set.Kinds, kind)
			}
		}
		matcher := NewMatcher(set)
		for _, request := range naiveRequests() {
			var want *Kind
			for i := range set.Kinds {
				kind := &set.Kinds[i]
				if naiveMatch(kind, request[0], request[1]) && (want == nil || naiveCovers(want, kind)) {
					want = kind
				}
			}
			if got, _ := matcher.Match(request[0], request[1]); got != want {
				t.Fatalf("%v: found %+v, want %+v", request, got, want)
			}
		}
	})
}
