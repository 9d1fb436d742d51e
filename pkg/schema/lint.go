package schema

import (
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/dandelionfield/dandelionfield/internal/decode"
)

type (
	// Finding describes a field of a valid set that is certainly useless or contradicts
	// another one.
	Finding struct {
		// File, Line and Column are empty or 0 if the position is unknown.
		File   string `json:"file"`
		Line   int    `json:"line"`
		Column int    `json:"column"`
		// Resource is the type of the resource, and Name its name.
		Resource string `json:"resource"`
		Name     string `json:"name"`
		// Field is a key such as deadline, or split.orders for a part of a split. It is empty if
		// the finding concerns the whole resource.
		Field string `json:"field"`
		Text  string `json:"text"`
	}

	// linter collects the findings of one set.
	linter struct {
		set      *Set
		findings []Finding
	}
)

// wildcardPattern matches a wildcard of a path. The group is "..." if it matches the rest.
var wildcardPattern = regexp.MustCompile(`\{[a-z0-9_]+(\.\.\.)?\}`)

// String formats the finding as one line, such as
//
//	kinds.yaml:4:12: warning: request_kind order: objective: 3s is longer than the deadline of 2s
func (f Finding) String() string {
	var text strings.Builder
	if f.File != "" {
		text.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&text, ":%d:%d", f.Line, f.Column)
		}
		text.WriteString(": ")
	}
	fmt.Fprintf(&text, "warning: %s %s: ", f.Resource, f.Name)
	if f.Field != "" {
		text.WriteString(f.Field + ": ")
	}
	return text.String() + f.Text
}

// Lint returns what is useless or contradictory in a valid set, without positions.
// requestMemory is the memory of a node for requests in bytes, or 0 if it is unknown.
func Lint(s *Set, requestMemory int64) []Finding {
	l := &linter{set: s}
	l.services()
	l.prefixes()
	l.paths()
	for i := range s.Kinds {
		l.kind(&s.Kinds[i])
	}
	for i := range s.Teams {
		l.team(&s.Teams[i])
	}
	l.authentication()
	// A body has to fit together with the head of its request.
	if requestMemory > 0 && s.Limits.MaxRequestBytes >= requestMemory {
		l.add(TypeLimits, LimitsName, "max_request_bytes", "%s never fits into the %s of a node's memory that are for requests",
			decode.FormatSize(s.Limits.MaxRequestBytes), decode.FormatSize(requestMemory))
	}
	return l.findings
}

// LintFiles parses files and directories as ParseFiles does, and lints the set. A set with
// problems is not linted, because a resource that could not be read would make others look
// unused.
func LintFiles(requestMemory int64, paths ...string) (*Set, []Finding, error) {
	sources, err := readSources(paths)
	if err != nil {
		return nil, nil, err
	}
	p, err := parseSources(sources)
	if err != nil {
		return nil, nil, err
	}
	findings := Lint(&p.set, requestMemory)
	for i := range findings {
		p.locate(&findings[i])
	}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		if order := strings.Compare(a.File, b.File); order != 0 {
			return order
		}
		return a.Line - b.Line
	})
	return &p.set, findings, nil
}

// locate sets the position of a finding: that of its field, or of the resource's name if the
// field is not declared.
func (p *parser) locate(f *Finding) {
	decl, declared := p.declarations[f.Resource][f.Name]
	if !declared {
		return
	}
	key, part, _ := strings.Cut(f.Field, ".")
	node := decl.firstDeclared(key, "name").Node
	for i := 0; part != "" && i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == part {
			node = node.Content[i+1]
			break
		}
	}
	f.File, f.Line, f.Column = decl.reader.File, node.Line, node.Column
}

func (l *linter) add(resource, name, field, format string, arguments ...any) {
	l.findings = append(l.findings, Finding{Resource: resource, Name: name, Field: field, Text: fmt.Sprintf(format, arguments...)})
}

// services reports services that no kind names.
func (l *linter) services() {
	named := map[string]bool{}
	for i := range l.set.Kinds {
		for _, service := range l.set.Kinds[i].Services() {
			named[service] = true
		}
	}
	for i := range l.set.Services {
		if name := l.set.Services[i].Name; !named[name] {
			l.add(TypeService, name, "", "nothing sends requests to it")
		}
	}
}

