package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// store stands in for the platform's metadata store: rows, transactions and the feed.
	store struct {
		address string
		server  *http.Server

		mu      sync.Mutex
		changed *sync.Cond
		version int64
		began   time.Time
		// changes holds every version of every row, the oldest first.
		changes []storeRow
	}

	storeRow struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"ver"`
		Removed bool   `json:"removed,omitempty"`
	}

	storeAnswer struct {
		Rows    []storeRow `json:"rows"`
		Version int64      `json:"ver"`
		More    bool       `json:"has_more"`
		Now     string     `json:"now"`
	}
)

const (
	storeDelay = 4 * time.Millisecond
	storePage  = 500
)

func newStore(listener net.Listener) *store {
	s := &store{address: listener.Addr().String(), began: time.Now()}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

func (s *store) close() {
	_ = s.server.Close()
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.appendLocked(storeRow{Table: table, Key: key, Value: value})
}

func (s *store) appendLocked(row storeRow) {
	row.Version = s.version
	s.changes = append(s.changes, row)
	s.changed.Broadcast()
}

func (s *store) currentLocked(row storeRow) int64 {
	for _, change := range slices.Backward(s.changes) {
		if change.Table == row.Table && change.Part == row.Part && change.Key == row.Key {
			if change.Removed {
				return 0
			}
			return change.Version
		}
	}
	return 0
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * storeDelay)
	var body struct {
		Preconditions []storeRow `json:"precondition"`
		Sets          []storeRow `json:"set_keys"`
		Deletes       []storeRow `json:"delete_keys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range body.Preconditions {
		if s.currentLocked(expected) != expected.Version {
			s.answerLocked(w, http.StatusPreconditionFailed, storeAnswer{Rows: body.Preconditions})
			return
		}
	}
	s.version++
	for _, row := range body.Sets {
		s.appendLocked(row)
	}
	for _, row := range body.Deletes {
		row.Removed = true
		row.Value = nil
		s.appendLocked(row)
	}
	s.answerLocked(w, http.StatusOK, storeAnswer{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := map[string]storeRow{}
	for _, change := range s.changes {
		if change.Table == query.Get("table") && change.Part == query.Get("part") {
			latest[change.Key] = change
		}
	}
	answer := storeAnswer{}
	for key, row := range latest {
		if !row.Removed && key >= query.Get("from") && (query.Get("target") == "" || key < query.Get("target")) {
			answer.Rows = append(answer.Rows, row)
		}
	}
	slices.SortFunc(answer.Rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	if len(answer.Rows) > storePage {
		answer.Rows, answer.More = answer.Rows[:storePage], true
	}
	s.answerLocked(w, http.StatusOK, answer)
}

// feed answers as soon as a row of the table has changed after a version.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	wait := time.Duration(waitMS) * time.Millisecond
	end := time.Now().Add(wait)
	wake := time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer wake.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		answer := storeAnswer{}
		for _, change := range s.changes {
			if change.Table == query.Get("table") && change.Version > after {
				answer.Rows = append(answer.Rows, change)
			}
		}
		if len(answer.Rows) > 0 || !time.Now().Before(end) {
			s.answerLocked(w, http.StatusOK, answer)
			return
		}
		s.changed.Wait()
	}
}

func (s *store) answerLocked(w http.ResponseWriter, status int, answer storeAnswer) {
	if answer.Rows == nil {
		answer.Rows = []storeRow{}
	}
	answer.Version = s.version
	answer.Now = strconv.FormatInt(time.Since(s.began).Milliseconds(), 10) + "ms"
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}
