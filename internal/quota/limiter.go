package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

type (
	// Limiter decides at one node which requests of teams are admitted.
	//
	// It handles a team that suddenly sends many times its usual load, through any of the
	// nodes: each node admits the share that the coordinator gave, and no more between two
	// reports than its part of what the team has left. A node without valid shares admits
	// its equal part of the rate.
	Limiter struct {
		self    string
		random  func() float64
		teams   map[string]*usage
		members int

		sequence   uint64
		reportedAt time.Time
		// answered counts the answers of the coordinator. Shares of answers before the one
		// numbered complete are not used any more. Later answers named only a part of the
		// limited teams, so the shares of the others are kept.
		answered   uint64
		complete   uint64
		validUntil time.Time
		// used holds the teams with usage since the last report, and sent those of the report
		// that was not answered yet.
		used []*usage
		sent []*usage
	}

	// usage is the state of one team in a Limiter.
	usage struct {
		team  string
		limit Limit
		share float64
		// left is how many requests may be admitted until the next answer. It and share
		// belong to the answer numbered answered.
		left     int
		answered uint64
		// reported is the sequence of the last report that named the team.
		reported uint64

		// rate is the demand at this node in requests a second, averaged over rateTime up to
		// ratedAt.
		rate    float64
		ratedAt time.Time
		// earlierRate is the rate at the previous call of peak.
		earlierRate float64

		inUsed       bool
		demand       int
		admitted     int
		sentDemand   int
		sentAdmitted int

		// tokens is the level of the local bucket at tokensAt. The bucket is used while there
		// are no valid shares since localSince.
		tokens     float64
		tokensAt   time.Time
		localSince time.Time
	}

	// Verdict is the decision on one request.
	Verdict struct {
		OK bool
		// Limit is the team's limit, and Share the share of its requests that is admitted.
		Limit Limit
		Share float64
		// RetryAfter is how long the caller should wait after a refusal.
		RetryAfter time.Duration
		// Urgent is set if the team is not limited but has used up what this node may admit
		// until its next report, which should therefore be sent soon.
		Urgent bool
	}
)

const (
	// minRetryAfter is the shortest wait of a refused caller. limitedRetryAfter is added to
	// it on average if nothing is admitted, and maxRetryAfter bounds the wait.
	minRetryAfter     = 300 * time.Millisecond
	limitedRetryAfter = 700 * time.Millisecond
	maxRetryAfter     = 3 * time.Second
	// rateTime is the time constant of a team's demand at one node. Many teams send less than
	// one request a second to each.
	rateTime = 4 * time.Second
	// peakDeviations is how many standard deviations the random arrivals of a period may
	// exceed their mean before a node refuses them.
	peakDeviations = 3.0
	// assumedPart is the part of its limit that a team is assumed to send, through all nodes
	// alike, while nothing is known of it.
	assumedPart = 0.5
	// localStartPart is the part of the burst and the tolerance with which the local buckets of
	// all nodes together start.
	localStartPart = 0.25
	// batchRequests is how many requests of a team that is not being limited a node admits
	// at once. Many callers send several on one connection.
	batchRequests = 4.0
	// maxListed bounds how many teams LimitedShares returns.
	maxListed = 20
)

// NewLimiter returns a limiter for the node with the given incarnation. Random returns a
// random number in [0, 1).
func NewLimiter(self string, now time.Time, random func() float64) *Limiter {
	return &Limiter{
		self:       self,
		random:     random,
		teams:      map[string]*usage{},
		members:    1,
		reportedAt: now,
		validUntil: now,
	}
}

// SetLimits replaces the limits by team. Teams without a limit are not listed.
func (l *Limiter) SetLimits(limits map[string]Limit) {
	maps.DeleteFunc(l.teams, func(team string, _ *usage) bool { return limits[team].Rate <= 0 })
	for team, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		if l.teams[team] == nil {
			l.teams[team] = &usage{team: team, share: 1}
		}
		l.teams[team].limit = limit
	}
}

// SetMembers sets the number of nodes that admit requests.
func (l *Limiter) SetMembers(members int) {
	l.members = max(members, 1)
}

