// Package config distributes the configuration and the owner plans to all nodes.
//
// Revisions of the configuration form a single sequence. A revision is accepted by one
// compare-and-set of the head row, config/current, after its document has been put into
// the object store under its number and digest. Nodes learn of a revision by polling the
// head row and from their peers, and only ever move to a higher revision. Owner plans, one
// sequence of versions for each service, are distributed in the same way. Former revisions
// are kept for rollbacks and deleted once there are too many.
package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// pollInterval is the mean time between two reads of the head row. With 530 nodes
	// that makes 265 reads/s of the roughly 2000 that the platform serves.
	pollInterval = 2 * time.Second
	// planPolls is the number of polls of the head row for each poll of the owner plan.
	// Peers announce a new plan within a second; the poll serves a node that no peer
	// contacts. With 530 nodes a plan's row has 4 KB.
	planPolls = 5
	// storeTimeout bounds one operation on the platform while a node polls it or commits.
	storeTimeout = 3 * time.Second
	// fetchTimeout bounds one fetch of a peer's configuration.
	fetchTimeout = 2 * time.Second

	configTable = "config"
	currentKey  = "current"
	historyKey  = "history"
	plansTable  = "owners"
)

var (
	namespace = errorx.NewNamespace("config")
	// Conflict means that the revision in force is not the expected one. Its message
	// names both revisions.
	Conflict = namespace.NewType("conflict")
	// Unresolved means that it is not known whether the platform accepted the revision.
	// The same Commit may be repeated; it is accepted at most once.
	Unresolved = namespace.NewType("unresolved")
	// Invalid means that the document cannot be parsed as declarations, or does not match
	// its digest.
	Invalid = namespace.NewType("invalid")
	// ReadOnly means that operators write the configuration on the platform, not through
	// nodes.
	ReadOnly = namespace.NewType("read_only")
	// NoRevision means that neither the platform nor enough peers could tell which
	// revision is in force.
	NoRevision = namespace.NewType("no_revision")
)

type (
	// Revision is one accepted document.
	Revision struct {
		// Number counts accepted documents from 1.
		Number int64
		// Digest is the SHA-256 of the document in hexadecimal.
		Digest   string
		Document []byte
		// Set is the parsed document. Offer fills it in.
		Set *schema.Set
	}

	// Controller tracks the revisions and owner plans. Its fields are set before its
	// first use; its methods are safe for concurrent use.
	Controller struct {
		// Fetch requests the configuration and the owner plans of some services from the
		// node at a relay address.
		Fetch func(ctx context.Context, address string, plans []string) (*relaypb.FetchResponse, error)
		// Name is the node's name, which is recorded in the history; may be empty.
		Name string
		// Service is the node's own service, whose plan it polls; may be empty.
		Service string
		// Source long-polls the configuration on a platform whose operators write it
		// there themselves. It returns the newest revision, or nil if none arrived within
		// wait. A nil Source means that nodes accept the revisions.
		Source func(ctx context.Context, wait time.Duration) (*Revision, error)
		// Nodes returns the number of nodes that tell each other of new revisions; nil
		// means a small cluster.
		Nodes func() int
		// Follows reports whether this node follows the source for the others as well; nil
		// means that each node follows it. A node that does not turns to the source itself
		// when those that do seem to have lost it.
		Follows func() bool
		// Revoke is the time after which a key must have no effect once the source has
		// confirmed its removal. If it is set, the controller keeps track of when the
		// revision was last known to be the newest; 0 means that it does not.
		Revoke time.Duration
		// OnRevision is called after a revision has come into force; may be nil.
		OnRevision func(revision *Revision)
		// ComparePlans orders two owner plans of a service by their content: below 0 if the
		// first is the older one. It tells a plan of an older copy of the platform from a
		// newer plan. A nil ComparePlans means that the row versions alone decide.
		ComparePlans func(one, other []byte) int
		// OnPlan is called after a newer owner plan has been stored; may be nil.
		OnPlan func(service string, document []byte, version int64)
		// Random returns a random number in [0, 1).
		Random func() float64
		// Go runs a function that waits for a peer; nil starts a goroutine.
		Go func(work func())

		store   plat.Store
		parse   func([]byte) (*schema.Set, error)
		clock   clock.Clock
		log     hclog.Logger
		current atomic.Pointer[Revision]
		// highest is the highest revision number that this node has learned of from the
		// platform, a source or a peer.
		highest atomic.Int64
		// applied is the highest revision number whose OnRevision call has returned.
		applied atomic.Int64
		// renewDue is the age of a confirmation at which this node asks the source, and
		// renewNext the time before which it does not. Only follow uses them.
		renewDue  time.Duration
		renewNext time.Time
		// silenceDue is the age of the last answer of the source at which this node asks it,
		// if it does not follow the source. Only follow uses it.
		silenceDue time.Duration
		// sourceBehind is set while the source has an older revision than this node.
		sourceBehind atomic.Bool
		// confirmedAt is when the revision in force was last known to be the newest, or nil.
		confirmedAt atomic.Pointer[time.Time]
		// unconfirmed is set while the revision cannot be taken for the newest, as logged.
		unconfirmed atomic.Bool
		// applyMu makes revisions come into force one at a time, each together with its
		// OnRevision call, so that the last call is never for a lower revision.
		applyMu sync.Mutex

		mu       sync.Mutex // guards the fields below
		plans    map[string]plan
		fetching bool
		// promised is the last plan that this node tried to commit.
		promised promise
		// sourceHeard is when the source last answered this node or another one that this
		// node heard from, directly or through others. No revision above the one in force
		// here existed then, but for one that this node refused.
		sourceHeard time.Time
		// pullsBegun and pullsOpen count the requests to the source so far and now.
		pullsBegun, pullsOpen int64
		// headDoubtful is set while the head row may be one of an older copy from which the
		// platform was restored, and restoredAt is when the restore was noticed.
		headDoubtful bool
		restoredAt   time.Time
	}

	// promise is a plan that this node tried to commit, and the generation of the platform
	// at that time.
	promise struct {
		document   []byte
		generation int64
	}

	plan struct {
		document []byte
		version  int64
		// lost is set while the row has this version but holds an older plan, or is absent
		// and the version is 0.
		lost bool
	}
)

