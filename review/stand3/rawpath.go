package main

import (
	"fmt"
	"time"
)

func init() {
	scenarios["raw-path"] = playRawPath
}

const (
	pathRequests = 20
)

// playRawPath sends requests whose path has bytes that many clients do not escape.
func playRawPath(m *mesh, trouble bool) ([]string, error) {
	if err := m.startAll(); err != nil {
		return nil, err
	}
	paths := []string{"/rounds/Mahebourg", "/rounds/a-b", "/rounds/7%2Fnotes", "/round%73/1"}
	if trouble {
		paths = []string{"/rounds/Mah\u00e9bourg", "/rounds/a|b", "/rounds/7%2Fnotes|2", "/round%73/1|"}
	}
	sent := map[string]string{}
	for n := range pathRequests {
		r := lookUp("")
		r.target = paths[n%len(paths)]
		sent[r.id] = r.target
		sendOnce(m.machines[n%len(m.machines)], r)
		time.Sleep(sendInterval)
	}
	var broken []string
	for _, r := range m.allRuns() {
		if target, ok := sent[r.id]; ok && target != r.target {
			broken = append(broken, fmt.Sprintf("UNASKED: %s was sent with path %q and ran with %q", r.id, target, r.target))
		}
	}
	return broken, nil
}
