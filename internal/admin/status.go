package admin

import (
	"fmt"
	"sort"

	"github.com/dandelionfield/dandelionfield/internal/member"
)

type (
	// Status is the state of one node and its view of the mesh.
	Status struct {
		Node        string `json:"node"`
		Incarnation string `json:"incarnation"`
		DataCentre  string `json:"data_centre"`
		Region      string `json:"region"`
		Service     string `json:"service"`
		State       string `json:"state"`
		// Revision is the revision in force at this node.
		Revision int64  `json:"revision"`
		Digest   string `json:"digest"`
		// RevisionAgeMS is the time since the revision came into force at this node.
		RevisionAgeMS int64 `json:"revision_age_ms"`
		// Rollout is filled in by Complete.
		Rollout           Rollout `json:"rollout"`
		PlatformReachable bool    `json:"platform_reachable"`
		// PlatformSilentMS is the time since the platform last answered.
		PlatformSilentMS int64 `json:"platform_silent_ms"`
		// Members holds all live members, including this node.
		Members []Member `json:"members"`
		// Services holds every declared service, including those without targets.
		Services []Service `json:"services"`
		Refusals []Count   `json:"refusals"`
		Retries  []Count   `json:"retries"`
		// Conditions is filled in by Complete unless the node provides its own.
		Conditions []Condition `json:"conditions"`
	}

	// Member is one node as seen by the node that reports the status.
	Member struct {
		Name         string `json:"name"`
		Incarnation  string `json:"incarnation"`
		DataCentre   string `json:"data_centre"`
		Service      string `json:"service"`
		State        string `json:"state"`
		Revision     int64  `json:"revision"`
		AdminAddress string `json:"admin_address"`
		// AgeMS is the time since the member's incarnation started.
		AgeMS int64 `json:"age_ms"`
		// PendingHandovers counts the nodes whose records this member has taken over, but
		// which the plan still names as owners.
		PendingHandovers int `json:"pending_handovers"`
	}

	// Rollout is the progress of the highest known revision.
	Rollout struct {
		Revision int64 `json:"revision"`
		Members  int   `json:"members"`
		InForce  int   `json:"in_force"`
		// Lagging names the members at which only a lower revision is in force.
		Lagging []string `json:"lagging"`
	}

	// Service is one service with its targets.
	Service struct {
		Name    string   `json:"name"`
		Targets []Target `json:"targets"`
		// Unowned is nil while every newly minted idempotency key has a live owner.
		Unowned *Unowned `json:"unowned"`
	}

	// Unowned is the part of a service's newly minted idempotency keys that has no live
	// owner. Calls with these keys are refused.
	Unowned struct {
		// Slots out of Of have no live owner; each slot is the same share of the keys.
		Slots int `json:"slots"`
		Of    int `json:"of"`
		// Until is when the last of these slots becomes free, as RFC 3339 in UTC. It is
		// empty if they are free already and wait for a node to claim them.
		Until string `json:"until"`
		// Lost names the nodes that hold the slots.
		Lost []string `json:"lost"`
	}

	// Target is one target, identified by the node beside it.
	Target struct {
		Node string `json:"node"`
		// State is the state of the node beside the target; the target takes work in
		// StateReady.
		State    string `json:"state"`
		InFlight int    `json:"in_flight"`
		Limit    int    `json:"limit"`
		Queued   int    `json:"queued"`
		// Floor is the admission level: calls of a lower level are refused.
		Floor uint32 `json:"floor"`
		// Ejected is whether the node that reports the status sends the target no calls
		// for now.
		Ejected bool `json:"ejected"`
		// StoppedMS is the time since the target stopped working; 0 while it works.
		StoppedMS int64 `json:"stopped_ms"`
	}

	// Count is the number of events with one reason.
	Count struct {
		Reason string `json:"reason"`
		Count  int64  `json:"count"`
	}
)

const (
	// StateReady is the state of a target that takes work.
	StateReady = "ready"
	// StateSilent is the state of a target whose node did not answer.
	StateSilent = "silent"
)

// Complete fills in the fields that are derived from the others. It replaces nil lists by
// empty ones, so that the JSON contains no null for them.
func (s *Status) Complete() {
	s.Members = orEmpty(s.Members)
	// The node may reuse its list, so the entries are changed in a copy.
	s.Services = append([]Service{}, s.Services...)
	for i := range s.Services {
		s.Services[i].Targets = orEmpty(s.Services[i].Targets)
	}
	s.Refusals = orEmpty(s.Refusals)
	s.Retries = orEmpty(s.Retries)
	s.Rollout = s.rollout()
	if s.Conditions == nil {
		s.Conditions = s.computeConditions()
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

// Silent names the nodes beside targets that did not answer the node that reports the
// status.
func (s *Status) Silent() []string {
	var silent []string
	for _, service := range s.Services {
		for _, target := range service.Targets {
			if target.State == StateSilent {
				silent = append(silent, target.Node)
			}
		}
	}
	return silent
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

// TakesWork reports whether the member's target takes work.
func (m Member) TakesWork() bool {
	return m.State == member.Active.String() || m.State == member.Cold.String()
}

// Percent returns the share of the keys without an owner, rounded up.
func (u *Unowned) Percent() int {
	return (100*u.Slots + u.Of - 1) / u.Of
}

// String returns the lost share and its end, to be used as part of a line.
func (u *Unowned) String() string {
	if u.Until == "" {
		return fmt.Sprintf("%d%% until a node claims them", u.Percent())
	}
	return fmt.Sprintf("%d%% until %s", u.Percent(), u.Until)
}

func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
