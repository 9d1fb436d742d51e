package schema

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/dandelionfield/dandelionfield/internal/decode"
)

// Values of the key `resource`.
const (
	TypeService        = "service"
	TypeKind           = "request_kind"
	TypeDataCentre     = "data_centre"
	TypeTeam           = "team"
	TypeAuthentication = "authentication"
	TypeRouting        = "routing"
	TypeAdmission      = "admission"
	TypeLimits         = "limits"
)

// LimitsName is the name of the limits resource, of which a set has exactly one.
const LimitsName = "limits"

// AuthenticationName is the name of the authentication resource, of which a set has at most one.
const AuthenticationName = "authentication"

// RoutingName is the name of the routing resource, of which a set has at most one.
const RoutingName = "routing"

// AdmissionName is the name of the admission resource, of which a set has at most one.
const AdmissionName = "admission"

// Values of the fields of an authentication, a routing and an admission resource. The first of
// each pair is the default.
const (
	keysWithTeams = "with_teams"
	keysRequired  = "required"

	balanceDeclared = "declared"
	balanceMeasured = "measured"
	spillFull       = "full"
	spillCost       = "cost"

	thresholdsUniform   = "uniform"
	thresholdsStaggered = "staggered"
)

type (
	// source is the name and the content of one file to parse.
	source struct {
		file string
		data []byte
	}

	// declaration is a parsed resource with the positions of its fields.
	declaration struct {
		decode.Object
		reader *decode.Reader
		name   string
	}

	// parser collects the resources and the problems of several files.
	parser struct {
		set          Set
		declarations map[string]map[string]declaration // by type, then by name
		readers      []*decode.Reader
	}
)

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9_]{0,62}$`)
	// dataCentrePattern also allows dashes, which are common in host names.
	dataCentrePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)
	hostPattern       = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	prefixPattern     = regexp.MustCompile(`^/([!-~]*/)?$`)
	healthPattern     = regexp.MustCompile(`^/[!-~]{0,255}$`)
	digestPattern     = regexp.MustCompile(`^[0-9a-f]{64}$`)

	resourceTypes = []string{TypeService, TypeKind, TypeDataCentre, TypeTeam, TypeAuthentication, TypeRouting, TypeAdmission, TypeLimits}
	methods       = []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
)

// Parse parses the content of one file; the name is used in errors only. The error lists
// all problems, one per line of its text, each with its line and column.
func Parse(file string, data []byte) (*Set, error) {
	return parse([]source{{file, data}})
}

// ParseDir parses all .yaml and .yml files of a directory, not including subdirectories,
// into one set. Resources may refer to resources in other files.
func ParseDir(dir string) (*Set, error) {
	return ParseFiles(dir)
}

// ParseFiles parses several files and directories into one set.
func ParseFiles(paths ...string) (*Set, error) {
	sources, err := readSources(paths)
	if err != nil {
		return nil, err
	}
	return parse(sources)
}

// readSources reads the files and the YAML files of the directories at paths.
func readSources(paths []string) ([]source, error) {
	var sources []source
	for _, path := range paths {
		files, err := yamlFiles(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				return nil, err
			}
			sources = append(sources, source{file, data})
		}
	}
	return sources, nil
}

// Types returns the valid values of the key `resource`.
func Types() []string {
	return slices.Clone(resourceTypes)
}

// yamlFiles returns path itself if it is not a directory, and otherwise the YAML files of
// the directory sorted by name.
func yamlFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	// Applying an empty set would delete every resource, so a directory without YAML files
	// is an error: the path is probably wrong.
	var files []string
	for _, entry := range entries {
		extension := filepath.Ext(entry.Name())
		if !entry.IsDir() && (extension == ".yaml" || extension == ".yml") {
			files = append(files, filepath.Join(path, entry.Name()))
		}
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: no .yaml or .yml files", path)
	}
	return files, nil
}

func parse(sources []source) (*Set, error) {
	p, err := parseSources(sources)
	if err != nil {
		return nil, err
	}
	return &p.set, nil
}

// parseSources returns the parser with the valid set and the positions of its resources.
func parseSources(sources []source) (*parser, error) {
	p := &parser{
		set:          Set{Limits: DefaultLimits()},
		declarations: map[string]map[string]declaration{},
	}
	for _, source := range sources {
		reader := &decode.Reader{File: source.file}
		p.readers = append(p.readers, reader)
		for _, document := range reader.Documents(source.data) {
			p.resource(reader, document)
		}
	}
	p.set.sort()
	p.check()
	var problems decode.Problems
	for _, reader := range p.readers {
		problems = append(problems, reader.Problems...)
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return p, nil
}

// resource decodes one YAML document according to its resource type.
func (p *parser) resource(reader *decode.Reader, document decode.Value) {
	switch resourceType(document) {
	case TypeService:
		p.service(reader, document)
	case TypeKind:
		p.kind(reader, document)
	case TypeDataCentre:
		p.dataCentre(reader, document)
	case TypeTeam:
		p.team(reader, document)
	case TypeAuthentication:
		p.authentication(reader, document)
	case TypeRouting:
		p.routing(reader, document)
	case TypeAdmission:
		p.admission(reader, document)
	case TypeLimits:
		p.limits(reader, document)
	default:
		p.unknownType(reader, document)
	}
}

// resourceType returns the value of the key `resource`, which determines how the other keys
// are read. It is empty if there is no such key.
func resourceType(document decode.Value) string {
	content := document.Node.Content
	for i := 0; i+1 < len(content); i += 2 {
		if content[i].Value == "resource" {
			return content[i+1].Value
		}
	}
	return ""
}

// unknownType reports a document whose resource type is missing or invalid. Its other keys
// cannot be validated without the type.
func (p *parser) unknownType(reader *decode.Reader, document decode.Value) {
	content := document.Node.Content
	for i := 0; i+1 < len(content); i += 2 {
		if content[i].Value == "resource" {
			reader.Reportf(decode.Value{Node: content[i+1], Path: "resource"}, "one of %s", strings.Join(resourceTypes, ", "))
			return
		}
	}
	reader.Reportf(document, "a resource with the key resource: %s", strings.Join(resourceTypes, "|"))
}

func (p *parser) service(reader *decode.Reader, document decode.Value) {
	service := DefaultService()
	service.Queue = -1
	object := reader.Object(document, []decode.Field{
		typeField(),
		{Key: "name", Required: true, Read: name(&service.Name)},
		{Key: "slots", Required: true, Read: decode.Int(&service.Slots, 1, maxSlots)},
		{Key: "connections", Required: true, Read: decode.Int(&service.Connections, 1, maxConnections)},
		{Key: "queue", Read: decode.Int(&service.Queue, 0, maxQueue)},
		{Key: "queue_wait", Read: decode.Duration(&service.QueueWait, 0, maxWait)},
		{Key: "cold_start", Read: decode.Duration(&service.ColdStart, 0, maxWait)},
		{Key: "retry_share", Read: decode.Float(&service.RetryShare, 0, 1)},
		{Key: "shed_status", Read: decode.Int(&service.ShedStatus, 400, 599)},
		{Key: "health_path", Read: decode.Match(&service.HealthPath, healthPattern, "a path that begins with /")},
	})
	if service.Queue < 0 {
		service.Queue = service.Slots
	}
	if p.declare(reader, object, TypeService, service.Name) {
		p.set.Services = append(p.set.Services, service)
	}
}

func (p *parser) kind(reader *decode.Reader, document decode.Value) {
	kind := DefaultKind()
	repeat := Repeat(255)
	object := reader.Object(document, []decode.Field{
		typeField(),
		{Key: "name", Required: true, Read: name(&kind.Name)},
		{Key: "service", Read: name(&kind.Service)},
		{Key: "split", Read: split(&kind.Split)},
		{Key: "method", Read: method(&kind.Method)},
		{Key: "path", Read: pathPattern(&kind.Path)},
		{Key: "host", Read: decode.Match(&kind.Host, hostPattern, "a host name in lower case")},
		{Key: "prefix", Read: decode.Match(&kind.Prefix, prefixPattern, "a path that begins and ends with /")},
		{Key: "importance", Read: decode.Enum(&kind.Importance, Low.String(), Normal.String(), High.String(), Critical.String())},
		{Key: "repeat", Read: decode.Enum(&repeat, Safe.String(), Never.String())},
		{Key: "deadline", Read: decode.Duration(&kind.Deadline, minDeadline, maxDeadline)},
		{Key: "retries", Read: decode.Int(&kind.Retries, 0, maxRetries)},
		{Key: "calls", Read: names(&kind.Calls)},
		{Key: "objective", Read: decode.Duration(&kind.Objective, 0, maxDeadline)},
		{Key: "public", Read: decode.Bool(&kind.Public)},
	})
	checkSelection(reader, object)
	kind.Repeat = repeat
	if repeat > Never {
		kind.Repeat = defaultRepeat(kind)
	}
	if p.declare(reader, object, TypeKind, kind.Name) {
		p.set.Kinds = append(p.set.Kinds, kind)
	}
}

func (p *parser) dataCentre(reader *decode.Reader, document decode.Value) {
	var centre DataCentre
	object := reader.Object(document, []decode.Field{
		typeField(),
		{Key: "name", Required: true, Read: dashedName(&centre.Name)},
		{Key: "region", Required: true, Read: dashedName(&centre.Region)},
		{Key: "distances", Read: decode.Durations(&centre.Distances, 0, maxDistance)},
	})
	if p.declare(reader, object, TypeDataCentre, centre.Name) {
		p.set.DataCentres = append(p.set.DataCentres, centre)
	}
}

func (p *parser) authentication(reader *decode.Reader, document decode.Value) {
	var authentication Authentication
	object := reader.Object(document, []decode.Field{
		typeField(),
		{Key: "keys", Read: choice(&authentication.KeysRequired, keysWithTeams, keysRequired)},
	})
	if p.declare(reader, object, TypeAuthentication, AuthenticationName) {
		p.set.Authentication = authentication
	}
}

func (p *parser) routing(reader *decode.Reader, document decode.Value) {
	var routing Routing
	object := reader.Object(document, []decode.Field{
		typeField(),
		{Key: "balance", Read: choice(&routing.MeasureSpeed, balanceDeclared, balanceMeasured)},
		{Key: "spill", Read: choice(&routing.SpillByCost, spillFull, spillCost)},
	})
	if p.declare(reader, object, TypeRouting, RoutingName) {
		p.set.Routing = routing
	}
}

func (p *parser) admission(reader *decode.Reader, document decode.Value) {
	var admission Admission
	object := reader.Object(document, []decode.Field{
		typeField(),
		{Key: "thresholds", Read: choice(&admission.Staggered, thresholdsUniform, thresholdsStaggered)},
	})
	if p.declare(reader, object, TypeAdmission, AdmissionName) {
		p.set.Admission = admission
	}
}

func (p *parser) team(reader *decode.Reader, document decode.Value) {
	var team Team
	importance := Importance(255) // above all declared values, so that an absent field is recognised
	object := reader.Object(document, []decode.Field{
		typeField(),
		{Key: "name", Required: true, Read: dashedName(&team.Name)},
		{Key: "key_digests", Required: true, Read: digests(&team.KeyDigests)},
		{Key: "importance", Read: decode.Enum(&importance, Low.String(), Normal.String(), High.String(), Critical.String())},
		{Key: "rate", Read: decode.Float(&team.Rate, 0, maxRate)},
		{Key: "burst", Read: decode.Float(&team.Burst, 0, maxRate)},
	})
	if importance <= Critical {
		team.Importance = &importance
	}
	if burst, present := object.Fields["burst"]; present && team.Rate == 0 {
		reader.Report(burst, "a burst only beside a rate above 0")
	}
	if p.declare(reader, object, TypeTeam, team.Name) {
		p.set.Teams = append(p.set.Teams, team)
	}
}

func (p *parser) limits(reader *decode.Reader, document decode.Value) {
	limits := DefaultLimits()
	object := reader.Object(document, []decode.Field{
		typeField(),
		{Key: "max_request_bytes", Read: decode.Size(&limits.MaxRequestBytes, 1, maxMessageBytes)},
		{Key: "max_answer_bytes", Read: decode.Size(&limits.MaxAnswerBytes, 1, maxMessageBytes)},
		{Key: "max_header_bytes", Read: decode.Size(&limits.MaxHeaderBytes, minHeaderBytes, maxMessageBytes)},
		{Key: "header_timeout", Read: decode.Duration(&limits.HeaderTimeout, minDeadline, maxWait)},
		{Key: "idle_timeout", Read: decode.Duration(&limits.IdleTimeout, minDeadline, maxWait)},
		{Key: "held_bytes", Read: decode.Size(&limits.HeldBytes, 1, maxMemoryBytes)},
		{Key: "record_bytes", Read: decode.Size(&limits.RecordBytes, 1, maxMemoryBytes)},
		{Key: "key_age", Read: decode.Duration(&limits.KeyAge, minOwnerLease, maxKeyAge)},
		{Key: "owner_lease", Read: decode.Duration(&limits.OwnerLease, minOwnerLease, maxOwnerLease)},
		{Key: "clock_margin", Read: decode.Duration(&limits.ClockMargin, 0, MaxClockMargin)},
		{Key: "kept_revisions", Read: decode.Int(&limits.KeptRevisions, 1, maxKeptRevisions)},
	})
	if p.declare(reader, object, TypeLimits, LimitsName) {
		p.set.Limits = limits
	}
}

// declare records the position of a resource and reports whether its name is new. A
// resource whose name could not be read is left out of the checks that follow.
func (p *parser) declare(reader *decode.Reader, object decode.Object, resourceType, name string) bool {
	if name == "" {
		return false
	}
	byName := p.declarations[resourceType]
	if byName == nil {
		byName = map[string]declaration{}
		p.declarations[resourceType] = byName
	}
	if first, duplicate := byName[name]; duplicate {
		at := object.Value
		if field, present := object.Fields["name"]; present {
			at = field
		}
		reader.Reportf(at, "each %s once; the first is at %s:%d", resourceType, first.reader.File, first.Node.Line)
		return false
	}
	byName[name] = declaration{Object: object, reader: reader, name: name}
	return true
}

// sort puts the set into canonical order.
func (s *Set) sort() {
	sort.Slice(s.Services, func(i, j int) bool { return s.Services[i].Name < s.Services[j].Name })
	sort.Slice(s.Kinds, func(i, j int) bool { return s.Kinds[i].Name < s.Kinds[j].Name })
	sort.Slice(s.DataCentres, func(i, j int) bool { return s.DataCentres[i].Name < s.DataCentres[j].Name })
	sort.Slice(s.Teams, func(i, j int) bool { return s.Teams[i].Name < s.Teams[j].Name })
	for _, kind := range s.Kinds {
		sort.Strings(kind.Calls)
	}
}

// checkSelection reports a kind that does not declare exactly one of path and prefix, or
// exactly one of service and split. It also reports a host without a prefix, and a method
// with a prefix.
func checkSelection(reader *decode.Reader, object decode.Object) {
	for _, pair := range [][2]string{{"path", "prefix"}, {"service", "split"}} {
		_, first := object.Fields[pair[0]]
		second, both := object.Fields[pair[1]]
		switch {
		case first && both:
			reader.Reportf(second, "either %s or %s", pair[0], pair[1])
		case !first && !both:
			reader.Reportf(object.Value, "the key %s or %s", pair[0], pair[1])
		}
	}
	_, prefixed := object.Fields["prefix"]
	if host, present := object.Fields["host"]; present && !prefixed {
		reader.Reportf(host, "a host only beside a prefix")
	}
	if method, present := object.Fields["method"]; present && prefixed {
		reader.Reportf(method, "no method beside a prefix, which takes all of them")
	}
}
