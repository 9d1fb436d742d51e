package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// smallBody and largeBody are the sizes of the bodies that the limits before and after the
	// change allow.
	smallBody = 4 << 10
	largeBody = 16 << 10
	// orderBytes is the size of an order, as long as the longest at a small site.
	orderBytes = 7200
	// keptConnections is how many connections are kept at each machine.
	keptConnections = 4
)

// keptClient is a client with a kept connection.
type keptClient struct {
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
}

// raisedLimit raises max_body_bytes while clients keep connections, and sends bodies of the new
// size after the desired state must be in force.
func raisedLimit(log *record, trouble bool) (verdict, error) {
	before, after := defaultState(), defaultState()
	before.bodyBytes = smallBody
	after.version = before.version + 4
	first := after
	if trouble {
		first = before
	}
	m, err := newMesh(log, first, smallSite())
	defer m.close()
	if err != nil {
		return notRun, err
	}
	time.Sleep(contact)
	clients, err := keepConnections(m)
	if err != nil {
		return notRun, err
	}
	if trouble {
		m.store.put(stateTable, stateKey, after.document())
		log.say("version %d is confirmed: max_body_bytes is %d instead of %d", after.version, largeBody, smallBody)
	}
	time.Sleep(configApply + contact)
	refused := 0
	for _, client := range clients {
		r, err := client.order(strings.Repeat("x", orderBytes))
		if err != nil {
			return notRun, err
		}
		if r.status == http.StatusRequestEntityTooLarge {
			refused++
			log.printf("CONFIG: %s, sent %s after the confirmation, is refused as version %d says", r.id, configApply+contact, before.version)
		}
	}
	fresh := askFresh(log, m)
	log.say("%d of %d orders on kept connections were refused with 413, and %d of %d on new ones", refused, len(clients), fresh, len(m.machines))
	if refused > 0 {
		return broken, nil
	}
	return held, nil
}

// keepConnections opens connections to all machines and places an order on each.
func keepConnections(m *mesh) ([]*keptClient, error) {
	var clients []*keptClient
	for _, one := range m.machines {
		for range keptConnections {
			conn, err := net.Dial("tcp", one.at(outboundPort))
			if err != nil {
				return nil, err
			}
			client := &keptClient{machine: one, conn: conn, reader: bufio.NewReader(conn)}
			r, err := client.order("x")
			if err != nil {
				return nil, err
			}
			if r.status != http.StatusOK {
				return nil, fmt.Errorf("the first order of a connection gets %s", r.outcome())
			}
			clients = append(clients, client)
		}
	}
	return clients, nil
}

// order places an order on the kept connection.
func (c *keptClient) order(body string) (*request, error) {
	r := newRequest(c.machine, http.MethodPost, "/orders/20ms", 6*time.Second)
	r.body = body
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline))
	r.write(c.conn)
	if r.err != nil {
		return r, r.err
	}
	r.read(c.reader)
	return r, r.err
}

// askFresh places the same order on a new connection to each machine, and returns how many were
// refused.
func askFresh(log *record, m *mesh) (refused int) {
	for _, one := range m.machines {
		r := newRequest(one, http.MethodPost, "/orders/20ms", 6*time.Second)
		r.body = strings.Repeat("x", orderBytes)
		r.send()
		log.printf("on a new connection, %s gets %s", r.id, r.outcome())
		if r.status == http.StatusRequestEntityTooLarge {
			refused++
		}
	}
	return refused
}
