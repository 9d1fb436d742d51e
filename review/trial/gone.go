package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// pair is two safe requests that a client sent on one connection before the first of
	// them was answered.
	pair struct {
		first  string
		second string
		// left is when the client closed its connection, zero if it stayed.
		left time.Time
		// served counts the answers that the client got.
		served int
	}

	pairs struct {
		mu  sync.Mutex
		all []pair
	}
)

const (
	// stayFor is how long a client that leaves early waits for its answers.
	stayFor = 300 * time.Millisecond
	// goneBound is how long after a client has left its requests may reach a server or be
	// at work there.
	goneBound = 500 * time.Millisecond
	// fewRequests may reach a server later, and atWorkShare of those that would have
	// lasted longer may be at work later.
	fewRequests = 10
	atWorkShare = 0.25
	// In each round, pairLeaving of the pairClients at a machine leave.
	pairRounds   = 2
	pairClients  = 10
	pairLeaving  = 3
	pairInterval = 2500 * time.Millisecond
)

// gonePipeline has clients send two safe requests on one connection, a GET that takes
// slowWork and a PUT, and leave long before their time budget.
func gonePipeline(m *mesh, trouble bool) (bool, error) {
	if err := m.start("safe"); err != nil {
		return false, err
	}
	sent := &pairs{}
	var clients sync.WaitGroup
	for range pairRounds {
		for _, node := range m.machines {
			for i := range pairClients {
				clients.Go(func() { sent.add(m.sendPair(node, trouble && i < pairLeaving)) })
			}
		}
		time.Sleep(pairInterval)
	}
	clients.Wait()
	time.Sleep(2 * slowWork)
	return m.judgePairs(sent.all), nil
}

func (p *pairs) add(one pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, one)
}

// sendPair sends two requests in one write. If the client leaves, it closes the connection
// after stayFor, otherwise it reads both answers.
func (m *mesh) sendPair(node *machine, leaves bool) pair {
	one := pair{first: fmt.Sprintf("%016x", rand.Uint64()), second: fmt.Sprintf("%016x", rand.Uint64())}
	conn, err := net.DialTimeout("tcp", node.outbound, time.Second)
	if err != nil {
		m.record.add("client at %s cannot connect: %v", node.name, err)
		return one
	}
	defer func() { _ = conn.Close() }()
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "GET %s1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\n\r\n", slowPath, host, requestHeader, one.first, deadlineHeader)
	_, _ = fmt.Fprintf(&text, "PUT /stock/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\nContent-Length: 5\r\n\r\nhello", host, requestHeader, one.second, deadlineHeader)
	m.record.add("client at %s sends GET %s and PUT %s", node.name, one.first, one.second)
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return one
	}
	if leaves {
		time.Sleep(stayFor)
		_ = conn.Close()
		one.left = m.record.add("client at %s closes the connection of %s and %s", node.name, one.first, one.second)
		return one
	}
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	reader := bufio.NewReader(conn)
	for _, method := range []string{http.MethodGet, http.MethodPut} {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return one
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		m.record.add("client at %s gets %d for its %s", node.name, response.StatusCode, method)
		if response.StatusCode == http.StatusOK {
			one.served++
		}
	}
	return one
}

// judgePairs checks what became of the requests of clients that have left.
func (m *mesh) judgePairs(all []pair) bool {
	byRequest := map[string]arrival{}
	for _, a := range m.arrivalsOf("stock") {
		byRequest[a.request] = a
	}
	left, lasting, late, atWork, served := 0, 0, 0, 0, 0
	for _, one := range all {
		served += one.served
		if one.left.IsZero() {
			continue
		}
		left++
		bound := one.left.Add(goneBound)
		for _, request := range []string{one.first, one.second} {
			if a, ok := byRequest[request]; ok && a.at.After(bound) {
				m.record.add("GONE: %s reached a server %.3f s after its client had left", request, a.at.Sub(one.left).Seconds())
				late++
			}
		}
		if a, ok := byRequest[one.first]; ok && a.at.Before(one.left) && a.at.Add(slowWork).After(bound) {
			lasting++
			if a.ended.After(bound) {
				atWork++
			}
		}
	}
	m.record.say("%d clients left early; %d answers of 200 were read", left, served)
	m.record.say("%d requests reached a server over %s after their client had left", late, goneBound)
	m.record.say("%d of %d requests that would have lasted so long were still at work then", atWork, lasting)
	return late > fewRequests || float64(atWork) > atWorkShare*float64(lasting)
}
