package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Additional bytes of a faulty server. Neither text names a request or bears a seal.
const (
	strayRefusal = "HTTP/1.1 503 Service Unavailable\r\n" + notRunHeader + ": 1\r\nContent-Length: 0\r\n\r\n"
	strayTimeout = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"
)

const (
	// strayLength is how long a server is faulty, and strayEvery one answer in how many it
	// spoils then: for_s = 5, x = 0.03.
	strayLength = 5 * time.Second
	strayEvery  = 34
	// strayRun is how long clients send. The trouble begins after calmTime.
	strayRun          = 10 * time.Second
	clientsPerMachine = 2
	sendInterval      = 30 * time.Millisecond
	settleInterval    = 4 * time.Second
)

func init() {
	scenarios["stray-refusal"] = func(m *mesh, trouble bool) ([]string, error) {
		results, err := playStray(m, trouble, strayRefusal)
		return results.ranTwice(m), err
	}
	scenarios["stray-timeout"] = func(m *mesh, trouble bool) ([]string, error) {
		results, err := playStray(m, trouble, strayTimeout)
		return results.refusedAndRan(m), err
	}
}

// answers holds the status that each request got.
type answers struct {
	mu       sync.Mutex
	statuses map[string]int
}

func (a *answers) add(id string, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.statuses[id] = status
}

// playStray sends renewals through all nodes while one server of the service sends additional
// bytes after one answer in strayEvery.
func playStray(m *mesh, trouble bool, text string) (*answers, error) {
	got := &answers{statuses: map[string]int{}}
	if err := m.startAll(); err != nil {
		return got, err
	}
	end := time.Now().Add(strayRun)
	var clients sync.WaitGroup
	for _, mc := range m.machines {
		for range clientsPerMachine {
			clients.Go(func() { got.renewUntil(mc, end) })
		}
	}
	if trouble {
		faulty := m.of(subsService)[0].server
		time.Sleep(calmTime)
		faulty.setStray(everyNth(strayEvery, text))
		time.Sleep(strayLength)
		faulty.setStray(nil)
	}
	clients.Wait()
	time.Sleep(settleInterval)
	return got, nil
}

// renewUntil sends renewals through the node of a machine, one after the other.
func (a *answers) renewUntil(mc *machine, end time.Time) {
	c := newClient(mc)
	defer c.close()
	for time.Now().Before(end) {
		r := renewal()
		a.add(r.id, c.send(r).status)
		time.Sleep(sendInterval)
	}
}

// everyNth returns a function that returns the text for one request in n.
func everyNth(n int, text string) func(*http.Request) string {
	var mu sync.Mutex
	count := 0
	return func(*http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		count++
		if count%n != 0 {
			return ""
		}
		return text
	}
}

// ranTwice returns the renewals that ran more than once.
func (a *answers) ranTwice(m *mesh) []string {
	servers := map[string][]string{}
	for _, r := range m.allRuns() {
		servers[r.id] = append(servers[r.id], r.server)
	}
	var broken []string
	for id := range a.statuses {
		if len(servers[id]) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran at %v", id, servers[id]))
		}
	}
	return broken
}

// refusedAndRan returns the renewals that were answered with a promise and have run.
func (a *answers) refusedAndRan(m *mesh) []string {
	var broken []string
	for _, r := range m.allRuns() {
		switch status := a.statuses[r.id]; status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and ran at %s", r.id, status, r.server))
		}
	}
	return broken
}
