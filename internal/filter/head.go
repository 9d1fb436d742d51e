package filter

import (
	"context"
	"net"
	"net/http"

	"github.com/google/uuid"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/authn"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/httpd"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/quota"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// headDecision is what was decided about a request when only its head had been read. The
	// filters use it in place of asking again, so that the request counts once.
	//
	// It handles callers that send large bodies beyond what their quota or the load admits:
	// their bodies would take the memory that admitted requests need.
	headDecision struct {
		// rules are those that the decision was made by. Under others it is void.
		rules *Rules
		kind  *schema.Kind
		team  string
		// requestID is the id by which the services of the chain were asked, if they were.
		requestID string
		// quota is the verdict on the request until the quota filter uses it, or nil if the
		// quota was not asked.
		quota *quota.Verdict
		// throttle is nil if the throttle was not asked.
		throttle *throttleVerdict
		// closedBy is the service of the chain that refuses the request, if any.
		closedBy string
	}

	throttleVerdict struct {
		share float64
		ok    bool
	}

	// headContextKey is the key of the headDecision in the context of a request.
	headContextKey struct{}
)

// JudgeHead decides about a request by its head, so that the body of one that is refused is not
// kept. The filters refuse the request for the same reason once its body has been read.
func (in *Inbound) JudgeHead(request *http.Request) httpd.HeadVerdict {
	// Asked before the rules are loaded, the answer holds for them as well.
	confirmed := in.Confirmed == nil || in.Confirmed()
	rules := in.Rules()
	if rules == nil {
		// The rules may come before the body has been read.
		return httpd.HeadVerdict{}
	}
	kind, known := kindOf(rules, request)
	if !known {
		return httpd.HeadVerdict{Refused: true}
	}
	if rules.SplitPart != nil {
		kind = rules.SplitPart(kind)
	}
	head := &headDecision{rules: rules, kind: kind}
	*request = *request.WithContext(context.WithValue(request.Context(), headContextKey{}, head))
	team, ok := requiredTeam(rules.Teams, kind, request.Header, confirmed)
	if !ok {
		return httpd.HeadVerdict{Refused: true}
	}
	return httpd.HeadVerdict{
		Refused:   !in.isTargetCall(request) && !in.admitsHead(head, request, team),
		Abandoned: func() { in.returnHeadUnit(head) },
	}
}

// requiredTeam returns the team of a request, nil if it has none, and false if the request is
// refused for its key. The table is nil if requests need no key.
func requiredTeam(teams *authn.Table, kind *schema.Kind, header http.Header, confirmed bool) (*schema.Team, bool) {
	if teams == nil {
		return nil, true
	}
	key := authn.BearerKey(header[AuthorizationHeader])
	if key == "" {
		return nil, kind.Public
	}
	team := teams.Find(authn.DigestOf(key))
	if team == nil {
		return nil, kind.Public
	}
	return team, confirmed
}

// isTargetCall reports whether the target makes a request for one that it serves.
func (in *Inbound) isTargetCall(request *http.Request) bool {
	handle := request.Header.Get(local.ContextHeader)
	remote, _, _ := net.SplitHostPort(request.RemoteAddr)
	if handle == "" || remote != in.TargetHost {
		return false
	}
	_, ok := in.Serving(handle)
	return ok
}

// admitsHead asks the quota, the throttle and the services of the chain about a new request in
// the order of the filters, until one refuses it.
func (in *Inbound) admitsHead(head *headDecision, request *http.Request, team *schema.Team) bool {
	c := &call.Call{Kind: head.kind, Importance: head.kind.Importance}
	if team != nil {
		head.team, c.Team = team.Name, team.Name
		if team.Importance != nil {
			c.Importance = *team.Importance
		}
	}
	if c.Team != "" && in.AdmitTeam != nil {
		verdict := in.AdmitTeam(c.Team)
		head.quota = &verdict
		if !verdict.OK {
			return false
		}
	}
	if in.Throttle != nil {
		share, ok := in.Throttle(c)
		head.throttle = &throttleVerdict{share: share, ok: ok}
		if !ok {
			return false
		}
	}
	if in.ChainAdmits != nil {
		head.requestID = uuid.NewString()
		position := admit.Position(positionSeed(request, head.requestID), in.Clock.Now())
		service, ok := in.ChainAdmits(head.rules.Chain(head.kind.Name), admit.Order(c.Importance, position))
		if !ok {
			head.closedBy = service
		}
		return ok
	}
	return true
}

// settleHead returns the unit of a quota that was taken by the head of a request, if a filter
// has answered the request before the quota filter.
func (in *Inbound) settleHead(ctx context.Context, exchange *Exchange, next Next) *call.Answer {
	answer := next(ctx, exchange)
	if exchange.head != nil {
		in.returnHeadUnit(exchange.head)
	}
	return answer
}

func (in *Inbound) returnHeadUnit(head *headDecision) {
	if head.quota != nil && head.quota.OK {
		in.ReturnUnit(head.team)
	}
	head.quota = nil
}

// headOf returns the decision that JudgeHead made on a request, or nil if it made none.
func headOf(request *http.Request) *headDecision {
	head, _ := request.Context().Value(headContextKey{}).(*headDecision)
	return head
}

// madeBy reports whether there is a decision by the given rules.
func (h *headDecision) madeBy(rules *Rules) bool {
	return h != nil && h.rules == rules
}

// requestID returns an id for a request without one: that by which its head was decided, if it
// was.
func (e *Exchange) requestID() string {
	if e.head != nil && e.head.requestID != "" {
		return e.head.requestID
	}
	return uuid.NewString()
}
