package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// request is one attempt of a client.
type request struct {
	id       string
	machine  *machine
	method   string
	path     string
	body     string
	deadline time.Duration
	// sent is when the last byte was sent, and ended when the answer was complete or the
	// connection ended.
	sent  time.Time
	ended time.Time
	// status is 0 if there is no complete answer; err then says why.
	status int
	err    error
}

// answerMargin is how long a client waits for an answer after its deadline.
const answerMargin = time.Second

var lastRequest atomic.Int64

// newRequest returns a request with an id of its own.
func newRequest(m *machine, method, path string, deadline time.Duration) *request {
	return &request{id: fmt.Sprintf("%016x", lastRequest.Add(1)), machine: m, method: method, path: path, deadline: deadline}
}

// encode returns the request on the wire.
func (r *request) encode() []byte {
	var message bytes.Buffer
	fmt.Fprintf(&message, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.path, routeHost)
	fmt.Fprintf(&message, "%s: %s\r\n%s: %d\r\n", requestHeader, r.id, deadlineHeader, r.deadline.Milliseconds())
	if r.method != http.MethodGet {
		message.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n")
	}
	message.WriteString("\r\n" + r.body)
	return message.Bytes()
}

// send sends the request on a connection of its own and waits for the answer.
func (r *request) send() {
	conn, err := net.DialTimeout("tcp", r.machine.at(outboundPort), time.Second)
	if err != nil {
		r.end(nil, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.deadline + answerMargin))
	if r.write(conn); r.err == nil {
		r.read(bufio.NewReader(conn))
	}
}

// write sends the request on a connection.
func (r *request) write(conn io.Writer) {
	r.machine.mesh.log.printf("client sends %s %s %s to %s", r.id, r.method, r.path, r.machine.name)
	if _, err := conn.Write(r.encode()); err != nil {
		r.end(nil, err)
		return
	}
	r.sent = time.Now()
}

// read reads the answer.
func (r *request) read(reader *bufio.Reader) {
	response, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		r.end(nil, err)
		return
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		r.end(nil, err)
		return
	}
	r.end(response, nil)
}

func (r *request) end(response *http.Response, err error) {
	r.ended = time.Now()
	r.err = err
	if response != nil {
		r.status = response.StatusCode
	}
	r.machine.mesh.log.printf("client gets %s: %s", r.id, r.outcome())
}

func (r *request) outcome() string {
	if r.err != nil {
		return "no answer, " + r.err.Error()
	}
	return strconv.Itoa(r.status)
}

// keep sends requests one after the other on a kept connection until the context ends.
func keep(ctx context.Context, m *machine, pause time.Duration, next func() *request) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", m.at(outboundPort), time.Second)
		if err != nil {
			time.Sleep(pause)
			continue
		}
		reader := bufio.NewReader(conn)
		for ctx.Err() == nil {
			r := next()
			_ = conn.SetDeadline(time.Now().Add(r.deadline + answerMargin))
			if r.write(conn); r.err == nil {
				r.read(reader)
			}
			if r.err != nil {
				break
			}
			time.Sleep(pause)
		}
		_ = conn.Close()
	}
}