// New returns a controller without a revision. It wraps the store with plat.Resolved, so
// the store itself need not resolve lost answers.
func New(store plat.Store, parse func([]byte) (*schema.Set, error), clk clock.Clock, log hclog.Logger) *Controller {
	c := &Controller{
		Random: rand.Float64,
		store:  plat.Resolved(store),
		parse:  parse,
		clock:  clk,
		log:    log,
		plans:  make(map[string]plan),
	}
	store.NotifyRestore(c.storeRestored)
	return c
}

// Digest returns the SHA-256 of a document in hexadecimal.
func Digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// Current returns the revision in force, or nil before the first.
func (c *Controller) Current() *Revision {
	return c.current.Load()
}

// Number returns the number of the revision in force, 0 before the first.
func (c *Controller) Number() int64 {
	if revision := c.current.Load(); revision != nil {
		return revision.Number
	}
	return 0
}

// Offer brings a revision into force if it is higher than the present one, and reports
// whether it did. A document that does not match its digest or cannot be parsed is
// rejected.
func (c *Controller) Offer(r Revision) bool {
	if r.Number <= c.Number() {
		return false
	}
	set, err := c.verify(r)
	if err != nil {
		c.log.Error("revision_refused", "number", r.Number, "digest", r.Digest, "error", err)
		return false
	}
	r.Set = set
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if r.Number <= c.Number() {
		return false
	}
	c.current.Store(&r)
	c.log.Info("revision_in_force", "number", r.Number, "digest", r.Digest)
	if c.OnRevision != nil {
		c.OnRevision(&r)
	}
	c.applied.Store(r.Number)
	return true
}

// ObserveRevision records that the node at the address has the revision, and fetches the
// revision if it is higher than the one in force here.
func (c *Controller) ObserveRevision(ctx context.Context, from string, number int64) {
	c.raiseHighest(number)
	if number > c.Number() {
		c.fetchSoon(ctx, from, nil)
	}
}

// HandleFetch serves a Fetch request of another node.
func (c *Controller) HandleFetch(req *relaypb.FetchRequest) *relaypb.FetchResponse {
	resp := &relaypb.FetchResponse{}
	if revision := c.Current(); revision != nil {
		resp.Revision = revision.Number
		resp.Digest = revision.Digest
		resp.Document = revision.Document
	}
	for _, service := range req.GetPlans() {
		if document, version := c.Plan(service); version > 0 {
			resp.Plans = append(resp.Plans, &relaypb.Plan{Service: service, Version: version, Document: document})
		}
	}
	return resp
}

