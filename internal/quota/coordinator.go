package quota

import (
	"maps"
	"math"
	"time"
)

type (
	// Coordinator turns the reports of all nodes into the shares of each team.
	//
	// It handles a team that sends more than its limit through any of the nodes, with a
	// demand that rises within one period. Each team has a token bucket, which reported
	// requests drain, so that an excess is compensated afterwards. A coordinator allocates
	// the rate and the burst in proportion to the nodes that report to it, out of all
	// members. Two coordinators with different reporters together stay within the limit.
	Coordinator struct {
		random  func() float64
		members int
		teams   map[string]*bucket
		nodes   map[string]*reporter
		// limited holds the teams that are being limited. Each answer names up to maxShares of
		// them in turn.
		limited *rotation
		// heard is the number of nodes heard from lately, counted at countedAt.
		heard      int
		countedAt  time.Time
		reportedAt time.Time
		// creditSeconds is the sum of the times that the first reports of nodes covered, each
		// divided by the number of members. Buckets are credited the rate for it, see advance.
		creditSeconds float64
		// epoch is incremented when the coordinator resets all buckets, because all shares have
		// expired.
		epoch uint64
	}

	reporter struct {
		sequence uint64
		heardAt  time.Time
		// nodes is the number of nodes whose usage the reports contain.
		nodes int
		// collects is set if a Collector reports.
		collects bool
		// cursor is where the next answer goes on with the limited teams.
		cursor int
	}

	// bucket is the state of one team in a Coordinator.
	bucket struct {
		team  string
		limit Limit
		epoch uint64
		// level is how many requests the team may send at once. It is negative while the
		// team has sent more than it may.
		level float64
		// part is the allocated part of the limit.
		part float64
		// creditSeconds is the coordinator's creditSeconds up to which the level is credited.
		creditSeconds float64
		// long and short are the demand in requests a second, averaged over the settling
		// time and over one period.
		long  float64
		short float64
		// granted is how many requests were granted to nodes by their demand. It decays with a
		// time constant of one period.
		granted float64
		at      time.Time
	}
)

const (
	// minSettling is the least time in which a bucket's level goes back to zero: the shares
	// allocate the rate, and the level over the settling time. It spans settlingPeriods
	// periods at least, because a new share takes a period to reach all nodes.
	minSettling     = time.Second
	settlingPeriods = 2
	// countInterval is how long the count of nodes heard from is used, and forgetAfter how
	// long the last sequence of a silent reporter is kept.
	countInterval = 20 * time.Millisecond
	forgetAfter   = time.Minute
	// equalPart is the part of what a team may use until the next reports that is allocated
	// to the nodes equally, whatever their demand.
	equalPart = 0.5
	// deviations is how many standard deviations the demand of random arrivals may seem to
	// exceed the rate before a team with requests left is limited.
	deviations = 2.0
	// maxCreditPeriods is for how many periods a node's part of the rate is credited at most
	// with its first report. The former coordinator may still have allocated that part too.
	maxCreditPeriods = 3 / 2.0
	// collectorSuffix tells a node's reports as collector from those as member, which have a
	// sequence of their own.
	collectorSuffix = "/collector"
	// maxShares bounds how many limited teams an answer names besides those in the report.
	maxShares = 200
)

// NewCoordinator returns a coordinator that has heard from no node. Random returns a random
// number in [0, 1).
func NewCoordinator(random func() float64) *Coordinator {
	return &Coordinator{
		random:  random,
		members: 1,
		teams:   map[string]*bucket{},
		nodes:   map[string]*reporter{},
		limited: newRotation(),
	}
}

// SetLimits replaces the limits by team. Teams without a limit are not listed.
func (c *Coordinator) SetLimits(limits map[string]Limit) {
	maps.DeleteFunc(c.teams, func(team string, _ *bucket) bool {
		gone := limits[team].Rate <= 0
		if gone {
			c.limited.remove(team)
		}
		return gone
	})
	for team, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		if c.teams[team] == nil {
			c.teams[team] = &bucket{team: team}
		}
		c.teams[team].limit = limit
	}
}

