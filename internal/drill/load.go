package drill

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// maxOpen bounds the requests that the load tool has under way at once.
	maxOpen = 8000
	// filesKept is how many open files are left for all but the callers.
	filesKept = 200
	// loadBound and kindNotDeclared are the results of attempts that were not sent.
	loadBound       = "load_bound"
	kindNotDeclared = "kind_not_declared"
	// liveEvery is the time between two live lines.
	liveEvery = time.Second
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
		// Processes holds the ids of the nodes whose processor time and memory
		// are reported; none leaves them out of the report.
		Processes []int
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
	before := l.usage()
	start := l.Clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var side sync.WaitGroup
	side.Go(func() { l.switchFaults(ctx, start) })
	side.Go(func() { l.printLive(ctx, start) })
	var callers sync.WaitGroup
	late := make([]time.Duration, 0, len(arrivals))
	for _, arrival := range arrivals {
		if !l.sleep(ctx, arrival.At-l.Clock.Now().Sub(start)) {
			break
		}
		late = append(late, l.Clock.Now().Sub(start)-arrival.At)
		l.now.phase.Store(arrival.Phase)
		l.now.offered.Add(1)
		if l.now.open.Load() >= maxOpen {
			l.keep(Outcome{ID: arrival.ID, Kind: arrival.Kind, Phase: arrival.Phase, At: arrival.At,
				Tries: []Try{{Result: loadBound}}})
			continue
		}
		l.now.open.Add(1)
		callers.Go(func() {
			defer l.now.open.Add(-1)
			l.keep(l.request(ctx, arrival))
		})
	}
	callers.Wait()
	use := newNodeUse(before, l.usage(), l.Clock.Now().Sub(start))
	cancel()
	side.Wait()
	done, silent := l.executions()
	report := Account(l.Config, l.Mesh, l.kept, done)
	report.Silent = silent
	report.Use = use
	report.LateP99MS = quantile(late, 0.99)
	return report
}

// usage reads what the nodes have used, or nothing when one of them is gone.
func (l *Load) usage() []usage {
	list, err := readUsage(l.Processes)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fieldlab: use of the nodes not measured:", err)
	}
	return list
}

// request plays one caller: it repeats at other entry nodes until it has a
// good answer or no retry is left. A kind that may never repeat goes out under
// one idempotency key.
func (l *Load) request(ctx context.Context, arrival Arrival) Outcome {
	outcome := Outcome{ID: arrival.ID, Kind: arrival.Kind, Phase: arrival.Phase, At: arrival.At}
	kind := l.Mesh.Kind(arrival.Kind)
	if kind == nil {
		outcome.Tries = []Try{{Result: kindNotDeclared}}
		return outcome
	}
	begun := l.Clock.Now()
	key, sent := mintKey(kind), false
	pause := time.Duration(0)
	for i := 0; i <= l.Config.Callers.Retries; i++ {
		if i > 0 && !l.sleep(ctx, pause) {
			break
		}
		entry := l.Config.Entries[(arrival.Entry+i)%len(l.Config.Entries)]
		at := arrival.At + l.Clock.Now().Sub(begun)
		try := l.try(ctx, kind, entry, attemptName(arrival.ID, i), key, !sent)
		try.At = at
		outcome.Tries = append(outcome.Tries, try)
		if try.good() {
			outcome.Good = true
			break
		}
		pause = l.Config.Callers.pause(try)
		if wantsNewKey(try, i) {
			key, sent = mintKey(kind), false
			continue
		}
		sent = true
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
