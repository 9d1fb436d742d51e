package admit

import (
	"cmp"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// The service levels that the simulations must reach.
const (
	goalGoodput   = 0.9
	goalRecovery  = 2 * time.Second
	goalProtected = 0.99
)

var chain = []tier{
	{name: "lookup", slots: 115, workTime: 10 * time.Millisecond},
	{name: "orders", slots: 115, workTime: 10 * time.Millisecond},
	{name: "scheduler", slots: 35, workTime: 100 * time.Millisecond},
}

func runScenario(t *testing.T, s scenario) *eventLoop {
	t.Helper()
	s.seed = cmp.Or(s.seed, 1)
	s.base = cmp.Or(s.base, 800)
	s.deadline = cmp.Or(s.deadline, 2*time.Second)
	s.wait = cmp.Or(s.wait, 500*time.Millisecond)
	s.calls = max(s.calls, 1)
	l := newEventLoop(s)
	l.run()
	t.Logf("%-22s seed %d goodput %.3f recovery %v critical %.3f high %.3f normal %.3f low %.3f refused beside a target %d of %d",
		s.name, s.seed, l.goodputShare(), l.recovery(), l.share(schema.Critical), l.share(schema.High), l.share(schema.Normal),
		l.share(schema.Low), l.refused, l.entered)
	return l
}

// goodputShare returns the goodput during the fault as a share of what the last tier can
// complete, or of the demand if that is less.
func (l *eventLoop) goodputShare() float64 {
	last := chain[len(chain)-1]
	taken := (1-l.scenario.hangShare)*last.workTime.Seconds() + l.scenario.hangShare*l.scenario.deadline.Seconds()
	perTarget := (1 - l.scenario.hangShare) * float64(cmp.Or(l.scenario.shedAt, last.slots)) / taken / float64(l.scenario.calls)
	slowed := float64(cmp.Or(l.scenario.slowed, replicas))
	capacity := perTarget * (replicas - slowed + slowed/l.scenario.slow)
	return l.goodput / min(capacity, l.scenario.base*l.scenario.surge) / (faultTo - faultFrom).Seconds()
}

// share returns the share of the requests of an importance that complete.
func (l *eventLoop) share(i schema.Importance) float64 {
	return l.kinds[i].completed / l.kinds[i].offered
}

// recovery returns the time from the end of the fault until at least 95 of 100 arrivals
// complete in every 500 ms.
func (l *eventLoop) recovery() time.Duration {
	recovered := len(l.offered)
	for i := len(l.offered) - 5; i >= int(faultTo/sliceTime); i-- {
		offered, completed := 0.0, 0.0
		for j := i; j < i+5; j++ {
			offered += l.offered[j]
			completed += l.completed[j]
		}
		if completed < 0.95*offered {
			break
		}
		recovered = i
	}
	return time.Duration(recovered)*sliceTime - faultTo
}

// The simulated system reaches the service levels under surges, slow targets and both.
func TestSimulationMeetsServiceLevels(t *testing.T) {
	scenarios := []struct {
		scenario
		protected  bool // the capacity suffices for all high and critical requests
		infeasible bool // the slow service takes longer than the deadline
	}{
		{scenario: scenario{name: "usual", surge: 1, slow: 1}, protected: true},
		{scenario: scenario{name: "surge", surge: 3, slow: 1}, protected: true},
		{scenario: scenario{name: "surge, exponential", surge: 3, slow: 1, exponential: true}, protected: true},
		{scenario: scenario{name: "slow", surge: 1, slow: 10}},
		{scenario: scenario{name: "surge and slow", surge: 3, slow: 10}},
		{scenario: scenario{name: "both, short wait", surge: 3, slow: 10, wait: 100 * time.Millisecond}},
		{scenario: scenario{name: "both, callers repeat", surge: 3, slow: 10, retries: 3}},
		{scenario: scenario{name: "both, one target", surge: 3, slow: 10, slowed: 1}},
		{scenario: scenario{name: "both, two targets", surge: 3, slow: 10, slowed: 2}},
		{scenario: scenario{name: "surge, targets shed", surge: 3, slow: 1, shedAt: 20, base: 480}, protected: true},
		{scenario: scenario{name: "surge, calls hang", surge: 3, slow: 1, hangShare: 0.02}},
		{scenario: scenario{name: "both, short deadline", surge: 3, slow: 10, deadline: 400 * time.Millisecond}, infeasible: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			for s.seed = 1; s.seed <= 3; s.seed++ {
				l := runScenario(t, s.scenario)
				is.True(l.recovery() <= goalRecovery)
				is.True(s.infeasible || l.goodputShare() >= goalGoodput)
				is.True(!s.protected || l.share(schema.Critical) >= goalProtected)
				is.True(!s.protected || l.share(schema.High) >= goalProtected)
			}
		})
	}
}

// Without rejection at the entry, order, deadlines and bounded queues, the simulation misses
// the service levels, which shows that the scenarios are hard enough.
func TestNaiveSimulationMissesServiceLevels(t *testing.T) {
	is := is.New(t)
	l := runScenario(t, scenario{name: "naive", surge: 3, slow: 10, naive: true, retries: 3, base: 300})
	is.True(l.goodputShare() < goalGoodput)
	is.True(l.recovery() > goalRecovery)
}

// If the entry node rejects requests by the reported floors, targets reject less than a tenth
// of the calls that they reject otherwise.
func TestEntryGateReducesDownstreamRejections(t *testing.T) {
	is := is.New(t)
	with := runScenario(t, scenario{name: "entry gate", surge: 3, slow: 10})
	without := runScenario(t, scenario{name: "no entry gate", surge: 3, slow: 10, admitAll: true})
	is.True(with.refused*10 < without.refused)
}

// If all calls of a request have the same position, the targets reject calls of the same
// requests, and more requests complete than with a random position for each call.
func TestSharedPositionRaisesGoodput(t *testing.T) {
	is := is.New(t)
	same := runScenario(t, scenario{name: "one position", surge: 3, slow: 1, calls: 3, base: 270})
	split := runScenario(t, scenario{name: "position per call", surge: 3, slow: 1, calls: 3, base: 270, positionPerCall: true})
	is.True(same.goodputShare() >= goalGoodput)
	is.True(same.goodput > split.goodput)
	is.True(same.refused < split.refused)
}
