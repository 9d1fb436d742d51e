package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	statusOK = http.StatusOK
	// maxOpen bounds the requests that the load tool has under way at once.
	maxOpen = 8000
	// filesKept is how many open files are left for all but the callers.
	filesKept = 200
	// liveEvery is the time between two live lines.
	liveEvery = time.Second
	// askTimeout bounds calls to the switches and counters of stand-ins.
	askTimeout = 5 * time.Second
	// longestAnswer bounds what a caller reads of an answer.
	longestAnswer = 4 << 20
)

type (
	// LoadConfig is the settings of one run of load.
	LoadConfig struct {
		Seed uint64 `yaml:"seed"`
		// Mesh is the directory of the firm's declarations.
		Mesh     string             `yaml:"mesh"`
		Entries  []string           `yaml:"entries"`
		Targets  []LoadTarget       `yaml:"targets"`
		Wires    []LoadTarget       `yaml:"wires,omitempty"`
		Platform string             `yaml:"platform"`
		Callers  Callers            `yaml:"callers"`
		Mix      map[string]float64 `yaml:"mix"`
		Phases   []Phase            `yaml:"phases"`
		Faults   []Fault            `yaml:"faults"`
		Trigger  Trigger            `yaml:"trigger"`
		Expect   Expect             `yaml:"expect"`
		// Capacity is how many calls a second each service can work on.
		Capacity map[string]float64 `yaml:"capacity"`
	}

	// LoadTarget is a target whose switches and counters the load tool uses.
	LoadTarget struct {
		Name    string `yaml:"name"`
		Service string `yaml:"service"`
		Address string `yaml:"address"`
	}

	// Callers says how callers behave.
	Callers struct {
		// Retries is how often a caller repeats after its first attempt.
		Retries int           `yaml:"retries"`
		Backoff time.Duration `yaml:"backoff"`
		// TimeoutShare is how long a caller waits for one attempt, as a share
		// of the kind's deadline.
		TimeoutShare float64 `yaml:"timeout_share"`
		// HeedRetryAfter makes callers wait as long as a refusal tells them.
		HeedRetryAfter bool `yaml:"heed_retry_after,omitempty"`
	}

	// Load runs one trace.
	Load struct {
		Config LoadConfig
		Mesh   *schema.Set
		Clock  clock.Clock
		// Live receives a line a second; nil for none.
		Live io.Writer

		client *http.Client
		now    live
		mu     sync.Mutex
		kept   []Outcome
	}

	live struct {
		offered atomic.Int64
		good    atomic.Int64
		failed  atomic.Int64
		refused atomic.Int64
		open    atomic.Int64
		phase   atomic.Value
	}
)

// NewLoad returns a run of the settings. It fails when the process may open too
// few files for the load's connections.
func NewLoad(config LoadConfig, mesh *schema.Set, clk clock.Clock) (*Load, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return nil, badFile.Wrap(err, "read the limit on open files")
	}
	if limit.Cur < maxOpen+filesKept {
		return nil, badFile.New("the limit on open files is %d, and %d are needed", limit.Cur, maxOpen+filesKept)
	}
	if len(config.Entries) == 0 {
		return nil, badFile.New("no entries")
	}
	return &Load{Config: config, Mesh: mesh, Clock: clk, client: newClient(maxOpen / len(config.Entries))}, nil
}

// Run sends the arrivals at their times, whatever becomes of earlier ones, and
// reports what callers saw and targets ran.
func (l *Load) Run(ctx context.Context, arrivals []Arrival) Report {
	start := l.Clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var side sync.WaitGroup
	side.Go(func() { l.switchFaults(ctx, start) })
	side.Go(func() { l.printLive(ctx, start) })
	var callers sync.WaitGroup
	for _, arrival := range arrivals {
		if !l.sleep(ctx, arrival.At-l.Clock.Now().Sub(start)) {
			break
		}
		l.now.phase.Store(arrival.Phase)
		l.now.offered.Add(1)
		if l.now.open.Load() >= maxOpen {
			l.keep(Outcome{ID: arrival.ID, Kind: arrival.Kind, Phase: arrival.Phase, At: arrival.At,
				Tries: []Try{{Result: "load_bound"}}})
			continue
		}
		l.now.open.Add(1)
		callers.Go(func() {
			defer l.now.open.Add(-1)
			l.keep(l.request(ctx, arrival))
		})
	}
	callers.Wait()
	cancel()
	side.Wait()
	done, silent := l.executions()
	report := Account(l.Config, l.Mesh, l.kept, done)
	report.Silent = silent
	return report
}

