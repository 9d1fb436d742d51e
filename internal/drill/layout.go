package drill

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// The ports of a host, counted from the layout's base port.
const (
	callerPort = iota
	relayPort
	adminPort
	targetPort
	platformPort
	controlPort
	wirePort
	wireControlPort
	// platformWirePort is the first of the platform's wires, two for each region.
	platformWirePort
)

// platformHost is the last part of the platform stand-in's address.
const platformHost = 200

type (
	// Layout says which hosts a firm has and how its stand-ins behave.
	Layout struct {
		Firm string `yaml:"firm"`
		// Network is the first three parts of the hosts' addresses.
		Network     string   `yaml:"network"`
		BasePort    int      `yaml:"base_port"`
		Region      string   `yaml:"region"`
		DataCentres []string `yaml:"data_centres"`
		// Regions holds the regions of data centres that are not in Region.
		Regions       map[string]string `yaml:"regions"`
		OperatorToken string            `yaml:"operator_token"`
		LogLevel      string            `yaml:"log_level"`
		DrainTimeout  time.Duration     `yaml:"drain_timeout"`
		MemoryBytes   string            `yaml:"memory_bytes"`
		Seed          uint64            `yaml:"seed"`
		// Services holds one entry a service; each has a host in every data centre.
		Services []LayoutService `yaml:"services"`
		// CallsAfter names the calls that a kind makes after its own work, by
		// kind. It makes all others before.
		CallsAfter map[string][]string `yaml:"calls_after"`
		// Wires names the hosts whose node others reach through a wire. With
		// AllWires it is every host, and each region reaches the platform
		// through a wire as well.
		Wires    []string   `yaml:"wires"`
		AllWires bool       `yaml:"all_wires"`
		Load     LayoutLoad `yaml:"load"`
	}

	// LayoutService says how the stand-ins of one service behave.
	LayoutService struct {
		Name         string        `yaml:"name"`
		ServiceTime  time.Duration `yaml:"service_time"`
		Distribution string        `yaml:"distribution"`
		Sigma        float64       `yaml:"sigma"`
		Queue        int           `yaml:"queue"`
		ColdFactor   float64       `yaml:"cold_factor"`
		PayloadBytes int           `yaml:"payload_bytes"`
	}

	// LayoutLoad holds what the firm's traces share, and the traces by name.
	LayoutLoad struct {
		Mix     map[string]float64 `yaml:"mix"`
		Callers Callers            `yaml:"callers"`
		Traces  map[string]Trace   `yaml:"traces"`
	}

	// Trace is one course of load and faults.
	Trace struct {
		// Callers stands in place of the shared callers when it is given.
		Callers *Callers `yaml:"callers"`
		// EntryService names the service whose nodes callers ask; without it
		// they ask all nodes.
		EntryService string  `yaml:"entry_service"`
		Phases       []Phase `yaml:"phases"`
		Faults       []Fault `yaml:"faults"`
		Trigger      Trigger `yaml:"trigger"`
		Expect       Expect  `yaml:"expect"`
	}

	// Host is one host of a layout.
	Host struct {
		Name       string
		Service    string
		DataCentre string
		IP         string
	}

	// nodeSettings is the settings file of a dandelionfield node.
	nodeSettings struct {
		Name            string        `yaml:"name"`
		DataCentre      string        `yaml:"data_centre"`
		Region          string        `yaml:"region"`
		Service         string        `yaml:"service"`
		CallerListen    string        `yaml:"caller_listen"`
		RelayListen     string        `yaml:"relay_listen"`
		RelayAddress    string        `yaml:"relay_address,omitempty"`
		RelayFrom       string        `yaml:"relay_from,omitempty"`
		AdminListen     string        `yaml:"admin_listen"`
		TargetAddress   string        `yaml:"target_address"`
		PlatformAddress string        `yaml:"platform_address"`
		OperatorToken   string        `yaml:"operator_token"`
		LogLevel        string        `yaml:"log_level"`
		DrainTimeout    time.Duration `yaml:"drain_timeout"`
		MemoryBytes     string        `yaml:"memory_bytes"`
	}
)

// ReadLayout reads the file layout.yaml and the directory mesh of a firm.
func ReadLayout(firm string) (Layout, *schema.Set, error) {
	var layout Layout
	if err := ReadYAML(filepath.Join(firm, "layout.yaml"), &layout); err != nil {
		return Layout{}, nil, err
	}
	mesh, err := schema.ParseDir(filepath.Join(firm, "mesh"))
	return layout, mesh, err
}

