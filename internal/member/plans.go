package member

import (
	"slices"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// planTurn is how many plans a message carries besides news. A node takes part
// in 13 exchanges a second, so at 54 services it hears of each plan about once
// a second also when it missed the news.
const planTurn = 4

type (
	// planNews chooses the versions of owner plans that a message carries: those
	// that changed lately and a few of the rest in turn. All of them in every
	// message would cost more than the rest of an exchange.
	planNews struct {
		rows map[string]planRow
		next int // where the next turn begins
	}

	planRow struct {
		version int64
		sends   int // messages that are still to carry the version
	}
)

// pick returns the versions for one message; those that are new go with a
// number of messages.
func (p *planNews) pick(all []*relaypb.PlanVersion, sends int) []*relaypb.PlanVersion {
	var picked []*relaypb.PlanVersion
	for _, plan := range all {
		if p.due(plan, sends) {
			picked = append(picked, plan)
		}
	}
	for range min(planTurn, len(all)) {
		plan := all[p.next%len(all)]
		p.next++
		if !slices.Contains(picked, plan) {
			picked = append(picked, plan)
		}
	}
	return picked
}

// due says whether the next message is to carry the version as news, and counts
// that message.
func (p *planNews) due(plan *relaypb.PlanVersion, sends int) bool {
	row, known := p.rows[plan.GetService()]
	if !known || row.version != plan.GetVersion() {
		row = planRow{version: plan.GetVersion(), sends: sends}
	}
	due := row.sends > 0
	if due {
		row.sends--
	}
	p.rows[plan.GetService()] = row
	return due
}

// plansFor returns the plans for an answer: all for a node that is not active
// yet or waits for a view, since it becomes active once it knows the owners.
func (c *Controller) plansFor(req *relaypb.ExchangeRequest, all []*relaypb.PlanVersion) []*relaypb.PlanVersion {
	if req.GetWantFull() || !c.view.active(req.GetFrom()) {
		return all
	}
	return c.planNews.pick(all, Rounds(len(c.view.entries)))
}

// active says whether a member at the address takes part, whichever of its
// incarnations that is.
func (v *View) active(relayAddress string) bool {
	for _, e := range v.entries {
		if e.row.RelayAddress == relayAddress && e.row.State != Starting && e.row.State != Gone {
			return true
		}
	}
	return false
}
