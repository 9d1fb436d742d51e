package admin

import (
	"fmt"
	"strings"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/member"
)

// Condition is one statement about the state of the mesh.
type Condition struct {
	Type    string `json:"type"`
	Holds   bool   `json:"holds"`
	Message string `json:"message"`
	// Action tells the operator what to do; empty when nothing is needed.
	Action string `json:"action"`
}

// The types of conditions.
const (
	// Accepted holds when the node has a configuration.
	Accepted = "accepted"
	// InForce holds when the highest known revision is in force everywhere.
	InForce = "in_force"
	// Degraded holds when an operator has to act.
	Degraded = "degraded"
	// PlatformAnswers holds when the platform answered the last request of this node.
	PlatformAnswers = "platform_answers"
	// KeysOwned holds when every idempotency key that is minted now has a live owner.
	KeysOwned = "keys_owned"
	// HandedOver holds when no node has a handover that is not yet written into the owner
	// plan.
	HandedOver = "handed_over"
	// TargetsRunning holds when no target has stopped working.
	TargetsRunning = "targets_go_on"
)

const (
	// ActionSeparator separates the actions of a condition, and its messages.
	ActionSeparator = "; "
	// maxListedNames is how many names a message lists, so that the message fits on a
	// line.
	maxListedNames = 3

	// startGrace is how long a member may take to start before the operator is alerted.
	startGrace = time.Minute
	// stopGrace is how long all targets of a service may have stopped before the operator
	// is alerted: a shorter pause of all of them may end without an operator.
	stopGrace = time.Minute
	// rolloutGrace is how long members may lag before the operator is alerted.
	rolloutGrace = 30 * time.Second
	// platformGrace is how long the platform may be silent before the operator is
	// alerted: calls are served in the meantime, and only changes are not accepted.
	platformGrace = 10 * time.Minute
)

// operatorTasks collects the faults that only an operator can fix, with the action for
// each.
type operatorTasks struct {
	messages []string
	actions  []string
}

func (t *operatorTasks) add(message, action string) {
	t.messages = append(t.messages, message)
	t.actions = append(t.actions, action)
}

// JoinNames joins the first maxListedNames names of a list and counts the others.
func JoinNames(names []string) string {
	listed := strings.Join(names[:min(len(names), maxListedNames)], ", ")
	if rest := len(names) - maxListedNames; rest > 0 {
		return fmt.Sprintf("%s and %d more", listed, rest)
	}
	return listed
}

func (s *Status) computeConditions() []Condition {
	return []Condition{
		s.accepted(), s.inForce(), s.degraded(),
		s.platformAnswers(), s.keysOwned(), s.handedOver(), s.targetsRunning(),
	}
}

func (s *Status) accepted() Condition {
	if s.Revision == 0 {
		return Condition{Type: Accepted, Message: "no configuration has been accepted yet"}
	}
	return Condition{Type: Accepted, Holds: true, Message: fmt.Sprintf("revision %d is accepted", s.Revision)}
}

func (s *Status) inForce() Condition {
	rollout := s.Rollout
	message := fmt.Sprintf("revision %d is in force at %d of %d members", rollout.Revision, rollout.InForce, rollout.Members)
	return Condition{
		Type:    InForce,
		Holds:   rollout.Revision > 0 && rollout.InForce > 0 && len(rollout.Lagging) == 0,
		Message: message,
	}
}

// degraded reports only faults that do not recover automatically. Overload, ejected
// targets, keys of a lost host and short outages of the platform are handled without an
// operator.
func (s *Status) degraded() Condition {
	var t operatorTasks
	if s.Revision == 0 && s.PlatformReachable {
		t.add("the node has no configuration", "apply a configuration")
	}
	s.checkServices(&t)
	if !s.PlatformReachable && s.PlatformSilentMS > platformGrace.Milliseconds() {
		t.add(fmt.Sprintf("the platform has been silent for %s; the configuration cannot be changed", s.platformSilence()), "bring the platform back")
	}
	if len(s.Rollout.Lagging) > 0 && s.RevisionAgeMS > rolloutGrace.Milliseconds() {
		lagging := JoinNames(s.Rollout.Lagging)
		t.add("members lag behind the revision: "+lagging, "look at the hosts of "+lagging)
	}
	if len(t.messages) == 0 {
		return Condition{Type: Degraded, Message: "nothing needs a person"}
	}
	return Condition{
		Type:    Degraded,
		Holds:   true,
		Message: strings.Join(t.messages, ActionSeparator),
		Action:  strings.Join(t.actions, ActionSeparator),
	}
}

