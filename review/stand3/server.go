package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// server stands in for the application server of a machine. It runs each request that is
	// addressed to it once it has read it, and answers with its echo and its seal.
	server struct {
		machine *machine
		service string

		mu sync.Mutex
		// stray returns bytes to send on a kept connection, after the last complete answer,
		// when the next request has been read. It may be nil.
		stray    func(r *http.Request) string
		id       string
		bornMS   int64
		sequence int
		state    string
		stopped  chan struct{}
		listener net.Listener
		conns    map[net.Conn]struct{}
		runs     []run
		// large is the size of an answer to a path that ends in "large", which takes up to
		// largeWork to make.
		large     int
		largeWork time.Duration
	}

	// run is one request that the server ran.
	run struct {
		id     string
		server string
		method string
		target string
		body   string
		caller string
		// gotKey is set if the request came with its Authorization header.
		gotKey bool
		at     time.Time
	}
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	pingTimeout       = time.Second
	serverSlots       = 100
	workTime          = 20 * time.Millisecond
	firstPingInterval = 200 * time.Millisecond
)

func newServer(mc *machine, service, id string) (*server, error) {
	s := &server{machine: mc, service: service, id: id}
	return s, s.boot(true)
}

// boot starts the server as a new process under its id. It sends its own pings if wanted.
func (s *server) boot(pings bool) error {
	listener, err := net.Listen("tcp", s.machine.address(serverPort))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.bornMS = time.Now().UnixMilli()
	s.sequence = 0
	s.state = "ready"
	s.listener = listener
	s.conns = map[net.Conn]struct{}{}
	stopped := make(chan struct{})
	s.stopped = stopped
	s.mu.Unlock()
	s.machine.mesh.rec.note("server %s starts, born %d", s.id, s.bornMS)
	go s.accept(listener)
	if pings {
		go s.keepPinging(stopped)
	}
	return nil
}

// crash ends the server as a killed process ends: its connections break at once.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	s.machine.mesh.rec.note("server %s crashes", s.id)
	close(s.stopped)
	_ = s.listener.Close()
	s.listener = nil
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *server) close() {
	if s != nil {
		s.crash()
	}
}

func (s *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for answered := 0; ; answered++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if answered > 0 {
			s.sendStray(conn, r)
		}
		if _, err := conn.Write(s.answer(r, body)); err != nil {
			return
		}
	}
}

// sendStray sends additional bytes after the last complete answer of a kept connection, late:
// when the next request has been read and before it is answered.
func (s *server) sendStray(conn net.Conn, r *http.Request) {
	s.mu.Lock()
	stray := s.stray
	s.mu.Unlock()
	if stray == nil {
		return
	}
	text := stray(r)
	if text == "" {
		return
	}
	s.machine.mesh.rec.note("server %s sends additional bytes, then gets to %s", s.id, r.Header.Get(idHeader))
	_, _ = io.WriteString(conn, text)
}

// setLarge sets the size of large answers, and how long one takes at most.
func (s *server) setLarge(bytes int, work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.large, s.largeWork = bytes, work
}

// makeLarge takes its time and returns a large body.
func (s *server) makeLarge() string {
	s.mu.Lock()
	large, work := s.large, s.largeWork
	s.mu.Unlock()
	time.Sleep(rand.N(work))
	return strings.Repeat(" ", large)
}

func (s *server) setStray(stray func(r *http.Request) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stray = stray
}

// answer runs a request that is addressed to the server, and returns the bytes of its answer.
func (s *server) answer(r *http.Request, body []byte) []byte {
	id := r.Header.Get(idHeader)
	if named := r.Header.Get(instanceHeader); named != "" && named != s.id {
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", idHeader, id)
	}
	s.recordRun(r, id, body)
	content := s.id + " ran " + id
	if strings.HasSuffix(r.RequestURI, "large") {
		content += s.makeLarge()
	}
	time.Sleep(workTime)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
		idHeader, id, sealHeader, s.id, id, len(content), content)
}

func (s *server) recordRun(r *http.Request, id string, body []byte) {
	s.machine.mesh.rec.note("server %s runs %s %s %q for %s", s.id, id, r.Method, r.RequestURI, r.Header.Get(serviceHeader))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run{
		id: id, server: s.id, method: r.Method, target: r.RequestURI, body: string(body),
		caller: r.Header.Get(serviceHeader), gotKey: r.Header.Get("Authorization") != "", at: time.Now(),
	})
}

// allRuns returns the runs of all servers.
func (m *mesh) allRuns() []run {
	var runs []run
	for _, mc := range m.machines {
		mc.server.mu.Lock()
		runs = append(runs, mc.server.runs...)
		mc.server.mu.Unlock()
	}
	return runs
}

// keepPinging sends pings until the server ends, at short intervals until the first is
// confirmed.
func (s *server) keepPinging(stopped <-chan struct{}) {
	interval := firstPingInterval
	for {
		if s.ping(s.nextPing()) == http.StatusOK {
			interval = heartbeatInterval
		}
		select {
		case <-stopped:
			return
		case <-time.After(interval):
		}
	}
}

// nextPing returns the body of the next ping.
func (s *server) nextPing() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	body, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.machine.address(serverPort), "zone": s.machine.zone, "version": "v1",
		"slots": serverSlots, "state": s.state, "warmup_left": "0ms", "sequence": s.sequence, "born": s.bornMS,
	})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return body
}

// ping delivers a ping to the node of the machine and returns the status of the answer, or 0.
func (s *server) ping(body []byte) int {
	return s.tell(http.MethodPut, body)
}

// depart says that the server leaves.
func (s *server) depart() int {
	s.mu.Lock()
	body := []byte(`{"born":` + strconv.FormatInt(s.bornMS, 10) + `}`)
	s.mu.Unlock()
	return s.tell(http.MethodDelete, body)
}

func (s *server) tell(method string, body []byte) int {
	httpClient := http.Client{Timeout: pingTimeout}
	address := "http://" + s.machine.address(controlPort) + "/instances/" + s.id
	r, err := http.NewRequest(method, address, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(r)
	if err != nil {
		if !errors.Is(err, io.EOF) {
			s.machine.mesh.rec.note("server %s: %s %s without an answer", s.id, method, body)
		}
		return 0
	}
	defer response.Body.Close()
	s.machine.mesh.rec.note("server %s: %s %s is answered %d", s.id, method, body, response.StatusCode)
	return response.StatusCode
}
