package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// spoiledShare of the answers of one server are spoiled, for spoilTime each time: the largest
	// dose of garble on the pages.
	spoiledShare = 0.4
	spoilTime    = 6 * time.Second
	spoilPause   = 5 * time.Second
	spoilTimes   = 5
	// junkLines is how many lines a spoiled head has. The head is shorter than 64 KiB.
	junkLines = 21500
	// maxCut is how many requests the rule LOST allows a machine to cut.
	maxCut = 3
	// minRequests are sent in a case that could run.
	minRequests = 5000
)

// junkHeads lets one server answer a part of its requests with heads that consist of junk lines,
// and looks at the other requests of the machine on which it runs.
func junkHeads(log *record, trouble bool) (verdict, error) {
	m, err := newMesh(log, defaultState(), smallSite())
	defer m.close()
	if err != nil {
		return notRun, err
	}
	time.Sleep(contact)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peaks := make([]int, len(m.machines))
	var ended sync.WaitGroup
	for i, one := range m.machines {
		ended.Go(func() { peaks[i] = one.limitMemory(ctx) })
	}
	traffic := startTraffic(ctx, m)
	time.Sleep(contact)
	faulty := m.of("stock")[0]
	for range spoilTimes {
		if trouble {
			log.say("%s spoils %.0f%% of its answers", faulty.server.id, 100*spoiledShare)
			faulty.server.answer.Store(new(writeJunkHead()))
		}
		time.Sleep(spoilTime)
		faulty.server.answer.Store(nil)
		time.Sleep(spoilPause)
	}
	end := time.Now()
	cancel()
	ended.Wait()
	traffic.wait()
	for i, one := range m.machines {
		log.say("%s held %d MB at most, %d processes ended", one.name, peaks[i], len(one.ended()))
	}
	return judgeCut(log, m, traffic.requests, faulty.server, end), nil
}

// judgeCut counts the requests that were passed on to a sound server and whose connection then
// ended without an answer.
func judgeCut(log *record, m *mesh, requests []*request, faulty *server, end time.Time) verdict {
	cut := map[string]int{}
	for _, r := range requests {
		_, by := m.find(r.id)
		if r.err == nil || by == nil || by == faulty || r.ended.After(end) {
			continue
		}
		cut[r.machine.name]++
		log.printf("LOST: %s, sent to %s, run by the sound server %s: %s", r.id, r.machine.name, by.id, r.outcome())
	}
	result := held
	if len(requests) < minRequests {
		return notRun
	}
	for name, count := range cut {
		log.say("%s cut %d of %d requests of kept connections that a sound server had", name, count, len(requests))
		if count > maxCut {
			result = broken
		}
	}
	return result
}

// writeJunkHead returns an answer that spoils spoiledShare of the heads.
func writeJunkHead() func(conn net.Conn, id string) bool {
	var junk bytes.Buffer
	for i := range junkLines {
		junk.WriteByte(byte('a' + i%26))
		junk.WriteString(":\n")
	}
	return func(conn net.Conn, id string) bool {
		if rand.Float64() >= spoiledShare {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", requestHeader, id, sealHeader, id)
			return true
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 409 Conflict\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n%s\n", requestHeader, id, junk.Bytes())
		return true
	}
}

// traffic is what the clients of all machines sent on kept connections.
type traffic struct {
	mu       sync.Mutex
	requests []*request
	clients  sync.WaitGroup
}

// startTraffic sends about 190 look-ups and 180 orders a second from all machines until the
// context ends. At a small site, 190 and 180 requests a second go to the first service and to
// all others.
func startTraffic(ctx context.Context, m *mesh) *traffic {
	t := &traffic{}
	for _, one := range m.machines {
		for range 8 {
			t.keep(ctx, one, func() *request { return newRequest(one, http.MethodGet, "/stock/160ms", 6*time.Second) }, 90*time.Millisecond)
		}
		for range 9 {
			t.keep(ctx, one, func() *request { return newRequest(one, http.MethodPost, "/orders/210ms", 6*time.Second) }, 90*time.Millisecond)
		}
	}
	return t
}

// keep starts a client that sends requests one after the other on a kept connection.
func (t *traffic) keep(ctx context.Context, m *machine, next func() *request, pause time.Duration) {
	t.clients.Go(func() {
		keep(ctx, m, pause, func() *request {
			r := next()
			t.mu.Lock()
			defer t.mu.Unlock()
			t.requests = append(t.requests, r)
			return r
		})
	})
}

func (t *traffic) wait() {
	t.clients.Wait()
}
