package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/quota"
	"github.com/dandelionfield/dandelionfield/internal/setup"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// quotaMesh starts nodes whose configuration declares one team, and waits until each has
// shares from a coordinator, through collectors if there are groups.
func quotaMesh(t testing.TB, count, groups int, team schema.Team) []*Node {
	t.Helper()
	store := plat.NewMemory().Store()
	declared := func([]byte) (*schema.Set, error) {
		return &schema.Set{Services: []schema.Service{{Name: "s"}}, Teams: []schema.Team{team}}, nil
	}
	nodes := make([]*Node, 0, count)
	for i := range count {
		host := fmt.Sprintf("127.91.3.%d", i+1)
		settings := &setup.Node{
			Name: fmt.Sprint("node-", i), DataCentre: "a", Region: "r", Service: "s", TargetAddress: "127.0.0.1:1",
			CallerListen: host + ":7100", RelayListen: host + ":7101", RelayAddress: host + ":7101", AdminListen: host + ":7102",
			DrainTimeout: time.Second, MemoryBytes: 16 << 20,
		}
		n := New(settings, hclog.NewNullLogger(), clock.System{}, Adapters{Store: &store, Parse: declared})
		if groups > 0 {
			n.quotas.groups = func(int) int { return groups }
		}
		bound, err := listen(settings)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- n.run(ctx, bound) }()
		t.Cleanup(func() {
			stop()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
		nodes = append(nodes, n)
	}
	if _, err := nodes[0].config.Commit(context.Background(), []byte("one team"), 0); err != nil {
		t.Fatal(err)
	}
	for _, n := range nodes {
		waitUntil(t, func() bool { return n.quotas.members() == count && n.quotas.valid(n.clock.Now()) })
	}
	return nodes
}

func waitUntil(t testing.TB, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 20 s")
		}
	}
}

// members returns the number of members in service that a node knows.
func (q *quotas) members() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.ranked)
}

// valid reports whether the node has valid shares.
func (q *quotas) valid(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Valid(now)
}

// quotaTeam is a team whose requests reach all nodes of a test.
var quotaTeam = schema.Team{Name: "a", Rate: 20, Burst: 20}

