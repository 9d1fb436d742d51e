package node

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// takeovers are the incarnations whose records this node has taken over, with
// the time of that, until the plan names it as their keeper.
type takeovers struct {
	mu   sync.Mutex
	from map[string]time.Time
}

// takeOver imports the records of a leaving node.
func (n *Node) takeOver(request *relaypb.HandoverRequest) bool {
	if request.ToIncarnation != n.incarnation || n.leaving.Load() {
		return false
	}
	accepted := false
	n.local.Ledger(func(ledger *once.Ledger[*relaypb.CarryResponse]) {
		accepted = ledger.Import(request.FromIncarnation, unpackRecords(request.Records))
	})
	if accepted && request.Last {
		n.takeovers.add(request.FromIncarnation, n.clock.Now())
	}
	return accepted
}

// finishTakeovers writes into the plan that this node keeps the records that it
// has taken over. The node that went does so itself, unless the platform was down
// all the while; its keys would then have no owner until its lease ends.
func (n *Node) finishTakeovers(ctx context.Context) {
	for _, incarnation := range n.takeovers.due(n.clock.Now()) {
		from := once.Node{Incarnation: incarnation}
		change := func(now time.Time, plan once.Plan) (once.Plan, bool) {
			return once.HandOver(now, plan, from, n.owner(), ownerRules(n.limits()))
		}
		// An older plan may not name the incarnation yet.
		if n.config.PollPlan(ctx) != nil || !n.changePlan(ctx, change) {
			return
		}
		n.takeovers.remove(incarnation)
		n.log.Info("took_over", "from", incarnation)
	}
}

func (t *takeovers) add(incarnation string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.from == nil {
		t.from = map[string]time.Time{}
	}
	t.from[incarnation] = now
}

// due returns the incarnations that were taken over some time ago.
func (t *takeovers) due(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var incarnations []string
	for incarnation, taken := range t.from {
		if now.Sub(taken) >= takeoverPatience {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

func (t *takeovers) remove(incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.from, incarnation)
}
