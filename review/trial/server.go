package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// server stands in for the application server of one machine.
	server struct {
		id      string
		service string
		zone    string
		address string
		control string
		work    time.Duration
		born    int64
		record  *record
		slots   chan struct{}
		http    *http.Server

		mu       sync.Mutex
		sequence int64
		state    string
		// silent is set once the server sends no more periodic pings.
		silent   bool
		arrivals []*arrival
	}

	// arrival is a request that reached the server.
	arrival struct {
		at      time.Time
		request string
		// ran is false for a request that the server rejected.
		ran bool
		// ended is when the server stopped work on the request.
		ended time.Time
	}
)

const (
	requestHeader  = "Dandelionfield-Request-Id"
	deadlineHeader = "Dandelionfield-Deadline-Ms"
	instanceHeader = "Dandelionfield-Target-Instance"
	sealHeader     = "Dandelionfield-Response-Seal"
	notRunHeader   = "Dandelionfield-Not-Executed"

	serverSlots = 60
	heartbeat   = 1500 * time.Millisecond
	// slowWork is how long a server works on a request below slowPath.
	slowWork = 2 * time.Second
	slowPath = "/stock/slow/"
	// ackTimeout is how long a server waits for the answer to a ping.
	ackTimeout = time.Second
)

func encode(value []byte) string {
	return base64.StdEncoding.EncodeToString(value)
}

func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	s.state = "ready"
	s.slots = make(chan struct{}, serverSlots)
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	return nil
}

// ServeHTTP runs a request that is addressed to this server.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(requestHeader)
	wanted := r.Header.Get(instanceHeader)
	switch {
	case wanted != "" && wanted != s.id:
		s.arrived(id, false)
		w.Header().Set("Dandelionfield-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.arrived(id, false)
		w.Header().Set(requestHeader, id)
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a := s.arrived(id, true)
	completed := s.run(r)
	s.mu.Lock()
	a.ended = s.record.add("server %s ends %s (completed: %t)", s.id, id, completed)
	s.mu.Unlock()
	if !completed {
		panic(http.ErrAbortHandler)
	}
	body := []byte("served " + id + "\n")
	w.Header().Set(requestHeader, id)
	w.Header().Set(sealHeader, s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// run works on a request. It reports false if the caller has left.
func (s *server) run(r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	work := s.work
	if strings.HasPrefix(r.URL.Path, slowPath) {
		work = slowWork
	}
	select {
	case <-time.After(work):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *server) arrived(id string, ran bool) *arrival {
	outcome := "runs"
	if !ran {
		outcome = "rejects"
	}
	at := s.record.add("server %s %s %s", s.id, outcome, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &arrival{at: at, request: id, ran: ran}
	s.arrivals = append(s.arrivals, a)
	return a
}

// runsAfter counts the requests that began to run after a time.
func (s *server) runsAfter(at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, a := range s.arrivals {
		if a.ran && a.at.After(at) {
			count++
		}
	}
	return count
}

// hasRun reports whether the request reached this server and was run.
func (s *server) hasRun(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.ran && a.request == request {
			return true
		}
	}
	return false
}

// pingBody returns the body of the next ping.
func (s *server) pingBody() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": serverSlots,
		"state": s.state, "warmup_left": "0ms", "sequence": s.sequence, "born": s.born,
	}
}

// pingFor sends pings every heartbeat until the context ends or the server falls silent.
func (s *server) pingFor(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			return
		}
		s.put(s.id, s.pingBody())
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// drain reports that the server is draining, and returns whether and when that was
// acknowledged.
func (s *server) drain() (time.Time, bool) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	ok := s.put(s.id, s.pingBody())
	return time.Now(), ok
}

// leave sends DELETE in place of further pings, and returns whether and when that was
// acknowledged.
func (s *server) leave() (time.Time, bool) {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	ok := s.call(http.MethodDelete, s.id, map[string]any{"born": s.born})
	return time.Now(), ok
}

func (s *server) put(id string, body map[string]any) bool {
	return s.call(http.MethodPut, id, body)
}

func (s *server) call(method, id string, body map[string]any) bool {
	encoded, err := json.Marshal(body)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.control+"/instances/"+id, bytes.NewReader(encoded))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	answer := "no answer"
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		answer = strconv.Itoa(response.StatusCode)
	}
	s.record.add("%s /instances/%s %s -> %s", method, id, encoded, answer)
	return err == nil && response.StatusCode/100 == 2
}

func (s *server) String() string {
	return fmt.Sprintf("%s of %s", s.id, s.service)
}