// flood sends requests of quotaTeam to all nodes for 3 s, many times what its quota admits. It
// checks that no more were admitted than the quota allows, and returns how many were.
func flood(t *testing.T, nodes []*Node) int {
	t.Helper()
	admitted := 0
	began := time.Now()
	for time.Since(began) < 3*time.Second {
		for _, n := range nodes {
			if n.admitTeam(quotaTeam.Name).OK {
				admitted++
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	most := (quotaTeam.Rate*time.Since(began).Seconds()+quotaTeam.Burst)*1.1 + 20
	t.Logf("admitted %d of at most %.0f", admitted, most)
	is.New(t).True(float64(admitted) <= most)
	return admitted
}

// drainNode drains the node with a name and returns the others.
func drainNode(nodes []*Node, name string) []*Node {
	var others []*Node
	for _, n := range nodes {
		if n.settings.Name == name {
			n.Drain()
			continue
		}
		others = append(others, n)
	}
	return others
}

// Guards against nodes that each admit the whole limit, and against the loss of shares for
// good when the coordinator stops.
func TestNodesShareQuotaAndReplaceCoordinator(t *testing.T) {
	is := is.New(t)
	nodes := quotaMesh(t, 3, 0, quotaTeam)
	is.True(flood(t, nodes) >= 20) // the burst at least

	coordinator := nodes[0].quotas.first()
	others := drainNode(nodes, coordinator)
	for _, n := range others {
		waitUntil(t, func() bool {
			return n.quotas.first() != coordinator && n.quotas.members() == 2 && n.quotas.valid(n.clock.Now())
		})
	}
}

// Guards against nodes above maxStar that get no shares through their collectors, or only those
// of a part of the nodes, and against the loss of shares for good when a collector stops.
func TestCollectorsPassSharesOn(t *testing.T) {
	is := is.New(t)
	nodes := quotaMesh(t, 5, 1, quotaTeam)
	is.True(flood(t, nodes) >= 40) // two thirds of the rate, and the burst in part

	collector := nodes[0].quotas.firstOfGroup()
	is.True(collector != nodes[0].quotas.first()) // the coordinator collects for no group
	others := drainNode(nodes, collector)
	time.Sleep(quota.Validity(len(nodes)))
	for _, n := range others {
		waitUntil(t, func() bool { return n.quotas.members() == 4 && n.quotas.valid(n.clock.Now()) })
	}
}

// BenchmarkQuotaReport measures what a report costs both ends together, by the number of teams
// that it names.
func BenchmarkQuotaReport(b *testing.B) {
	nodes := quotaMesh(b, 2, 0, schema.Team{Name: "team-0", Rate: 20, Burst: 20})
	other := nodes[0]
	if other.settings.Name == nodes[0].quotas.first() {
		other = nodes[1]
	}
	coordinator := nodes[0].quotas.ranked[0]
	teams := make([]schema.Team, 0, 76)
	for i := range 76 {
		teams = append(teams, schema.Team{Name: fmt.Sprint("team-", i), Rate: 1e6, Burst: 1e6})
	}
	for _, n := range nodes {
		n.quotas.setLimits(teams)
	}
	for _, count := range []int{3, 25, 76} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			report := quota.Report{From: other.incarnation, Period: quota.Period(2)}
			for _, team := range teams[:count] {
				report.Usage = append(report.Usage, quota.Usage{Team: team.Name, Demand: 1, Admitted: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				report.Sequence++
				if _, _, ok := other.sendQuotaReport(context.Background(), coordinator, report, time.Second, 1); !ok {
					b.Fatal("no answer")
				}
			}
			b.ReportMetric(float64(proto.Size(packQuotaReport(report))), "report-bytes")
			nodes[0].quotas.mu.Lock()
			answer := packQuotaReply(nodes[0].quotas.coordinator.Handle(time.Now(), report))
			nodes[0].quotas.mu.Unlock()
			b.ReportMetric(float64(proto.Size(answer)), "answer-bytes")
		})
	}
}

// Guards against collectors that all wait long again, each time that a lost coordinator is no
// longer left out, and against such a node that is never asked again.
func TestNodeThatDidNotAnswerIsAskedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	ranked := []member.Member{{Incarnation: "a"}, {Incarnation: "b"}}
	r := quotaReporter{suspects: map[string]time.Time{"a": now.Add(suspectPeriod)}, collects: true}
	is.Equal(r.candidates(now, ranked), ranked[1:])
	now = now.Add(suspectPeriod)
	is.Equal(r.candidates(now, ranked), ranked)
	is.Equal(len(r.suspects), 1) // asked with one sending
	r.candidates(now.Add(doubtPeriod), ranked)
	is.Equal(len(r.suspects), 0)
}

// Guards against reports that are always sent several times between regions, where an answer
// takes 110 ms, and against a collector that never hears again from a coordinator there.
func TestDistantNodeHasTimeToAnswer(t *testing.T) {
	is := is.New(t)
	const timeout = 40 * time.Millisecond
	r := newQuotaReporter()
	r.collects = true
	wait, sends := r.pace("a", timeout)
	is.Equal(wait, timeout)
	is.Equal(sends, 4)
	r.suspects["a"] = time.Time{}
	wait, sends = r.pace("a", timeout)
	is.Equal(wait, 4*timeout) // how far the node is away is not known
	is.Equal(sends, 1)
	r.learnRoundTrip("a", 110*time.Millisecond)
	wait, sends = r.pace("a", timeout)
	is.True(wait >= 110*time.Millisecond)
	is.Equal(sends, 1)
	delete(r.suspects, "a")
	wait, sends = r.pace("a", timeout)
	is.Equal(wait*time.Duration(sends), 4*timeout)
	is.Equal(sends, 2)
}

// Guards against a report whose number of nodes is lost between a collector and the coordinator.
func TestCollectorReportKeepsItsNodes(t *testing.T) {
	is := is.New(t)
	report := quota.Report{From: "i", Sequence: 1, Nodes: 33, Period: time.Second, Usage: []quota.Usage{{Team: "a", Demand: 2, Admitted: 1}}}
	is.Equal(unpackQuotaReport(packQuotaReport(report)), report)
	report.Nodes = 0
	is.Equal(unpackQuotaReport(packQuotaReport(report)), report)
}

// Guards against groups that nodes with equal views form differently.
func TestGroupsAreDisjointAndCoverAllMembers(t *testing.T) {
	is := is.New(t)
	ranked := make([]member.Member, 0, 240)
	for i := range 240 {
		ranked = append(ranked, member.Member{Incarnation: fmt.Sprint("i-", i)})
	}
	reported := map[string]string{}
	for _, m := range ranked {
		group := reportGroup(m.Incarnation, ranked, 8)
		is.True(len(group) > 0)
		for _, to := range group {
			first, ok := reported[to.Incarnation]
			is.True(!ok || first == group[0].Incarnation)
			reported[to.Incarnation] = group[0].Incarnation
		}
	}
	is.Equal(len(reported), 239) // all but the coordinator
	is.Equal(len(reportGroup("i-0", ranked[:1], 8)), 1)
}

// first returns the name of the first member in the order of coordinators.
func (q *quotas) first() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ranked[0].Name
}

// firstOfGroup returns the name of the first member to which a node reports.
func (q *quotas) firstOfGroup() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.group[0].Name
}

// Guards against reports, and memory for coordinators, where no team has a limit.
func TestNoReportsWithoutLimits(t *testing.T) {
	is := is.New(t)
	q := newQuotas("i", time.Now())
	q.setLimits([]schema.Team{{Name: "a"}})
	active, _, _ := q.state()
	is.True(!active)
}
