package schema

import (
	"net/http"
	"slices"
	"strings"

	"github.com/dandelionfield/dandelionfield/internal/decode"
)

// check validates the resources against each other after all files have been parsed. The
// set also holds resources with invalid fields, so a reference to one of them is not
// reported as unknown unless no resource of the right type has the name.
func (p *parser) check() {
	for i := range p.set.Kinds {
		kind := &p.set.Kinds[i]
		decl := p.declarations[TypeKind][kind.Name]
		p.checkService(kind, decl)
		p.checkSplit(kind, decl)
		p.checkCalls(kind, decl)
	}
	p.checkCycles()
	p.checkPaths()
	p.checkDistances()
	p.checkDigests()
	p.checkLimits()
}

func (p *parser) checkService(kind *Kind, decl declaration) {
	field, present := decl.Fields["service"]
	if !present || kind.Service == "" || p.set.Service(kind.Service) != nil {
		return
	}
	known := make([]string, 0, len(p.set.Services))
	for _, service := range p.set.Services {
		known = append(known, service.Name)
	}
	decl.reader.Report(field, "a declared service"+suggest(kind.Service, known))
}

// checkSplit reports services of a split that are not declared, and a split whose weights
// are all 0.
func (p *parser) checkSplit(kind *Kind, decl declaration) {
	field, present := decl.Fields["split"]
	if !present {
		return
	}
	total := 0
	for _, share := range kind.Split {
		total += share.Weight
		if p.set.Service(share.Service) == nil {
			decl.reader.Reportf(field, "declared services, which %s is not", share.Service)
		}
	}
	if total == 0 {
		decl.reader.Report(field, "a weight above 0")
	}
}

// checkCalls validates the kinds that a kind calls. A safe kind must not call a kind with
// repeat: never, because repeating the outer request would repeat the inner one. The
// deadline of a called kind must not be longer than that of its caller.
func (p *parser) checkCalls(kind *Kind, decl declaration) {
	for _, value := range items(decl.Fields["calls"]) {
		called := p.set.Kind(value.Node.Value)
		if called == nil {
			decl.reader.Report(value, "a declared request kind"+suggest(value.Node.Value, p.kindNames()))
			continue
		}
		if kind.Repeat == Safe && called.Repeat == Never {
			decl.reader.Reportf(value, "a kind with repeat: safe, because %s may be repeated", kind.Name)
		}
		if called.Deadline > kind.Deadline {
			decl.reader.Reportf(value, "a kind whose deadline (%s) is at most that of %s (%s)", called.Deadline, kind.Name, kind.Deadline)
		}
	}
}

// checkCycles reports cycles in the call graph of the kinds. The search starts from the
// kinds in order of their names, and each cycle is reported at the call that closes it.
func (p *parser) checkCycles() {
	done := map[string]bool{}
	for i := range p.set.Kinds {
		var stack []string
		p.findCycles(&p.set.Kinds[i], stack, done)
	}
}

// findCycles does a depth-first search from kind. The stack holds the kinds on the current
// path; done holds those that have been searched completely.
func (p *parser) findCycles(kind *Kind, stack []string, done map[string]bool) {
	if done[kind.Name] {
		return
	}
	stack = append(stack, kind.Name)
	decl := p.declarations[TypeKind][kind.Name]
	for _, value := range items(decl.Fields["calls"]) {
		called := p.set.Kind(value.Node.Value)
		if called == nil {
			continue
		}
		if start := slices.Index(stack, called.Name); start >= 0 {
			cycle := strings.Join(append(slices.Clone(stack[start:]), called.Name), " -> ")
			decl.reader.Reportf(value, "calls without a cycle (%s)", cycle)
			continue
		}
		p.findCycles(called, stack, done)
	}
	done[kind.Name] = true
}

