package filter

import (
	"context"
	"strconv"

	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/quota"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// checkQuota refuses requests of teams beyond their quota. A request that is refused later
// and has not run does not count. Calls that targets make do not count either, even if they
// belong to a team's request.
func (in *Inbound) checkQuota(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	c := exchange.Call
	if c.Team == "" || c.Parent != nil || in.AdmitTeam == nil {
		return next(ctx, exchange)
	}
	verdict := in.quotaVerdict(exchange)
	if !verdict.OK {
		in.Metrics.Refusals.WithLabelValues(c.Kind.Service, result.QuotaExceeded.String()).Inc()
		in.logQuotaExceeded(c.Team, verdict)
		refused := call.Refuse(result.QuotaExceeded, "")
		refused.RetryAfter = verdict.RetryAfter
		return refused
	}
	answer := next(ctx, exchange)
	if answer.Code.Family() == result.NotRun {
		in.ReturnUnit(c.Team)
	}
	return answer
}

// quotaVerdict asks AdmitTeam about a request, unless it was asked when the head had been read.
func (in *Inbound) quotaVerdict(exchange *Exchange) quota.Verdict {
	if head := exchange.head; head.madeBy(exchange.rules) && head.quota != nil && head.team == exchange.Call.Team {
		verdict := *head.quota
		head.quota = nil // its unit is now this request's
		return verdict
	}
	return in.AdmitTeam(exchange.Call.Team)
}

func (in *Inbound) logQuotaExceeded(team string, verdict quota.Verdict) {
	if in.QuotaLimiter == nil {
		return
	}
	leftOut, ok := in.QuotaLimiter.Allow(in.Clock.Now(), "")
	if !ok {
		return
	}
	in.Log.Info("quota_exceeded",
		"team", team,
		"limit", strconv.FormatFloat(verdict.Limit.Rate, 'f', -1, 64),
		"share", strconv.FormatFloat(verdict.Share, 'f', 3, 64),
		"left_out", leftOut,
	)
}
