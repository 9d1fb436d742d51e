package admin

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/member"
)

type (
	// Status is what one node knows of itself and of the mesh.
	Status struct {
		Node        string `json:"node"`
		Incarnation string `json:"incarnation"`
		DataCentre  string `json:"data_centre"`
		Region      string `json:"region"`
		Service     string `json:"service"`
		State       string `json:"state"`
		// Revision is the one in force at this node.
		Revision int64  `json:"revision"`
		Digest   string `json:"digest"`
		// RevisionAgeMS is the time since this node took the revision up.
		RevisionAgeMS int64 `json:"revision_age_ms"`
		// Rollout is filled by Complete.
		Rollout           Rollout `json:"rollout"`
		PlatformReachable bool    `json:"platform_reachable"`
		// PlatformSilentMS is the time since the platform last answered.
		PlatformSilentMS int64 `json:"platform_silent_ms"`
		// Members holds all live members, this node among them.
		Members []Member `json:"members"`
		// Services holds every declared service, also those without targets.
		Services []Service `json:"services"`
		Refusals []Count   `json:"refusals"`
		Retries  []Count   `json:"retries"`
		// Conditions is filled by Complete unless the node gives its own.
		Conditions []Condition `json:"conditions"`
	}

	// Member is one node as this one sees it.
	Member struct {
		Name         string `json:"name"`
		Incarnation  string `json:"incarnation"`
		DataCentre   string `json:"data_centre"`
		Service      string `json:"service"`
		State        string `json:"state"`
		Revision     int64  `json:"revision"`
		AdminAddress string `json:"admin_address"`
	}

	// Rollout tells how far the highest known revision has come.
	Rollout struct {
		Revision int64 `json:"revision"`
		Members  int   `json:"members"`
		InForce  int   `json:"in_force"`
		// Lagging names the members that have only a lower one.
		Lagging []string `json:"lagging"`
	}

	// Service is one service with its targets.
	Service struct {
		Name    string   `json:"name"`
		Targets []Target `json:"targets"`
	}

	// Target is one target, named by the node beside it.
	Target struct {
		Node string `json:"node"`
		// State is the state of the node beside it; StateReady takes work.
		State    string `json:"state"`
		InFlight int    `json:"in_flight"`
		Limit    int    `json:"limit"`
		Queued   int    `json:"queued"`
		// Floor is the admission level: calls of a lower order are refused.
		Floor   uint32 `json:"floor"`
		Ejected bool   `json:"ejected"`
	}

	// Count is a counter with its reason.
	Count struct {
		Reason string `json:"reason"`
		Count  int64  `json:"count"`
	}

	// Condition is one statement about the mesh.
	Condition struct {
		Type    string `json:"type"`
		Holds   bool   `json:"holds"`
		Message string `json:"message"`
		// Action is what a person needs to do; empty when nothing is needed.
		Action string `json:"action"`
	}
)

// The types of conditions.
const (
	// Accepted holds when the node has a configuration.
	Accepted = "accepted"
	// InForce holds when the highest known revision is in force everywhere.
	InForce = "in_force"
	// Degraded holds when only a person can help.
	Degraded = "degraded"
)

// StateReady is the state of a target that takes work.
const StateReady = "ready"

const (
	// rolloutGrace is how long members may lag before a person is called.
	rolloutGrace = 30 * time.Second
	// platformGrace is how long the platform may be silent before a person is
	// called: calls are served meanwhile, only changes are not accepted.
	platformGrace = 10 * time.Minute
)

// Complete fills what follows from the rest of the status. Lists that the node
// left out become empty ones, so that readers of the JSON meet no null.
func (s *Status) Complete() {
	s.Members = orEmpty(s.Members)
	// The node may keep its list: the entries are changed in a copy.
	s.Services = append([]Service{}, s.Services...)
	for i := range s.Services {
		s.Services[i].Targets = orEmpty(s.Services[i].Targets)
	}
	s.Refusals = orEmpty(s.Refusals)
	s.Retries = orEmpty(s.Retries)
	s.Rollout = s.rollout()
	if s.Conditions == nil {
		s.Conditions = s.judge()
	}
}

// Lagging names the members at which the revision is not yet in force.
func (s *Status) Lagging(revision int64) []string {
	lagging := []string{}
	for _, m := range s.Members {
		if m.Revision < revision {
			lagging = append(lagging, m.Name)
		}
	}
	sort.Strings(lagging)
	return lagging
}

func (s *Status) rollout() Rollout {
	highest := s.Revision
	for _, m := range s.Members {
		highest = max(highest, m.Revision)
	}
	lagging := s.Lagging(highest)
	return Rollout{
		Revision: highest,
		Members:  len(s.Members),
		InForce:  len(s.Members) - len(lagging),
		Lagging:  lagging,
	}
}

func (s *Status) judge() []Condition {
	return []Condition{s.accepted(), s.inForce(), s.degraded()}
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

// degraded names only what does not heal by itself. Overload, ejected targets
// and short outages of the platform are the system's own work.
func (s *Status) degraded() Condition {
	var messages, actions []string
	add := func(message, action string) {
		messages = append(messages, message)
		actions = append(actions, action)
	}
	if s.Revision == 0 && s.PlatformReachable {
		add("the node has no configuration", "apply a configuration")
	}
	for _, service := range s.Services {
		if !service.takesWork() {
			add("no target of "+service.Name+" takes work", "start targets of "+service.Name)
		}
	}
	if !s.PlatformReachable && s.PlatformSilentMS > platformGrace.Milliseconds() {
		silence := (time.Duration(s.PlatformSilentMS) * time.Millisecond).Round(time.Second)
		add(fmt.Sprintf("the platform has been silent for %s; the configuration cannot be changed", silence), "bring the platform back")
	}
	if len(s.Rollout.Lagging) > 0 && s.RevisionAgeMS > rolloutGrace.Milliseconds() {
		lagging := strings.Join(s.Rollout.Lagging, ", ")
		add("members lag behind the revision: "+lagging, "look at the hosts of "+lagging)
	}
	if len(messages) == 0 {
		return Condition{Type: Degraded, Message: "nothing needs a person"}
	}
	return Condition{
		Type:    Degraded,
		Holds:   true,
		Message: strings.Join(messages, "; "),
		Action:  strings.Join(actions, "; "),
	}
}

// TakesWork reports whether the member's target takes work.
func (m Member) TakesWork() bool {
	return m.State == member.Active.String() || m.State == member.Cold.String()
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

func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
