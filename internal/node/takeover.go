package node

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// takeovers holds the incarnations whose records this node has imported, with the time of
// the import, until the plan names this node as the owner of the records.
type takeovers struct {
	mu         sync.Mutex
	importedAt map[string]time.Time
}

// importRecords imports the records of a leaving node and reports whether they were
// accepted.
func (n *Node) importRecords(request *relaypb.HandoverRequest) bool {
	if request.ToIncarnation != n.incarnation || n.leaving.Load() {
		return false
	}
	accepted := false
	n.local.WithLedger(func(ledger *once.Ledger[*relaypb.CarryResponse]) {
		accepted = ledger.Import(request.FromIncarnation, unpackRecords(request.Records))
	})
	if accepted && request.Last {
		n.takeovers.add(request.FromIncarnation, n.clock.Now())
	}
	return accepted
}

// finishTakeovers commits to the plan that this node owns the records it has imported.
// The leaving node normally does so itself, but cannot if the platform is unavailable
// until it stops; its keys would then have no owner until its lease expires.
func (n *Node) finishTakeovers(ctx context.Context) {
	for _, incarnation := range n.takeovers.due(n.clock.Now()) {
		from := once.Node{Incarnation: incarnation}
		change := func(now time.Time, plan once.Plan) (once.Plan, bool) {
			return once.HandOver(now, plan, from, n.selfNode(), ownerRules(n.limits()))
		}
		// The plan known locally may be too old to name the incarnation.
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
	if t.importedAt == nil {
		t.importedAt = map[string]time.Time{}
	}
	t.importedAt[incarnation] = now
}

// due returns the incarnations whose records were imported at least takeoverDelay ago.
func (t *takeovers) due(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var incarnations []string
	for incarnation, imported := range t.importedAt {
		if now.Sub(imported) >= takeoverDelay {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

func (t *takeovers) remove(incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.importedAt, incarnation)
}
