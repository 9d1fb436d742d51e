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
	// row is a row of the platform's store on the wire.
	row struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"ver"`
		Removed bool   `json:"removed,omitempty"`
	}

	// rowsAnswer is the answer to every call about rows.
	rowsAnswer struct {
		Rows   []row `json:"rows"`
		Newest int64 `json:"ver"`
		More   bool  `json:"has_more"`
		NowMS  int64 `json:"now"`
	}

	// store stands in for the platform's store: rows in one part, in memory.
	store struct {
		mu      sync.Mutex
		changed *sync.Cond
		version int64
		// rows holds all writes in order, including removals.
		rows []row
	}
)

// maxRowsPerAnswer is the store's limit on the rows of one answer.
const maxRowsPerAnswer = 500

// newStore serves a store at an address.
func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.append(row{Table: table, Key: key, Value: value})
}

// append adds a write of the current version. s.mu must be held.
func (s *store) append(r row) {
	r.Version = s.version
	s.rows = append(s.rows, r)
	s.changed.Broadcast()
}

// current returns the version of a row, or 0 if it does not exist. s.mu must be held.
func (s *store) current(table, key string) int64 {
	for _, r := range slices.Backward(s.rows) {
		if r.Table == table && r.Key == key {
			if r.Removed {
				return 0
			}
			return r.Version
		}
	}
	return 0
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Preconditions []row `json:"precondition"`
		Sets          []row `json:"set_keys"`
		Deletes       []row `json:"delete_keys"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range body.Preconditions {
		if s.current(expected.Table, expected.Key) != expected.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.version++
	for _, set := range body.Sets {
		s.append(set)
	}
	for _, deleted := range body.Deletes {
		deleted.Removed = true
		s.append(deleted)
	}
	s.answer(w, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := map[string]row{}
	for _, r := range s.rows {
		if r.Table == query.Get("table") {
			latest[r.Key] = r
		}
	}
	var found []row
	for key, r := range latest {
		if !r.Removed && key >= query.Get("from") && (query.Get("target") == "" || key < query.Get("target")) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > maxRowsPerAnswer
	s.answer(w, found[:min(len(found), maxRowsPerAnswer)], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		var found []row
		for _, r := range s.rows {
			if r.Table == query.Get("table") && r.Version > after {
				found = append(found, r)
			}
		}
		if len(found) > 0 || !time.Now().Before(end) {
			s.answer(w, found, false)
			return
		}
		s.changed.Wait()
	}
}

// answer writes an answer about rows. s.mu must be held.
func (s *store) answer(w http.ResponseWriter, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rowsAnswer{Rows: rows, Newest: s.version, More: more, NowMS: time.Now().UnixMilli()})
}
