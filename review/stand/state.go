package main

import (
	"fmt"
	"time"
)

// state holds what the cases vary of the operator's desired state.
type state struct {
	version int
	// bodyBytes is max_body_bytes.
	bodyBytes int
	// lookUp and order are the timeouts of the two routes.
	lookUp, order time.Duration
	// lookUpService is the service to which look-ups go.
	lookUpService string
}

const (
	routeHost  = "shop.example"
	stateTable = "op"
	stateKey   = "config"

	// configApply is the bound in which a desired state is in force, and contact how long a
	// machine must have been without disruption for the rules with a time bound.
	configApply = 2 * time.Second
	contact     = 3 * time.Second
)

const stateFormat = `{"version":%d,
"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"listeners":[{"host":"` + routeHost + `","rules":[
 {"name":"look-up","kind":"safe","target_latency":"1500ms","priority":2,"match":{"prefix":"/stock/"},"action":{"service":"%s","timeout":"%s","max_attempts":2}},
 {"name":"order","kind":"unsafe","target_latency":"2000ms","priority":0,"match":{"prefix":"/orders/"},"action":{"service":"orders","timeout":"%s","max_attempts":2}}]}],
"clusters":[{"name":"stock","health_path":"/health","max_connections":898},{"name":"orders","health_path":"/health","max_connections":898}]}`

// document returns the desired state as the operator writes it.
func (s state) document() []byte {
	return fmt.Appendf(nil, stateFormat, s.version, s.bodyBytes, s.lookUpService, milliseconds(s.lookUp), milliseconds(s.order))
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%dms", d.Milliseconds())
}

// defaultState is that of a small site.
func defaultState() state {
	return state{version: 3, bodyBytes: 1 << 20, lookUp: time.Second, order: 1200 * time.Millisecond, lookUpService: "stock"}
}

// smallSite are three servers for each of two services.
func smallSite() []serverSpec {
	return []serverSpec{{service: "stock", count: 3, slots: 133}, {service: "orders", count: 3, slots: 133}}
}