// SetMembers sets the number of nodes that admit requests.
func (c *Coordinator) SetMembers(members int) {
	c.members = max(members, 1)
}

// Handle takes a report and returns the answer to it. The usage of a report that a later one
// has overtaken is left out, because the later one contains it.
func (c *Coordinator) Handle(now time.Time, report Report) Reply {
	fresh, from := c.hear(now, report)
	shares := make([]Share, 0, len(report.Usage)+min(len(c.limited.teams), maxShares))
	named := make(map[string]bool, len(report.Usage))
	for _, usage := range report.Usage {
		b := c.teams[usage.Team]
		if b == nil {
			continue
		}
		c.advance(now, b)
		if fresh {
			c.use(b, usage, report.Period)
		}
		named[usage.Team] = true
		shares = append(shares, c.share(b, from.nodes, demandRate(usage, report.Period)))
	}
	var others []string
	others, from.cursor = c.limited.next(from.cursor, named)
	for _, team := range others {
		b := c.teams[team]
		c.advance(now, b)
		shares = append(shares, c.share(b, from.nodes, 0))
	}
	return Reply{Shares: shares, Valid: Validity(c.members)}
}

// demandRate returns the reported demand of a team in requests a second.
func demandRate(usage Usage, covered time.Duration) float64 {
	return float64(usage.Demand) / max(covered.Seconds(), minPeriod.Seconds()/2)
}

// hear records that a node reported. It returns whether the reported usage is new, and the
// state of the reporter.
func (c *Coordinator) hear(now time.Time, report Report) (bool, *reporter) {
	if now.Sub(c.reportedAt) >= Validity(c.members) {
		// All shares have expired, so the nodes have used their own buckets meanwhile.
		c.epoch++
		c.creditSeconds = 0
		c.countedAt = time.Time{}
	}
	c.reportedAt = now
	name := report.From
	if report.Nodes > 0 {
		name += collectorSuffix
	}
	node := c.nodes[name]
	if node == nil {
		node = &reporter{cursor: firstCursor(len(c.nodes))}
		c.nodes[name] = node
		c.countedAt = time.Time{}
	}
	if !c.counts(now, node) {
		covered := min(report.Period.Seconds(), maxCreditPeriods*Period(c.members).Seconds())
		c.creditSeconds += covered * float64(max(report.Nodes, 1)) / float64(c.members)
	}
	node.heardAt = now
	node.nodes = max(report.Nodes, 1)
	node.collects = report.Nodes > 0
	fresh := report.Sequence > node.sequence
	node.sequence = max(node.sequence, report.Sequence)
	if now.Sub(c.countedAt) >= countInterval {
		c.count(now)
	}
	return fresh, node
}

// count sets heard to the number of nodes that reported lately, and forgets
// nodes that have been silent for forgetAfter.
func (c *Coordinator) count(now time.Time) {
	c.countedAt = now
	c.heard = 0
	maps.DeleteFunc(c.nodes, func(_ string, node *reporter) bool {
		if c.counts(now, node) {
			c.heard += node.nodes
		}
		return now.Sub(node.heardAt) >= forgetAfter
	})
}

// counts reports whether a reporter counts for the allocated part of the limit.
func (c *Coordinator) counts(now time.Time, node *reporter) bool {
	within := reporterTimeout(c.members)
	if node.collects {
		within = collectorSilence
	}
	return now.Sub(node.heardAt) < within
}

// advance refills the bucket of a team up to the present, and adapts it to the part of the
// limit that is allocated now. Each reporting node adds its part of the margin, which is removed
// when the node stops reporting. Its first report also adds its part of the rate for the time
// that the report covers, since the report contains what the node admitted by the shares of
// another coordinator.
func (c *Coordinator) advance(now time.Time, b *bucket) {
	if b.epoch != c.epoch {
		*b = bucket{team: b.team, limit: b.limit, epoch: c.epoch, at: now}
	}
	elapsed := max(now.Sub(b.at).Seconds(), 0)
	b.at = now
	b.long *= math.Exp(-elapsed / c.settling().Seconds())
	decay := math.Exp(-elapsed / Period(c.members).Seconds())
	b.short *= decay
	b.granted *= decay
	part := min(1, float64(c.heard)/float64(c.members))
	b.level += b.limit.Rate*b.part*elapsed + b.limit.margin()*(part-b.part)
	b.level += b.limit.Rate * (c.creditSeconds - b.creditSeconds)
	b.part = part
	b.creditSeconds = c.creditSeconds
	b.level = max(min(b.level, part*(b.limit.Burst+b.limit.margin())), c.minLevel(b))
}

