package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The desired state of a deployment with one tenant, and what the operator changes in it.
const (
	tenantKey    = "key-of-the-only-tenant"
	oneTenant    = `"tenants":[{"name":"studio","api_keys":["` + tenantKey + `"]}],`
	noTenant     = `"tenants":[],`
	revokeBound  = 5 * time.Second
	revokeMargin = time.Second
	keyRequests  = 60
)

func init() {
	scenarios["last-tenant"] = playLastTenant
}

func withTenants(version int, tenants string) string {
	return strings.Replace(firstState, `"version":7,`, fmt.Sprintf(`"version":%d,%s`, version, tenants), 1)
}

func keyed(r request) request {
	r.header = "Authorization: Bearer " + tenantKey + "\r\n"
	return r
}

// playLastTenant takes the only tenant, with its key, out of the desired state.
func playLastTenant(m *mesh, trouble bool) ([]string, error) {
	m.strictRevoke = true
	if err := m.startAllWith(withTenants(7, oneTenant), keyed(lookUp("1")), keyed(renewal())); err != nil {
		return nil, err
	}
	if status := sendOnce(m.machines[0], renewal()).status; status != http.StatusUnauthorized {
		return nil, fmt.Errorf("a request without a key got %d before the change", status)
	}
	next := withTenants(12, `"tenants":[{"name":"studio","api_keys":[]}],`)
	if trouble {
		next = withTenants(12, noTenant)
	}
	m.setState(next)
	time.Sleep(revokeBound + revokeMargin)
	late := map[string]bool{}
	for n := range keyRequests {
		r := keyed(renewal())
		late[r.id] = true
		sendOnce(m.machines[n%len(m.machines)], r)
		time.Sleep(sendInterval)
	}
	var broken []string
	for _, r := range m.allRuns() {
		if late[r.id] {
			broken = append(broken, fmt.Sprintf("CONFIG: %s ran at %s with a key that was taken away; key passed on: %v", r.id, r.server, r.gotKey))
		}
	}
	return broken, nil
}
