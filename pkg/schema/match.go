package schema

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"path"
	"regexp"
	"strings"

	"github.com/dandelionfield/dandelionfield/internal/place"
)

type (
	// Matcher finds the kind of a request by its method and path. It may be
	// used from several goroutines.
	Matcher struct {
		routes *http.ServeMux
		// prefixes holds the kinds with a prefix, by host and prefix.
		prefixes map[prefixKey]*Kind
		hosts    map[string]bool
	}

	prefixKey struct {
		host   string
		prefix string
	}

	// route carries a kind through the router of net/http, which is used only
	// to look patterns up.
	route struct {
		kind *Kind
	}
)

// pathShape holds the paths that may be declared: printable, and without a
// host, a space or the special {$}.
var pathShape = regexp.MustCompile(`^(/([A-Za-z0-9._~!&'()*+,;=:@-]+|\{[a-z][a-z0-9_]*(\.\.\.)?\}))+$|^/$`)

// errConflict means that two patterns match some request alike.
var errConflict = errors.New("conflicting patterns")

// ServeHTTP is never called; it lets a route stand in the router.
func (*route) ServeHTTP(http.ResponseWriter, *http.Request) {}

// NewMatcher compiles the paths of a checked set. Patterns are those of
// net/http: {name} stands for one segment, {name...} for the rest, and the more
// specific pattern wins. Kinds that conflict with an earlier one are left out.
func NewMatcher(s *Set) *Matcher {
	m := &Matcher{
		routes:   http.NewServeMux(),
		prefixes: map[prefixKey]*Kind{},
		hosts:    map[string]bool{},
	}
	for i := range s.Kinds {
		kind := &s.Kinds[i]
		if kind.Prefix != "" {
			m.prefixes[prefixKey{kind.Host, kind.Prefix}] = kind
			m.hosts[kind.Host] = true
			continue
		}
		_ = register(m.routes, kind)
	}
	return m
}

// MatchPrefix returns the kind with the longest prefix of a path, as it was
// sent, among those of the host and then among those of all hosts. The path is
// not decoded: a target sees the same bytes.
func (m *Matcher) MatchPrefix(host, path string) (*Kind, bool) {
	if len(m.prefixes) == 0 {
		return nil, false
	}
	host = hostName(host)
	if m.hosts[host] {
		if kind, ok := m.longest(host, path); ok {
			return kind, true
		}
	}
	return m.longest("", path)
}

// longest looks the starts of the path up that end with a slash.
func (m *Matcher) longest(host, path string) (*Kind, bool) {
	for end := len(path); end > 0; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			break
		}
		if kind, ok := m.prefixes[prefixKey{host, path[:end+1]}]; ok {
			return kind, true
		}
	}
	return nil, false
}

// hostName returns the host of a Host header in lower case, without its port.
func hostName(header string) string {
	if host, _, err := net.SplitHostPort(header); err == nil {
		header = host
	}
	return strings.ToLower(header)
}

// Match returns the kind for a method and the decoded path of a URL. A path
// that is not clean, such as //stock or /a/../stock, matches nothing.
func (m *Matcher) Match(method, urlPath string) (*Kind, bool) {
	if !strings.HasPrefix(urlPath, "/") || path.Clean(urlPath) != urlPath {
		return nil, false
	}
	request := &http.Request{Method: method, URL: &url.URL{Path: urlPath}}
	handler, _ := m.routes.Handler(request)
	found, ok := handler.(*route)
	if !ok {
		return nil, false
	}
	return found.kind, true
}

// Chain returns the services that a kind is known to call, directly or
// through other kinds, its own first. It is empty for an unknown kind.
func (s *Set) Chain(kind string) []string {
	var services []string
	seenKinds := map[string]bool{}
	seenServices := map[string]bool{}
	queue := []string{kind}
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		next := s.Kind(name)
		if next == nil || seenKinds[name] {
			continue
		}
		seenKinds[name] = true
		for _, service := range next.Services() {
			if !seenServices[service] {
				seenServices[service] = true
				services = append(services, service)
			}
		}
		queue = append(queue, next.Calls...)
	}
	return services
}

// register adds a kind to the router. The router panics on conflicts, which
// is its only way to tell of them.
func register(routes *http.ServeMux, kind *Kind) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", errConflict, cause)
		}
	}()
	routes.Handle(kind.Method+" "+routePath(kind.Path), &route{kind: kind})
	return nil
}

// routePath keeps the root from matching every path, as "/" does in net/http.
func routePath(declared string) string {
	if declared == "/" {
		return "/{$}"
	}
	return declared
}

// conflict reports whether some request matches both kinds with neither the
// more specific.
func conflict(a, b *Kind) bool {
	routes := http.NewServeMux()
	if register(routes, a) != nil {
		return false
	}
	return register(routes, b) != nil
}

// pathPattern reads the path of a kind.
func pathPattern(to *string) func(*place.Reader, place.Value) {
	const expected = "a path such as /allowances/{household}"
	return func(r *place.Reader, value place.Value) {
		var text string
		place.Match(&text, pathShape, expected)(r, value)
		if text == "" {
			return
		}
		if register(http.NewServeMux(), &Kind{Method: http.MethodGet, Path: text}) != nil || path.Clean(text) != text {
			r.Report(value, expected)
			return
		}
		*to = text
	}
}
