package quota

import (
	"maps"
	"math"
	"time"
)

type (
	// Collector stands between the nodes of one group and the coordinator, where there are too
	// many nodes to report to one of them often.
	//
	// It handles a team whose demand at several hundred nodes rises to many times its usual
	// load within a second. It adds up the reports of its group, reports the sum, and answers
	// the nodes at once by the shares of the last reply. It decides on no limit itself: without
	// valid shares it has no answer.
	Collector struct {
		self    string
		random  func() float64
		members int
		teams   map[string]*pool
		nodes   map[string]*reporter
		// limited holds the teams that are being limited.
		limited *rotation

		sequence   uint64
		reportedAt time.Time
		// answered and complete count replies as those of a Limiter do.
		answered   uint64
		complete   uint64
		validUntil time.Time
		heardAt    time.Time
		// used holds the teams with usage since the last report, and sent those of the report
		// that was not answered yet.
		used []*pool
		sent []*pool
	}

	// pool is the state of one team in a Collector.
	pool struct {
		team  string
		limit Limit
		admit float64
		// most is how many requests the group may admit until its next report. It and admit
		// belong to the reply numbered answered.
		most     float64
		answered uint64
		reported uint64
		// granted is how many requests were granted to nodes by their demand, and rate the
		// demand of the group in requests a second. Both are averaged over one period up to at.
		granted float64
		rate    float64
		at      time.Time

		inUsed       bool
		demand       int
		admitted     int
		sentDemand   int
		sentAdmitted int
	}
)

// NewCollector returns a collector at the node with the given incarnation. Random returns a
// random number in [0, 1).
func NewCollector(self string, now time.Time, random func() float64) *Collector {
	return &Collector{
		self:       self,
		random:     random,
		members:    1,
		teams:      map[string]*pool{},
		nodes:      map[string]*reporter{},
		limited:    newRotation(),
		reportedAt: now,
		validUntil: now,
	}
}

// SetLimits replaces the limits by team. Teams without a limit are not listed.
func (c *Collector) SetLimits(limits map[string]Limit) {
	maps.DeleteFunc(c.teams, func(team string, _ *pool) bool {
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
			c.teams[team] = &pool{team: team, admit: 1}
		}
		c.teams[team].limit = limit
	}
}

// SetMembers sets the number of nodes that admit requests, in all groups.
func (c *Collector) SetMembers(members int) {
	c.members = max(members, 1)
}

// Valid reports whether the collector has shares that it may pass on.
func (c *Collector) Valid(now time.Time) bool {
	return now.Before(c.validUntil)
}

// Active reports whether nodes reported lately, so that the collector has to report, too.
func (c *Collector) Active(now time.Time) bool {
	return now.Sub(c.heardAt) < reporterTimeout(c.members)
}

// Hear takes the usage of a node's report. The usage of a report that a later one has
// overtaken is left out. Without valid shares there is no answer to the report, and the node
// reports its usage again, so that it is left out, too.
func (c *Collector) Hear(now time.Time, report Report) {
	c.heardAt = now
	node := c.nodes[report.From]
	if node == nil {
		node = &reporter{nodes: 1, cursor: firstCursor(len(c.nodes))}
		c.nodes[report.From] = node
	}
	node.heardAt = now
	if report.Sequence <= node.sequence || !c.Valid(now) {
		return
	}
	node.sequence = report.Sequence
	for _, usage := range report.Usage {
		p := c.teams[usage.Team]
		if p == nil {
			continue
		}
		c.markUsed(p)
		p.demand += usage.Demand
		p.admitted += usage.Admitted
		c.advance(now, p)
		p.rate += float64(usage.Demand) / Period(c.members).Seconds()
	}
}

// Answer returns the answer to a report that Hear took. There must be valid shares. They are
// valid at the node no longer than here, whatever the number of steps from the coordinator.
func (c *Collector) Answer(now time.Time, report Report) Reply {
	heard := max(c.heard(now), 1)
	shares := make([]Share, 0, len(report.Usage)+min(len(c.limited.teams), maxShares))
	named := make(map[string]bool, len(report.Usage))
	for _, usage := range report.Usage {
		if p := c.teams[usage.Team]; p != nil {
			named[usage.Team] = true
			shares = append(shares, c.share(now, p, heard, demandRate(usage, report.Period)))
		}
	}
	node := c.nodes[report.From]
	if node == nil {
		node = &reporter{}
	}
	var others []string
	others, node.cursor = c.limited.next(node.cursor, named)
	for _, team := range others {
		shares = append(shares, c.share(now, c.teams[team], heard, 0))
	}
	return Reply{Shares: shares, Valid: c.validUntil.Sub(now)}
}

