package schema

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/dandelionfield/dandelionfield/internal/decode"
)

type (
	// Resource is one resource in canonical form, with all its fields in a fixed order.
	Resource struct {
		Type   string
		Name   string
		Fields []FieldValue
	}

	// FieldValue is a field of a resource: its key and its value as a YAML node.
	FieldValue struct {
		Key  string
		node *yaml.Node
	}

	// Change describes how one resource differs between two sets.
	Change struct {
		// Action is Created, Changed or Deleted.
		Action string        `json:"action"`
		Type   string        `json:"resource"`
		Name   string        `json:"name"`
		Fields []FieldChange `json:"fields,omitempty"`
	}

	// FieldChange describes how one field differs between two sets. Before or After is
	// empty when the field does not exist on that side.
	FieldChange struct {
		Key    string `json:"key"`
		Before string `json:"before"`
		After  string `json:"after"`
	}
)

// Values of Change.Action.
const (
	Created = "created"
	Changed = "changed"
	Deleted = "deleted"
)

// Document returns the set in canonical YAML form: all resources and their fields in a
// fixed order, including defaults. Equal sets have equal documents.
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

// Resources returns all resources in canonical order: data centres, services, kinds and
// teams, each sorted by name, then the authentication, the routing and the admission, and then
// the limits. The first three are left out if they are the default, so that documents written
// before they existed keep their digest.
func (s *Set) Resources() []Resource {
	sorted := Set{
		Services:    append([]Service(nil), s.Services...),
		Kinds:       append([]Kind(nil), s.Kinds...),
		DataCentres: append([]DataCentre(nil), s.DataCentres...),
		Teams:       append([]Team(nil), s.Teams...),
	}
	sorted.sort()
	resources := make([]Resource, 0, len(s.Services)+len(s.Kinds)+len(s.DataCentres)+len(s.Teams)+4)
	for _, centre := range sorted.DataCentres {
		resources = append(resources, centre.resource())
	}
	for _, service := range sorted.Services {
		resources = append(resources, service.resource())
	}
	for _, kind := range sorted.Kinds {
		resources = append(resources, kind.resource())
	}
	for _, team := range sorted.Teams {
		resources = append(resources, team.resource())
	}
	if s.Authentication != (Authentication{}) {
		resources = append(resources, s.Authentication.resource())
	}
	if s.Routing != (Routing{}) {
		resources = append(resources, s.Routing.resource())
	}
	if s.Admission != (Admission{}) {
		resources = append(resources, s.Admission.resource())
	}
	return append(resources, s.Limits.resource())
}

// Without returns a copy of the set without one resource, and whether the set had that
// resource. Removing the limits, the authentication, the routing or the admission resets them to
// their defaults. Removing the last team keeps keys required, so that no kind is opened to the key
// that was taken away; only removing the authentication as well does so.
func (s *Set) Without(resourceType, name string) (*Set, bool) {
	rest := *s
	switch {
	case resourceType == TypeLimits && name == LimitsName:
		rest.Limits = DefaultLimits()
		return &rest, true
	case resourceType == TypeAuthentication && name == AuthenticationName:
		rest.Authentication = Authentication{}
		return &rest, s.Authentication != (Authentication{})
	case resourceType == TypeRouting && name == RoutingName:
		rest.Routing = Routing{}
		return &rest, s.Routing != (Routing{})
	case resourceType == TypeAdmission && name == AdmissionName:
		rest.Admission = Admission{}
		return &rest, s.Admission != (Admission{})
	case resourceType == TypeService:
		rest.Services = withoutNamed(s.Services, func(service Service) bool { return service.Name == name })
		return &rest, len(rest.Services) < len(s.Services)
	case resourceType == TypeKind:
		rest.Kinds = withoutNamed(s.Kinds, func(kind Kind) bool { return kind.Name == name })
		return &rest, len(rest.Kinds) < len(s.Kinds)
	case resourceType == TypeDataCentre:
		rest.DataCentres = withoutNamed(s.DataCentres, func(centre DataCentre) bool { return centre.Name == name })
		return &rest, len(rest.DataCentres) < len(s.DataCentres)
	case resourceType == TypeTeam:
		rest.Teams = withoutNamed(s.Teams, func(team Team) bool { return team.Name == name })
		removed := len(rest.Teams) < len(s.Teams)
		if removed && len(rest.Teams) == 0 {
			rest.Authentication.KeysRequired = true
		}
		return &rest, removed
	}
	return &rest, false
}