// request plays one caller: it repeats at other entry nodes until it has a
// good answer or no retry is left. A kind that may never repeat goes out under
// one idempotency key.
func (l *Load) request(ctx context.Context, arrival Arrival) Outcome {
	outcome := Outcome{ID: arrival.ID, Kind: arrival.Kind, Phase: arrival.Phase, At: arrival.At}
	kind := l.Mesh.Kind(arrival.Kind)
	if kind == nil {
		outcome.Tries = []Try{{Result: "kind_not_declared"}}
		return outcome
	}
	begun := l.Clock.Now()
	key := mintKey(kind)
	pause := time.Duration(0)
	for i := 0; i <= l.Config.Callers.Retries; i++ {
		if i > 0 && !l.sleep(ctx, pause) {
			break
		}
		entry := l.Config.Entries[(arrival.Entry+i)%len(l.Config.Entries)]
		try := l.try(ctx, kind, entry, attemptName(arrival.ID, i), key)
		outcome.Tries = append(outcome.Tries, try)
		if try.good() {
			outcome.Good = true
			break
		}
		pause = l.Config.Callers.pause(try)
		if wantsNewKey(try, i) {
			key = mintKey(kind)
		}
	}
	outcome.Took = l.Clock.Now().Sub(begun)
	return outcome
}

// pause returns how long a caller waits after a failed attempt.
func (c Callers) pause(try Try) time.Duration {
	if !c.HeedRetryAfter {
		return c.Backoff
	}
	return max(c.Backoff, try.RetryAfter)
}

func (l *Load) try(ctx context.Context, kind *schema.Kind, entry, attempt, key string) Try {
	timeout := time.Duration(l.Config.Callers.TimeoutShare * float64(kind.Deadline))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := newAttempt(ctx, kind, entry, attempt, key)
	if err != nil {
		return Try{Result: "bad_request"}
	}
	answer, err := l.client.Do(request)
	if err != nil {
		return Try{Result: faultName(err)}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, longestAnswer))
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return Check(answer.StatusCode, answer.Header, nil, kind.Name, attempt)
	}
	if err != nil {
		return Try{Result: faultName(err)}
	}
	return Check(answer.StatusCode, answer.Header, body, kind.Name, attempt)
}

// Check judges one answer: its code, and for a success whether the body is
// whole and belongs to the request. A replayed answer names the attempt that
// ran, so only the requests are compared.
func Check(status int, header http.Header, body []byte, kind, attempt string) Try {
	try := Try{Status: status, Result: header.Get(resultHeader)}
	try.Code, _ = strconv.Atoi(header.Get(codeHeader))
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
		try.RetryAfter = time.Duration(seconds) * time.Second
	}
	if try.Result == "" {
		try.Result = "http_" + strconv.Itoa(status)
	}
	if status != statusOK {
		return try
	}
	var answer Answer
	if err := json.Unmarshal(body, &answer); err != nil || !answer.Whole() {
		try.Torn = true
		try.Result = "torn"
		return try
	}
	if answer.Kind != kind || baseRequest(answer.Request) != baseRequest(attempt) {
		try.Foreign = true
		try.Result = "foreign"
	}
	return try
}

