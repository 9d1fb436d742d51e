package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// loseCalls makes the named targets lose more than half of their calls after the normal
// latency, as a host whose connections are reset does.
func (sim *simulation) loseCalls(names ...string) {
	sim.answer = func(target string) (time.Duration, Outcome) {
		for _, name := range names {
			if target == name && sim.random.Float64() < 0.55 {
				return sim.normalLatency(), Failed
			}
		}
		return sim.normalLatency(), Complete
	}
}

// onePerDataCentre returns one target for each data centre.
func onePerDataCentre(dataCentres ...string) []Target {
	targets := make([]Target, 0, len(dataCentres))
	for _, dc := range dataCentres {
		targets = append(targets, targetsIn(dc)[0])
	}
	return targets
}

// The only near target loses more than half of its calls, which is too little to eject it,
// while the others are healthy. They must get nearly all calls within a second, and the near
// target must get its share again within two seconds of its recovery.
func TestUnderperformingNearTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Settings{DataCentre: "a"}, onePerDataCentre("a", "b", "c"))
	sim.run(100, 5*time.Second)
	sim.loseCalls("a0")
	sim.run(100, time.Second)
	sim.failed = 0
	sim.run(100, 5*time.Second)
	t.Logf("of 500 calls %d failed", sim.failed)
	is.True(sim.failed <= 25) // one in twenty
	sim.restoreAll()
	sim.run(100, 2*time.Second)
	before := sim.sent["a0"]
	sim.run(100, 5*time.Second)
	is.True(sim.sent["a0"]-before > 400) // the near target is preferred again
}

// Two of four targets lose more than half of their calls, and the other two have room for
// all. Few calls may be lost, whichever data centre they come from.
func TestUnderperformingHalfIsAvoided(t *testing.T) {
	is := is.New(t)
	for _, dataCentre := range []string{"a", "b", "c", "d"} {
		sim := newSimulation(Settings{DataCentre: dataCentre}, onePerDataCentre("a", "b", "c", "d"))
		sim.run(300, 5*time.Second)
		sim.loseCalls("a0", "b0")
		sim.run(300, time.Second)
		sim.failed = 0
		sim.run(300, 5*time.Second)
		t.Logf("%s: of 1500 calls %d failed", dataCentre, sim.failed)
		is.True(sim.failed <= 75) // one in twenty
	}
}