// ReadYAML reads one YAML document and refuses unknown fields.
func ReadYAML(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return badFile.Wrap(err, "read settings")
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(into); err != nil {
		return badFile.Wrap(err, "%s", path)
	}
	return nil
}

// Hosts returns the hosts: one for each service in each data centre, each with
// an address of its own.
func (l *Layout) Hosts() []Host {
	hosts := make([]Host, 0, len(l.Services)*len(l.DataCentres))
	for centre, name := range l.DataCentres {
		for i, service := range l.Services {
			hosts = append(hosts, Host{
				Name:       fmt.Sprintf("%s-%d", service.Name, centre+1),
				Service:    service.Name,
				DataCentre: name,
				IP:         fmt.Sprintf("%s.%d", l.Network, 10*(centre+1)+i+1),
			})
		}
	}
	return hosts
}

// Write writes the settings of every process into the directory out, as
// node-*.yaml, target-*.yaml, naive-*.yaml, wire-*.yaml and load-<trace>.yaml.
func (l *Layout) Write(mesh *schema.Set, meshDir, out string) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return badFile.Wrap(err, "make directory")
	}
	for _, host := range l.Hosts() {
		target, err := l.target(mesh, host)
		if err != nil {
			return err
		}
		files := map[string]any{
			"node-":   l.node(host),
			"target-": target,
			"naive-":  l.naive(host, meshDir),
		}
		for prefix, settings := range files {
			if err := writeYAML(filepath.Join(out, prefix+host.Name+".yaml"), settings); err != nil {
				return err
			}
		}
	}
	for _, wire := range l.wires() {
		if err := writeYAML(filepath.Join(out, "wire-"+wire.Name+".yaml"), wire); err != nil {
			return err
		}
	}
	for name := range l.Load.Traces {
		if err := writeYAML(filepath.Join(out, "load-"+name+".yaml"), l.load(name, mesh, meshDir)); err != nil {
			return err
		}
	}
	return nil
}

// PlatformAddress returns where the stand-in for the platform listens.
func (l *Layout) PlatformAddress() string {
	return l.address(fmt.Sprintf("%s.%d", l.Network, platformHost), platformPort)
}

func (l *Layout) address(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, l.BasePort+port)
}

func (l *Layout) node(host Host) nodeSettings {
	return l.wiredNode(host, nodeSettings{
		Name:            host.Name,
		DataCentre:      host.DataCentre,
		Region:          l.region(host),
		Service:         host.Service,
		CallerListen:    l.address(host.IP, callerPort),
		RelayListen:     l.address(host.IP, relayPort),
		AdminListen:     l.address(host.IP, adminPort),
		TargetAddress:   l.address(host.IP, targetPort),
		PlatformAddress: l.PlatformAddress(),
		OperatorToken:   l.OperatorToken,
		LogLevel:        l.LogLevel,
		DrainTimeout:    l.DrainTimeout,
		MemoryBytes:     l.MemoryBytes,
	})
}

func (l *Layout) target(mesh *schema.Set, host Host) (TargetConfig, error) {
	declared := mesh.Service(host.Service)
	at := slices.IndexFunc(l.Services, func(s LayoutService) bool { return s.Name == host.Service })
	if declared == nil {
		return TargetConfig{}, badFile.New("service %s is not declared", host.Service)
	}
	stand := l.Services[at]
	kinds, err := l.targetKinds(mesh, host.Service)
	return TargetConfig{
		Name:          host.Name,
		Service:       host.Service,
		Listen:        l.address(host.IP, targetPort),
		ControlListen: l.address(host.IP, controlPort),
		NodeAddress:   l.address(host.IP, callerPort),
		Slots:         declared.Slots,
		Connections:   declared.Connections,
		Queue:         stand.Queue,
		ServiceTime:   stand.ServiceTime,
		Distribution:  stand.Distribution,
		Sigma:         stand.Sigma,
		ColdStart:     declared.ColdStart,
		ColdFactor:    stand.ColdFactor,
		ShedStatus:    declared.ShedStatus,
		Seed:          l.Seed,
		PayloadBytes:  stand.PayloadBytes,
		Kinds:         kinds,
	}, err
}

