package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// lossy lets the named targets lose more than half of their calls after the usual
// time, as a host whose connections are reset does.
func (f *field) lossy(names ...string) {
	f.answer = func(target string) (time.Duration, Outcome) {
		for _, name := range names {
			if target == name && f.random.Float64() < 0.55 {
				return f.usual(), Failed
			}
		}
		return f.usual(), Complete
	}
}

// oneIn returns one target for each data centre.
func oneIn(dataCentres ...string) []Target {
	targets := make([]Target, 0, len(dataCentres))
	for _, dc := range dataCentres {
		targets = append(targets, targetsIn(dc)[0])
	}
	return targets
}

// The one near target loses more than half of its calls. That is too little to eject
// it, but the others are good: within a second they get nearly all calls, and the
// near one gets its part again within two seconds of its recovery.
func TestNearTargetThatLosesCallsIsLeftForOthers(t *testing.T) {
	is := is.New(t)
	f := newField(Settings{DataCentre: "a"}, oneIn("a", "b", "c"))
	f.run(100, 5*time.Second)
	f.lossy("a0")
	f.run(100, time.Second)
	f.failed = 0
	f.run(100, 5*time.Second)
	t.Logf("of 500 calls %d failed", f.failed)
	is.True(f.failed <= 25) // one in twenty
	f.heal()
	f.run(100, 2*time.Second)
	before := f.sent["a0"]
	f.run(100, 5*time.Second)
	is.True(f.sent["a0"]-before > 400) // it is the near one again
}

// Two of four targets lose more than half of their calls, and the other two have room
// for all: few calls are lost, wherever they come from.
func TestHalfOfTheTargetsLosesCalls(t *testing.T) {
	is := is.New(t)
	for _, dataCentre := range []string{"a", "b", "c", "d"} {
		f := newField(Settings{DataCentre: dataCentre}, oneIn("a", "b", "c", "d"))
		f.run(300, 5*time.Second)
		f.lossy("a0", "b0")
		f.run(300, time.Second)
		f.failed = 0
		f.run(300, 5*time.Second)
		t.Logf("%s: of 1500 calls %d failed", dataCentre, f.failed)
		is.True(f.failed <= 75) // one in twenty
	}
}
