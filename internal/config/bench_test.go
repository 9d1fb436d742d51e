package config_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// BenchmarkChanges accepts documents of 62 KB at 710 a day of simulated time, with the
// default number of kept revisions. It reports what the platform stores at the end, and
// the reads and writes for each change. Polling by other nodes is not included.
func BenchmarkChanges(b *testing.B) {
	const (
		documentBytes = 62_000
		step          = 24 * time.Hour / 710
		cleanInterval = 30 * time.Minute
	)
	parseNothing := func([]byte) (*schema.Set, error) {
		return &schema.Set{Limits: schema.DefaultLimits()}, nil
	}
	for _, changes := range []int64{200, 2000} {
		for _, cleaning := range []bool{false, true} {
			b.Run(fmt.Sprintf("changes=%d/cleaning=%v", changes, cleaning), func(b *testing.B) {
				is := is.New(b)
				ctx := context.Background()
				var memory *plat.Memory
				for range b.N {
					memory = plat.NewMemory()
					clk := newClock()
					c := config.New(memory.Store(), parseNothing, clk, hclog.NewNullLogger())
					var lastClean time.Time
					for number := range changes {
						document := fmt.Sprintf("%d%s", number, strings.Repeat("x", documentBytes))
						_, err := c.Commit(ctx, []byte(document), number)
						is.NoErr(err)
						clk.now = clk.now.Add(step)
						if cleaning && clk.now.Sub(lastClean) > cleanInterval {
							lastClean = clk.now
							is.NoErr(c.Clean(ctx))
						}
					}
				}
				stats := memory.Stats()
				row, err := memory.Store().Get(ctx, "config", "history")
				is.NoErr(err)
				b.ReportMetric(float64(stats.ObjectBytes), "object-bytes")
				b.ReportMetric(float64(stats.Objects), "objects")
				b.ReportMetric(float64(len(row.Value)), "history-bytes")
				b.ReportMetric(float64(stats.Reads)/float64(changes), "reads/change")
				b.ReportMetric(float64(stats.Writes)/float64(changes), "writes/change")
			})
		}
	}
}