// withoutNamed returns a copy of the resources without the named ones.
func withoutNamed[R any](resources []R, named func(R) bool) []R {
	return slices.DeleteFunc(slices.Clone(resources), named)
}

// Diff returns the changes from s to other, sorted by type and name. The result is empty
// but not nil when the sets are equal.
func (s *Set) Diff(other *Set) []Change {
	before := indexByIdentity(s.Resources())
	after := indexByIdentity(other.Resources())
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
	mapping.Content = append(mapping.Content, stringNode("resource"), stringNode(r.Type))
	for _, field := range r.Fields {
		mapping.Content = append(mapping.Content, stringNode(field.Key), field.node)
	}
	var document bytes.Buffer
	encoder := yaml.NewEncoder(&document)
	encoder.SetIndent(2)
	// Nodes built by this package always encode, so an error is a bug.
	if err := encoder.Encode(mapping); err != nil {
		panic(err)
	}
	return document.Bytes()
}

// MarshalJSON returns the resource as a JSON object with the same keys as its YAML form.
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

// String returns the value as a single line of YAML.
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

// changes returns the fields of r that differ from old.
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
		{"name", stringNode(s.Name)},
		{"slots", intNode(s.Slots)},
		{"connections", intNode(s.Connections)},
		{"queue", intNode(s.Queue)},
		{"queue_wait", stringNode(s.QueueWait.String())},
		{"cold_start", stringNode(s.ColdStart.String())},
		{"retry_share", numberNode(s.RetryShare)},
		{"shed_status", intNode(s.ShedStatus)},
	}
	if s.HealthPath != "" {
		fields = append(fields, FieldValue{"health_path", stringNode(s.HealthPath)})
	}
	return Resource{Type: TypeService, Name: s.Name, Fields: fields}
}

