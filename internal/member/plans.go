package member

import (
	"slices"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// rotationStep is the number of plan versions that a message carries in rotation, in
// addition to changed ones. A node takes part in 13 exchanges per second, so with 54
// services it receives each version about once per second even if it missed the change.
const rotationStep = 4

type (
	// planGossip selects the versions of owner plans that a message carries: those that
	// changed recently, and a few of the others in rotation. To send all of them in every
	// message would cost more than the rest of an exchange.
	planGossip struct {
		states map[string]planState
		next   int // index of the first plan of the next rotation step
	}

	planState struct {
		version   int64
		sendsLeft int // number of further messages that will carry the version as changed
	}
)

// pick returns the plan versions for one message. A changed version is sent in the given
// number of messages.
func (p *planGossip) pick(all []*relaypb.PlanVersion, sends int) []*relaypb.PlanVersion {
	var picked []*relaypb.PlanVersion
	for _, plan := range all {
		if p.due(plan, sends) {
			picked = append(picked, plan)
		}
	}
	for range min(rotationStep, len(all)) {
		plan := all[p.next%len(all)]
		p.next++
		if !slices.Contains(picked, plan) {
			picked = append(picked, plan)
		}
	}
	return picked
}

// due reports whether the next message must carry the version as changed, and counts
// that message against the version's remaining sends.
func (p *planGossip) due(plan *relaypb.PlanVersion, sendsLeft int) bool {
	state, known := p.states[plan.GetService()]
	if !known || state.version != plan.GetVersion() {
		state = planState{version: plan.GetVersion(), sendsLeft: sendsLeft}
	}
	due := state.sendsLeft > 0
	if due {
		state.sendsLeft--
	}
	p.states[plan.GetService()] = state
	return due
}

// plansFor returns the plan versions for an answer. A node that is starting, unknown or
// waiting for a full view gets all of them, because it becomes active only once it knows
// the owners.
func (c *Controller) plansFor(req *relaypb.ExchangeRequest, all []*relaypb.PlanVersion) []*relaypb.PlanVersion {
	if req.GetWantFull() || !c.view.activeAt(req.GetFrom()) {
		return all
	}
	return c.planGossip.pick(all, RetransmitLimit(len(c.view.entries)))
}

// activeAt reports whether any member at the relay address is past Starting and not Gone,
// whichever its incarnation.
func (v *View) activeAt(relayAddress string) bool {
	for _, e := range v.entries {
		if e.row.RelayAddress == relayAddress && e.row.State != Starting && e.row.State != Gone {
			return true
		}
	}
	return false
}