func (l *Layout) targetKinds(mesh *schema.Set, service string) ([]TargetKind, error) {
	var kinds []TargetKind
	for _, declared := range mesh.Kinds {
		if declared.Service != service {
			continue
		}
		kind := TargetKind{Name: declared.Name, Method: declared.Method, Path: declared.Path}
		called, err := calledKinds(mesh, declared)
		if err != nil {
			return nil, err
		}
		for _, called := range called {
			name := called.Name
			call := Call{Method: called.Method, Path: called.Path}
			if slices.Contains(l.CallsAfter[declared.Name], name) {
				kind.After = append(kind.After, call)
			} else {
				kind.Before = append(kind.Before, call)
			}
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

// calledKinds returns the kinds that a kind calls, those that may repeat first:
// a target looks up what it needs before it changes anything.
func calledKinds(mesh *schema.Set, kind schema.Kind) ([]*schema.Kind, error) {
	called := make([]*schema.Kind, 0, len(kind.Calls))
	for _, name := range kind.Calls {
		one := mesh.Kind(name)
		if one == nil {
			return nil, badFile.New("kind %s calls %s, which is not declared", kind.Name, name)
		}
		called = append(called, one)
	}
	slices.SortStableFunc(called, func(a, b *schema.Kind) int { return cmp.Compare(a.Repeat, b.Repeat) })
	return called, nil
}

func (l *Layout) naive(host Host, meshDir string) NaiveConfig {
	targets := map[string][]string{}
	for _, other := range l.Hosts() {
		targets[other.Service] = append(targets[other.Service], l.address(other.IP, targetPort))
	}
	return NaiveConfig{
		Listen:  l.address(host.IP, callerPort),
		Mesh:    meshDir,
		Retries: naiveRetries,
		Targets: targets,
	}
}

func (l *Layout) load(name string, mesh *schema.Set, meshDir string) LoadConfig {
	trace := l.Load.Traces[name]
	config := LoadConfig{
		Seed:     l.Seed,
		Mesh:     meshDir,
		Platform: l.PlatformAddress(),
		Callers:  l.Load.Callers,
		Mix:      l.Load.Mix,
		Phases:   trace.Phases,
		Faults:   trace.Faults,
		Trigger:  trace.Trigger,
		Expect:   trace.Expect,
		Capacity: map[string]float64{},
	}
	if trace.Callers != nil {
		config.Callers = *trace.Callers
	}
	for _, service := range l.Services {
		config.Capacity[service.Name] = l.capacity(mesh, service)
	}
	config.Entries = l.entries(trace.EntryService)
	for _, host := range l.Hosts() {
		config.Targets = append(config.Targets, LoadTarget{
			Name:    host.Name,
			Service: host.Service,
			Address: l.address(host.IP, controlPort),
		})
	}
	for _, wire := range l.wires() {
		config.Wires = append(config.Wires, LoadTarget{Name: wire.Name, Address: wire.ControlListen})
	}
	return config
}

// entries returns the addresses for callers, at the nodes of one service or at
// all, ordered so that the next one is in another data centre: a caller that
// repeats goes there.
func (l *Layout) entries(service string) []string {
	hosts := l.Hosts()
	entries := make([]string, 0, len(hosts))
	for i := range l.Services {
		for at := i; at < len(hosts); at += len(l.Services) {
			if service != "" && hosts[at].Service != service {
				continue
			}
			entries = append(entries, l.address(hosts[at].IP, callerPort))
		}
	}
	return entries
}

// capacity returns how many calls a second the slots of a service can work on.
// Slots that wait for calls of their own are not taken off.
func (l *Layout) capacity(mesh *schema.Set, service LayoutService) float64 {
	declared := mesh.Service(service.Name)
	if declared == nil || service.ServiceTime <= 0 {
		return 0
	}
	return float64(declared.Slots*len(l.DataCentres)) / service.ServiceTime.Seconds()
}

// FixTime gives every stand-in the same fixed service time.
func (l *Layout) FixTime(d time.Duration) {
	for i := range l.Services {
		l.Services[i].ServiceTime = d
		l.Services[i].Distribution = Fixed
		l.Services[i].ColdFactor = 1
	}
}

func writeYAML(path string, settings any) error {
	text, err := yaml.Marshal(settings)
	if err != nil {
		return badFile.Wrap(err, "write %s", path)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return badFile.Wrap(err, "write settings")
	}
	return nil
}
