package drill

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionfield/dandelionfield/internal/clock"
)

// The distributions of a service time.
const (
	Fixed       = "fixed"
	Lognormal   = "lognormal"
	Exponential = "exponential"
)

type (
	// TargetConfig is the settings of one stand-in for a target.
	TargetConfig struct {
		Name    string `yaml:"name"`
		Service string `yaml:"service"`
		Listen  string `yaml:"listen"`
		// ControlListen serves the switches and counters, so that they can be
		// reached while all connections of Listen are taken.
		ControlListen string `yaml:"control_listen"`
		// NodeAddress is where the target sends its own calls.
		NodeAddress string `yaml:"node_address"`
		Slots       int    `yaml:"slots"`
		Connections int    `yaml:"connections"`
		// Queue is how many calls may wait for a slot; more are shed.
		Queue        int           `yaml:"queue"`
		ServiceTime  time.Duration `yaml:"service_time"`
		Distribution string        `yaml:"distribution"`
		// Sigma is the spread of the logarithm of a lognormal service time.
		Sigma     float64       `yaml:"sigma"`
		ColdStart time.Duration `yaml:"cold_start"`
		// ColdFactor is how many times slower the target is when it starts.
		ColdFactor   float64      `yaml:"cold_factor"`
		ShedStatus   int          `yaml:"shed_status"`
		Seed         uint64       `yaml:"seed"`
		PayloadBytes int          `yaml:"payload_bytes"`
		Kinds        []TargetKind `yaml:"kinds"`
	}

	// TargetKind is one kind of request that the target serves.
	TargetKind struct {
		Name   string `yaml:"name"`
		Method string `yaml:"method"`
		Path   string `yaml:"path"`
		// Before and After are made in order, before and after the own work.
		Before []Call `yaml:"before,omitempty"`
		After  []Call `yaml:"after,omitempty"`
	}

	// Call is one call that a target makes through its node.
	Call struct {
		Method string `yaml:"method"`
		Path   string `yaml:"path"`
	}

	// Target is the stand-in for one target. It is safe for concurrent use.
	Target struct {
		config TargetConfig
		clock  clock.Clock
		client *http.Client
		slots  chan struct{}

		mu      sync.Mutex
		random  *rand.Rand
		faults  Faults
		thaw    chan struct{}
		coldAt  time.Time
		waiting int
		stats   Stats
		done    Executions
	}
)

// NewTarget returns a target that is cold from now on.
func NewTarget(config TargetConfig, clk clock.Clock) *Target {
	config.Slots = max(config.Slots, 1)
	if config.ShedStatus == 0 {
		config.ShedStatus = http.StatusServiceUnavailable
	}
	return &Target{
		config: config,
		clock:  clk,
		client: newClientFrom(config.Listen, config.Slots),
		slots:  make(chan struct{}, config.Slots),
		random: rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String(config.Name))),
		faults: Faults{SlowFactor: 1},
		coldAt: clk.Now(),
		stats:  Stats{Executions: map[string]int{}},
		done:   Executions{ByRequest: map[string][]Execution{}, ByKey: map[string][]Execution{}},
	}
}

// Handler returns the target's HTTP door: the declared kinds, and its
// switches and counters under /-/.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, kind := range t.config.Kinds {
		mux.HandleFunc(kind.Method+" "+kind.Path, func(w http.ResponseWriter, r *http.Request) {
			t.serve(w, r, kind)
		})
	}
	t.addControl(mux)
	return mux
}

// Server returns a server for the target that holds to its bound on connections.
func (t *Target) Server() *http.Server {
	var mu sync.Mutex
	open := 0
	return &http.Server{
		Handler: t.Handler(),
		ConnState: func(conn net.Conn, state http.ConnState) {
			mu.Lock()
			defer mu.Unlock()
			switch state {
			case http.StateNew:
				open++
				if t.config.Connections > 0 && open > t.config.Connections && !t.current().NoShed {
					_ = conn.Close()
				}
			case http.StateClosed, http.StateHijacked:
				open--
			}
		},
	}
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request, kind TargetKind) {
	t.note(r, kind, Execution{Arrived: 1})
	t.waitThaw()
	faults := t.current()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := faults.patience(r)
	defer cancel()
	if faults.Drain || !t.acquire(ctx) {
		t.count(func(s *Stats) { s.Shed++ })
		http.Error(w, "shed", t.config.ShedStatus)
		return
	}
	defer func() { <-t.slots }()
	status := t.run(ctx, r, kind)
	t.waitThaw()
	if status != http.StatusOK {
		http.Error(w, "not served", status)
		return
	}
	t.answer(w, r, kind)
}

// run makes the calls and does the work of one request, and returns the status
// of its answer. It sheds only while nothing was committed: its own work has
// not begun and no call that changes something has been answered.
func (t *Target) run(ctx context.Context, r *http.Request, kind TargetKind) int {
	committed := false
	for _, call := range kind.Before {
		if status := t.call(ctx, r, call); status != http.StatusOK {
			return t.failed(call, committed, status)
		}
		committed = committed || call.Method != http.MethodGet
	}
	if t.chance(t.current().FailShare) {
		t.count(func(s *Stats) { s.Failed++ })
		return http.StatusInternalServerError
	}
	if !t.work(ctx, r, kind) {
		return http.StatusGatewayTimeout
	}
	for _, call := range kind.After {
		if status := t.call(ctx, r, call); status != http.StatusOK {
			return t.failed(call, true, status)
		}
	}
	t.count(func(s *Stats) { s.Completed++ })
	return http.StatusOK
}

