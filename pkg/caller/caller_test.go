package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/joomcode/errorx"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// fakeMesh answers requests to any of its nodes with the next line of a script, and logs
// the requests that arrive. It is also the clock of the caller under test.
type fakeMesh struct {
	t      *testing.T
	caller *Caller

	mu      sync.Mutex
	script  []string
	log     strings.Builder
	keys    map[string]string
	now     time.Time
	timeout time.Duration
	expire  context.CancelFunc
	cancel  context.CancelFunc
}

// closedAddress is an address without a listener.
const closedAddress = "127.0.0.1:1"

func newFakeMesh(t *testing.T, nodes []datadriven.CmdArg) *fakeMesh {
	m := &fakeMesh{t: t, keys: map[string]string{}, now: time.UnixMilli(1_700_000_000_000)}
	addresses := make([]string, 0, len(nodes))
	for i, node := range nodes {
		address := closedAddress
		if node.Key == "up" {
			address = m.listen("n" + strconv.Itoa(i+1))
		}
		addresses = append(addresses, address)
	}
	m.caller = New(addresses)
	m.caller.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	m.caller.Clock = m
	m.caller.Random = func() float64 { return 0 }
	m.caller.MaxAnswerBytes = 20
	m.caller.withTimeout = m.withTimeout
	return m
}

func (m *fakeMesh) listen(name string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// An HTTP server notices a closed connection only after it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		m.logRequest(name, r)
		m.answer(w, r)
	}))
	m.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (m *fakeMesh) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After advances the time and fires at once. Only backoffs wait on this clock.
func (m *fakeMesh) After(d time.Duration) <-chan time.Time {
	m.advance(d)
	m.logf("wait %v\n", d)
	fired := make(chan time.Time, 1)
	fired <- m.Now()
	return fired
}

func (m *fakeMesh) logf(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fmt.Fprintf(&m.log, format, args...)
}

func (m *fakeMesh) advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}

func (m *fakeMesh) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ctx, m.expire = context.WithCancel(ctx)
	m.timeout = timeout
	return ctx, m.expire
}

func (m *fakeMesh) logRequest(name string, r *http.Request) {
	line := fmt.Sprintf("%s %s %s", name, r.Method, r.URL.RequestURI())
	if key := r.Header.Get(keyHeader); key != "" {
		line += " key=" + m.keyName(key)
	}
	if r.Header.Get(freshHeader) != "" {
		line += " fresh"
	}
	m.logf("%s left=%s\n", line, r.Header.Get(deadlineHeader))
}

func (m *fakeMesh) keyName(key string) string {
	if key == "" {
		return "none"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.keys[key]; !ok {
		m.keys[key] = "k" + strconv.Itoa(len(m.keys)+1)
	}
	return m.keys[key]
}

// nextLine removes and returns the next line of the script.
func (m *fakeMesh) nextLine() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.script) == 0 {
		m.t.Errorf("a request arrived after the last line of the script")
		panic(http.ErrAbortHandler)
	}
	fields := strings.Fields(m.script[0])
	m.script = m.script[1:]
	return fields
}

// endWait ends the caller's wait for an answer. If silent is set, the attempt times out;
// otherwise the request is cancelled.
func (m *fakeMesh) endWait(silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if silent {
		m.now = m.now.Add(m.timeout)
		m.expire()
		return
	}
	m.cancel()
}

// answer answers as the next line of the script says. The line starts with the name of a
// code, or with an event: silent, caller_gone or lost. Any other word gives an answer
// without a code.
func (m *fakeMesh) answer(w http.ResponseWriter, r *http.Request) {
	fields := m.nextLine()
	code, known := result.Parse(fields[0])
	status, body, length := http.StatusOK, "whole", 0
	for _, field := range fields[1:] {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "retry":
			w.Header().Set("Retry-After", strings.ReplaceAll(value, "_", " "))
		case "refusal":
			w.Header().Set(refusalHeader, value)
		case "status":
			status, _ = strconv.Atoi(value)
		case "body":
			body = value
		case "cut":
			length, _ = strconv.Atoi(value)
		case "took":
			took, _ := time.ParseDuration(value)
			m.advance(took)
		case "location":
			w.Header().Set("Location", value)
		}
	}
	switch {
	case fields[0] == "silent", fields[0] == "caller_gone":
		m.endWait(fields[0] == "silent")
		<-r.Context().Done()
	case fields[0] == "lost":
		panic(http.ErrAbortHandler)
	case known:
		w.Header().Set(codeHeader, strconv.Itoa(int(code)))
	}
	w.Header().Set("Content-Length", strconv.Itoa(length+len(body)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

func (m *fakeMesh) do(d *datadriven.TestData) string {
	request := Request{Path: "/orders", Header: http.Header{}}
	for _, arg := range d.CmdArgs {
		value := strings.Join(arg.Vals, "")
		switch arg.Key {
		case "method":
			request.Method = value
		case "path":
			request.Path = value
		case "safe":
			request.Repeat = Safe
		case "deadline":
			request.Deadline, _ = time.ParseDuration(value)
		case "key":
			request.Key = value
		case "context":
			request.Header.Set(contextHeader, value)
		default:
			m.t.Fatalf("unknown argument %s", arg.Key)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m.mu.Lock()
	m.cancel = cancel
	m.log.Reset()
	m.script = strings.FieldsFunc(d.Input, func(r rune) bool { return r == '\n' })
	m.mu.Unlock()
	answer, err := m.caller.Do(ctx, request)
	code := answer.Code.String()
	if answer.Refusal != 0 {
		code += "(" + answer.Refusal.String() + ")"
	}
	m.logf("= %s %s sendings=%d key=%s", code, answer.Code.Family(), answer.Sendings, m.keyName(answer.Key))
	if answer.Status != 0 {
		m.logf(" status=%d body=%s", answer.Status, answer.Body)
	}
	if answer.Replayed {
		m.logf(" replayed")
	}
	if typed := errorx.Cast(err); typed != nil {
		m.logf(" error=%s", typed.Type().FullName())
	}
	m.logf("%s", strings.Repeat("\na line of the script was not used", len(m.script)))
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.String() + "\n"
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var m *fakeMesh
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "nodes":
				m = newFakeMesh(t, d.CmdArgs)
				return ""
			case "retries":
				m.caller.Retries, _ = strconv.Atoi(d.CmdArgs[0].Key)
				return ""
			case "do":
				return m.do(d)
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}