// checkPaths reports kinds whose paths or prefixes are ambiguous. Kinds of different
// services are compared too, because a request does not name a service.
func (p *parser) checkPaths() {
	routes := http.NewServeMux()
	prefixes := map[prefixKey]string{}
	for i := range p.set.Kinds {
		kind := &p.set.Kinds[i]
		if kind.Prefix != "" {
			key := prefixKey{kind.Host, kind.Prefix}
			if first, taken := prefixes[key]; taken {
				decl := p.declarations[TypeKind][kind.Name]
				decl.reader.Reportf(decl.Fields["prefix"], "another prefix than that of %s", first)
			}
			prefixes[key] = kind.Name
		}
		if kind.Path == "" || register(routes, kind) == nil {
			continue
		}
		decl := p.declarations[TypeKind][kind.Name]
		for j := range i {
			other := &p.set.Kinds[j]
			if other.Path != "" && conflicts(other, kind) {
				decl.reader.Reportf(decl.Fields["path"], "a path that cannot be confused with %s %s of %s", other.Method, other.Path, other.Name)
				break
			}
		}
	}
}

func (p *parser) checkDistances() {
	known := make([]string, 0, len(p.set.DataCentres))
	for _, centre := range p.set.DataCentres {
		known = append(known, centre.Name)
	}
	for _, centre := range p.set.DataCentres {
		decl := p.declarations[TypeDataCentre][centre.Name]
		field := decl.Fields["distances"]
		if field.Node == nil {
			continue
		}
		content := field.Node.Content
		for i := 0; i+1 < len(content); i += 2 {
			key := decode.Value{Node: content[i], Path: field.Path}
			if content[i].Value == centre.Name || !slices.Contains(known, content[i].Value) {
				decl.reader.Report(key, "another declared data centre"+suggest(content[i].Value, without(known, centre.Name)))
			}
		}
	}
}

// checkDigests reports a key that two teams have, since a request must belong to one.
func (p *parser) checkDigests() {
	owners := map[string]string{}
	for _, team := range p.set.Teams {
		decl := p.declarations[TypeTeam][team.Name]
		for _, value := range items(decl.Fields["key_digests"]) {
			owner, taken := owners[value.Node.Value]
			if taken && owner != team.Name {
				decl.reader.ReportSecret(value, "another key than those of "+owner)
				continue
			}
			owners[value.Node.Value] = team.Name
		}
	}
}

// checkLimits validates the limits against each other. A limit that is not declared has
// its default value, so a conflict is reported at a limit that is declared.
func (p *parser) checkLimits() {
	decl, present := p.declarations[TypeLimits][LimitsName]
	if !present {
		return
	}
	limits := p.set.Limits
	if limits.MaxAnswerBytes > limits.HeldBytes {
		decl.reader.Reportf(decl.firstDeclared("max_answer_bytes", "held_bytes"),
			"max_answer_bytes at most held_bytes (%s)", decode.FormatSize(limits.HeldBytes))
	}
	if limits.MaxAnswerBytes > limits.RecordBytes {
		decl.reader.Reportf(decl.firstDeclared("max_answer_bytes", "record_bytes"),
			"max_answer_bytes at most record_bytes (%s)", decode.FormatSize(limits.RecordBytes))
	}
	if limits.ClockMargin*marginsPerLease > limits.OwnerLease {
		decl.reader.Reportf(decl.firstDeclared("clock_margin", "owner_lease"),
			"clock_margin at most 1/%d of owner_lease (%s)", marginsPerLease, limits.OwnerLease)
	}
}

// firstDeclared returns the position of the first of the given fields that is declared, or
// that of the whole resource if none is.
func (d declaration) firstDeclared(keys ...string) decode.Value {
	for _, key := range keys {
		if value, present := d.Fields[key]; present {
			return value
		}
	}
	return d.Value
}

func (p *parser) kindNames() []string {
	names := make([]string, 0, len(p.set.Kinds))
	for _, kind := range p.set.Kinds {
		names = append(names, kind.Name)
	}
	return names
}

// items returns the elements of a list with their positions, or nil if there is no list.
func items(list decode.Value) []decode.Value {
	if list.Node == nil {
		return nil
	}
	return list.Items()
}

// without returns a copy of names that leaves out one name.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
}

// suggest returns a hint with the closest of the names, to be appended to a message, or ""
// if none is close.
func suggest(word string, names []string) string {
	if suggestion := decode.Closest(word, names); suggestion != "" {
		return " (did you mean \"" + suggestion + "\"?)"
	}
	return ""
}
