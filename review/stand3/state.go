package main

import "net/http"

// Routes, services and the host of the small deployment.
const (
	shopHost      = "shop.example"
	roundsService = "rounds"
	subsService   = "subs"
	roundsPath    = "/rounds/"
	renewPath     = "/renew/"
)

// firstState is a desired state with an idempotent route and one whose requests may run once.
const firstState = `{"version":7,
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"listeners":[{"host":"shop.example","rules":[
 {"name":"r-look","kind":"safe","target_latency":"1500ms","priority":2,"match":{"prefix":"/rounds/"},
  "action":{"service":"rounds","timeout":"3000ms","max_attempts":2}},
 {"name":"r-renew","kind":"unsafe","target_latency":"1500ms","priority":0,"match":{"prefix":"/renew/"},
  "action":{"service":"subs","timeout":"3000ms","max_attempts":2}}]}],
"clusters":[{"name":"rounds","health_path":"/health","max_connections":940,"protocol":"h1","tls":false},
 {"name":"subs","health_path":"/health","max_connections":940,"protocol":"h1","tls":false}]}`

func lookUp(path string) request {
	return request{id: newID(), method: http.MethodGet, host: shopHost, target: roundsPath + path}
}

func renewal() request {
	return request{id: newID(), method: http.MethodPost, host: shopHost, target: renewPath + "2f", body: "one year"}
}

// startAll adds a machine of each service in each zone and waits until all serve.
func (m *mesh) startAll() error {
	return m.startAllWith(firstState, lookUp("1"), renewal())
}

// startAllWith is startAll with a desired state and the requests that have to succeed.
func (m *mesh) startAllWith(state string, requests ...request) error {
	m.setState(state)
	for range zoneNames {
		if _, err := m.addMachine(roundsService); err != nil {
			return err
		}
	}
	for range zoneNames {
		if _, err := m.addMachine(subsService); err != nil {
			return err
		}
	}
	return m.awaitServing(requests...)
}

// of returns the machines of a service.
func (m *mesh) of(service string) []*machine {
	var found []*machine
	for _, mc := range m.machines {
		if mc.server.service == service {
			found = append(found, mc)
		}
	}
	return found
}
