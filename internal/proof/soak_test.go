package proof

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

type (
	// soak disturbs a mesh at random: each fault at a moment, at a place and for a
	// time that are drawn. The same seed draws the same faults.
	soak struct {
		ts     *testscript.TestScript
		mesh   *mesh
		random *rand.Rand
		nodes  []string
		// targets and platform are the addresses of the stand-ins' switches.
		targets  []string
		platform string
		// owed ends the faults under way, by the place they are at.
		owed map[string]owing
	}

	// owing is how a fault ends, and when that is due. The end says whether it has
	// come: a node that leaves takes its time.
	owing struct {
		at  time.Time
		end func() bool
	}

	// fault begins at a place, and returns how it ends.
	fault struct {
		name   string
		places func(s *soak) []string
		begin  func(s *soak, place string) (end func() bool)
	}
)

const (
	// soakSeedVariable holds the seed of the faults; without it the seed is 1.
	soakSeedVariable = "SOAK_SEED"
	// leastPause and mostPause bound the time between the beginnings of two faults.
	leastPause = 150 * time.Millisecond
	mostPause  = 900 * time.Millisecond
	// leastFault and mostFault bound how long one lasts.
	leastFault = 100 * time.Millisecond
	mostFault  = 2500 * time.Millisecond
)

// faults are all that may happen, several at once and more than once.
var faults = []fault{
	{"kill", theNodes, func(s *soak, place string) func() bool { return s.replaced("KILL", place) }},
	{"leave", theNodes, func(s *soak, place string) func() bool { return s.replaced("TERM", place) }},
	{"freeze", theNodes, func(s *soak, place string) func() bool {
		signalProcess(s.ts, false, []string{"STOP", place})
		return func() bool {
			signalProcess(s.ts, false, []string{"CONT", place})
			return true
		}
	}},
	{"target slow", theTargets, switched(`{"slow_factor": 8}`, `{"slow_factor": 1}`)},
	{"target hangs", theTargets, switched(`{"frozen": true, "lying_health": true}`, `{"frozen": false, "lying_health": false}`)},
	{"target fails", theTargets, switched(`{"fail_share": 0.5}`, `{"fail_share": 0}`)},
	{"answers cut off", theTargets, switched(`{"truncate_share": 0.5}`, `{"truncate_share": 0}`)},
	{"platform down", thePlatform, switched(`{"down": true}`, `{}`)},
	{"platform slow", thePlatform, switched(`{"delay_ms": 1500}`, `{}`)},
	{"platform loses answers", thePlatform, switched(`{"lose_answers": 0.5}`, `{}`)},
}

func theNodes(s *soak) []string    { return s.nodes }
func theTargets(s *soak) []string  { return s.targets }
func thePlatform(s *soak) []string { return []string{s.platform} }

// switched is a fault that a stand-in plays.
func switched(on, off string) func(s *soak, place string) func() bool {
	return func(s *soak, place string) func() bool {
		faultSwitch(s.ts, false, []string{place, on})
		return func() bool {
			faultSwitch(s.ts, false, []string{place, off})
			return true
		}
	}
}

// replaced ends a node by a signal, and starts it again when it has ended.
func (s *soak) replaced(signal, node string) func() bool {
	signalProcess(s.ts, false, []string{signal, node})
	return func() bool {
		select {
		case <-s.mesh.get(s.ts, node).ended:
			restart(s.ts, false, []string{node})
			return true
		default:
			return false
		}
	}
}

// disturb SECONDS plays random faults for that time, and then ends all of them.
func disturb(ts *testscript.TestScript, neg bool, args []string) {
	seconds, err := strconv.Atoi(args[0])
	ts.Check(err)
	seed := uint64(1)
	if text := os.Getenv(soakSeedVariable); text != "" {
		seed, err = strconv.ParseUint(text, 10, 64)
		ts.Check(err)
	}
	s := newSoak(ts, seed)
	began := time.Now()
	for end := began.Add(time.Duration(seconds) * time.Second); time.Now().Before(end); {
		s.pass(s.between(leastPause, mostPause))
		s.draw(began)
	}
	await(ts, "the end of all faults", func() bool {
		s.end(time.Now().Add(mostFault))
		return len(s.owed) == 0
	})
}

func newSoak(ts *testscript.TestScript, seed uint64) *soak {
	m := ts.Value(meshKey{}).(*mesh)
	s := &soak{
		ts:       ts,
		mesh:     m,
		random:   rand.New(rand.NewPCG(seed, 0)),
		platform: ts.Getenv("NETWORK") + ".200:7104",
		owed:     map[string]owing{},
	}
	ts.Logf("faults of seed %d", seed)
	for name := range m.processes {
		if strings.HasPrefix(name, "node-") || strings.HasPrefix(name, "naive-") {
			s.nodes = append(s.nodes, name)
		}
	}
	slices.Sort(s.nodes)
	for _, file := range mustGlob(ts, filepath.Join(m.dir, "target-*.yaml")) {
		s.targets = append(s.targets, setting(ts, file, "control_listen"))
	}
	return s
}

// draw begins one fault, unless another is under way at its place.
func (s *soak) draw(began time.Time) {
	drawn := faults[s.random.IntN(len(faults))]
	places := drawn.places(s)
	place := places[s.random.IntN(len(places))]
	length := s.between(leastFault, mostFault)
	if _, busy := s.owed[place]; busy {
		return
	}
	s.ts.Logf("%s: %s at %s for %s", time.Since(began).Round(time.Millisecond), drawn.name, place, length.Round(time.Millisecond))
	s.owed[place] = owing{at: time.Now().Add(length), end: drawn.begin(s, place)}
}

// pass lets time go by, and ends the faults that are due.
func (s *soak) pass(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(lookInterval) {
		s.end(time.Now())
	}
}

// end ends the faults that are due by a time.
func (s *soak) end(by time.Time) {
	for place, due := range s.owed {
		if !due.at.After(by) && due.end() {
			delete(s.owed, place)
		}
	}
}

func (s *soak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Float64()*float64(most-least))
}
