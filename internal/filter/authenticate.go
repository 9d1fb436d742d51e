package filter

import (
	"context"

	"github.com/dandelionfield/dandelionfield/internal/authn"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// AuthorizationHeader holds the key of a request.
const AuthorizationHeader = "Authorization"

// authenticate finds the team whose key a request carries, and refuses a request without a
// valid key unless its kind is public. It runs before the body is read. It removes the key
// and the name of a team from the headers, so that no target, node or log gets the key and
// no caller can claim a team. Where requests need no key, they pass unchanged.
//
// While the rules may be outdated, a key that they contain may have been revoked, and one
// that they lack may have been added. Requests with a key are refused then, except for an
// unknown key on a public kind, which is treated like no key.
func (in *Inbound) authenticate(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	teams := exchange.rules.Teams
	if teams == nil {
		return next(ctx, exchange)
	}
	header := exchange.Request.Header
	key := authn.BearerKey(header[AuthorizationHeader])
	header.Del(AuthorizationHeader)
	header.Del(in.TeamHeader)
	if key == "" {
		if exchange.Call.Kind.Public {
			return next(ctx, exchange)
		}
		return in.refuseKey(exchange.Call, metric.KeyMissing, "none")
	}
	c := exchange.Call
	digest := authn.DigestOf(key)
	team := teams.Find(digest)
	switch {
	case !exchange.confirmed && (team != nil || !c.Kind.Public):
		in.Metrics.Refusals.WithLabelValues(c.Kind.Service, result.Unconfirmed.String()).Inc()
		return call.Refuse(result.Unconfirmed, "")
	case team != nil:
		c.Team = team.Name
		if team.Importance != nil {
			c.Importance = *team.Importance
		}
	case !c.Kind.Public:
		return in.refuseKey(c, metric.KeyUnknown, digest.Short())
	}
	return next(ctx, exchange)
}

// refuseKey refuses a request for its key, or for having none.
func (in *Inbound) refuseKey(c *call.Call, reason, shortDigest string) *call.Answer {
	in.Metrics.Refusals.WithLabelValues(c.Kind.Service, reason).Inc()
	in.logKeyRefused(c, reason, shortDigest)
	return call.Refuse(result.Unauthenticated, reason)
}

func (in *Inbound) logKeyRefused(c *call.Call, reason, shortDigest string) {
	if in.KeyLimiter == nil {
		return
	}
	leftOut, ok := in.KeyLimiter.Allow(in.Clock.Now(), reason)
	if !ok {
		return
	}
	in.Log.Info("key_refused",
		"request", c.RequestID,
		"kind", c.Kind.Name,
		"reason", reason,
		"digest", shortDigest,
		"revision", c.Revision,
		"left_out", leftOut,
	)
}
