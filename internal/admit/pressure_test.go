package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/admit"
)

// What was measured last counts, in whatever order it is heard, and for a second.
func TestNewestPressureCounts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	p := admit.NewPressures()
	p.Leads(now, "order", "scheduler")
	p.Hear(now, admit.Heard{Service: "scheduler", Pressure: 2, Age: 100 * time.Millisecond})
	p.Hear(now, admit.Heard{Service: "scheduler", Pressure: 0.5, Age: 300 * time.Millisecond})
	p.Hear(now, admit.Heard{Service: "orders", Pressure: 0.7})
	is.Equal(p.Of(now, "order", "orders"), admit.Pressure{Own: 0.7, Below: 2})
	is.Equal(p.Of(now, "certificate", "certificates"), admit.Pressure{}) // leads elsewhere
	p.Hear(now, admit.Heard{Service: "scheduler", Pressure: 0.5, Age: 50 * time.Millisecond})
	is.Equal(p.Of(now, "order", "orders").Below, 0.5)
	now = now.Add(time.Second)
	is.Equal(p.Of(now, "order", "orders"), admit.Pressure{})
}

// A kind of which next to nothing is let in is still known to lead where it led.
func TestWhereAKindLeadsOutlastsASurge(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	p := admit.NewPressures()
	p.Leads(now, "look_up", "scheduler")
	p.Leads(now, "look_up", "certificates")
	is.Equal(p.Below(now.Add(20*time.Second), "look_up"), []string{"certificates", "scheduler"})
	is.Equal(len(p.Below(now.Add(40*time.Second), "look_up")), 0) // and not for good
}

// Only services with something in hand are passed on, the fullest first, and so few
// that an answer stays small whatever the number of services.
func TestWhatIsPassedOn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	p := admit.NewPressures()
	is.Equal(len(p.Told(now)), 0)
	for i := range 10 {
		p.Hear(now, admit.Heard{Service: fmt.Sprintf("s%d", i), Pressure: float64(i) / 5})
	}
	told := p.Told(now.Add(200 * time.Millisecond))
	is.Equal(len(told), 4)
	is.Equal(told[0], admit.Heard{Service: "s9", Pressure: 1.8, Age: 200 * time.Millisecond})
	is.Equal(told[3].Service, "s6")
	is.Equal(len(p.Told(now.Add(time.Second))), 0)
}

// Benchmark of what an answer costs at a node that heard of 54 services, all busy.
func BenchmarkTold(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	p := admit.NewPressures()
	for i := range 54 {
		p.Hear(now, admit.Heard{Service: fmt.Sprintf("service%d", i), Pressure: 1 + float64(i)/54})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Told(now)
	}
}
