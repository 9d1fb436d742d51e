package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// slowTimeout is the timeout of the route and the time budget of the client. It is longer
	// than the time that a stopped process has.
	slowTimeout = 8 * time.Second
	// stopAfter is the time from the requests to the SIGTERM. The servers have answered by then.
	stopAfter = 500 * time.Millisecond
	// latinHeader is a header with a letter of ISO 8859-1.
	latinHeader = "Content-Disposition: inline; filename=\"Mah\xe9bourg.pdf\""
	orders      = 6
)

// latinAnswer lets servers answer with a header that has a letter of ISO 8859-1, and stops the
// machine that took the requests.
func latinAnswer(log *record, trouble bool) (verdict, error) {
	before := defaultState()
	before.order = slowTimeout
	m, err := newMesh(log, before, smallSite())
	defer m.close()
	if err != nil {
		return notRun, err
	}
	answer := func(conn net.Conn, id string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n%s\r\nContent-Length: 3\r\nConnection: close\r\n\r\nok\n", requestHeader, id, sealHeader, id, latinHeader)
		return true
	}
	for _, one := range m.of("orders") {
		one.server.answer.Store(&answer)
	}
	time.Sleep(contact)
	taking := m.of("stock")[0]
	var sent []*request
	var done sync.WaitGroup
	for range orders {
		r := newRequest(taking, http.MethodPost, "/orders/210ms", slowTimeout)
		sent = append(sent, r)
		done.Go(r.send)
	}
	time.Sleep(stopAfter)
	if trouble {
		done.Go(taking.stop)
	}
	done.Wait()
	cut := 0
	for _, r := range sent {
		run, by := m.find(r.id)
		if by == nil || run.ended.IsZero() {
			return notRun, fmt.Errorf("%s was not run", r.id)
		}
		log.say("%s: answered by %s %s after it was sent; the client gets %s after %s", r.id, by.id, run.ended.Sub(r.sent), r.outcome(), r.ended.Sub(r.sent))
		if r.err != nil && r.ended.Sub(r.sent) < slowTimeout {
			cut++
		}
	}
	log.say("%d of %d orders that a server had answered were cut by the planned stop of %s", cut, orders, taking.name)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}
