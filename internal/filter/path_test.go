package filter

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"path"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const pathsPerCheck = 50

// pathKinds are kinds that differ in the properties that a caller might want to evade: their
// importance and the ban on retries.
const pathKinds = `
resource: service
name: orders
slots: 10
connections: 10
---
resource: request_kind
name: place
service: orders
method: POST
path: /orders/{order}
importance: low
repeat: never
deadline: 2s
---
resource: request_kind
name: note
service: orders
method: POST
path: /orders/{order}/notes
importance: critical
repeat: safe
deadline: 2s
---
resource: request_kind
name: pair
service: orders
method: POST
path: /{any}/{other}/notes
repeat: safe
deadline: 2s
---
resource: request_kind
name: rest
service: orders
method: POST
path: /{rest...}
repeat: safe
deadline: 2s
`

// targetRouters returns the ways in which targets interpret a received path. Each router
// returns the name of the kind, or nothing.
func targetRouters(set *schema.Set) map[string]func(uri string) string {
	matcher := schema.NewMatcher(set)
	named := func(urlPath string) string {
		if kind, ok := matcher.Match(http.MethodPost, urlPath); ok {
			return kind.Name
		}
		return ""
	}
	decoded := func(uri string) string {
		parsed, err := url.Parse(uri)
		if err != nil {
			return ""
		}
		return parsed.Path
	}
	mux := http.NewServeMux()
	for _, kind := range set.Kinds {
		mux.HandleFunc(kind.Method+" "+kind.Path, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Kind", kind.Name)
		})
	}
	return map[string]func(uri string) string{
		"segments decoded one by one": func(uri string) string {
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequest(http.MethodPost, uri, nil))
			return w.Header().Get("Kind")
		},
		"decoded whole":       func(uri string) string { return named(decoded(uri)) },
		"decoded and cleaned": func(uri string) string { return named(path.Clean(decoded(uri))) },
		"not decoded":         func(uri string) string { return named(strings.Split(uri, "?")[0]) },
	}
}

// For any path that a caller sends, the node either determines the same kind as the
// target or rejects the request.
func TestNodeAndTargetAgreeOnKind(t *testing.T) {
	set, err := schema.Parse("declarations", []byte(pathKinds))
	if err != nil {
		t.Fatal(err)
	}
	classify, routers := newClassifier(set), targetRouters(set)
	rapid.Check(t, func(t *rapid.T) {
		for range pathsPerCheck {
			checkPath(t, classify, routers, drawPath(t))
		}
	})
}

func checkPath(t *rapid.T, classify func(text string) (kind, uri string), routers map[string]func(uri string) string, text string) {
	seen, uri := classify(text)
	if seen == "" {
		return
	}
	for name, router := range routers {
		if got := router(uri); got != seen {
			t.Errorf("%s is %q for the node and %q for a target that reads it %s", text, seen, got, name)
		}
	}
}

// drawPath draws a path of declared and other segments, with separators by which a caller
// might try to be classified as another kind.
func drawPath(t *rapid.T) string {
	segment := rapid.SampledFrom([]string{
		"orders", "notes", "7", "ord%65rs", "n%6Ftes", "..", "%2e%2E", ".", "%25", "a%3Fb", "%C3%A9", "a;b", "%00",
	})
	separator := rapid.SampledFrom([]string{"/", "/", "/", "%2F", "%2f", "%5C", "\\", "%252F", "//", "/%2e/"})
	text := "/"
	for range rapid.IntRange(0, 3).Draw(t, "segments") {
		text += segment.Draw(t, "segment") + separator.Draw(t, "separator")
	}
	return text + segment.Draw(t, "segment")
}

// A path that has the same kind in every interpretation passes, encoded or not.
func TestEncodedParametersPass(t *testing.T) {
	is := is.New(t)
	set, err := schema.Parse("declarations", []byte(pathKinds))
	is.NoErr(err)
	classify := newClassifier(set)
	for text, want := range map[string]string{
		"/orders/7":              "place",
		"/orders/caf%C3%A9%20_1": "place",
		"/orders/7%3F/notes?a=b": "note",
		"/a/b/c%2Fd":             "rest",
		"/orders/7%2Fnotes":      "",
		"/orders/..%2F..":        "",
		"/ord%65rs/7":            "",
	} {
		seen, uri := classify(text)
		is.Equal(seen, want)               // the kind, if any
		is.True(want == "" || uri == text) // unchanged for the target
	}
}

// newClassifier returns a function that sends a path through the chain. The function
// returns the kind and the path that the target receives, or nothing if the request is
// rejected.
func newClassifier(set *schema.Set) func(text string) (kind, uri string) {
	rules := rulesOf(set)
	inbound := newTestFilters(time.Unix(1_800_000_000, 0), func() *Rules { return rules })
	return func(text string) (kind, uri string) {
		chain := Chain(inbound.Filters(), func(_ context.Context, e *Exchange) *call.Answer {
			kind, uri = e.Call.Kind.Name, e.Call.Path
			return &call.Answer{Code: result.OK}
		})
		raw := "POST " + text + " HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n"
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			return "", ""
		}
		chain(context.Background(), &Exchange{Request: request, Call: &call.Call{}})
		return kind, uri
	}
}
