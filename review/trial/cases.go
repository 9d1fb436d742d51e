package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// termThenHup stops one node as planned and tells it during its grace that its settings
// have changed. Requests that servers run must get whole answers.
func termThenHup(m *mesh, trouble bool) (bool, error) {
	if err := m.start("unsafe"); err != nil {
		return false, err
	}
	m.load(4, http.MethodPost, "/order/1", 50*time.Millisecond)
	m.load(4, http.MethodGet, "/stock/1", 50*time.Millisecond)
	time.Sleep(5 * time.Second)
	node := m.machines[0]
	m.signal(node, syscall.SIGTERM)
	terminated := time.Now()
	time.Sleep(time.Second)
	if trouble {
		m.signal(node, syscall.SIGHUP)
	}
	select {
	case <-node.exited:
	case <-time.After(grace + time.Second):
		m.signal(node, syscall.SIGKILL)
	}
	m.record.say("%s ended %.1f s after SIGTERM", node.name, time.Since(terminated).Seconds())
	time.Sleep(3 * time.Second)
	lost := 0
	for _, one := range m.results.list() {
		if one.machine != node.name || one.status != 0 || one.ended.Before(terminated) || !one.connected {
			continue
		}
		if m.wasRun(one.id) {
			m.record.add("LOST: %s ran at a server, and its connection at %s ended with no answer", one.id, node.name)
			lost++
		}
	}
	m.record.say("%d requests ran at a server and got no answer from %s around its planned stop", lost, node.name)
	return lost > 0, nil
}

func (m *mesh) wasRun(request string) bool {
	for _, node := range m.machines {
		if node.server.hasRun(request) {
			return true
		}
	}
	return false
}

// oddPingThenDrain has another writer send one ping in which a field is missing, under the
// id of a server. Later that server drains, which its node acknowledges.
func oddPingThenDrain(m *mesh, trouble bool) (bool, error) {
	if err := m.start("safe"); err != nil {
		return false, err
	}
	m.load(2, http.MethodGet, "/stock/1", 50*time.Millisecond)
	time.Sleep(4 * time.Second)
	leaving := m.of("stock")[0].server
	if trouble {
		odd := leaving.pingBody()
		delete(odd, "born")
		m.record.say("another writer sends a ping for %s without the field born", leaving.id)
		leaving.put(leaving.id, odd)
	}
	time.Sleep(4 * time.Second)
	before := leaving.runsAfter(m.record.started)
	acked, ok := leaving.drain()
	if !ok || before == 0 {
		return false, fmt.Errorf("%w: acknowledged %t, %d requests before", errNoCase, ok, before)
	}
	m.record.say("the draining of %s is acknowledged at %.3f s", leaving.id, m.record.since(acked))
	// The server serves on for the drain bound and a little longer, and exits.
	time.Sleep(drainBound + 4*time.Second)
	late := leaving.runsAfter(acked.Add(drainBound))
	m.record.say("%d requests reached %s later than %s after the acknowledgement", late, leaving.id, drainBound)
	leaving.leave()
	_ = leaving.http.Close()
	return late > 0, nil
}

// oddPings has another writer send one ping in which a field is missing, under an unknown
// id, to the node of each server of a service.
func oddPings(m *mesh, trouble bool) (bool, error) {
	if err := m.start("safe"); err != nil {
		return false, err
	}
	m.load(4, http.MethodGet, "/stock/1", 100*time.Millisecond)
	time.Sleep(10 * time.Second)
	at := time.Now()
	if trouble {
		for _, node := range m.of("stock") {
			odd := node.server.pingBody()
			delete(odd, "born")
			id := fmt.Sprintf("i-%08x", rand.Uint32())
			m.record.say("another writer sends a ping for %s without the field born to %s", id, node.name)
			node.server.put(id, odd)
		}
	}
	time.Sleep(25 * time.Second)
	m.countServed(at)
	return m.overBudget("stock"), nil
}

