package main

import (
	"cmp"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// followersPerZone is how many nodes of each zone read the operator's table for all others.
	followersPerZone = 4
	// changeDelay is the time from the loss of the followers to the change.
	changeDelay = 300 * time.Millisecond
	// watchTime is how long requests are sent after the confirmation, and watchPause the time
	// between two of them at each machine.
	watchTime  = 7 * time.Second
	watchPause = 100 * time.Millisecond
	// viewTime is the time in which the nodes learn of each other.
	viewTime = 8 * time.Second
)

// lostFollowers takes away, for good and at the same moment, the machines whose nodes read the
// operator's table for all others, and then moves a route to another service.
func lostFollowers(log *record, trouble bool) (verdict, error) {
	before := defaultState()
	m, err := newMesh(log, before, []serverSpec{{service: "stock", count: 9, slots: 133}, {service: "orders", count: 9, slots: 133}})
	defer m.close()
	if err != nil {
		return notRun, err
	}
	time.Sleep(viewTime)
	lost, kept := splitFollowers(m)
	if trouble {
		for _, one := range lost {
			one.kill()
		}
		log.say("%d of %d machines are lost", len(lost), len(m.machines))
	}
	time.Sleep(changeDelay)
	after := before
	after.version += 3
	after.lookUpService = "orders"
	m.store.put(stateTable, stateKey, after.document())
	confirmed := time.Now()
	log.say("version %d is confirmed: /stock/ goes to orders instead of stock", after.version)
	return watchRoute(log, m, kept, confirmed)
}

// splitFollowers returns the machines whose nodes follow the operator's table, and the others.
// In each zone those follow whose names have the lowest hashes.
func splitFollowers(m *mesh) (followers, others []*machine) {
	for _, zone := range zones {
		var in []*machine
		for _, one := range m.machines {
			if one.zone == zone {
				in = append(in, one)
			}
		}
		slices.SortFunc(in, func(a, b *machine) int {
			return cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name))
		})
		followers = append(followers, in[:followersPerZone]...)
		others = append(others, in[followersPerZone:]...)
	}
	return followers, others
}

// watchRoute sends look-ups to machines in touch and counts those that the old service runs
// although they were sent later than configApply after the confirmation.
func watchRoute(log *record, m *mesh, kept []*machine, confirmed time.Time) (verdict, error) {
	stale, served := 0, 0
	last := time.Duration(0)
	for time.Since(confirmed) < watchTime {
		for _, one := range kept {
			r := newRequest(one, http.MethodGet, "/stock/1ms", time.Second)
			r.send()
			_, by := m.find(r.id)
			if by == nil || r.status != http.StatusOK {
				continue
			}
			served++
			if age := r.sent.Sub(confirmed); age > configApply && by.service == "stock" {
				stale++
				last = age
				log.printf("CONFIG: %s, sent to %s %s after the confirmation, is run by %s", r.id, one.name, age, by.id)
			}
		}
		time.Sleep(watchPause)
	}
	log.say("%d of %d look-ups were run by the old service more than %s after the confirmation, the last one sent %s after it", stale, served, configApply, last)
	switch {
	case served == 0:
		return notRun, errors.New("no look-up was served")
	case stale > 0:
		return broken, nil
	}
	return held, nil
}