// share returns the share of a team for a node with the given demand. The node may admit an
// equal part of what the group may, and a part by its demand.
func (c *Collector) share(now time.Time, p *pool, heard int, nodeDemand float64) Share {
	c.advance(now, p)
	c.refresh(p, heard)
	byDemand := 0.0
	if nodeDemand > 0 {
		byDemand = max(0, p.most-p.granted) * min(1, nodeDemand/max(p.rate, nodeDemand))
	}
	p.granted += byDemand
	most := equalPart*p.most/float64(heard) + byDemand
	return Share{Team: p.team, Admit: p.admit, Most: max(1, roundRandomly(most, c.random()))}
}

// refresh resets the state of a team that the last reply did not name, as Limiter.refresh does.
func (c *Collector) refresh(p *pool, heard int) {
	if p.answered >= c.complete && (p.answered == c.answered || p.admit < 1) {
		return
	}
	p.answered = c.answered
	p.admit = 1
	p.most = equalPart * p.limit.room(Period(c.members)) * float64(heard) / float64(c.members)
}

func (c *Collector) advance(now time.Time, p *pool) {
	decay := math.Exp(-max(now.Sub(p.at).Seconds(), 0) / Period(c.members).Seconds())
	p.granted *= decay
	p.rate *= decay
	p.at = now
}

// heard returns the number of nodes heard from lately, and forgets those that have been silent
// for forgetAfter.
func (c *Collector) heard(now time.Time) int {
	count := 0
	within := reporterTimeout(c.members)
	maps.DeleteFunc(c.nodes, func(_ string, node *reporter) bool {
		silent := now.Sub(node.heardAt)
		if silent < within {
			count++
		}
		return silent >= forgetAfter
	})
	return count
}

// Report returns the next report to the coordinator. Ack or Fail must be called before the
// next one.
func (c *Collector) Report(now time.Time) Report {
	c.sequence++
	report := Report{
		From:     c.self,
		Sequence: c.sequence,
		Nodes:    max(c.heard(now), 1),
		Period:   min(now.Sub(c.reportedAt), Validity(c.members)),
	}
	c.sent, c.used = c.used, c.sent[:0]
	for _, p := range c.sent {
		report.Usage = append(report.Usage, Usage{Team: p.team, Demand: max(p.demand, 0), Admitted: p.admitted})
		p.reported = c.sequence
		p.sentDemand, p.sentAdmitted = p.demand, p.admitted
		p.demand, p.admitted, p.inUsed = 0, 0, false
	}
	return report
}

// Ack puts the shares of a reply in force. The reply answers a report made at the given time.
func (c *Collector) Ack(reportedAt time.Time, reply Reply) {
	c.reportedAt = reportedAt
	c.answered++
	c.validUntil = reportedAt.Add(reply.Valid)
	listed := 0
	for _, share := range reply.Shares {
		p := c.teams[share.Team]
		if p == nil || p.reported != c.sequence || share.Admit < 1 {
			listed++
		}
		if p == nil {
			continue
		}
		p.answered = c.answered
		p.admit, p.most = share.Admit, float64(share.Most)
		if p.admit < 1 {
			c.limited.add(p.team)
		} else {
			c.limited.remove(p.team)
		}
	}
	if listed < maxShares {
		c.complete = c.answered
		c.dropUnnamed()
	}
	c.sent = c.sent[:0]
}

// dropUnnamed removes the teams from the limited ones that the last reply did not name.
func (c *Collector) dropUnnamed() {
	for i := len(c.limited.teams) - 1; i >= 0; i-- {
		if team := c.limited.teams[i]; c.teams[team].answered != c.answered {
			c.limited.remove(team)
		}
	}
}

// Fail adds the usage of a report without an answer to the next report, or drops it without
// valid shares, as Limiter.Fail does.
func (c *Collector) Fail(now time.Time) {
	if c.Valid(now) {
		for _, p := range c.sent {
			c.markUsed(p)
			p.demand += p.sentDemand
			p.admitted += p.sentAdmitted
		}
	} else {
		c.reportedAt = now
	}
	c.sent = c.sent[:0]
}

func (c *Collector) markUsed(p *pool) {
	if !p.inUsed {
		p.inUsed = true
		c.used = append(c.used, p)
	}
}
