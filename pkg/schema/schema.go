// Package schema holds the resources that operators declare, as plain structs.
//
// A set of resources is one document under version control. Its YAML form uses
// snake_case keys, one resource per YAML document, told apart by `resource`:
//
//	resource: service
//	name: allowances
//	slots: 120
//	---
//	resource: request_kind
//	name: check_allowance
//	service: allowances
//	method: GET
//	path: /allowances/{household}
//	importance: normal
package schema

import "time"

// Importance orders request kinds for refusal: the lowest is refused first.
type Importance uint8

// Repeat says whether a request may run more than once.
type Repeat uint8

// Service declares one service and what each of its targets can take.
type Service struct {
	Name string
	// Slots is how many calls one target works on at the same time.
	Slots int
	// Connections is how many connections one target accepts.
	Connections int
	// Queue is how many calls may wait at the node beside one target.
	Queue int
	// QueueWait is how long a call may wait there.
	QueueWait time.Duration
	// ColdStart is the time over which a new target is ramped up to Slots.
	ColdStart time.Duration
	// RetryShare is the most that repeats may add to the service's calls, as
	// a share of its completed calls.
	RetryShare float64
	// ShedStatus is the HTTP status by which the target says that it shed a
	// call without running it.
	ShedStatus int
	// HealthPath is the target's health endpoint, used as a hint; empty for none.
	HealthPath string
}

// Kind declares one kind of request.
type Kind struct {
	Name       string
	Service    string
	Method     string
	Path       string
	Importance Importance
	Repeat     Repeat
	Deadline   time.Duration
	// Retries is the number of repeats that one request of this kind may
	// cost over its whole call chain.
	Retries int
	// Calls names the kinds that the target calls while it serves this one.
	Calls []string
	// Host and Prefix select requests by their Host header and the start of
	// their path, in place of Method and Path. Of several prefixes of one host
	// the longest wins. An empty Host stands for all hosts.
	Host   string
	Prefix string
	// Split distributes the requests among several services, in place of Service.
	Split []Share
	// Objective is the time within which an answer is of full use to its
	// caller; 0 when none is declared.
	Objective time.Duration
}

// Share is one part of a split: the weight of a service among the others.
type Share struct {
	Service string
	Weight  int
}

// DataCentre declares one data centre and how far the others are.
type DataCentre struct {
	Name   string
	Region string
	// Distances holds the one-way time to other data centres by name.
	Distances map[string]time.Duration
}

// Limits declares the bounds that hold at every node.
type Limits struct {
	MaxRequestBytes int64
	MaxAnswerBytes  int64
	// MaxHeaderBytes bounds the head of a request, HeaderTimeout the time that it
	// may take, and IdleTimeout that of a connection without a request.
	MaxHeaderBytes int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// HeldBytes bounds the memory for answers that are held until whole.
	HeldBytes int64
	// RecordBytes bounds the memory for idempotency records.
	RecordBytes int64
	// KeyAge is how long an idempotency key is accepted after its minting.
	KeyAge time.Duration
	// OwnerLease is how far ahead the owners of idempotency keys are fixed.
	OwnerLease time.Duration
	// ClockMargin is how far the clocks of hosts and callers may differ.
	ClockMargin time.Duration
	// KeptRevisions is how many of the latest revisions stay in the platform.
	KeptRevisions int
}

// Set is everything that one firm declares.
type Set struct {
	Services    []Service
	Kinds       []Kind
	DataCentres []DataCentre
	Limits      Limits
}

// The importances, from the first refused to the last.
const (
	Low Importance = iota
	Normal
	High
	Critical
)

// The rules for repeating a request.
const (
	// Safe requests may run again at any time.
	Safe Repeat = iota
	// Never requests run at most once.
	Never
)

// String returns the importance as it is written in YAML.
func (i Importance) String() string {
	return [...]string{"low", "normal", "high", "critical"}[i&3]
}

// String returns the rule as it is written in YAML.
func (r Repeat) String() string {
	return [...]string{"safe", "never"}[r&1]
}

// Services returns the services that a kind's requests may go to.
func (k *Kind) Services() []string {
	if len(k.Split) == 0 {
		return []string{k.Service}
	}
	services := make([]string, len(k.Split))
	for i, share := range k.Split {
		services[i] = share.Service
	}
	return services
}

// Kind returns the declared kind of that name, or nil.
func (s *Set) Kind(name string) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}

// Service returns the declared service of that name, or nil.
func (s *Set) Service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}
