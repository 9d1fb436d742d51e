package schema

import (
	"net/http"
	"slices"
	"strings"

	"github.com/dandelionfield/dandelionfield/internal/place"
)

// check judges the resources together. A reference to a resource that could
// not be read is reported as unknown only when nothing of that name stands
// anywhere.
func (p *parser) check() {
	for i := range p.set.Kinds {
		kind := &p.set.Kinds[i]
		at := p.places[TypeKind][kind.Name]
		p.checkService(kind, at)
		p.checkSplit(kind, at)
		p.checkCalls(kind, at)
	}
	p.checkCycles()
	p.checkPaths()
	p.checkDistances()
	p.checkLimits()
}

func (p *parser) checkService(kind *Kind, at declared) {
	field, present := at.Fields["service"]
	if !present || kind.Service == "" || p.set.Service(kind.Service) != nil {
		return
	}
	known := make([]string, 0, len(p.set.Services))
	for _, service := range p.set.Services {
		known = append(known, service.Name)
	}
	at.reader.Report(field, "a declared service"+suggest(kind.Service, known))
}

// checkSplit judges the services of a split, and whether any of them has a weight.
func (p *parser) checkSplit(kind *Kind, at declared) {
	field, present := at.Fields["split"]
	if !present {
		return
	}
	total := 0
	for _, share := range kind.Split {
		total += share.Weight
		if p.set.Service(share.Service) == nil {
			at.reader.Reportf(field, "declared services, which %s is not", share.Service)
		}
	}
	if total == 0 {
		at.reader.Report(field, "a weight above 0")
	}
}

// checkCalls judges each call of a kind. A safe kind may not call one that must
// never be repeated: a repeat of the outer request would repeat the inner one.
func (p *parser) checkCalls(kind *Kind, at declared) {
	for _, value := range items(at.Fields["calls"]) {
		called := p.set.Kind(value.Node.Value)
		if called == nil {
			at.reader.Report(value, "a declared request kind"+suggest(value.Node.Value, p.kindNames()))
			continue
		}
		if kind.Repeat == Safe && called.Repeat == Never {
			at.reader.Reportf(value, "a kind with repeat: safe, because %s may be repeated", kind.Name)
		}
		if called.Deadline > kind.Deadline {
			at.reader.Reportf(value, "a kind whose deadline (%s) is at most that of %s (%s)", called.Deadline, kind.Name, kind.Deadline)
		}
	}
}

// checkCycles reports every call that leads back to its own kind, once for
// each cycle, at the first kind in the order of names.
func (p *parser) checkCycles() {
	done := map[string]bool{}
	for i := range p.set.Kinds {
		var trail []string
		p.walk(&p.set.Kinds[i], trail, done)
	}
}

func (p *parser) walk(kind *Kind, trail []string, done map[string]bool) {
	if done[kind.Name] {
		return
	}
	trail = append(trail, kind.Name)
	at := p.places[TypeKind][kind.Name]
	for _, value := range items(at.Fields["calls"]) {
		called := p.set.Kind(value.Node.Value)
		if called == nil {
			continue
		}
		if start := slices.Index(trail, called.Name); start >= 0 {
			cycle := strings.Join(append(slices.Clone(trail[start:]), called.Name), " -> ")
			at.reader.Reportf(value, "calls without a cycle (%s)", cycle)
			continue
		}
		p.walk(called, trail, done)
	}
	done[kind.Name] = true
}

// checkPaths reports kinds between which the path cannot decide, also of
// different services, because a request names no service.
func (p *parser) checkPaths() {
	routes := http.NewServeMux()
	prefixes := map[prefixKey]string{}
	for i := range p.set.Kinds {
		kind := &p.set.Kinds[i]
		if kind.Prefix != "" {
			key := prefixKey{kind.Host, kind.Prefix}
			if first, taken := prefixes[key]; taken {
				at := p.places[TypeKind][kind.Name]
				at.reader.Reportf(at.Fields["prefix"], "another prefix than that of %s", first)
			}
			prefixes[key] = kind.Name
		}
		if kind.Path == "" || register(routes, kind) == nil {
			continue
		}
		at := p.places[TypeKind][kind.Name]
		for j := range i {
			other := &p.set.Kinds[j]
			if other.Path != "" && conflict(other, kind) {
				at.reader.Reportf(at.Fields["path"], "a path that cannot be confused with %s %s of %s", other.Method, other.Path, other.Name)
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
		at := p.places[TypeDataCentre][centre.Name]
		field := at.Fields["distances"]
		if field.Node == nil {
			continue
		}
		content := field.Node.Content
		for i := 0; i+1 < len(content); i += 2 {
			key := place.Value{Node: content[i], Path: field.Path}
			if content[i].Value == centre.Name || !slices.Contains(known, content[i].Value) {
				at.reader.Report(key, "another declared data centre"+suggest(content[i].Value, without(known, centre.Name)))
			}
		}
	}
}

// checkLimits judges the limits against each other. A limit that is not
// declared holds by its default, so the problem stands at the declared one.
func (p *parser) checkLimits() {
	at, present := p.places[TypeLimits][LimitsName]
	if !present {
		return
	}
	limits := p.set.Limits
	if limits.MaxAnswerBytes > limits.HeldBytes {
		at.reader.Reportf(at.first("max_answer_bytes", "held_bytes"),
			"max_answer_bytes at most held_bytes (%s)", place.FormatSize(limits.HeldBytes))
	}
	if limits.MaxAnswerBytes > limits.RecordBytes {
		at.reader.Reportf(at.first("max_answer_bytes", "record_bytes"),
			"max_answer_bytes at most record_bytes (%s)", place.FormatSize(limits.RecordBytes))
	}
	if limits.ClockMargin*marginsPerLease > limits.OwnerLease {
		at.reader.Reportf(at.first("clock_margin", "owner_lease"),
			"clock_margin at most 1/%d of owner_lease (%s)", marginsPerLease, limits.OwnerLease)
	}
}

// first returns the place of the first of the fields that is declared.
func (d declared) first(keys ...string) place.Value {
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

// items returns the strings of a list with their places.
func items(list place.Value) []place.Value {
	if list.Node == nil {
		return nil
	}
	return list.Items()
}

// without returns the names but one.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
}

func suggest(word string, names []string) string {
	if suggestion := place.Closest(word, names); suggestion != "" {
		return " (did you mean \"" + suggestion + "\"?)"
	}
	return ""
}
