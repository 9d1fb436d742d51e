package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"
)

// targetScript drives one target through the commands of a data file.
type targetScript struct {
	clock   *stepClock
	target  *Target
	handler http.Handler
	node    *httptest.Server
	open    map[string]*openCall
	queued  int
	dropped int

	mu sync.Mutex
	// status holds the status that the fake node answers, by method and path.
	status   map[string]int
	requests []string
}

// openCall is a call that the target has not answered yet.
type openCall struct {
	cancel   context.CancelFunc
	recorder *httptest.ResponseRecorder
	// result receives a description of the answer when the handler ends.
	result chan string
	work   pendingWait
}

// TestTarget runs the scripts in testdata/target. The commands are
//
//	config                     creates the target; the input is its settings
//	send REQUEST METHOD PATH   sends a call, and prints whether it is answered, works,
//	                           waits or is dropped; NAME:VALUE arguments after PATH are
//	                           headers
//	work REQUEST               ends the service time of a call and prints its answer
//	await REQUEST              prints the next state of a call, as send does
//	cancel REQUEST             disconnects the caller and prints the answer
//	leave REQUEST              disconnects the caller
//	advance DURATION           advances the clock
//	node METHOD PATH STATUS    sets what the target's node answers
//	calls                      prints the calls that the node received
//	faults                     sets the faults of the input
//	health, stats, executions  print what the target answers
func TestTarget(t *testing.T) {
	datadriven.Walk(t, "testdata/target", func(t *testing.T, path string) {
		s := &targetScript{clock: newStepClock(), status: map[string]int{}, open: map[string]*openCall{}}
		s.node = httptest.NewServer(http.HandlerFunc(s.answerAsNode))
		defer s.node.Close()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if text := strings.TrimSpace(s.run(t, d)); text != "" {
				return text + "\n"
			}
			return ""
		})
	})
}

func (s *targetScript) run(t *testing.T, d *datadriven.TestData) string {
	args := make([]string, 0, len(d.CmdArgs))
	for _, arg := range d.CmdArgs {
		args = append(args, arg.Key)
	}
	switch d.Cmd {
	case "config":
		var config TargetConfig
		is.New(t).NoErr(yaml.Unmarshal([]byte(d.Input), &config))
		config.NodeAddress = strings.TrimPrefix(s.node.URL, "http://")
		s.target = NewTarget(config, s.clock)
		s.handler = s.target.Handler()
	case "send":
		return s.send(args[0], args[1], args[2], args[3:])
	case "work":
		call := s.open[args[0]]
		s.clock.advance(call.work.d)
		call.work.done <- s.clock.Now()
		return s.awaitAnswer(call)
	case "await":
		return s.awaitState(s.open[args[0]])
	case "cancel":
		s.open[args[0]].cancel()
		return s.awaitAnswer(s.open[args[0]])
	case "leave":
		s.open[args[0]].cancel()
	case "advance":
		length, err := time.ParseDuration(args[0])
		is.New(t).NoErr(err)
		s.clock.advance(length)
	case "node":
		status, err := strconv.Atoi(args[2])
		is.New(t).NoErr(err)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.status[args[0]+" "+args[1]] = status
	case "calls":
		s.mu.Lock()
		defer s.mu.Unlock()
		text := strings.Join(s.requests, "\n")
		s.requests = nil
		return text
	case "faults":
		return s.control(http.MethodPost, "/-/faults", d.Input)
	case "health":
		return s.control(http.MethodGet, "/-/healthz", "")
	case "stats":
		return s.control(http.MethodGet, "/-/stats", "")
	case "executions":
		return s.executions(t)
	default:
		t.Fatalf("no such command: %s", d.Cmd)
	}
	return ""
}

func (s *targetScript) send(request, method, path string, headers []string) string {
	ctx, cancel := context.WithCancel(context.Background())
	call := &openCall{cancel: cancel, recorder: httptest.NewRecorder(), result: make(chan string, 1)}
	s.open[request] = call
	r := httptest.NewRequestWithContext(ctx, method, path, nil)
	r.Header.Set(RequestHeader, request)
	r.Header.Set(contextHeader, "handle-"+request)
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ":")
		r.Header.Set(name, value)
	}
	go func() {
		defer func() {
			if recover() != nil {
				call.result <- fmt.Sprintf("cut after %d bytes", call.recorder.Body.Len())
				return
			}
			call.result <- describeAnswer(call.recorder)
		}()
		s.handler.ServeHTTP(call.recorder, r)
	}()
	return s.awaitState(call)
}

// awaitState waits until a call is answered, works, or waits in the queue.
func (s *targetScript) awaitState(call *openCall) string {
	for {
		select {
		case result := <-call.result:
			s.queued = s.waiting()
			return result
		case call.work = <-s.clock.waits:
			s.queued = s.waiting()
			return "works for " + call.work.d.String()
		default:
		}
		if s.waiting() > s.queued {
			s.queued = s.waiting()
			return "waits"
		}
		if dropped := s.target.Stats().Dropped; dropped > s.dropped {
			s.dropped = dropped
			return "is dropped"
		}
		runtime.Gosched()
	}
}

// awaitAnswer waits for the answer. If another call starts its work meanwhile, its wait
// remains for the await command.
func (s *targetScript) awaitAnswer(call *openCall) string {
	result := <-call.result
	s.queued = s.waiting()
	return result
}

func (s *targetScript) waiting() int {
	s.target.mu.Lock()
	defer s.target.mu.Unlock()
	return s.target.waiting
}

func (s *targetScript) control(method, path, body string) string {
	recorder := httptest.NewRecorder()
	s.handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return strings.TrimSpace(fmt.Sprintf("%d %s", recorder.Code, recorder.Body.String()))
}

func (s *targetScript) executions(t *testing.T) string {
	var done Executions
	_, body, _ := strings.Cut(s.control(http.MethodGet, "/-/executions", ""), " ")
	is.New(t).NoErr(json.Unmarshal([]byte(body), &done))
	var lines []string
	for _, by := range []map[string][]Execution{done.ByRequest, done.ByKey} {
		for _, name := range slices.Sorted(maps.Keys(by)) {
			lines = append(lines, fmt.Sprintf("%s: %+v", name, by[name]))
		}
	}
	return strings.Join(lines, "\n")
}

func (s *targetScript) answerAsNode(w http.ResponseWriter, r *http.Request) {
	name := r.Method + " " + r.URL.Path
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, name+" "+r.Header.Get(RequestHeader)+" "+r.Header.Get(contextHeader))
	if status := s.status[name]; status != 0 {
		w.WriteHeader(status)
	}
}

// describeAnswer returns the status of an answer and, for a success, the contents of its
// body.
func describeAnswer(recorder *httptest.ResponseRecorder) string {
	if recorder.Code != http.StatusOK {
		return strconv.Itoa(recorder.Code)
	}
	var answer Answer
	if err := json.Unmarshal(recorder.Body.Bytes(), &answer); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("200 request=%s kind=%s whole=%t", answer.Request, answer.Kind, answer.Intact())
}