// newAttempt builds a request that net/http cannot repeat by itself: with an
// Idempotency-Key it would do so for a body that it can rewind.
func newAttempt(ctx context.Context, kind *schema.Kind, entry, attempt, key string) (*http.Request, error) {
	url := "http://" + entry + fillPath(kind.Path, baseRequest(attempt))
	if kind.Method == http.MethodGet {
		request, err := http.NewRequestWithContext(ctx, kind.Method, url, nil)
		if err != nil {
			return nil, err
		}
		request.Header.Set(RequestHeader, attempt)
		return request, nil
	}
	body := `{"request":"` + baseRequest(attempt) + `"}`
	request, err := http.NewRequestWithContext(ctx, kind.Method, url, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(RequestHeader, attempt)
	if key != "" {
		request.Header.Set(keyHeader, key)
	}
	return request, nil
}

func attemptName(id string, try int) string {
	return id + "." + strconv.Itoa(try+1)
}

func mintKey(kind *schema.Kind) string {
	if kind.Repeat != schema.Never {
		return ""
	}
	key, err := uuid.NewV7()
	if err != nil {
		return ""
	}
	return key.String()
}

// wantsNewKey reports whether the answer says that the key cannot run and is
// known not to have run. A lost owner leaves that open but for a first attempt.
func wantsNewKey(try Try, index int) bool {
	switch result.Code(try.Code) {
	case result.KeyTooOld, result.KeyFromFuture:
		return true
	case result.OwnerGone:
		return index == 0
	}
	return false
}

func faultName(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "timeout"
	}
	if errors.Is(err, context.Canceled) {
		return "stopped"
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "connection_refused"
	}
	return "connection_lost"
}

func (l *Load) keep(outcome Outcome) {
	if outcome.Good {
		l.now.good.Add(1)
	} else {
		l.now.failed.Add(1)
	}
	for _, try := range outcome.Tries {
		if try.notRun() {
			l.now.refused.Add(1)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept = append(l.kept, outcome)
}

func (l *Load) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-l.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Load) printLive(ctx context.Context, start time.Time) {
	if l.Live == nil {
		return
	}
	var offered, good, failed, refused int64
	for l.sleep(ctx, liveEvery) {
		phase, _ := l.now.phase.Load().(string)
		o, g, f, r := l.now.offered.Load(), l.now.good.Load(), l.now.failed.Load(), l.now.refused.Load()
		_, _ = fmt.Fprintf(l.Live, "t=%ds phase=%s offered=%d good=%d failed=%d refusals=%d open=%d\n",
			int(l.Clock.Now().Sub(start).Seconds()), phase, o-offered, g-good, f-failed, r-refused, l.now.open.Load())
		offered, good, failed, refused = o, g, f, r
	}
}

func (l *Load) switchFaults(ctx context.Context, start time.Time) {
	faults := slices.Clone(l.Config.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	for _, fault := range faults {
		if !l.sleep(ctx, fault.At-l.Clock.Now().Sub(start)) {
			return
		}
		for _, address := range l.faultAddresses(fault) {
			if err := l.post(ctx, address, fault.Switch); err != nil {
				fmt.Fprintln(os.Stderr, "fieldlab: fault not switched:", err)
			}
		}
	}
}

func (l *Load) faultAddresses(fault Fault) []string {
	var addresses []string
	if fault.Platform {
		addresses = append(addresses, l.Config.Platform)
	}
	for _, target := range l.Config.Targets {
		if slices.Contains(fault.Targets, target.Name) || slices.Contains(fault.Targets, target.Service) {
			addresses = append(addresses, target.Address)
		}
	}
	for _, wire := range l.Config.Wires {
		if slices.Contains(fault.Wires, wire.Name) {
			addresses = append(addresses, wire.Address)
		}
	}
	return addresses
}

func (l *Load) post(ctx context.Context, address string, values map[string]any) error {
	body, err := json.Marshal(values)
	if err != nil {
		return badTrace.Wrap(err, "fault")
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/-/faults", bytes.NewReader(body))
	if err != nil {
		return callError.Wrap(err, "%s", address)
	}
	answer, err := l.client.Do(request)
	if err != nil {
		return callError.Wrap(err, "%s", address)
	}
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusBadRequest {
		return callError.New("%s answered %s", address, answer.Status)
	}
	return nil
}

// executions asks every target what it ran, and names those that do not answer.
func (l *Load) executions() (done []Executions, silent []string) {
	for _, target := range l.Config.Targets {
		executions, err := l.ask(target.Address)
		if err != nil {
			silent = append(silent, target.Name)
			continue
		}
		done = append(done, executions)
	}
	return done, silent
}

func (l *Load) ask(address string) (Executions, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/executions", nil)
	if err != nil {
		return Executions{}, callError.Wrap(err, "%s", address)
	}
	answer, err := l.client.Do(request)
	if err != nil {
		return Executions{}, callError.Wrap(err, "%s", address)
	}
	defer answer.Body.Close()
	var executions Executions
	err = json.NewDecoder(answer.Body).Decode(&executions)
	return executions, err
}
