package node

import (
	"context"
	"net/http"
	"time"
)

const (
	// healthPeriod is how often the target's health endpoint is polled and the metrics
	// that mirror the node's status are set.
	healthPeriod = 2 * time.Second
	// healthTimeout bounds one poll; a probe takes about 6 ms.
	healthTimeout = 500 * time.Millisecond
)

// watchHealth publishes the state of the target's health endpoint as a metric. The node
// bases no decision on that state, because such endpoints lag behind and mislead; it goes
// by the results of calls to the target instead.
func (n *Node) watchHealth(ctx context.Context) {
	client := &http.Client{Timeout: healthTimeout}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.clock.After(healthPeriod):
		}
		n.updateStateMetrics(n.clock.Now())
		if path := n.declared(n.settings.Service).HealthPath; path != "" {
			n.metrics.TargetHealth.Set(readHealth(ctx, client, "http://"+n.settings.TargetAddress+path))
		}
	}
}

// readHealth returns 1 if the endpoint answers with a status from 200 to 299, and 0 otherwise.
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
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		return 0
	}
	return 1
}
