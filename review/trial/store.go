package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// store stands in for the platform's store. It keeps rows only; nothing in these trials
	// uses objects.
	store struct {
		started time.Time

		mu      sync.Mutex
		changed *sync.Cond
		version int64
		// rows are ordered by version and include removed ones.
		rows []row
	}

	row struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"key"`
		Value   string `json:"value,omitempty"`
		Version int64  `json:"ver"`
		Removed bool   `json:"removed,omitempty"`
	}

	rowsAnswer struct {
		Rows    []row  `json:"rows"`
		Version int64  `json:"ver"`
		Now     string `json:"now"`
		More    bool   `json:"has_more"`
	}
)

// maxRows is the largest number of rows in one answer.
const maxRows = 500

func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{started: time.Now()}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("GET /rows-parts", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]any{"parts": []string{""}})
	})
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.append(row{Table: table, Key: key, Value: encode(value)})
}

func (s *store) append(r row) {
	r.Version = s.version
	s.rows = append(s.rows, r)
	s.changed.Broadcast()
}

// current returns the newest state of all rows of a table, by part and key.
func (s *store) current(table string) map[[2]string]row {
	found := map[[2]string]row{}
	for _, r := range s.rows {
		if r.Table != table {
			continue
		}
		delete(found, [2]string{r.Part, r.Key})
		if !r.Removed {
			found[[2]string{r.Part, r.Key}] = r
		}
	}
	return found
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Preconditions []row `json:"precondition"`
		Sets          []row `json:"set_keys"`
		Deletes       []row `json:"delete_keys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	answer := s.answer()
	for _, expected := range body.Preconditions {
		now, known := s.current(expected.Table)[[2]string{expected.Part, expected.Key}]
		failed = failed || now.Version != expected.Version
		if known {
			answer.Rows = append(answer.Rows, now)
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, answer)
		return
	}
	s.version++
	for _, set := range body.Sets {
		s.append(set)
	}
	for _, dropped := range body.Deletes {
		dropped.Removed = true
		s.append(dropped)
	}
	reply(w, http.StatusOK, s.answer())
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.answer()
	for at, found := range s.current(query.Get("table")) {
		if at[0] == query.Get("part") && found.Key >= query.Get("from") && (query.Get("target") == "" || found.Key < query.Get("target")) {
			answer.Rows = append(answer.Rows, found)
		}
	}
	slices.SortFunc(answer.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(answer.Rows) > limit {
		answer.Rows = answer.Rows[:limit]
		answer.More = true
	}
	reply(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), s.changed.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		answer := s.answer()
		for _, r := range s.rows {
			if r.Table == query.Get("table") && r.Version > after {
				answer.Rows = append(answer.Rows, r)
			}
		}
		if len(answer.Rows) > 0 || !time.Now().Before(end) {
			reply(w, http.StatusOK, answer)
			return
		}
		s.changed.Wait()
	}
}

func (s *store) answer() rowsAnswer {
	return rowsAnswer{Rows: []row{}, Version: s.version, Now: fmt.Sprintf("%dms", time.Since(s.started).Milliseconds())}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
