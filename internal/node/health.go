package node

import (
	"context"
	"net/http"
	"time"
)

const (
	// healthPeriod is how often the target's health endpoint is read, and the
	// metrics of what a status shows are set.
	healthPeriod = 2 * time.Second
	// healthTimeout bounds one reading; a probe takes about 6 ms.
	healthTimeout = 500 * time.Millisecond
)

// watchHealth shows in the metrics what the target's health endpoint says. It
// decides nothing, because such endpoints lag behind and mislead: a target is
// judged by the calls to it.
func (n *Node) watchHealth(ctx context.Context) {
	client := &http.Client{Timeout: healthTimeout}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.clock.After(healthPeriod):
		}
		n.showState(n.clock.Now())
		if path := n.declared(n.settings.Service).HealthPath; path != "" {
			n.metrics.TargetHealth.Set(readHealth(ctx, client, "http://"+n.settings.TargetAddress+path))
		}
	}
}

// readHealth returns 1 for an endpoint that answers with a status of success,
// and 0 for all else.
func readHealth(ctx context.Context, client *http.Client, url string) float64 {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return 0
	}
	return 1
}
