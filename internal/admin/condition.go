package admin

import (
	"fmt"
	"strings"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/member"
)

// Condition is one statement about the mesh.
type Condition struct {
	Type    string `json:"type"`
	Holds   bool   `json:"holds"`
	Message string `json:"message"`
	// Action is what a person needs to do; empty when nothing is needed.
	Action string `json:"action"`
}

// The types of conditions.
const (
	// Accepted holds when the node has a configuration.
	Accepted = "accepted"
	// InForce holds when the highest known revision is in force everywhere.
	InForce = "in_force"
	// Degraded holds when only a person can help.
	Degraded = "degraded"
	// PlatformAnswers holds when the platform answered this node's last question.
	PlatformAnswers = "platform_answers"
	// KeysOwned holds when every idempotency key that is minted now has an owner
	// that lives.
	KeysOwned = "keys_owned"
	// HandedOver holds when no node waits to write a handover into the plan.
	HandedOver = "handed_over"
	// TargetsGoOn holds when no target has stopped working.
	TargetsGoOn = "targets_go_on"
)

const (
	// ActionSeparator stands between what a person has to do.
	ActionSeparator = "; "
	// listedNames is how many names a message holds: it has to fit on a line.
	listedNames = 3

	// startGrace is how long a member may start before a person is called.
	startGrace = time.Minute
	// stopGrace is how long all targets of a service may have stopped before a
	// person is called: a pause of them all may pass.
	stopGrace = time.Minute
	// rolloutGrace is how long members may lag before a person is called.
	rolloutGrace = 30 * time.Second
	// platformGrace is how long the platform may be silent before a person is
	// called: calls are served meanwhile, only changes are not accepted.
	platformGrace = 10 * time.Minute
)

// todo collects what only a person can mend.
type todo struct {
	messages []string
	actions  []string
}

func (t *todo) add(message, action string) {
	t.messages = append(t.messages, message)
	t.actions = append(t.actions, action)
}

// Names joins the first names of a list and counts the others.
func Names(names []string) string {
	listed := strings.Join(names[:min(len(names), listedNames)], ", ")
	if rest := len(names) - listedNames; rest > 0 {
		return fmt.Sprintf("%s and %d more", listed, rest)
	}
	return listed
}

func (s *Status) judge() []Condition {
	return []Condition{
		s.accepted(), s.inForce(), s.degraded(),
		s.platformAnswers(), s.keysOwned(), s.handedOver(), s.targetsGoOn(),
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

// degraded names only what does not heal by itself. Overload, ejected targets,
// keys of a lost host and short outages of the platform are the system's own work.
func (s *Status) degraded() Condition {
	var t todo
	if s.Revision == 0 && s.PlatformReachable {
		t.add("the node has no configuration", "apply a configuration")
	}
	s.judgeServices(&t)
	if !s.PlatformReachable && s.PlatformSilentMS > platformGrace.Milliseconds() {
		t.add(fmt.Sprintf("the platform has been silent for %s; the configuration cannot be changed", s.silence()), "bring the platform back")
	}
	if len(s.Rollout.Lagging) > 0 && s.RevisionAgeMS > rolloutGrace.Milliseconds() {
		lagging := Names(s.Rollout.Lagging)
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

// judgeServices adds the services that nobody serves: without a target that takes
// work, or with targets that have all stopped.
func (s *Status) judgeServices(t *todo) {
	var without, stopped []string
	for _, service := range s.Services {
		switch {
		case !service.takesWork() && !s.starting(service.Name):
			without = append(without, service.Name)
		case service.stopped():
			stopped = append(stopped, service.Name)
		}
	}
	if len(without) > 0 {
		t.add("no target of "+Names(without)+" takes work", "start targets of "+Names(without))
	}
	if len(stopped) > 0 {
		t.add("all targets of "+Names(stopped)+" have stopped", "restart targets of "+Names(stopped))
	}
}

func (s *Status) platformAnswers() Condition {
	if s.PlatformReachable {
		return Condition{Type: PlatformAnswers, Holds: true, Message: "the platform answers"}
	}
	return Condition{
		Type:    PlatformAnswers,
		Message: fmt.Sprintf("the platform has been silent for %s; calls are served, no change is accepted", s.silence()),
	}
}

// keysOwned tells what a lost host costs: its share of the fresh keys of its
// service has no owner until its lease ends.
func (s *Status) keysOwned() Condition {
	var lacking []string
	for _, service := range s.Services {
		if service.Unowned != nil {
			lacking = append(lacking, service.Name+" "+service.Unowned.String())
		}
	}
	if len(lacking) == 0 {
		return Condition{Type: KeysOwned, Holds: true, Message: "every fresh key has a living owner"}
	}
	return Condition{Type: KeysOwned, Message: "keys without a living owner: " + Names(lacking)}
}

func (s *Status) handedOver() Condition {
	var waiting []string
	for _, m := range s.Members {
		if m.PendingHandovers > 0 {
			waiting = append(waiting, m.Name)
		}
	}
	if len(waiting) == 0 {
		return Condition{Type: HandedOver, Holds: true, Message: "no handover waits for the plan"}
	}
	return Condition{
		Type:    HandedOver,
		Message: "handovers wait to be written into the plan at " + Names(waiting) + "; that ends once the platform answers",
	}
}

func (s *Status) targetsGoOn() Condition {
	var stopped []string
	for _, service := range s.Services {
		for _, target := range service.Targets {
			if target.StoppedMS > 0 {
				stopped = append(stopped, target.Node)
			}
		}
	}
	if len(stopped) == 0 {
		return Condition{Type: TargetsGoOn, Holds: true, Message: "no target has stopped"}
	}
	return Condition{Type: TargetsGoOn, Message: "stopped, so that others run what falls to them: " + Names(stopped)}
}

// silence is the age of the platform's silence, for people.
func (s *Status) silence() time.Duration {
	return (time.Duration(s.PlatformSilentMS) * time.Millisecond).Round(time.Second)
}

// starting reports whether a member of the service is about to take work.
func (s *Status) starting(service string) bool {
	for _, m := range s.Members {
		young := m.AgeMS < startGrace.Milliseconds()
		if m.Service == service && m.State == member.Starting.String() && young {
			return true
		}
	}
	return false
}

// takesWork reports whether any target is ready. Ejected ones count: they are
// probed and come back without a person.
func (s Service) takesWork() bool {
	for _, target := range s.Targets {
		if target.State == StateReady {
			return true
		}
	}
	return false
}

// stopped reports whether all targets that are ready have stopped for long. One
// of several is not a person's business: the others run what falls to it.
func (s Service) stopped() bool {
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