// checkServices adds the services that cannot serve calls: no target takes work, or all
// targets have stopped.
func (s *Status) checkServices(t *operatorTasks) {
	var withoutTarget, stopped []string
	for _, service := range s.Services {
		switch {
		case !service.hasReadyTarget() && !s.hasStartingMember(service.Name):
			withoutTarget = append(withoutTarget, service.Name)
		case service.allTargetsStopped():
			stopped = append(stopped, service.Name)
		}
	}
	if len(withoutTarget) > 0 {
		t.add("no target of "+JoinNames(withoutTarget)+" takes work", "start targets of "+JoinNames(withoutTarget))
	}
	if len(stopped) > 0 {
		t.add("all targets of "+JoinNames(stopped)+" have stopped", "restart targets of "+JoinNames(stopped))
	}
}

func (s *Status) platformAnswers() Condition {
	if s.PlatformReachable {
		return Condition{Type: PlatformAnswers, Holds: true, Message: "the platform answers"}
	}
	return Condition{
		Type:    PlatformAnswers,
		Message: fmt.Sprintf("the platform has been silent for %s; calls are served, no change is accepted", s.platformSilence()),
	}
}

// keysOwned reports the idempotency keys without a live owner. After the loss of a host,
// its share of its service's newly minted keys has no owner until its lease ends.
func (s *Status) keysOwned() Condition {
	var unowned []string
	for _, service := range s.Services {
		if service.Unowned != nil {
			unowned = append(unowned, service.Name+" "+service.Unowned.String())
		}
	}
	if len(unowned) == 0 {
		return Condition{Type: KeysOwned, Holds: true, Message: "every fresh key has a living owner"}
	}
	return Condition{Type: KeysOwned, Message: "keys without a living owner: " + JoinNames(unowned)}
}

func (s *Status) handedOver() Condition {
	var pending []string
	for _, m := range s.Members {
		if m.PendingHandovers > 0 {
			pending = append(pending, m.Name)
		}
	}
	if len(pending) == 0 {
		return Condition{Type: HandedOver, Holds: true, Message: "no handover waits for the plan"}
	}
	return Condition{
		Type:    HandedOver,
		Message: "handovers wait to be written into the plan at " + JoinNames(pending) + "; that ends once the platform answers",
	}
}

func (s *Status) targetsRunning() Condition {
	var stopped []string
	for _, service := range s.Services {
		for _, target := range service.Targets {
			if target.StoppedMS > 0 {
				stopped = append(stopped, target.Node)
			}
		}
	}
	if len(stopped) == 0 {
		return Condition{Type: TargetsRunning, Holds: true, Message: "no target has stopped"}
	}
	return Condition{Type: TargetsRunning, Message: "stopped, so that others run what falls to them: " + JoinNames(stopped)}
}

// platformSilence returns the time since the platform last answered, rounded for
// messages.
func (s *Status) platformSilence() time.Duration {
	return (time.Duration(s.PlatformSilentMS) * time.Millisecond).Round(time.Second)
}

// hasStartingMember reports whether a member of the service is starting and younger than
// startGrace.
func (s *Status) hasStartingMember(service string) bool {
	for _, m := range s.Members {
		young := m.AgeMS < startGrace.Milliseconds()
		if m.Service == service && m.State == member.Starting.String() && young {
			return true
		}
	}
	return false
}

// hasReadyTarget reports whether any target is ready. Ejected targets count: probes bring
// them back without an operator.
func (s Service) hasReadyTarget() bool {
	for _, target := range s.Targets {
		if target.State == StateReady {
			return true
		}
	}
	return false
}

// allTargetsStopped reports whether all ready targets have stopped for longer than
// stopGrace. While one target still works, no operator is needed: it takes over the calls
// of the stopped ones.
func (s Service) allTargetsStopped() bool {
	ready := 0
	for _, target := range s.Targets {
		if target.State != StateReady {
			continue
		}
		if target.StoppedMS <= stopGrace.Milliseconds() {
			return false
		}
		ready++
	}
	return ready > 0
}