// Active reports whether any team has a limit.
func (l *Limiter) Active() bool {
	return len(l.teams) > 0
}

// InUse reports whether any team with a limit has sent requests since the last report.
func (l *Limiter) InUse() bool {
	return len(l.used) > 0
}

// Valid reports whether the node has shares that it may use.
func (l *Limiter) Valid(now time.Time) bool {
	return now.Before(l.validUntil)
}

// Admit decides on a request of a team.
func (l *Limiter) Admit(now time.Time, team string) Verdict {
	u := l.teams[team]
	if u == nil {
		return Verdict{OK: true, Share: 1}
	}
	l.markUsed(u)
	u.demand++
	u.rate = u.rate*math.Exp(-max(now.Sub(u.ratedAt).Seconds(), 0)/rateTime.Seconds()) + 1/rateTime.Seconds()
	u.ratedAt = now
	if !l.Valid(now) {
		return l.admitLocally(now, u)
	}
	l.refresh(now, u)
	if u.share < 1 && l.random() >= u.share {
		return l.refuse(u, time.Duration((1-u.share)*2*float64(limitedRetryAfter)))
	}
	if u.left < 1 {
		verdict := l.refuse(u, Period(l.members))
		verdict.Urgent = u.share >= 1
		return verdict
	}
	u.left--
	u.admitted++
	return Verdict{OK: true, Limit: u.limit, Share: u.share}
}

// Return gives back the unit of an admitted request that was not run. The request then does
// not count as demand either: a team whose requests are refused for load would otherwise
// seem to ask for more than reaches the targets.
func (l *Limiter) Return(team string) {
	u := l.teams[team]
	if u == nil {
		return
	}
	l.markUsed(u)
	u.demand--
	u.admitted--
	u.left++
	u.tokens = min(u.tokens+1, l.localCapacity(u))
}

// Report returns the next report. Ack or Fail must be called before the next one.
func (l *Limiter) Report(now time.Time) Report {
	l.sequence++
	report := Report{
		From:     l.self,
		Sequence: l.sequence,
		Period:   min(now.Sub(l.reportedAt), Validity(l.members)),
	}
	l.sent, l.used = l.used, l.sent[:0]
	for _, u := range l.sent {
		report.Usage = append(report.Usage, Usage{Team: u.team, Demand: max(u.demand, 0), Admitted: u.admitted})
		u.reported = l.sequence
		u.sentDemand, u.sentAdmitted = u.demand, u.admitted
		u.demand, u.admitted, u.inUsed = 0, 0, false
	}
	return report
}

// Ack puts the shares of a reply in force. The reply answers a report made at the given time.
func (l *Limiter) Ack(reportedAt time.Time, reply Reply) {
	l.reportedAt = reportedAt
	l.answered++
	l.validUntil = reportedAt.Add(reply.Valid)
	// A collector may know of a part of the limited teams only, some of which are in the report.
	listed := 0
	for _, share := range reply.Shares {
		u := l.teams[share.Team]
		if u == nil || u.reported != l.sequence || share.Admit < 1 {
			listed++
		}
		if u != nil {
			u.answered = l.answered
			u.share = share.Admit
			u.left = max(share.Most, l.peak(reportedAt, u)) - u.admitted
		}
	}
	if listed < maxShares {
		l.complete = l.answered
	}
	l.sent = l.sent[:0]
}

// Fail adds the usage of a report without an answer to the next report. If the node has no
// valid shares, the usage is dropped, because the coordinator allocated nothing to the node.
func (l *Limiter) Fail(now time.Time) {
	if l.Valid(now) {
		for _, u := range l.sent {
			l.markUsed(u)
			u.demand += u.sentDemand
			u.admitted += u.sentAdmitted
		}
	} else {
		l.reportedAt = now
	}
	l.sent = l.sent[:0]
}

