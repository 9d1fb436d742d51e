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

	"github.com/dandelionfield/dandelionfield/internal/decode"
)

type (
	// Matcher finds the kind of a request by its method and path, or by its host and the
	// prefix of its path. It is safe for concurrent use.
	Matcher struct {
		routes *http.ServeMux
		// prefixes maps host and prefix to the kind that declares them.
		prefixes map[prefixKey]*Kind
		// hosts holds the hosts of all kinds with a prefix.
		hosts map[string]bool
	}

	prefixKey struct {
		host   string
		prefix string
	}

	// route registers a kind as a handler with http.ServeMux. The mux is used only to
	// look up patterns and never serves a request.
	route struct {
		kind *Kind
	}
)

// pathRegexp matches the paths that may be declared. They consist of printable characters
// and must not contain a host, a space or the special pattern {$}.
var pathRegexp = regexp.MustCompile(`^(/([A-Za-z0-9._~!&'()*+,;=:@-]+|\{[a-z][a-z0-9_]*(\.\.\.)?\}))+$|^/$`)

// errConflict means that the router rejected a pattern, because two patterns match the same
// request and neither is more specific.
var errConflict = errors.New("conflicting patterns")

// ServeHTTP is never called. It makes route an http.Handler, as the router requires.
func (*route) ServeHTTP(http.ResponseWriter, *http.Request) {}

// NewMatcher compiles the paths and prefixes of a valid set. Patterns follow net/http:
// {name} matches one segment, {name...} matches the rest, and the more specific pattern
// wins. A kind whose path conflicts with that of an earlier kind is left out.
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

// MatchPrefix returns the kind with the longest prefix that matches path. Kinds declared
// for the host come before kinds without a host. The path is compared as it was sent,
// without decoding, because the target receives the same bytes.
func (m *Matcher) MatchPrefix(host, path string) (*Kind, bool) {
	if len(m.prefixes) == 0 {
		return nil, false
	}
	host = hostName(host)
	if m.hosts[host] {
		if kind, ok := m.longestPrefix(host, path); ok {
			return kind, true
		}
	}
	return m.longestPrefix("", path)
}

// longestPrefix looks up the prefixes of path that end in a slash, longest first, among the
// kinds of one host.
func (m *Matcher) longestPrefix(host, path string) (*Kind, bool) {
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

// hostName returns the value of a Host header in lower case and without the port.
func hostName(header string) string {
	if host, _, err := net.SplitHostPort(header); err == nil {
		header = host
	}
	return strings.ToLower(header)
}

// Match returns the kind for a method and a decoded URL path. A path that is not clean,
// such as //stock or /a/../stock, does not match any kind.
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

// Chain returns the services that a request of the kind may reach: first those of the kind
// itself, then those of the kinds that it calls directly or indirectly. It is empty for an
// unknown kind.
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

// register adds a kind to the router. http.ServeMux reports conflicts only by panicking, so
// register recovers and returns errConflict.
func register(routes *http.ServeMux, kind *Kind) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", errConflict, cause)
		}
	}()
	routes.Handle(kind.Method+" "+routePath(kind.Path), &route{kind: kind})
	return nil
}

// routePath returns the router pattern for a declared path. The path "/" must match only
// the root, but the pattern "/" of net/http matches every path.
func routePath(declared string) string {
	if declared == "/" {
		return "/{$}"
	}
	return declared
}

// conflicts reports whether some request matches the paths of both kinds while neither path
// is more specific.
func conflicts(a, b *Kind) bool {
	routes := http.NewServeMux()
	if register(routes, a) != nil {
		return false
	}
	return register(routes, b) != nil
}

// pathPattern returns a function that reads the path of a kind.
func pathPattern(dst *string) func(*decode.Reader, decode.Value) {
	const expected = "a path such as /allowances/{household}"
	return func(r *decode.Reader, value decode.Value) {
		var text string
		decode.Match(&text, pathRegexp, expected)(r, value)
		if text == "" {
			return
		}
		if register(http.NewServeMux(), &Kind{Method: http.MethodGet, Path: text}) != nil || path.Clean(text) != text {
			r.Report(value, expected)
			return
		}
		*dst = text
	}
}