// prefixes reports hosts and prefixes that MatchPrefix never finds. A longer prefix never
// covers a shorter one, which keeps the paths between the two.
func (l *linter) prefixes() {
	matcher := NewMatcher(l.set)
	for i := range l.set.Kinds {
		kind := &l.set.Kinds[i]
		if kind.Prefix == "" {
			continue
		}
		if hostName(kind.Host) != kind.Host {
			l.add(TypeKind, kind.Name, "host", "never matches, because the Host header is compared in lower case and without a port")
		}
		sent, err := url.ParseRequestURI(kind.Prefix)
		if err != nil || sent.EscapedPath() != kind.Prefix {
			l.add(TypeKind, kind.Name, "prefix", "never matches, because paths are compared as they are sent, such as %s", (&url.URL{Path: kind.Prefix}).EscapedPath())
		}
		if found := matcher.prefixes[prefixKey{kind.Host, kind.Prefix}]; found != kind {
			l.add(TypeKind, kind.Name, "prefix", "never matches, because %s has the same host and prefix", found.Name)
		}
	}
}

// paths reports paths that a prefix without a host takes, or that the other paths of the
// method cover.
func (l *linter) paths() {
	matcher := NewMatcher(l.set)
	shapes := map[string]bool{}
	for i := range l.set.Kinds {
		shapes[l.set.Kinds[i].shape()] = true
	}
	for i := range l.set.Kinds {
		kind := &l.set.Kinds[i]
		if kind.Path == "" {
			continue
		}
		// The part before the first wildcard is in all paths that the kind matches.
		literal, _, _ := strings.Cut(kind.Path, "{")
		if first, taken := matcher.longestPrefix("", literal); taken {
			l.add(TypeKind, kind.Name, "path", "never matches, because the prefix %s of %s comes first", first.Prefix, first.Name)
			continue
		}
		base, isRest := strings.CutSuffix(kind.shape(), "/{...}")
		// Only {name...} of the root matches the path without any segment.
		if isRest && coversRest(shapes, base) && (base != kind.Method+" " || shapes[base+"/"]) {
			l.add(TypeKind, kind.Name, "path", "never matches, because more specific paths cover it")
		}
	}
}

// shape returns the method and path of the kind without the names of wildcards.
func (k *Kind) shape() string {
	return k.Method + " " + wildcardPattern.ReplaceAllString(k.Path, "{$1}")
}

// coversRest reports whether paths longer than base/{...} cover all that it matches: one for
// one more segment, and one for the rest or such paths again.
func coversRest(shapes map[string]bool, base string) bool {
	for shapes[base+"/{}"] {
		base += "/{}"
		if shapes[base+"/{...}"] {
			return true
		}
	}
	return false
}

func (l *linter) kind(k *Kind) {
	for _, share := range k.Split {
		if share.Weight == 0 {
			l.add(TypeKind, k.Name, "split."+share.Service, "with weight 0 it gets no requests")
		}
	}
	if k.Objective > k.Deadline {
		l.add(TypeKind, k.Name, "objective", "%s is longer than the deadline of %s", k.Objective, k.Deadline)
	}
	if k.Public && !l.set.RequiresKeys() {
		l.add(TypeKind, k.Name, "public", "has no effect, because no request needs a key")
	}
}

// authentication reports that no request can have the key that it needs.
func (l *linter) authentication() {
	isClosed := func(kind Kind) bool { return !kind.Public }
	if l.set.RequiresKeys() && len(l.set.Teams) == 0 && slices.ContainsFunc(l.set.Kinds, isClosed) {
		l.add(TypeAuthentication, AuthenticationName, "keys", "no team is declared, so all requests that need a key are refused")
	}
}

func (l *linter) team(t *Team) {
	if len(t.KeyDigests) == 0 {
		l.add(TypeTeam, t.Name, "key_digests", "without a key, no request can belong to it")
	}
	switch {
	case t.Burst > 0 && t.Rate == 0:
		l.add(TypeTeam, t.Name, "burst", "has no effect without a rate")
	case t.Burst > 0 && t.Burst < 1:
		l.add(TypeTeam, t.Name, "burst", "%v is less than one request", t.Burst)
	}
}
