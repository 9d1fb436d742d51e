package admit

import (
	"cmp"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// The stated targets.
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

func runPlan(t *testing.T, p plan) *loop {
	t.Helper()
	p.seed = cmp.Or(p.seed, 1)
	p.base = cmp.Or(p.base, 800)
	p.deadline = cmp.Or(p.deadline, 2*time.Second)
	p.wait = cmp.Or(p.wait, 500*time.Millisecond)
	p.calls = max(p.calls, 1)
	l := newLoop(p)
	l.run()
	t.Logf("%-22s seed %d goodput %.3f recovery %v critical %.3f high %.3f normal %.3f low %.3f refused beside a target %d of %d",
		p.name, p.seed, l.goodputShare(), l.recovery(), l.share(schema.Critical), l.share(schema.High), l.share(schema.Normal),
		l.share(schema.Low), l.refused, l.entered)
	return l
}

// goodputShare returns the goodput during the fault as a share of what the
// last tier can complete, or of the demand where that is less.
func (l *loop) goodputShare() float64 {
	last := chain[len(chain)-1]
	taken := (1-l.plan.hang)*last.workTime.Seconds() + l.plan.hang*l.plan.deadline.Seconds()
	perTarget := (1 - l.plan.hang) * float64(cmp.Or(l.plan.shedAt, last.slots)) / taken / float64(l.plan.calls)
	slowed := float64(cmp.Or(l.plan.slowed, replicas))
	capacity := perTarget * (replicas - slowed + slowed/l.plan.slow)
	return l.goodput / min(capacity, l.plan.base*l.plan.surge) / (faultTo - faultFrom).Seconds()
}

// share returns the share of the requests of an importance that complete.
func (l *loop) share(i schema.Importance) float64 {
	return l.kinds[i].completed / l.kinds[i].offered
}

// recovery returns the time from the end of the fault to the arrivals from
// which on 95 of 100 complete, over every 500 ms.
func (l *loop) recovery() time.Duration {
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
	plans := []struct {
		plan
		protected bool // there is capacity for all High and Critical requests
		hopeless  bool // the slow service takes longer than the deadline
	}{
		{plan: plan{name: "usual", surge: 1, slow: 1}, protected: true},
		{plan: plan{name: "surge", surge: 3, slow: 1}, protected: true},
		{plan: plan{name: "surge, exponential", surge: 3, slow: 1, exponential: true}, protected: true},
		{plan: plan{name: "slow", surge: 1, slow: 10}},
		{plan: plan{name: "surge and slow", surge: 3, slow: 10}},
		{plan: plan{name: "both, short wait", surge: 3, slow: 10, wait: 100 * time.Millisecond}},
		{plan: plan{name: "both, callers repeat", surge: 3, slow: 10, repeats: 3}},
		{plan: plan{name: "both, one target", surge: 3, slow: 10, slowed: 1}},
		{plan: plan{name: "both, two targets", surge: 3, slow: 10, slowed: 2}},
		{plan: plan{name: "surge, targets shed", surge: 3, slow: 1, shedAt: 20, base: 480}, protected: true},
		{plan: plan{name: "surge, calls hang", surge: 3, slow: 1, hang: 0.02}},
		{plan: plan{name: "both, short deadline", surge: 3, slow: 10, deadline: 400 * time.Millisecond}, hopeless: true},
	}
	for _, p := range plans {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			for p.seed = 1; p.seed <= 3; p.seed++ {
				l := runPlan(t, p.plan)
				is.True(l.recovery() <= goalRecovery)
				is.True(p.hopeless || l.goodputShare() >= goalGoodput)
				is.True(!p.protected || l.share(schema.Critical) >= goalProtected)
				is.True(!p.protected || l.share(schema.High) >= goalProtected)
			}
		})
	}
}

func TestNaiveMissesGoals(t *testing.T) {
	is := is.New(t)
	l := runPlan(t, plan{name: "naive", surge: 3, slow: 10, naive: true, repeats: 3, base: 300})
	is.True(l.goodputShare() < goalGoodput)
	is.True(l.recovery() > goalRecovery)
}

func TestDoorSparesWorkOnTheWay(t *testing.T) {
	is := is.New(t)
	with := runPlan(t, plan{name: "door", surge: 3, slow: 10})
	without := runPlan(t, plan{name: "open door", surge: 3, slow: 10, openDoor: true})
	is.True(with.refused*10 < without.refused)
}

func TestOnePositionCarriesRequestsThrough(t *testing.T) {
	is := is.New(t)
	same := runPlan(t, plan{name: "one position", surge: 3, slow: 1, calls: 3, base: 270})
	split := runPlan(t, plan{name: "position per call", surge: 3, slow: 1, calls: 3, base: 270, split: true})
	is.True(same.goodputShare() >= goalGoodput)
	is.True(same.goodput > split.goodput)
	is.True(same.refused < split.refused)
}
