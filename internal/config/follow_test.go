package config_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/plat"
)

// Each long poll of the source costs the platform a request. In a large cluster one node
// that learns of a revision tells the others, so each node polls less often, and the nodes
// poll at different times.
func TestSourceIsPolledLessOftenInLargeCluster(t *testing.T) {
	for _, test := range []struct {
		nodes       int
		least, most time.Duration
	}{
		{1, 2 * time.Second, 2 * time.Second},
		{12, 2 * time.Second, 3 * time.Second},
		{82, 6 * time.Second, 21 * time.Second},
		{530, 8 * time.Second, 24 * time.Second},
	} {
		is := is.New(t)
		ctx, stop := context.WithCancel(context.Background())
		var waits []time.Duration
		c := controller(plat.NewMemory().Store())
		c.Nodes = func() int { return test.nodes }
		c.Source = func(_ context.Context, wait time.Duration) (*config.Revision, error) {
			waits = append(waits, wait)
			if len(waits) == 50 {
				stop()
			}
			return nil, nil
		}
		c.Run(ctx)
		different := map[time.Duration]bool{}
		for _, wait := range waits {
			is.True(wait >= test.least)
			is.True(wait <= test.most)
			different[wait] = true
		}
		is.True(test.nodes <= 12 || len(different) > 25)
	}
}
