package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// drainBound is the bound drain of the settings.
	drainBound = 2 * time.Second
	// pingDelay is how late the first ping of the new process arrives.
	pingDelay = 3 * time.Second
	// lifeBeforeLeave is how long the new process has run when it says that it leaves.
	lifeBeforeLeave = 500 * time.Millisecond
	// downTime is how long the crashed server is down.
	downTime = 3 * time.Second
	// servesOn is how long a leaving server serves on after the confirmation.
	servesOn     = 9 * time.Second
	calmTime     = 2 * time.Second
	lookInterval = 10 * time.Millisecond
	// moreServers is how many servers join the service, so that one of all is at most the share
	// 0.14 of srv_crash.
	moreServers = 5
)

func init() {
	scenarios["same-id"] = playSameID
}

// playSameID crashes a server and starts it again under its id. The new process soon leaves,
// without ever reporting draining. Its ping from before arrives late.
func playSameID(m *mesh, trouble bool) ([]string, error) {
	if err := m.startAll(); err != nil {
		return nil, err
	}
	for range moreServers {
		if _, err := m.addMachine(roundsService); err != nil {
			return nil, err
		}
	}
	if err := m.awaitServing(lookUp("1"), renewal()); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, mc := range m.machines {
		clients.Go(func() { lookUpUntil(mc, stop) })
	}
	time.Sleep(calmTime)
	left, err := m.leaveAfterRestart(m.of(roundsService)[0].server, trouble)
	close(stop)
	clients.Wait()
	return left, err
}

func lookUpUntil(mc *machine, stop <-chan struct{}) {
	c := newClient(mc)
	defer c.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(lookInterval):
			c.send(lookUp("2f"))
		}
	}
}

// leaveAfterRestart plays the crash, the start and the leaving of a server. It returns the
// requests that reached the server later than drainBound after the confirmation.
func (m *mesh) leaveAfterRestart(s *server, trouble bool) ([]string, error) {
	s.crash()
	time.Sleep(downTime)
	if err := s.boot(false); err != nil {
		return nil, err
	}
	first := s.nextPing()
	if trouble {
		m.rec.note("server %s: its first ping is held up", s.id)
		time.AfterFunc(pingDelay, func() { s.ping(first) })
	} else {
		s.ping(first)
	}
	time.Sleep(lifeBeforeLeave)
	if status := s.depart(); status != http.StatusOK {
		return nil, fmt.Errorf("the departure got %d", status)
	}
	confirmed := time.Now()
	time.Sleep(servesOn)
	s.crash()
	var broken []string
	for _, r := range m.allRuns() {
		if r.server == s.id && r.at.Sub(confirmed) > drainBound {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s %.1f s after the confirmation", r.id, s.id, r.at.Sub(confirmed).Seconds()))
		}
	}
	return broken, nil
}
