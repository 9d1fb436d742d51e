// Package lab holds what is needed to try a mesh on one host: stand-ins for
// targets, a naive relay to compare with, and a load tool that checks every
// answer and counts what ran.
//
// A layout file says which hosts a firm has; Write turns it into the settings
// of every process. Every host has its own address in 127.0.0.0/8.
package lab

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// The headers that the lab reads and sends.
const (
	// RequestHeader names the attempt of a whole request, as "<request>.<attempt>".
	// Stand-ins copy it to the calls that they make.
	RequestHeader  = "Fieldlab-Request"
	contextHeader  = "Dandelion-Context"
	timeLeftHeader = "Dandelion-Time-Left"
	codeHeader     = "Dandelion-Code"
	resultHeader   = "Dandelion-Result"
	keyHeader      = "Idempotency-Key"
)

type (
	// Mesh is the part of a firm's declarations that the lab needs.
	Mesh struct {
		Services []Service
		Kinds    []Kind
	}

	// Service is a declared service.
	Service struct {
		Name        string        `yaml:"name"`
		Slots       int           `yaml:"slots"`
		Connections int           `yaml:"connections"`
		ColdStart   time.Duration `yaml:"cold_start"`
		ShedStatus  int           `yaml:"shed_status"`
	}

	// Kind is a declared kind of request.
	Kind struct {
		Name       string        `yaml:"name"`
		Service    string        `yaml:"service"`
		Method     string        `yaml:"method"`
		Path       string        `yaml:"path"`
		Importance string        `yaml:"importance"`
		Repeat     string        `yaml:"repeat"`
		Deadline   time.Duration `yaml:"deadline"`
		Calls      []string      `yaml:"calls"`
	}
)

// Never reports whether a request of the kind may run at most once.
func (k Kind) Never() bool {
	return k.Repeat == "never"
}

func (k Kind) critical() bool {
	return k.Importance == "critical"
}

// ReadMesh reads the services and request kinds from the YAML files in a
// directory. It checks no more than the YAML itself: checking declarations is
// the node's part.
func ReadMesh(dir string) (Mesh, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return Mesh{}, badFile.Wrap(err, "list %s", dir)
	}
	var mesh Mesh
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return Mesh{}, badFile.Wrap(err, "read declarations")
		}
		if err := mesh.add(string(text)); err != nil {
			return Mesh{}, badFile.Wrap(err, "%s", path)
		}
	}
	return mesh, nil
}

// Kind returns the kind of that name, or nil.
func (m *Mesh) Kind(name string) *Kind {
	for i := range m.Kinds {
		if m.Kinds[i].Name == name {
			return &m.Kinds[i]
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (m *Mesh) Service(name string) *Service {
	for i := range m.Services {
		if m.Services[i].Name == name {
			return &m.Services[i]
		}
	}
	return nil
}

func (m *Mesh) add(text string) error {
	for _, document := range strings.Split(text, "\n---") {
		var head struct {
			Resource string `yaml:"resource"`
		}
		if err := yaml.Unmarshal([]byte(document), &head); err != nil {
			return err
		}
		switch head.Resource {
		case "service":
			var service Service
			if err := yaml.Unmarshal([]byte(document), &service); err != nil {
				return err
			}
			m.Services = append(m.Services, service)
		case "request_kind":
			var kind Kind
			if err := yaml.Unmarshal([]byte(document), &kind); err != nil {
				return err
			}
			m.Kinds = append(m.Kinds, kind)
		}
	}
	return nil
}

// baseRequest cuts the attempt from the value of RequestHeader, so that
// "7-12.2" becomes "7-12".
func baseRequest(attempt string) string {
	base, _, _ := strings.Cut(attempt, ".")
	return base
}

// fillPath puts the request's name in place of every variable of a path, so
// that "/stock/{item}" becomes "/stock/7-12".
func fillPath(path, request string) string {
	parts := strings.Split(path, "/")
	for i, part := range parts {
		if strings.HasPrefix(part, "{") {
			parts[i] = request
		}
	}
	return strings.Join(parts, "/")
}
