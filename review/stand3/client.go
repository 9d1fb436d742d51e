package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type (
	// request is one client attempt.
	request struct {
		id     string
		method string
		host   string
		target string
		// header holds further field lines, each with its line break.
		header     string
		body       string
		deadlineMS int
	}

	// answer is what the client got. Status 0 means that the connection ended without an
	// answer.
	answer struct {
		status     int
		sealed     bool
		body       string
		retryAfter string
	}

	// client sends requests to the node of its machine on a kept connection.
	client struct {
		machine *machine
		raw     net.Conn
		reader  *bufio.Reader
	}
)

const (
	idHeader       = "Dandelionfield-Request-Id"
	deadlineHeader = "Dandelionfield-Deadline-Ms"
	sealHeader     = "Dandelionfield-Response-Seal"
	instanceHeader = "Dandelionfield-Target-Instance"
	serviceHeader  = "Dandelionfield-Caller-Service"
	notRunHeader   = "Dandelionfield-Not-Executed"

	clientDeadlineMS = 6000
	connectTimeout   = time.Second
)

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

func (r request) bytes() []byte {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", r.method, r.target, r.host, idHeader, r.id)
	if r.deadlineMS > 0 {
		_, _ = fmt.Fprintf(&text, "%s: %d\r\n", deadlineHeader, r.deadlineMS)
	}
	text.WriteString(r.header)
	if r.body != "" || r.method == http.MethodPost {
		text.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n")
	}
	return []byte(text.String() + "\r\n" + r.body)
}

func newClient(mc *machine) *client {
	return &client{machine: mc}
}

// sendOnce sends a request on a connection of its own.
func sendOnce(mc *machine, r request) answer {
	c := newClient(mc)
	defer c.close()
	return c.send(r)
}

// send sends a request and waits for its answer, for as long as its deadline.
func (c *client) send(r request) answer {
	if r.deadlineMS == 0 {
		r.deadlineMS = clientDeadlineMS
	}
	rec := c.machine.mesh.rec
	rec.note("client of %s sends %s %s %q", c.machine.name, r.id, r.method, r.target)
	got := c.exchange(r)
	rec.note("client of %s gets %s: %d sealed=%v", c.machine.name, r.id, got.status, got.sealed)
	if got.status == 0 {
		c.close()
	}
	return got
}

func (c *client) exchange(r request) answer {
	if c.raw == nil {
		raw, err := net.DialTimeout("tcp", c.machine.address(outboundPort), connectTimeout)
		if err != nil {
			return answer{}
		}
		c.raw, c.reader = raw, bufio.NewReader(raw)
	}
	_ = c.raw.SetDeadline(time.Now().Add(time.Duration(r.deadlineMS) * time.Millisecond))
	if _, err := c.raw.Write(r.bytes()); err != nil {
		return answer{}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	if response.Close {
		c.close()
	}
	return answer{
		status:     response.StatusCode,
		sealed:     response.Header.Get(sealHeader) != "",
		body:       string(body),
		retryAfter: response.Header.Get("Retry-After"),
	}
}

func (c *client) close() {
	if c.raw != nil {
		_ = c.raw.Close()
		c.raw = nil
	}
}