// minLevel returns the lowest level of a bucket, which bounds its debt. The excess behind a debt
// that takes longer than the rule's window to pay off has left the window by then. A larger
// debt, as after a limit was lowered far below the demand, would only refuse a team that is
// within its limit again.
func (c *Coordinator) minLevel(b *bucket) float64 {
	return -b.limit.Rate * b.part * (windowSeconds + c.settling().Seconds())
}

// use takes reported usage from the bucket. Of a report that covers more than a period, as
// after one without an answer, the demand counts as if it were evenly spread.
func (c *Coordinator) use(b *bucket, usage Usage, covered time.Duration) {
	period := Period(c.members)
	demand := float64(usage.Demand) * min(1, period.Seconds()/max(covered.Seconds(), minPeriod.Seconds()))
	b.level = max(b.level-float64(usage.Admitted), min(b.level, c.minLevel(b)))
	b.long += demand / c.settling().Seconds()
	b.short += demand / period.Seconds()
}

// share returns the share of a team's requests to admit, for a reporter with the given number
// of nodes and demand.
func (c *Coordinator) share(b *bucket, nodes int, reporterDemand float64) Share {
	rate := b.limit.Rate * b.part
	demand := c.demand(b)
	admit := 1.0
	if available := rate + b.level/c.settling().Seconds(); demand > available {
		admit = max(0, available/demand)
	}
	if admit < 1 {
		c.limited.add(b.team)
	} else {
		c.limited.remove(b.team)
	}
	return Share{Team: b.team, Admit: admit, Most: max(1, roundRandomly(c.grant(b, nodes, reporterDemand), c.random()))}
}

// grant returns how many requests the nodes of a reporter may admit until its next report: an
// equal part for each node of what the team may use until then, and a part by its demand. The
// latter is taken from what others were not granted yet, because in a rise the first to report
// seem to have all the demand.
func (c *Coordinator) grant(b *bucket, nodes int, reporterDemand float64) float64 {
	room := max(b.level, 0) + b.limit.Rate*b.part*Period(c.members).Seconds() + unseenPart*b.part*b.limit.tolerance()
	byDemand := 0.0
	if reporterDemand > 0 {
		byDemand = max(0, room-b.granted) * min(1, reporterDemand/max(b.long, b.short))
	}
	b.granted += byDemand
	return equalPart*room*float64(nodes)/float64(max(c.heard, 1)) + byDemand
}

// demand returns the demand of a team in requests a second. Random arrivals of a small team
// often appear to be far more than its rate. While the bucket holds the margin, the demand is
// therefore the lower bound of the rate for random arrivals. As the level falls from the margin
// to zero, the demand goes over to the average rate.
func (c *Coordinator) demand(b *bucket) float64 {
	certain := max(
		lowerBound(b.long, c.settling(), deviations),
		lowerBound(b.short, Period(c.members), deviations),
	)
	likely := max(b.long, certain)
	margin := b.limit.margin() * b.part
	if margin <= 0 {
		return likely
	}
	trust := min(max(b.level/margin, 0), 1)
	return trust*certain + (1-trust)*likely
}

// lowerBound returns the mean rate of random arrivals, averaged over a time constant, less
// the given number of standard deviations.
func lowerBound(rate float64, over time.Duration, deviations float64) float64 {
	return max(0, rate-deviations*math.Sqrt(rate/(2*over.Seconds())))
}

// settling returns the time in which a level goes back to zero.
func (c *Coordinator) settling() time.Duration {
	return max(minSettling, settlingPeriods*Period(c.members))
}
