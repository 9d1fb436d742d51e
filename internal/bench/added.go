package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/clock"
)

// idlePeriod is how long the processor time of the idle processes is measured.
const idlePeriod = 3 * time.Second

type (
	// AddedLatency measures the time that a mesh adds to a call. It alternates direct
	// and relayed calls in one run, since on a busy host the direct time varies more
	// between runs than the mesh adds.
	AddedLatency struct {
		Entry  string
		Target string
		Path   string
		Pairs  int
		// Workers is the number of pairs in flight at once.
		Workers int
		// Pause is the time that a worker waits between two pairs.
		Pause time.Duration
		// Processes holds the process IDs of the mesh, whose processor time is reported
		// per relayed call.
		Processes []int
		Clock     clock.Clock
	}

	// AddedLatencyReport holds the results of the pairs. Times are in milliseconds.
	AddedLatencyReport struct {
		Pairs  int `json:"pairs"`
		Failed int `json:"failed"`
		// DirectP50MS and DirectP99MS are the baseline: calls without the mesh.
		DirectP50MS  float64 `json:"direct_p50_ms"`
		DirectP99MS  float64 `json:"direct_p99_ms"`
		RelayedP50MS float64 `json:"relayed_p50_ms"`
		RelayedP99MS float64 `json:"relayed_p99_ms"`
		// AddedP50MS and AddedP99MS are quantiles of the difference in each pair.
		AddedP50MS float64 `json:"added_p50_ms"`
		AddedP99MS float64 `json:"added_p99_ms"`
		// ProcessorMS is the processor time per relayed call, minus what the processes
		// use while they are idle.
		ProcessorMS float64 `json:"processor_ms"`
		// IdleMS is the processor time that the processes use per idle second.
		IdleMS float64 `json:"idle_ms"`
	}

	latencyPair struct {
		direct  time.Duration
		relayed time.Duration
		failed  bool
	}
)

// Run makes the pairs and reports them. It fails when the context ends first, or when
// one of the processes has ended.
func (a *AddedLatency) Run(ctx context.Context) (AddedLatencyReport, error) {
	idle, err := a.idleUsage()
	if err != nil {
		return AddedLatencyReport{}, err
	}
	before, err := processorTime(a.Processes)
	if err != nil {
		return AddedLatencyReport{}, err
	}
	start := a.Clock.Now()
	pairs := a.measurePairs(ctx)
	after, err := processorTime(a.Processes)
	if err != nil {
		return AddedLatencyReport{}, err
	}
	if ctx.Err() != nil {
		return AddedLatencyReport{}, badTraceError.New("stopped after %d of %d pairs", len(pairs), a.Pairs)
	}
	report := summarisePairs(pairs)
	report.IdleMS = idle * 1000
	if len(pairs) > 0 {
		used := (after - before).Seconds() - idle*a.Clock.Now().Sub(start).Seconds()
		report.ProcessorMS = used * 1000 / float64(len(pairs))
	}
	return report, nil
}

// idleUsage returns the processor time that the processes use while they are idle, as a
// share of one core.
func (a *AddedLatency) idleUsage() (float64, error) {
	before, err := processorTime(a.Processes)
	if err != nil {
		return 0, err
	}
	<-a.Clock.After(idlePeriod)
	after, err := processorTime(a.Processes)
	return float64(after-before) / float64(idlePeriod), err
}

// measurePairs makes the pairs with concurrent workers, until the context ends.
func (a *AddedLatency) measurePairs(ctx context.Context) []latencyPair {
	client := newClient(a.Workers)
	var mu sync.Mutex
	var pairs []latencyPair
	var workers sync.WaitGroup
	for worker := range a.Workers {
		workers.Go(func() {
			for i := worker; i < a.Pairs && ctx.Err() == nil; i += a.Workers {
				p := a.measurePair(ctx, client, i)
				mu.Lock()
				pairs = append(pairs, p)
				mu.Unlock()
				<-a.Clock.After(a.Pause)
			}
		})
	}
	workers.Wait()
	return pairs
}

// measurePair makes a direct and a relayed call. The order alternates from pair to pair.
func (a *AddedLatency) measurePair(ctx context.Context, client *http.Client, index int) latencyPair {
	var p latencyPair
	var firstErr, secondErr error
	attempt := "added-" + strconv.Itoa(index) + ".1"
	if index%2 == 0 {
		p.direct, firstErr = a.timeCall(ctx, client, a.Target, attempt)
		p.relayed, secondErr = a.timeCall(ctx, client, a.Entry, attempt)
	} else {
		p.relayed, firstErr = a.timeCall(ctx, client, a.Entry, attempt)
		p.direct, secondErr = a.timeCall(ctx, client, a.Target, attempt)
	}
	p.failed = firstErr != nil || secondErr != nil
	return p
}

func (a *AddedLatency) timeCall(ctx context.Context, client *http.Client, address, attempt string) (time.Duration, error) {
	url := "http://" + address + fillPath(a.Path, requestID(attempt))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set(RequestHeader, attempt)
	start := a.Clock.Now()
	answer, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, err
	}
	if answer.StatusCode != http.StatusOK {
		return 0, callError.New("%s answered %s", address, answer.Status)
	}
	return a.Clock.Now().Sub(start), nil
}

// Print writes the report as text.
func (r AddedLatencyReport) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "pairs: %d, failed: %d\n", r.Pairs, r.Failed)
	_, _ = fmt.Fprintf(w, "direct:  p50 %.3f ms, p99 %.3f ms\n", r.DirectP50MS, r.DirectP99MS)
	_, _ = fmt.Fprintf(w, "relayed: p50 %.3f ms, p99 %.3f ms\n", r.RelayedP50MS, r.RelayedP99MS)
	_, _ = fmt.Fprintf(w, "added (paired difference): p50 %.3f ms, p99 %.3f ms\n", r.AddedP50MS, r.AddedP99MS)
	_, _ = fmt.Fprintf(w, "processor time: %.3f ms per relayed call, besides %.1f ms in an idle second of all processes\n",
		r.ProcessorMS, r.IdleMS)
}

func summarisePairs(pairs []latencyPair) AddedLatencyReport {
	report := AddedLatencyReport{Pairs: len(pairs)}
	var direct, relayed, added []time.Duration
	for _, p := range pairs {
		if p.failed {
			report.Failed++
			continue
		}
		direct = append(direct, p.direct)
		relayed = append(relayed, p.relayed)
		added = append(added, p.relayed-p.direct)
	}
	report.DirectP50MS, report.DirectP99MS = quantileMS(direct, 0.5), quantileMS(direct, 0.99)
	report.RelayedP50MS, report.RelayedP99MS = quantileMS(relayed, 0.5), quantileMS(relayed, 0.99)
	report.AddedP50MS, report.AddedP99MS = quantileMS(added, 0.5), quantileMS(added, 0.99)
	return report
}

// quantileMS returns a quantile in milliseconds and sorts the values in place. It uses
// no HDR histogram, since that cannot hold negative differences.
func quantileMS(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	index := int(q * float64(len(values)-1))
	return values[index].Seconds() * 1000
}
