package drill

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

// idleTime is how long the processes are watched while they are idle.
const idleTime = 3 * time.Second

type (
	// Added measures the time that a mesh adds to a call: it alternates direct
	// and relayed calls in one run, since on a busy host the direct time alone
	// moves more between runs than the mesh adds.
	Added struct {
		Entry  string
		Target string
		Path   string
		Pairs  int
		// Workers is how many pairs are under way at once.
		Workers int
		// Gap is the pause of a worker between two pairs.
		Gap time.Duration
		// Processes holds the ids of the mesh's processes, whose processor
		// time is reported per relayed call.
		Processes []int
		Clock     clock.Clock
	}

	// AddedReport is what the pairs showed. Times are in milliseconds.
	AddedReport struct {
		Pairs  int `json:"pairs"`
		Failed int `json:"failed"`
		// DirectP50MS and DirectP99MS are the control.
		DirectP50MS  float64 `json:"direct_p50_ms"`
		DirectP99MS  float64 `json:"direct_p99_ms"`
		RelayedP50MS float64 `json:"relayed_p50_ms"`
		RelayedP99MS float64 `json:"relayed_p99_ms"`
		// AddedP50MS and AddedP99MS are quantiles of the difference in each pair.
		AddedP50MS float64 `json:"added_p50_ms"`
		AddedP99MS float64 `json:"added_p99_ms"`
		// ProcessorMS is processor time per relayed call, less what the
		// processes use while they are idle.
		ProcessorMS float64 `json:"processor_ms"`
		// IdleMS is the processor time that they use in an idle second.
		IdleMS float64 `json:"idle_ms"`
	}

	pair struct {
		direct  time.Duration
		relayed time.Duration
		failed  bool
	}
)

// Run makes the pairs and reports them. It fails when the context ends first,
// or one of the processes.
func (a *Added) Run(ctx context.Context) (AddedReport, error) {
	idle, err := a.idleShare()
	if err != nil {
		return AddedReport{}, err
	}
	before, err := processorTime(a.Processes)
	if err != nil {
		return AddedReport{}, err
	}
	begun := a.Clock.Now()
	pairs := a.pairs(ctx)
	after, err := processorTime(a.Processes)
	if err != nil {
		return AddedReport{}, err
	}
	if ctx.Err() != nil {
		return AddedReport{}, badTrace.New("stopped after %d of %d pairs", len(pairs), a.Pairs)
	}
	report := summarise(pairs)
	report.IdleMS = idle * 1000
	if len(pairs) > 0 {
		used := (after - before).Seconds() - idle*a.Clock.Now().Sub(begun).Seconds()
		report.ProcessorMS = used * 1000 / float64(len(pairs))
	}
	return report, nil
}

// idleShare returns the processor time that the processes use while they are
// idle, as a share of the time.
func (a *Added) idleShare() (float64, error) {
	before, err := processorTime(a.Processes)
	if err != nil {
		return 0, err
	}
	<-a.Clock.After(idleTime)
	after, err := processorTime(a.Processes)
	return float64(after-before) / float64(idleTime), err
}

// pairs makes the pairs by the workers, until the context ends.
func (a *Added) pairs(ctx context.Context) []pair {
	client := newClient(a.Workers)
	var mu sync.Mutex
	var pairs []pair
	var workers sync.WaitGroup
	for worker := range a.Workers {
		workers.Go(func() {
			for i := worker; i < a.Pairs && ctx.Err() == nil; i += a.Workers {
				one := a.pair(ctx, client, i)
				mu.Lock()
				pairs = append(pairs, one)
				mu.Unlock()
				<-a.Clock.After(a.Gap)
			}
		})
	}
	workers.Wait()
	return pairs
}

// pair makes a direct and a relayed call, in turns the one first or the other.
func (a *Added) pair(ctx context.Context, client *http.Client, index int) pair {
	var one pair
	var first, second error
	attempt := "added-" + strconv.Itoa(index) + ".1"
	if index%2 == 0 {
		one.direct, first = a.call(ctx, client, a.Target, attempt)
		one.relayed, second = a.call(ctx, client, a.Entry, attempt)
	} else {
		one.relayed, first = a.call(ctx, client, a.Entry, attempt)
		one.direct, second = a.call(ctx, client, a.Target, attempt)
	}
	one.failed = first != nil || second != nil
	return one
}

func (a *Added) call(ctx context.Context, client *http.Client, address, attempt string) (time.Duration, error) {
	url := "http://" + address + fillPath(a.Path, baseRequest(attempt))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set(RequestHeader, attempt)
	begun := a.Clock.Now()
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
	return a.Clock.Now().Sub(begun), nil
}

// Print writes the report for people.
func (r AddedReport) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "pairs: %d, failed: %d\n", r.Pairs, r.Failed)
	_, _ = fmt.Fprintf(w, "direct:  p50 %.3f ms, p99 %.3f ms\n", r.DirectP50MS, r.DirectP99MS)
	_, _ = fmt.Fprintf(w, "relayed: p50 %.3f ms, p99 %.3f ms\n", r.RelayedP50MS, r.RelayedP99MS)
	_, _ = fmt.Fprintf(w, "added (paired difference): p50 %.3f ms, p99 %.3f ms\n", r.AddedP50MS, r.AddedP99MS)
	_, _ = fmt.Fprintf(w, "processor time: %.3f ms per relayed call, besides %.1f ms in an idle second of all processes\n",
		r.ProcessorMS, r.IdleMS)
}

func summarise(pairs []pair) AddedReport {
	report := AddedReport{Pairs: len(pairs)}
	var direct, relayed, added []time.Duration
	for _, one := range pairs {
		if one.failed {
			report.Failed++
			continue
		}
		direct = append(direct, one.direct)
		relayed = append(relayed, one.relayed)
		added = append(added, one.relayed-one.direct)
	}
	report.DirectP50MS, report.DirectP99MS = quantile(direct, 0.5), quantile(direct, 0.99)
	report.RelayedP50MS, report.RelayedP99MS = quantile(relayed, 0.5), quantile(relayed, 0.99)
	report.AddedP50MS, report.AddedP99MS = quantile(added, 0.5), quantile(added, 0.99)
	return report
}

// quantile returns a quantile in milliseconds. Differences may be negative,
// which a histogram of the usual kind cannot hold, so the values are sorted.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	index := int(q * float64(len(values)-1))
	return values[index].Seconds() * 1000
}
