package schema

import (
	"bytes"
	"encoding/json"
	"math"
	"sort"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/dandelionfield/dandelionfield/internal/place"
)

type (
	// Resource is one resource in its canonical form, for display.
	Resource struct {
		Type   string
		Name   string
		Fields []FieldValue
	}

	// FieldValue is one field of a resource with its YAML node.
	FieldValue struct {
		Key  string
		node *yaml.Node
	}

	// Change is the difference of one resource between two sets.
	Change struct {
		// Action is created, changed or deleted.
		Action string        `json:"action"`
		Type   string        `json:"resource"`
		Name   string        `json:"name"`
		Fields []FieldChange `json:"fields,omitempty"`
	}

	// FieldChange is the difference of one field; a side is empty when the
	// resource does not exist there.
	FieldChange struct {
		Key    string `json:"key"`
		Before string `json:"before"`
		After  string `json:"after"`
	}
)

// The actions of a change.
const (
	Created = "created"
	Changed = "changed"
	Deleted = "deleted"
)

// Document returns the canonical YAML form: every field of every resource in
// a fixed order. Equal sets have equal documents.
func (s *Set) Document() []byte {
	var document bytes.Buffer
	for i, resource := range s.Resources() {
		if i > 0 {
			document.WriteString("---\n")
		}
		document.Write(resource.YAML())
	}
	return document.Bytes()
}

// Resources returns all resources in canonical order; the limits come last.
func (s *Set) Resources() []Resource {
	sorted := Set{
		Services:    append([]Service(nil), s.Services...),
		Kinds:       append([]Kind(nil), s.Kinds...),
		DataCentres: append([]DataCentre(nil), s.DataCentres...),
	}
	sorted.sort()
	resources := make([]Resource, 0, len(s.Services)+len(s.Kinds)+len(s.DataCentres)+1)
	for _, centre := range sorted.DataCentres {
		resources = append(resources, centre.resource())
	}
	for _, service := range sorted.Services {
		resources = append(resources, service.resource())
	}
	for _, kind := range sorted.Kinds {
		resources = append(resources, kind.resource())
	}
	return append(resources, s.Limits.resource())
}

// Without returns the set without one resource and whether it was there.
// Without its limits, a set has the default ones.
func (s *Set) Without(resourceType, name string) (*Set, bool) {
	rest := &Set{Limits: s.Limits}
	for _, service := range s.Services {
		if resourceType != TypeService || service.Name != name {
			rest.Services = append(rest.Services, service)
		}
	}
	for _, kind := range s.Kinds {
		if resourceType != TypeKind || kind.Name != name {
			rest.Kinds = append(rest.Kinds, kind)
		}
	}
	for _, centre := range s.DataCentres {
		if resourceType != TypeDataCentre || centre.Name != name {
			rest.DataCentres = append(rest.DataCentres, centre)
		}
	}
	if resourceType == TypeLimits && name == LimitsName {
		rest.Limits = DefaultLimits()
		return rest, true
	}
	before := len(s.Services) + len(s.Kinds) + len(s.DataCentres)
	return rest, len(rest.Services)+len(rest.Kinds)+len(rest.DataCentres) < before
}

// Diff returns what changes when other takes the place of the set, by type and
// name; empty, not nil, when nothing does.
func (s *Set) Diff(other *Set) []Change {
	before := byIdentity(s.Resources())
	after := byIdentity(other.Resources())
	changes := []Change{}
	for identity, resource := range after {
		old, existed := before[identity]
		change := Change{Action: Changed, Type: resource.Type, Name: resource.Name}
		if !existed {
			change.Action = Created
		}
		change.Fields = resource.changes(old)
		if len(change.Fields) > 0 {
			changes = append(changes, change)
		}
	}
	for identity, resource := range before {
		if _, remains := after[identity]; !remains {
			changes = append(changes, Change{Action: Deleted, Type: resource.Type, Name: resource.Name})
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		if changes[i].Type != changes[j].Type {
			return changes[i].Type < changes[j].Type
		}
		return changes[i].Name < changes[j].Name
	})
	return changes
}

// YAML returns the resource as one YAML document.
func (r Resource) YAML() []byte {
	mapping := &yaml.Node{Kind: yaml.MappingNode}
	mapping.Content = append(mapping.Content, text("resource"), text(r.Type))
	for _, field := range r.Fields {
		mapping.Content = append(mapping.Content, text(field.Key), field.node)
	}
	var document bytes.Buffer
	encoder := yaml.NewEncoder(&document)
	encoder.SetIndent(2)
	// Nodes that are built here always encode; an error is a fault in the code.
	if err := encoder.Encode(mapping); err != nil {
		panic(err)
	}
	return document.Bytes()
}

// MarshalJSON returns the resource as a JSON object with the keys of its YAML.
func (r Resource) MarshalJSON() ([]byte, error) {
	var object bytes.Buffer
	object.WriteString(`{"resource":` + strconv.Quote(r.Type))
	for _, field := range r.Fields {
		var value any
		if err := field.node.Decode(&value); err != nil {
			return nil, err
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		object.WriteString("," + strconv.Quote(field.Key) + ":")
		object.Write(encoded)
	}
	object.WriteByte('}')
	return object.Bytes(), nil
}

// String returns the value in one line of YAML.
func (f FieldValue) String() string {
	if f.node.Kind == yaml.ScalarNode {
		return f.node.Value
	}
	node := *f.node
	node.Style = yaml.FlowStyle
	encoded, err := yaml.Marshal(&node)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(encoded))
}