func (k Kind) resource() Resource {
	calls := &yaml.Node{Kind: yaml.SequenceNode, Style: yaml.FlowStyle}
	for _, name := range k.Calls {
		calls.Content = append(calls.Content, stringNode(name))
	}
	fields := []FieldValue{{"name", stringNode(k.Name)}}
	fields = append(fields, k.selection()...)
	fields = append(fields,
		FieldValue{"importance", stringNode(k.Importance.String())},
		FieldValue{"repeat", stringNode(k.Repeat.String())},
		FieldValue{"deadline", stringNode(k.Deadline.String())},
		FieldValue{"retries", intNode(k.Retries)},
		FieldValue{"calls", calls},
	)
	if k.Objective > 0 {
		fields = append(fields, FieldValue{"objective", stringNode(k.Objective.String())})
	}
	if k.Public {
		fields = append(fields, FieldValue{"public", &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!bool", Value: "true"}})
	}
	return Resource{Type: TypeKind, Name: k.Name, Fields: fields}
}

// selection returns the fields that determine which requests belong to the kind and which
// services they go to.
func (k Kind) selection() []FieldValue {
	fields := []FieldValue{{"service", stringNode(k.Service)}}
	if len(k.Split) > 0 {
		split := &yaml.Node{Kind: yaml.MappingNode}
		for _, share := range k.Split {
			split.Content = append(split.Content, stringNode(share.Service), intNode(share.Weight))
		}
		fields = []FieldValue{{"split", split}}
	}
	if k.Prefix == "" {
		return append(fields, FieldValue{"method", stringNode(k.Method)}, FieldValue{"path", stringNode(k.Path)})
	}
	if k.Host != "" {
		fields = append(fields, FieldValue{"host", stringNode(k.Host)})
	}
	return append(fields, FieldValue{"prefix", stringNode(k.Prefix)})
}

func (d DataCentre) resource() Resource {
	names := make([]string, 0, len(d.Distances))
	for name := range d.Distances {
		names = append(names, name)
	}
	sort.Strings(names)
	distances := &yaml.Node{Kind: yaml.MappingNode}
	for _, name := range names {
		distances.Content = append(distances.Content, stringNode(name), stringNode(d.Distances[name].String()))
	}
	return Resource{Type: TypeDataCentre, Name: d.Name, Fields: []FieldValue{
		{"name", stringNode(d.Name)},
		{"region", stringNode(d.Region)},
		{"distances", distances},
	}}
}

func (a Authentication) resource() Resource {
	return Resource{Type: TypeAuthentication, Name: AuthenticationName, Fields: []FieldValue{
		{"keys", chosen(a.KeysRequired, keysWithTeams, keysRequired)},
	}}
}

func (r Routing) resource() Resource {
	return Resource{Type: TypeRouting, Name: RoutingName, Fields: []FieldValue{
		{"balance", chosen(r.MeasureSpeed, balanceDeclared, balanceMeasured)},
		{"spill", chosen(r.SpillByCost, spillFull, spillCost)},
	}}
}

func (a Admission) resource() Resource {
	return Resource{Type: TypeAdmission, Name: AdmissionName, Fields: []FieldValue{
		{"thresholds", chosen(a.Staggered, thresholdsUniform, thresholdsStaggered)},
	}}
}

// chosen returns a node with the second value if set is true, and else with the first.
func chosen(set bool, first, second string) *yaml.Node {
	if set {
		return stringNode(second)
	}
	return stringNode(first)
}

func (t Team) resource() Resource {
	digests := &yaml.Node{Kind: yaml.SequenceNode}
	for _, digest := range slices.Sorted(slices.Values(t.KeyDigests)) {
		digests.Content = append(digests.Content, stringNode(digest))
	}
	fields := []FieldValue{{"name", stringNode(t.Name)}, {"key_digests", digests}}
	if t.Importance != nil {
		fields = append(fields, FieldValue{"importance", stringNode(t.Importance.String())})
	}
	if t.Rate > 0 {
		fields = append(fields, FieldValue{"rate", numberNode(t.Rate)}, FieldValue{"burst", numberNode(t.Burst)})
	}
	return Resource{Type: TypeTeam, Name: t.Name, Fields: fields}
}

func (l Limits) resource() Resource {
	return Resource{Type: TypeLimits, Name: LimitsName, Fields: []FieldValue{
		{"max_request_bytes", stringNode(decode.FormatSize(l.MaxRequestBytes))},
		{"max_answer_bytes", stringNode(decode.FormatSize(l.MaxAnswerBytes))},
		{"max_header_bytes", stringNode(decode.FormatSize(l.MaxHeaderBytes))},
		{"header_timeout", stringNode(l.HeaderTimeout.String())},
		{"idle_timeout", stringNode(l.IdleTimeout.String())},
		{"held_bytes", stringNode(decode.FormatSize(l.HeldBytes))},
		{"record_bytes", stringNode(decode.FormatSize(l.RecordBytes))},
		{"key_age", stringNode(l.KeyAge.String())},
		{"owner_lease", stringNode(l.OwnerLease.String())},
		{"clock_margin", stringNode(l.ClockMargin.String())},
		{"kept_revisions", intNode(l.KeptRevisions)},
	}}
}

func indexByIdentity(resources []Resource) map[string]Resource {
	byIdentity := make(map[string]Resource, len(resources))
	for _, resource := range resources {
		byIdentity[resource.Type+"/"+resource.Name] = resource
	}
	return byIdentity
}

// stringNode returns a YAML string node. The encoder adds quotes where they are needed.
func stringNode(value string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: value}
}

func intNode(value int) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!int", Value: strconv.Itoa(value)}
}

// numberNode returns a YAML number node. A whole number is tagged as an integer, because
// the encoder would otherwise write the float tag into the document.
func numberNode(value float64) *yaml.Node {
	if value == math.Trunc(value) {
		return intNode(int(value))
	}
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!float", Value: strconv.FormatFloat(value, 'g', -1, 64)}
}
