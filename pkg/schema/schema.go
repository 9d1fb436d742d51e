// Package schema defines the resources that operators declare, and parses, validates and
// compares sets of them.
//
// A set of resources is meant to be kept under version control. In its YAML form, each
// resource is one YAML document with snake_case keys, and the key `resource` gives its type:
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

// Importance ranks request kinds under overload: the lowest is rejected first.
type Importance uint8

// Repeat determines whether a request may run more than once.
type Repeat uint8

// Service declares a service and the capacity of each of its targets.
type Service struct {
	Name string
	// Slots is the number of calls that one target processes at the same time.
	Slots int
	// Connections is the number of connections that one target accepts.
	Connections int
	// Queue is the number of calls that may wait at the node beside one target.
	Queue int
	// QueueWait is the longest time that a call may wait in that queue.
	QueueWait time.Duration
	// ColdStart is the time over which a new target's concurrency is raised to Slots.
	ColdStart time.Duration
	// RetryShare is the retry budget of the service: the largest ratio of repeats to its
	// completed calls.
	RetryShare float64
	// ShedStatus is the HTTP status with which a target answers a call that it shed
	// without running it.
	ShedStatus int
	// HealthPath is the path of the target's health endpoint, whose answer serves only as
	// a hint. It is empty if there is none.
	HealthPath string
}

// Kind declares a kind of request: how to recognise it and how to handle it.
type Kind struct {
	Name       string
	Service    string
	Method     string
	Path       string
	Importance Importance
	Repeat     Repeat
	Deadline   time.Duration
	// Retries is the number of repeats that one request of this kind may use over its
	// whole call chain.
	Retries int
	// Calls lists the kinds that a target calls while it serves this one.
	Calls []string
	// Host and Prefix select requests by the Host header and the start of the path,
	// instead of by Method and Path. The longest of several matching prefixes of one host
	// wins. An empty Host matches all hosts.
	Host   string
	Prefix string
	// Split distributes the requests among several services and replaces Service.
	Split []Share
	// Objective is the response time up to which an answer is fully useful to the caller,
	// or 0 if none is declared.
	Objective time.Duration
	// Public allows requests without a key where teams are declared.
	Public bool
}

// Share is the weight of one service in a split, relative to the other weights.
type Share struct {
	Service string
	Weight  int
}

// DataCentre declares a data centre and its network distance to the others.
type DataCentre struct {
	Name   string
	Region string
	// Distances maps the names of other data centres to the one-way network latency.
	Distances map[string]time.Duration
}

// Limits declares the limits that every node enforces.
type Limits struct {
	MaxRequestBytes int64
	MaxAnswerBytes  int64
	// MaxHeaderBytes limits the size of a request's header, and HeaderTimeout the time to
	// receive it. IdleTimeout limits how long a connection may stay open without a request.
	MaxHeaderBytes int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// HeldBytes limits the memory for answers that are buffered until they are complete.
	HeldBytes int64
	// RecordBytes limits the memory for idempotency records.
	RecordBytes int64
	// KeyAge is how long an idempotency key is accepted after it was minted.
	KeyAge time.Duration
	// OwnerLease is how far in advance the owners of idempotency keys are fixed.
	OwnerLease time.Duration
	// ClockMargin is how far the clocks of hosts and callers may differ.
	ClockMargin time.Duration
	// KeptRevisions is the number of latest revisions that the platform keeps.
	KeptRevisions int
}

// Team declares a group of callers that share keys, an importance and a quota.
type Team struct {
	Name string
	// KeyDigests holds the SHA-256 of each key in hexadecimal. The keys themselves are
	// part of no declaration.
	KeyDigests []string
	// Importance replaces that of the kind for the team's requests; nil keeps it.
	Importance *Importance
	// Rate is how many requests a second the team may send through all nodes together, and
	// Burst how many on top of that at once. A Rate of 0 sets no limit.
	Rate  float64
	Burst float64
}

// Authentication declares whether requests need the key of a team, except for public kinds. The
// zero value has them need one while any team is declared.
type Authentication struct {
	// KeysRequired has requests need a key without any team as well, so that they are refused.
	KeysRequired bool
}

// Routing declares how targets and data centres are chosen. The zero value selects by the
// declared slots and leaves a data centre only once its targets are full.
type Routing struct {
	// MeasureSpeed balances by the speed that targets show instead of their slots alone.
	MeasureSpeed bool
	// SpillByCost sends calls to other data centres where the expected time to an answer,
	// including the round trip, is clearly shorter there.
	SpillByCost bool
}

// Admission declares how entry nodes throttle requests while services are full. The zero value
// uses the same thresholds for all levels of importance.
type Admission struct {
	// Staggered raises the thresholds with the importance of a request.
	Staggered bool
}

// Set is the complete configuration of one mesh.
type Set struct {
	Services       []Service
	Kinds          []Kind
	DataCentres    []DataCentre
	Teams          []Team
	Authentication Authentication
	Routing        Routing
	Admission      Admission
	Limits         Limits
}

// Levels of importance, in the order in which requests are rejected.
const (
	Low Importance = iota
	Normal
	High
	Critical
)

// Rules for repeating a request.
const (
	// Safe requests may run any number of times.
	Safe Repeat = iota
	// Never requests must run at most once.
	Never
)

// String returns the importance as written in YAML.
func (i Importance) String() string {
	return [...]string{"low", "normal", "high", "critical"}[i&3]
}

// String returns the rule as written in YAML.
func (r Repeat) String() string {
	return [...]string{"safe", "never"}[r&1]
}

// Services returns the services that requests of the kind may be sent to.
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

// Kind returns the kind with the given name, or nil if it is not declared.
func (s *Set) Kind(name string) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}

// Service returns the service with the given name, or nil if it is not declared.
func (s *Set) Service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

// RequiresKeys reports whether requests of kinds that are not public need the key of a team.
func (s *Set) RequiresKeys() bool {
	return s.Authentication.KeysRequired || len(s.Teams) > 0
}