// failed returns the status of an answer whose call failed. A look-up that did
// not come, or a call that was itself refused, leaves nothing behind.
func (t *Target) failed(call Call, committed bool, status int) int {
	harmless := call.Method == http.MethodGet || status == http.StatusServiceUnavailable
	if !committed && harmless {
		t.count(func(s *Stats) { s.Shed++ })
		return t.config.ShedStatus
	}
	t.count(func(s *Stats) { s.Failed++ })
	return http.StatusInternalServerError
}

// call makes one call through the node and returns its status, or 0 when no
// whole answer came.
func (t *Target) call(ctx context.Context, r *http.Request, call Call) int {
	attempt := r.Header.Get(RequestHeader)
	url := "http://" + t.config.NodeAddress + fillPath(call.Path, baseRequest(attempt))
	request, err := http.NewRequestWithContext(ctx, call.Method, url, nil)
	if err != nil {
		return 0
	}
	request.Header.Set(RequestHeader, attempt)
	if handle := r.Header.Get(contextHeader); handle != "" {
		request.Header.Set(contextHeader, handle)
	}
	answer, err := t.client.Do(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

// work holds the slot for a service time and reports whether it was done to
// its end. Work that is cancelled counts as wasted.
func (t *Target) work(ctx context.Context, r *http.Request, kind TargetKind) bool {
	begun := t.clock.Now()
	t.count(func(s *Stats) { s.Executions[kind.Name]++ })
	t.note(r, kind, Execution{Runs: 1})
	whole := true
	select {
	case <-t.clock.After(t.serviceTime()):
	case <-ctx.Done():
		whole = false
	}
	t.waitThaw()
	spent := t.clock.Now().Sub(begun).Milliseconds()
	t.note(r, kind, Execution{WorkMS: spent})
	if !whole {
		t.count(func(s *Stats) {
			s.Cancelled++
			s.WastedMS += spent
		})
	}
	return whole
}

// answer sends the whole answer, or the first half of it under its full
// declared length when truncation is switched on.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, kind TargetKind) {
	body, err := json.Marshal(NewAnswer(r.Header.Get(RequestHeader), kind.Name, t.config.Name, t.config.PayloadBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	truncate := t.chance(t.current().TruncateShare)
	if truncate {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body)
	if truncate {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// acquire takes a slot, waiting in the short line if there is room in it. It
// takes none for a call whose time has passed.
func (t *Target) acquire(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	t.mu.Lock()
	if t.waiting >= t.config.Queue && !t.faults.NoShed {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.stats.MostWaiting = max(t.stats.MostWaiting, t.waiting)
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// serviceTime draws the time that one piece of work takes now. A cold target
// starts ColdFactor times slower and gets faster in a straight line.
func (t *Target) serviceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := t.faults.SlowFactor
	age := t.clock.Now().Sub(t.coldAt)
	if age < t.config.ColdStart && t.config.ColdFactor > 1 {
		left := 1 - float64(age)/float64(t.config.ColdStart)
		factor *= 1 + (t.config.ColdFactor-1)*left
	}
	return time.Duration(float64(t.config.ServiceTime) * factor * t.draw())
}

// draw returns a number with mean 1 from the configured distribution. A
// lognormal number exp(mu+sigma*z) has mean exp(mu+sigma²/2), so mu is -sigma²/2.
func (t *Target) draw() float64 {
	switch t.config.Distribution {
	case Exponential:
		return t.random.ExpFloat64()
	case Lognormal:
		sigma := t.config.Sigma
		return math.Exp(sigma*t.random.NormFloat64() - sigma*sigma/2)
	}
	return 1
}

func (t *Target) chance(share float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return share > 0 && t.random.Float64() < share
}

func (t *Target) current() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// waitThaw blocks while the target is frozen, as a paused process does: not
// even the caller's going away ends it.
func (t *Target) waitThaw() {
	t.mu.Lock()
	thaw := t.thaw
	t.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

func (t *Target) count(change func(*Stats)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.stats)
}

func (t *Target) note(r *http.Request, kind TargetKind, delta Execution) {
	delta.Kind = kind.Name
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Arrived += delta.Arrived
	if attempt := r.Header.Get(RequestHeader); attempt != "" {
		t.done.ByRequest[attempt] = addExecution(t.done.ByRequest[attempt], delta)
	}
	if key := r.Header.Get(keyHeader); key != "" {
		t.done.ByKey[key] = addExecution(t.done.ByKey[key], delta)
	}
}

// newClientFrom returns a client whose calls come from the IP number that a
// target listens on, as they do on a host of its own. On loopback they would
// come from 127.0.0.1 otherwise, and the node would not know its own target.
func newClientFrom(listen string, idle int) *http.Client {
	client := newClient(idle)
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return client
	}
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	if transport, ok := client.Transport.(*http.Transport); ok {
		transport.DialContext = dialer.DialContext
	}
	return client
}

// newClient returns a client that neither follows redirects nor looks for a
// proxy. net/http itself repeats a GET whose reused connection turns out to be
// closed; only kinds that are safe to repeat are sent so.
func newClient(idle int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: idle,
			IdleConnTimeout:     time.Minute,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
