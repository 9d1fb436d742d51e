package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// server stands in for an application server beside a node. It works on a request for
	// the time that the last segment of the path says, such as /orders/1600ms.
	server struct {
		id      string
		service string
		zone    string
		address string
		control string
		slots   int
		born    int64
		log     *record
		// answer, if set, writes the answer to a request instead of the usual one, and
		// reports whether it did.
		answer atomic.Pointer[func(conn net.Conn, id string) bool]

		mu       sync.Mutex
		sequence int
		busy     int
		runs     map[string]*run
	}

	// run is one request that a server began to work on.
	run struct {
		began time.Time
		ended time.Time
		count int
	}
)

const (
	requestHeader  = "Dandelionfield-Request-Id"
	deadlineHeader = "Dandelionfield-Deadline-Ms"
	sealHeader     = "Dandelionfield-Response-Seal"
	instanceHeader = "Dandelionfield-Target-Instance"
	notRunHeader   = "Dandelionfield-Not-Executed"

	heartbeatPeriod  = 1500 * time.Millisecond
	heartbeatTimeout = time.Second
)

// start serves requests and sends heartbeats to the node beside the server.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	s.runs = map[string]*run{}
	go func() { _ = http.Serve(listener, s) }()
	go func() {
		for {
			// While the node restarts, the next heartbeat comes soon.
			if s.heartbeat() {
				time.Sleep(heartbeatPeriod)
			} else {
				time.Sleep(heartbeatPeriod / 10)
			}
		}
	}()
	return nil
}

// nextHeartbeat returns the next heartbeat, which reports the server as ready.
func (s *server) nextHeartbeat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "warmup_left": "0ms", "sequence": s.sequence, "born": s.born,
	})
	return body
}

// heartbeat sends a heartbeat, and returns whether the node confirmed it.
func (s *server) heartbeat() bool {
	request, err := http.NewRequest(http.MethodPut, "http://"+s.control+"/instances/"+s.id, bytes.NewReader(s.nextHeartbeat()))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: heartbeatTimeout}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(requestHeader)
	w.Header().Set(requestHeader, id)
	if instance := r.Header.Get(instanceHeader); instance != "" && instance != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.begin(id) {
		w.Header().Set(notRunHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	work, _ := time.ParseDuration(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	s.end(id)
	if s.answerOddly(w, id) {
		return
	}
	w.Header().Set(sealHeader, "seal-"+id)
	_, _ = fmt.Fprintf(w, "answer to %s, %d bytes of body\n", id, len(body))
}

// answerOddly writes an answer of another kind on the connection itself, if the server has one.
func (s *server) answerOddly(w http.ResponseWriter, id string) bool {
	answer := s.answer.Load()
	if answer == nil {
		return false
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	return (*answer)(conn, id)
}

// begin takes a slot for a request, and reports whether there was one.
func (s *server) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.slots {
		return false
	}
	s.busy++
	if s.runs[id] == nil {
		s.runs[id] = &run{began: time.Now()}
	}
	s.runs[id].count++
	s.log.printf("%s runs %s", s.id, id)
	return true
}

func (s *server) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.runs[id].ended = time.Now()
}

// find returns what the server did for a request, and false if it did nothing.
func (s *server) find(id string) (run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[id]; r != nil {
		return *r, true
	}
	return run{}, false
}
