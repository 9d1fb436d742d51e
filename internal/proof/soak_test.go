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
	// faultInjector injects random faults into a mesh: the time, the place and the duration
	// of each fault are random. The same seed generates the same faults.
	faultInjector struct {
		ts     *testscript.TestScript
		mesh   *mesh
		random *rand.Rand
		nodes  []string
		// targets and platform are the addresses of the test servers' fault switches.
		targets  []string
		platform string
		// active holds the active faults by place.
		active map[string]activeFault
	}

	// activeFault holds when a fault is due to end, and the function that ends it. The
	// function reports whether the fault has ended, because a node that stops gracefully
	// takes a while.
	activeFault struct {
		at  time.Time
		end func() bool
	}

	// fault describes a kind of fault. The function begin starts the fault at a place and
	// returns the function that ends it.
	fault struct {
		name       string
		candidates func(s *faultInjector) []string
		begin      func(s *faultInjector, place string) (end func() bool)
	}
)

const (
	// soakSeedVariable is the environment variable for the seed of the faults. The default
	// seed is 1.
	soakSeedVariable = "SOAK_SEED"
	// minPause and maxPause limit the time between the beginnings of two faults.
	minPause = 150 * time.Millisecond
	maxPause = 900 * time.Millisecond
	// minFaultDuration and maxFaultDuration limit how long a fault lasts.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// faults lists all kinds of faults. Several may be active at once, and each may occur more
// than once.
var faults = []fault{
	{"kill", nodePlaces, func(s *faultInjector, place string) func() bool { return s.replaceNode("KILL", place) }},
	{"leave", nodePlaces, func(s *faultInjector, place string) func() bool { return s.replaceNode("TERM", place) }},
	{"freeze", nodePlaces, func(s *faultInjector, place string) func() bool {
		signalProcess(s.ts, false, []string{"STOP", place})
		return func() bool {
			signalProcess(s.ts, false, []string{"CONT", place})
			return true
		}
	}},
	{"target slow", targetPlaces, switchFault(`{"slow_factor": 8}`, `{"slow_factor": 1}`)},
	{"target hangs", targetPlaces, switchFault(`{"frozen": true, "lying_health": true}`, `{"frozen": false, "lying_health": false}`)},
	{"target fails", targetPlaces, switchFault(`{"fail_share": 0.5}`, `{"fail_share": 0}`)},
	{"answers cut off", targetPlaces, switchFault(`{"truncate_share": 0.5}`, `{"truncate_share": 0}`)},
	{"platform down", platformPlace, switchFault(`{"down": true}`, `{}`)},
	{"platform slow", platformPlace, switchFault(`{"delay_ms": 1500}`, `{}`)},
	{"platform loses answers", platformPlace, switchFault(`{"lose_answers": 0.5}`, `{}`)},
}

func nodePlaces(s *faultInjector) []string    { return s.nodes }
func targetPlaces(s *faultInjector) []string  { return s.targets }
func platformPlace(s *faultInjector) []string { return []string{s.platform} }

// switchFault returns the begin function of a fault that a test server simulates. The fault
// begins by posting the switches on, and ends by posting off.
func switchFault(on, off string) func(s *faultInjector, place string) func() bool {
	return func(s *faultInjector, place string) func() bool {
		faultSwitch(s.ts, false, []string{place, on})
		return func() bool {
			faultSwitch(s.ts, false, []string{place, off})
			return true
		}
	}
}

// replaceNode ends a node by a signal. The returned function starts the node again once it
// has ended.
func (s *faultInjector) replaceNode(signal, node string) func() bool {
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

// injectFaults SECONDS injects random faults for that time, and then ends all of them.
func injectFaults(ts *testscript.TestScript, neg bool, args []string) {
	seconds, err := strconv.Atoi(args[0])
	ts.Check(err)
	seed := uint64(1)
	if text := os.Getenv(soakSeedVariable); text != "" {
		seed, err = strconv.ParseUint(text, 10, 64)
		ts.Check(err)
	}
	s := newFaultInjector(ts, seed)
	began := time.Now()
	for end := began.Add(time.Duration(seconds) * time.Second); time.Now().Before(end); {
		s.wait(s.between(minPause, maxPause))
		s.injectRandom(began)
	}
	waitUntil(ts, "the end of all faults", func() bool {
		s.endDue(time.Now().Add(maxFaultDuration))
		return len(s.active) == 0
	})
}

func newFaultInjector(ts *testscript.TestScript, seed uint64) *faultInjector {
	m := ts.Value(meshKey{}).(*mesh)
	s := &faultInjector{
		ts:       ts,
		mesh:     m,
		random:   rand.New(rand.NewPCG(seed, 0)),
		platform: ts.Getenv("NETWORK") + ".200:7104",
		active:   map[string]activeFault{},
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

// injectRandom begins one random fault, unless another fault is active at its place.
func (s *faultInjector) injectRandom(began time.Time) {
	chosen := faults[s.random.IntN(len(faults))]
	places := chosen.candidates(s)
	place := places[s.random.IntN(len(places))]
	length := s.between(minFaultDuration, maxFaultDuration)
	if _, busy := s.active[place]; busy {
		return
	}
	s.ts.Logf("%s: %s at %s for %s", time.Since(began).Round(time.Millisecond), chosen.name, place, length.Round(time.Millisecond))
	s.active[place] = activeFault{at: time.Now().Add(length), end: chosen.begin(s, place)}
}

// wait waits for the given time, and meanwhile ends the faults that are due.
func (s *faultInjector) wait(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pollInterval) {
		s.endDue(time.Now())
	}
}

// endDue ends the faults that are due by the given time.
func (s *faultInjector) endDue(by time.Time) {
	for place, running := range s.active {
		if !running.at.After(by) && running.end() {
			delete(s.active, place)
		}
	}
}

func (s *faultInjector) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Float64()*float64(most-least))
}