// changes returns the fields that differ from the older resource.
func (r Resource) changes(old Resource) []FieldChange {
	before := map[string]string{}
	for _, field := range old.Fields {
		before[field.Key] = field.String()
	}
	var changes []FieldChange
	for _, field := range r.Fields {
		if now := field.String(); now != before[field.Key] {
			changes = append(changes, FieldChange{Key: field.Key, Before: before[field.Key], After: now})
		}
	}
	return changes
}

func (s Service) resource() Resource {
	fields := []FieldValue{
		{"name", text(s.Name)},
		{"slots", integer(s.Slots)},
		{"connections", integer(s.Connections)},
		{"queue", integer(s.Queue)},
		{"queue_wait", text(s.QueueWait.String())},
		{"cold_start", text(s.ColdStart.String())},
		{"retry_share", number(s.RetryShare)},
		{"shed_status", integer(s.ShedStatus)},
	}
	if s.HealthPath != "" {
		fields = append(fields, FieldValue{"health_path", text(s.HealthPath)})
	}
	return Resource{Type: TypeService, Name: s.Name, Fields: fields}
}

func (k Kind) resource() Resource {
	calls := &yaml.Node{Kind: yaml.SequenceNode, Style: yaml.FlowStyle}
	for _, name := range k.Calls {
		calls.Content = append(calls.Content, text(name))
	}
	fields := []FieldValue{{"name", text(k.Name)}}
	fields = append(fields, k.selection()...)
	fields = append(fields,
		FieldValue{"importance", text(k.Importance.String())},
		FieldValue{"repeat", text(k.Repeat.String())},
		FieldValue{"deadline", text(k.Deadline.String())},
		FieldValue{"retries", integer(k.Retries)},
		FieldValue{"calls", calls},
	)
	if k.Objective > 0 {
		fields = append(fields, FieldValue{"objective", text(k.Objective.String())})
	}
	return Resource{Type: TypeKind, Name: k.Name, Fields: fields}
}

// selection returns the fields that say which requests are of the kind, and
// where they go.
func (k Kind) selection() []FieldValue {
	fields := []FieldValue{{"service", text(k.Service)}}
	if len(k.Split) > 0 {
		split := &yaml.Node{Kind: yaml.MappingNode}
		for _, share := range k.Split {
			split.Content = append(split.Content, text(share.Service), integer(share.Weight))
		}
		fields = []FieldValue{{"split", split}}
	}
	if k.Prefix == "" {
		return append(fields, FieldValue{"method", text(k.Method)}, FieldValue{"path", text(k.Path)})
	}
	if k.Host != "" {
		fields = append(fields, FieldValue{"host", text(k.Host)})
	}
	return append(fields, FieldValue{"prefix", text(k.Prefix)})
}

func (d DataCentre) resource() Resource {
	names := make([]string, 0, len(d.Distances))
	for name := range d.Distances {
		names = append(names, name)
	}
	sort.Strings(names)
	distances := &yaml.Node{Kind: yaml.MappingNode}
	for _, name := range names {
		distances.Content = append(distances.Content, text(name), text(d.Distances[name].String()))
	}
	return Resource{Type: TypeDataCentre, Name: d.Name, Fields: []FieldValue{
		{"name", text(d.Name)},
		{"region", text(d.Region)},
		{"distances", distances},
	}}
}

func (l Limits) resource() Resource {
	return Resource{Type: TypeLimits, Name: LimitsName, Fields: []FieldValue{
		{"max_request_bytes", text(place.FormatSize(l.MaxRequestBytes))},
		{"max_answer_bytes", text(place.FormatSize(l.MaxAnswerBytes))},
		{"max_header_bytes", text(place.FormatSize(l.MaxHeaderBytes))},
		{"header_timeout", text(l.HeaderTimeout.String())},
		{"idle_timeout", text(l.IdleTimeout.String())},
		{"held_bytes", text(place.FormatSize(l.HeldBytes))},
		{"record_bytes", text(place.FormatSize(l.RecordBytes))},
		{"key_age", text(l.KeyAge.String())},
		{"owner_lease", text(l.OwnerLease.String())},
		{"clock_margin", text(l.ClockMargin.String())},
		{"kept_revisions", integer(l.KeptRevisions)},
	}}
}

func byIdentity(resources []Resource) map[string]Resource {
	byIdentity := make(map[string]Resource, len(resources))
	for _, resource := range resources {
		byIdentity[resource.Type+"/"+resource.Name] = resource
	}
	return byIdentity
}

// text returns a string node; the encoder quotes it where it must.
func text(value string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: value}
}

func integer(value int) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!int", Value: strconv.Itoa(value)}
}

// number returns a number node. A whole number is tagged as one, else the
// encoder would write the tag out.
func number(value float64) *yaml.Node {
	if value == math.Trunc(value) {
		return integer(int(value))
	}
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!float", Value: strconv.FormatFloat(value, 'g', -1, 64)}
}