// pauseAbout waits for d on average, or until the context ends.
func (c *Controller) pauseAbout(ctx context.Context, d time.Duration) {
	_ = c.pause(ctx, c.jitter(d)) // the callers check the context
}

// pause waits for d, or until the context ends, whose error it returns then.
func (c *Controller) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-c.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run polls the head row until the context ends, and the owner plan less often. If Source
// is set, Run follows it instead.
func (c *Controller) Run(ctx context.Context) {
	if c.Source != nil {
		c.follow(ctx)
		return
	}
	for polls := 0; ; polls++ {
		select {
		case <-c.clock.After(c.limitWait(c.jitter(pollInterval))):
		case <-ctx.Done():
			return
		}
		if err := c.Poll(ctx); err != nil {
			c.log.Debug("poll_failed", "error", err)
		}
		c.Confirmed() // logs a change also while there are no requests
		if _, version := c.Plan(c.Service); version > 0 && polls%planPolls != 0 {
			continue
		}
		if err := c.PollPlan(ctx); err != nil {
			c.log.Debug("plan_poll_failed", "error", err)
		}
	}
}

// Poll reads the head row and applies the revision that it names if that one is higher.
func (c *Controller) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if c.Source != nil {
		return c.pullSource(ctx, 0)
	}
	sent := c.clock.Now()
	row, head, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	c.raiseHighest(head.Number)
	if head.Number <= c.Number() {
		c.confirmFromSource(sent, head.Number)
		return c.checkHead(ctx, row, head)
	}
	document, err := c.store.GetObject(ctx, objectName(head.Number, head.Digest))
	if err != nil {
		return err
	}
	revision := Revision{Number: head.Number, Digest: head.Digest, Document: document}
	if !c.Offer(revision) && c.Number() < head.Number {
		return Invalid.New("revision %d of the platform was refused", head.Number)
	}
	c.confirmFromSource(sent, head.Number)
	return nil
}

func (c *Controller) raiseHighest(number int64) {
	for {
		highest := c.highest.Load()
		if number <= highest || c.highest.CompareAndSwap(highest, number) {
			return
		}
	}
}

// fetchSoon starts a fetch from a node unless another one is in flight. A revision or
// plan that is missed for this reason is announced again in a later exchange.
func (c *Controller) fetchSoon(ctx context.Context, from string, services []string) {
	c.mu.Lock()
	busy := c.fetching || c.Fetch == nil
	c.fetching = true
	c.mu.Unlock()
	if busy {
		return
	}
	work := func() {
		if _, err := c.fetch(ctx, from, services); err != nil {
			c.log.Debug("fetch_failed", "from", from, "error", err)
		}
		c.mu.Lock()
		c.fetching = false
		c.mu.Unlock()
	}
	if c.Go != nil {
		c.Go(work)
		return
	}
	go work()
}

// fetch requests the revision and the plans of a node, applies the newer ones, and
// returns the number of the node's revision.
func (c *Controller) fetch(ctx context.Context, from string, services []string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	resp, err := c.Fetch(ctx, from, services)
	if err != nil {
		return 0, err
	}
	c.Offer(Revision{Number: resp.GetRevision(), Digest: resp.GetDigest(), Document: resp.GetDocument()})
	for _, p := range resp.GetPlans() {
		c.OfferPlan(p.GetService(), p.GetDocument(), p.GetVersion())
	}
	return resp.GetRevision(), nil
}

func (c *Controller) verify(r Revision) (*schema.Set, error) {
	if digest := Digest(r.Document); digest != r.Digest {
		return nil, Invalid.New("the document has digest %s", digest)
	}
	set, err := c.parse(r.Document)
	if err != nil {
		return nil, Invalid.Wrap(err, "the document cannot be read")
	}
	return set, nil
}

// jitter returns a random duration between 0.5*d and 1.5*d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + c.Random()) * float64(d))
}

func sortedKeys(plans map[string]plan) []string {
	return slices.Sorted(maps.Keys(plans))
}