// LimitedShares returns the admitted shares of the teams that are being limited, at most
// maxListed of them, the lowest first.
func (l *Limiter) LimitedShares() map[string]float64 {
	var limited []*usage
	for _, u := range l.teams {
		if l.isLimited(u) {
			limited = append(limited, u)
		}
	}
	slices.SortFunc(limited, func(a, b *usage) int { return cmp.Compare(a.share, b.share) })
	shares := map[string]float64{}
	for _, u := range limited[:min(len(limited), maxListed)] {
		shares[u.team] = u.share
	}
	return shares
}

func (l *Limiter) markUsed(u *usage) {
	if !u.inUsed {
		u.inUsed = true
		l.used = append(l.used, u)
	}
}

// isLimited reports whether the last answer that concerned a team limited it.
func (l *Limiter) isLimited(u *usage) bool {
	return u.answered >= l.complete && u.share < 1
}

// refresh resets the state of a team that the last answer did not name: all its requests are
// admitted, up to this node's part of half of what the team may use in one period. If answers
// have no room for all limited teams, a limited team keeps its share until it is named again.
// The answer to a report with its demand names it in any case.
func (l *Limiter) refresh(now time.Time, u *usage) {
	if u.answered == l.answered {
		return
	}
	if l.isLimited(u) {
		u.answered = l.answered
		u.left = l.peak(now, u) - u.admitted
		return
	}
	u.answered = l.answered
	u.share = 1
	part := equalPart * u.limit.room(Period(l.members)) / float64(l.members)
	u.left = max(roundRandomly(part, l.random()), l.peak(now, u)) - u.admitted
}

// peak returns how many requests a node has to admit until its next report in order not to
// refuse those of a team that sends at random. It goes by the lower of the present rate
// and that at the previous call, so that it does not follow a sudden rise, on which the
// coordinator decides, and by assumedPart of the limit at least.
func (l *Limiter) peak(now time.Time, u *usage) int {
	rate := u.rate * math.Exp(-max(now.Sub(u.ratedAt).Seconds(), 0)/rateTime.Seconds())
	usual := max(min(rate, u.earlierRate), assumedPart*u.limit.Rate/float64(l.members))
	mean := u.share * usual * Period(l.members).Seconds()
	u.earlierRate = rate
	most := 1 + mean + peakDeviations*math.Sqrt(mean)
	if u.share >= 1 {
		most = max(most, mean+batchRequests)
	}
	return roundRandomly(most, l.random())
}

// admitLocally decides by the local bucket, which starts with at most one request, and with
// none if the team was being limited. All nodes may lose the coordinator at the same time, and
// the requests that they start with must together stay within what the team may exceed.
func (l *Limiter) admitLocally(now time.Time, u *usage) Verdict {
	capacity := l.localCapacity(u)
	if !u.localSince.Equal(l.validUntil) {
		u.localSince = l.validUntil
		u.tokensAt = l.validUntil
		u.tokens = l.firstTokens(u)
	}
	rate := u.limit.Rate / float64(l.members)
	u.tokens = min(u.tokens+rate*max(now.Sub(u.tokensAt).Seconds(), 0), capacity)
	u.tokensAt = now
	if u.tokens < 1 {
		missing := min((1-u.tokens)/rate, maxRetryAfter.Seconds())
		return l.refuse(u, time.Duration(missing*float64(time.Second)))
	}
	u.tokens--
	u.admitted++
	return Verdict{OK: true, Limit: u.limit, Share: 1}
}

// firstTokens returns the level with which a local bucket starts.
func (l *Limiter) firstTokens(u *usage) float64 {
	switch {
	case l.answered == 0:
		// The node has just started, and the other nodes have shares.
		return 1
	case l.isLimited(u):
		return 0
	}
	part := localStartPart * (u.limit.Burst + u.limit.tolerance()) / float64(l.members)
	return float64(min(1, roundRandomly(part, l.random())))
}

func (l *Limiter) localCapacity(u *usage) float64 {
	return max(1, u.limit.Burst/float64(l.members))
}

// refuse returns a refusal with a random wait, so that callers refused together do not
// return together.
func (l *Limiter) refuse(u *usage, longest time.Duration) Verdict {
	wait := minRetryAfter + time.Duration(l.random()*float64(longest))
	return Verdict{Limit: u.limit, Share: u.share, RetryAfter: min(wait, maxRetryAfter)}
}
