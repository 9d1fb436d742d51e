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

func runScenario(t *testing.T, p scenario) *eventLoop {
	t.Helper()
	p.seed = cmp.Or(p.seed, 1)
	p.base = cmp.Or(p.base, 800)
	p.deadline = cmp.Or(p.deadline, 2*time.Second)
	p.wait = cmp.Or(p.wait, 500*time.Millisecond)
	p.calls = max(p.calls, 1)
	l := newEventLoop(p)
	l.run()
	t.Logf("%-22s seed %d goodput %.3f recovery %v critical %.3f high %.3f normal %.3f low %.3f refused beside a target %d of %d",
		p.name, p.seed, l.goodputShare(), l.recovery(), l.share(schema.Critical), l.share(schema.High), l.share(schema.Normal),
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

func TestGoals(t *testing.T) {
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
	for _, p := range scenarios {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			for p.seed = 1; p.seed <= 3; p.seed++ {
				l := runScenario(t, p.scenario)
				is.True(l.recovery() <= goalRecovery)
				is.True(p.infeasible || l.goodputShare() >= goalGoodput)
				is.True(!p.protected || l.share(schema.Critical) >= goalProtected)
				is.True(!p.protected || l.share(schema.High) >= goalProtected)
			}
		})
	}
}

func TestNaiveMissesGoals(t *testing.T) {
	is := is.New(t)
	l := runScenario(t, scenario{name: "naive", surge: 3, slow: 10, naive: true, retries: 3, base: 300})
	is.True(l.goodputShare() < goalGoodput)
	is.True(l.recovery() > goalRecovery)
}

func TestDoorSparesWorkOnTheWay(t *testing.T) {
	is := is.New(t)
	with := runScenario(t, scenario{name: "door", surge: 3, slow: 10})
	without := runScenario(t, scenario{name: "open door", surge: 3, slow: 10, admitAll: true})
	is.True(with.refused*10 < without.refused)
}

func TestOnePositionCarriesRequestsThrough(t *testing.T) {
	is := is.New(t)
	same := runScenario(t, scenario{name: "one position", surge: 3, slow: 1, calls: 3, base: 270})
	split := runScenario(t, scenario{name: "position per call", surge: 3, slow: 1, calls: 3, base: 270, positionPerCall: true})
	is.True(same.goodputShare() >= goalGoodput)
	is.True(same.goodput > split.goodput)
	is.True(same.refused < split.refused)
}
