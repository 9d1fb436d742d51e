package admin

import (
	"fmt"
	"sort"

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
		// AgeMS is the time since the member's incarnation started.
		AgeMS int64 `json:"age_ms"`
		// PendingHandovers counts the nodes whose records it has taken over,
		// and which the plan still names as owners.
		PendingHandovers int `json:"pending_handovers"`
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
		// Unowned is nil while every fresh idempotency key has a living owner.
		Unowned *Unowned `json:"unowned"`
	}

	// Unowned is the part of a service's fresh idempotency keys that has no
	// living owner. Calls with these keys are refused.
	Unowned struct {
		// Slots of Of have no living owner; each is the same share of the keys.
		Slots int `json:"slots"`
		Of    int `json:"of"`
		// Until is when the last of them falls free, as RFC 3339 in UTC. It is
		// empty where they are free, and wait for a node to claim them.
		Until string `json:"until"`
		// Lost names the nodes that hold them.
		Lost []string `json:"lost"`
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
		Floor uint32 `json:"floor"`
		// Ejected is whether the asked node sends it no calls for now.
		Ejected bool `json:"ejected"`
		// StoppedMS is the time since it stopped working; 0 while it works.
		StoppedMS int64 `json:"stopped_ms"`
	}

	// Count is a counter with its reason.
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

// Silent names the nodes beside targets that did not answer the asked node.
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

// Percent is the share of the keys without an owner, rounded up.
func (u *Unowned) Percent() int {
	return (100*u.Slots + u.Of - 1) / u.Of
}

// String says what is lost and until when, on a part of a line.
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
