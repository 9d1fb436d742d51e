package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/admit"
)

// The latest measurement applies, in whatever order reports arrive, and for one second.
func TestPressuresKeepNewestReport(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	p := admit.NewPressures()
	p.AddDownstream(now, "order", "scheduler")
	p.Update(now, admit.PressureReport{Service: "scheduler", Pressure: 2, Age: 100 * time.Millisecond})
	p.Update(now, admit.PressureReport{Service: "scheduler", Pressure: 0.5, Age: 300 * time.Millisecond})
	p.Update(now, admit.PressureReport{Service: "orders", Pressure: 0.7})
	is.Equal(p.ForKind(now, "order", "orders"), admit.Pressure{Own: 0.7, Downstream: 2})
	is.Equal(p.ForKind(now, "certificate", "certificates"), admit.Pressure{}) // calls other services
	p.Update(now, admit.PressureReport{Service: "scheduler", Pressure: 0.5, Age: 50 * time.Millisecond})
	is.Equal(p.ForKind(now, "order", "orders").Downstream, 0.5)
	now = now.Add(time.Second)
	is.Equal(p.ForKind(now, "order", "orders"), admit.Pressure{})
}

// The downstream services of a kind stay known through a surge in which hardly any of its
// requests are admitted.
func TestDownstreamServicesOutlastSurge(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	p := admit.NewPressures()
	p.AddDownstream(now, "look_up", "scheduler")
	p.AddDownstream(now, "look_up", "certificates")
	is.Equal(p.Downstream(now.Add(20*time.Second), "look_up"), []string{"certificates", "scheduler"})
	is.Equal(len(p.Downstream(now.Add(40*time.Second), "look_up")), 0) // and expire in the end
}

// Only services under pressure are reported, the highest pressure first, and at most four,
// so that an answer stays small whatever the number of services.
func TestReportsListHighestPressures(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	p := admit.NewPressures()
	is.Equal(len(p.Reports(now)), 0)
	for i := range 10 {
		p.Update(now, admit.PressureReport{Service: fmt.Sprintf("s%d", i), Pressure: float64(i) / 5})
	}
	reports := p.Reports(now.Add(200 * time.Millisecond))
	is.Equal(len(reports), 4)
	is.Equal(reports[0], admit.PressureReport{Service: "s9", Pressure: 1.8, Age: 200 * time.Millisecond})
	is.Equal(reports[3].Service, "s6")
	is.Equal(len(p.Reports(now.Add(time.Second))), 0)
}

// BenchmarkPressureReports measures the cost per answer at a node with reports of 54 busy
// services.
func BenchmarkPressureReports(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	p := admit.NewPressures()
	for i := range 54 {
		p.Update(now, admit.PressureReport{Service: fmt.Sprintf("service%d", i), Pressure: 1 + float64(i)/54})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Reports(now)
	}
}
