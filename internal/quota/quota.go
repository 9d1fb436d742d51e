// Package quota limits the requests of teams over the sum of all nodes.
//
// Each node has a Limiter, which decides on requests without a network call. It reports what
// each team used to one node, the coordinator, and learns from the answer which share of the
// team's requests to admit. The package has no I/O and no locks.
package quota

import (
	"math"
	"time"
)

type (
	// Limit is the quota of one team over all nodes.
	Limit struct {
		// Rate is in requests a second, Burst in requests.
		Rate  float64
		Burst float64
	}

	// Usage is what one team used at one node since the last report of the node.
	Usage struct {
		Team string
		// Demand counts the requests that arrived, and Admitted those of them that were
		// admitted. Neither counts requests whose unit was returned. Admitted is negative if
		// more units were returned than used.
		Demand   int
		Admitted int
	}

	// Report is what a node tells the coordinator, or a Collector in the place of its nodes.
	Report struct {
		// From is the incarnation of the node. Sequence grows with each of its reports.
		From     string
		Sequence uint64
		// Nodes is the number of nodes whose usage a Collector combined, and 0 in the report
		// of a single node.
		Nodes int
		// Period is the time that the report covers.
		Period time.Duration
		Usage  []Usage
	}

	// Share says which requests of one team a node admits.
	Share struct {
		Team string
		// Admit is the share of the requests to admit.
		Admit float64
		// Most is how many requests the node may admit until the answer to its next report.
		Most int
	}

	// Reply is the answer of the coordinator. Teams that it does not name are not limited.
	Reply struct {
		Shares []Share
		// Valid is how long after its report a node may use the shares.
		Valid time.Duration
	}
)

const (
	// Up to maxStar members report to the coordinator themselves. Each of them then adds
	// periodPerMember to the time between two reports of a node, so that a coordinator handles
	// at most 250 reports a second. With more members, the sum of what all nodes admit before
	// they hear of a rise would exceed the users' rule.
	maxStar         = 120
	periodPerMember = 4 * time.Millisecond
	minPeriod       = 250 * time.Millisecond
	// Above maxStar, members report to a collector for each group, and the collectors report
	// to the coordinator every collectPeriod. Groups have at most maxGroup members on average.
	// Until the coordinator has heard of a rise, each group admits what it was granted before.
	collectPeriod = 100 * time.Millisecond
	maxGroup      = 36
	// collectTimeout is how long a collector waits for an answer before it sends its report
	// again. While the coordinator is lost, all nodes go by what it said before.
	collectTimeout = 40 * time.Millisecond
	// A collector without a report for collectorSilence has gone to another coordinator. It
	// spans the time in which a report is sent ReportSends times.
	collectorSilence = 3 * collectPeriod
	// groupStep is the factor between two numbers of groups. With 2, a group is split in two
	// when the number changes, and most nodes keep their collector.
	groupStep = 2
	// Shares are valid for validPeriods periods, so that a lost report and a change of the
	// coordinator do not end them.
	validPeriods = 4
	minValidity  = time.Second

	// ReportSends is how often a report is sent to one node. A lost report must not make a node
	// change the coordinator, since the former one still allocates its part for a while.
	ReportSends = 4
	// ReportNodes is how many nodes are asked in turn for the answer to one report, while the
	// shares are still valid.
	ReportNodes = 3

	// The users' rule: in any window of windowSeconds, a team's requests stay at or below the
	// rate and the burst, times 1+windowTolerance, plus windowExtra.
	windowSeconds   = 5.0
	windowTolerance = 0.1
	windowExtra     = 20.0
	// marginPart is the part of the rule's tolerance by which a bucket may exceed the burst, so
	// that the random arrivals of a team within its limit do not empty the bucket. unseenPart
	// is the part for requests that nodes admit before the coordinator hears of them.
	marginPart = 0.1
	unseenPart = 0.1
)

// Groups returns the number of groups in which nodes report to a collector, or 0 if they report
// to the coordinator.
func Groups(members int) int {
	if members <= maxStar {
		return 0
	}
	groups := 1
	for groups*maxGroup < members {
		groups *= groupStep
	}
	return groups
}

// CollectPeriod returns the time between two reports of a collector.
func CollectPeriod() time.Duration {
	return collectPeriod
}

// CollectTimeout returns how long a collector waits for the answer to a report. It sends it
// ReportSends times to each node, as a node does.
func CollectTimeout() time.Duration {
	return collectTimeout
}

// Period returns the time between two reports of a node.
func Period(members int) time.Duration {
	if Groups(members) > 0 {
		return minPeriod
	}
	return max(minPeriod, time.Duration(members)*periodPerMember)
}

// Validity returns how long after its report a node may use the shares of the answer.
func Validity(members int) time.Duration {
	return max(minValidity, validPeriods*Period(members))
}

// IdlePeriod returns the time between two reports of a node that receives no requests of teams.
// One report may be lost before the shares expire.
func IdlePeriod(members int) time.Duration {
	return Validity(members) / 2
}

// tolerance returns by how many requests the users' rule lets a team exceed its rate and
// burst in one window.
func (l Limit) tolerance() float64 {
	return windowTolerance*(windowSeconds*l.Rate+l.Burst) + windowExtra
}

// room returns how many requests a team with a full bucket may send in the given time.
func (l Limit) room(period time.Duration) float64 {
	return l.Burst + l.Rate*period.Seconds() + unseenPart*l.tolerance()
}

// margin returns by how much a bucket may exceed the burst.
func (l Limit) margin() float64 {
	return marginPart * l.tolerance()
}

// roundRandomly rounds x to one of the two nearest integers, given a random number in [0, 1),
// so that the mean of the results is x.
func roundRandomly(x, drawn float64) int {
	floor := math.Floor(x)
	if drawn < x-floor {
		floor++
	}
	return int(floor)
}

// reporterTimeout returns how long after its last report a node counts for the allocated part
// of the limit. It is shorter than the validity, because a node that changes to another
// coordinator counts there at once.
func reporterTimeout(members int) time.Duration {
	return IdlePeriod(members) * 5 / 4
}

// ReportTimeout returns how long a node waits for the answer to a report. It sends it
// ReportSends times, and then to the next node in the order, while its shares are still valid.
func ReportTimeout(members int) time.Duration {
	return Validity(members) / (ReportSends*ReportNodes + 2)
}