// countServed says how many requests were served before a time and how many after.
func (m *mesh) countServed(at time.Time) {
	var sent, served [2]int
	for _, one := range m.results.list() {
		after := 0
		if one.sent.After(at) {
			after = 1
		}
		sent[after]++
		if one.status == http.StatusOK && one.sealed {
			served[after]++
		}
	}
	m.record.say("served before: %d of %d, after: %d of %d", served[0], sent[0], served[1], sent[1])
}

// overBudget checks the budget of repeats of a service in all windows.
func (m *mesh) overBudget(service string) bool {
	requests, repeats := m.repeats(service)
	worst, allowed, at := 0, 0.0, 0.0
	for _, end := range repeats {
		from := end.Add(-budgetWindow)
		count := within(repeats, from, end)
		most := max(within(requests, from, end), within(requests, from.Add(-budgetWindow), from),
			within(requests, from.Add(-budgetWindow/2), end.Add(-budgetWindow/2)))
		limit := budgetRatio*float64(most) + budgetSlack
		if float64(count)-limit > float64(worst)-allowed || worst == 0 {
			worst, allowed, at = count, limit, m.record.since(end)
		}
	}
	m.record.say("worst window of %s, ending at %.1f s: %d repeats, %.0f allowed", service, at, worst, allowed)
	return float64(worst) > allowed
}

// repeats returns when requests for the service were sent, and when arrivals beyond the
// first of each request came to its servers.
func (m *mesh) repeats(service string) (requests, repeats []time.Time) {
	for _, one := range m.results.list() {
		requests = append(requests, one.sent)
	}
	seen := map[string]bool{}
	for _, a := range m.arrivalsOf(service) {
		if seen[a.request] {
			repeats = append(repeats, a.at)
		}
		seen[a.request] = true
	}
	return requests, repeats
}

// arrivalsOf returns the arrivals at all servers of a service in the order of time.
func (m *mesh) arrivalsOf(service string) []arrival {
	var all []arrival
	for _, node := range m.of(service) {
		node.server.mu.Lock()
		for _, a := range node.server.arrivals {
			all = append(all, *a)
		}
		node.server.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	return all
}

func within(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			count++
		}
	}
	return count
}

// latePingAfterRestart has a server leave by DELETE, kills and restarts the node that
// acknowledged it, and then lets a ping of the server arrive that was sent before.
func latePingAfterRestart(m *mesh, trouble bool) (bool, error) {
	if err := m.start("safe"); err != nil {
		return false, err
	}
	m.load(2, http.MethodGet, "/stock/1", 50*time.Millisecond)
	time.Sleep(4 * time.Second)
	node := m.of("stock")[0]
	leaving := node.server
	late := leaving.pingBody()
	m.record.say("%s sends a ping that is held up on its way", leaving.id)
	time.Sleep(200 * time.Millisecond)
	acked, ok := leaving.leave()
	if !ok {
		return false, errNoCase
	}
	m.record.say("the leaving of %s is acknowledged at %.3f s", leaving.id, m.record.since(acked))
	time.Sleep(300 * time.Millisecond)
	restarted := acked
	if trouble {
		m.signal(node, syscall.SIGKILL)
		<-node.exited
		time.Sleep(500 * time.Millisecond)
		if err := m.startNode(node); err != nil {
			return false, err
		}
		restarted = time.Now()
	}
	time.Sleep(time.Until(acked.Add(drainBound)))
	m.record.say("the late ping arrives")
	leaving.put(leaving.id, late)
	// The server serves on for the drain bound and some seconds, and exits.
	time.Sleep(6 * time.Second)
	from := acked.Add(drainBound)
	if inTouch := restarted.Add(contact); inTouch.After(from) {
		from = inTouch
	}
	count := leaving.runsAfter(from)
	m.record.say("%d requests reached %s later than %s after the acknowledgement, from machines in touch", count, leaving.id, drainBound)
	_ = leaving.http.Close()
	return count > 0, nil
}
