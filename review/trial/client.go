package main

import (
	"bufio"
	"context"
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
	// client sends one request after the other on a connection that it keeps.
	client struct {
		machine *machine
		record  *record
		results *results
		host    string
		path    string
		method  string
		pause   time.Duration
		timeout time.Duration

		conn   net.Conn
		reader *bufio.Reader
	}

	// result is how one request ended for its client.
	result struct {
		id      string
		machine string
		sent    time.Time
		ended   time.Time
		// connected is set once the whole request was written to an open connection.
		connected bool
		// status is 0 if the connection ended without a whole answer.
		status int
		// sealed is set if the answer bears a server's seal.
		sealed bool
	}

	results struct {
		mu  sync.Mutex
		all []result
	}
)

func (r *results) add(one result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

func (r *results) list() []result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]result(nil), r.all...)
}

// run sends requests until the context ends. While its machine counts as not ready, it
// sends nothing.
func (c *client) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.machine.open.Load() {
			c.results.add(c.send())
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(c.pause))):
		}
	}
}

func (c *client) send() result {
	one := result{id: fmt.Sprintf("%016x", rand.Uint64()), machine: c.machine.name}
	one.sent = c.record.add("client at %s sends %s %s", c.machine.name, c.method, one.id)
	c.exchange(&one)
	one.ended = c.record.add("client at %s gets %d for %s (sealed: %t, sent whole: %t)", c.machine.name, one.status, one.id, one.sealed, one.connected)
	return one
}

func (c *client) exchange(one *result) {
	if c.conn == nil && !c.connect() {
		return
	}
	_ = c.conn.SetDeadline(time.Now().Add(c.timeout + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", c.method, c.path, c.host, requestHeader, one.id, deadlineHeader, c.timeout.Milliseconds())
	if c.method == http.MethodPost {
		head += "Content-Length: 5\r\n\r\nhello"
	} else {
		head += "\r\n"
	}
	if _, err := io.WriteString(c.conn, head); err != nil {
		c.disconnect()
		return
	}
	one.connected = true
	response, err := http.ReadResponse(c.reader, &http.Request{Method: c.method})
	if err != nil {
		c.disconnect()
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		c.disconnect()
		return
	}
	one.status = response.StatusCode
	one.sealed = response.Header.Get(sealHeader) != "" && strings.TrimSpace(string(body)) == "served "+one.id
	if response.Close {
		c.disconnect()
	}
}

func (c *client) connect() bool {
	conn, err := net.DialTimeout("tcp", c.machine.outbound, time.Second)
	if err != nil {
		return false
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	return true
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
