package main

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// burstOrders are placed at the same moment at each machine.
	burstOrders = 10
	// longWork is how long a server works on an order. The longest work on the pages takes
	// 9.9 s, and the longest timeout of a route is slowTimeout.
	longWork = "/orders/6500ms"
	// stopDelay is the time from the burst to the SIGTERM, and stopGap that between two stops.
	stopDelay = 100 * time.Millisecond
	stopGap   = time.Second
	// stopTime ends the rounds.
	stopTime = 95 * time.Second
)

// fullSite are three servers for each of four services, as at the small sites.
func fullSite() []serverSpec {
	return append(smallSite(), serverSpec{service: "certs", count: 3, slots: 133}, serverSpec{service: "lines", count: 3, slots: 133})
}

// stopWithLongOrders stops machines in turn whose servers work on orders that last longer than
// the grace time.
func stopWithLongOrders(log *record, trouble bool) (verdict, error) {
	first := defaultState()
	first.order = slowTimeout
	m, err := newMesh(log, first, fullSite())
	defer m.close()
	if err != nil {
		return notRun, err
	}
	time.Sleep(contact)
	end := time.Now().Add(stopTime)
	twice, refused, total := 0, 0, 0
	for round := 1; time.Now().Before(end); round++ {
		var sent []*request
		var done sync.WaitGroup
		for _, stopped := range m.of("orders")[:2] {
			sent = append(sent, placeBurst(m, stopped, &done)...)
			time.Sleep(stopDelay)
			if trouble {
				done.Go(stopped.stop)
			}
			time.Sleep(stopGap - stopDelay)
		}
		done.Wait()
		for _, r := range sent {
			total++
			twice += judgeTwice(log, m, r)
			refused += judgeRefused(log, m, r)
		}
		log.say("round %d: %d of %d orders ran twice so far, %d ran and were refused", round, twice, total, refused)
		if err := m.awaitReady(); err != nil {
			return notRun, err
		}
		time.Sleep(contact)
	}
	if twice+refused > 0 {
		return broken, nil
	}
	return held, nil
}

// judgeTwice returns 1 if an order ran more than once.
func judgeTwice(log *record, m *mesh, r *request) int {
	began := 0
	for _, one := range m.machines {
		run, ran := one.server.find(r.id)
		if !ran {
			continue
		}
		began += run.count
		log.printf("%s, sent to %s, began at %s %s after it was sent", r.id, r.machine.name, one.server.id, run.began.Sub(r.sent))
	}
	if began < 2 {
		return 0
	}
	log.say("TWICE: %s began %d times; the client gets %s", r.id, began, r.outcome())
	return 1
}

// judgeRefused returns 1 if an order ran and the client was told that it did not.
func judgeRefused(log *record, m *mesh, r *request) int {
	if _, by := m.find(r.id); by == nil || r.status != http.StatusServiceUnavailable && r.status != http.StatusTooManyRequests {
		return 0
	}
	log.say("REFUSED: %s ran; the client gets %s", r.id, r.outcome())
	return 1
}

// placeBurst places orders at the other machines of a zone, all at once on connections that are
// open already.
func placeBurst(m *mesh, stopped *machine, done *sync.WaitGroup) []*request {
	var sent []*request
	start := make(chan struct{})
	var ready sync.WaitGroup
	for _, one := range m.machines {
		if one == stopped || one.zone != stopped.zone {
			continue
		}
		for range burstOrders {
			r := newRequest(one, http.MethodPost, longWork, slowTimeout)
			sent = append(sent, r)
			ready.Add(1)
			done.Go(func() {
				conn, err := net.DialTimeout("tcp", one.at(outboundPort), time.Second)
				ready.Done()
				if err != nil {
					r.end(nil, err)
					return
				}
				defer func() { _ = conn.Close() }()
				<-start
				_ = conn.SetDeadline(time.Now().Add(r.deadline + answerMargin))
				if r.write(conn); r.err == nil {
					r.read(bufio.NewReader(conn))
				}
			})
		}
	}
	ready.Wait()
	close(start)
	return sent
}
