// Package config knows which declarations are in force.
//
// There is one line of revisions. A revision is accepted by one
// compare-and-set of the row config/current, after its document has been put
// into the object store under its number and digest. Nodes learn of it by
// polling that row and from each other, and take higher revisions only. Owner
// plans, one line of versions for each service, travel the same way. Former
// revisions stay for a rollback, and are removed once there are too many.
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
	// pollInterval is the mean time between two reads of the version row. At
	// 530 nodes that is 265 reads/s of about two thousand.
	pollInterval = 2 * time.Second
	// planPolls is how many polls of the version row there are to one of the
	// owner plan. Plans are heard of from other nodes within a second; the poll is
	// for a node that hears nobody. At 530 nodes the row has 4 KB.
	planPolls = 5
	// bootPeers is how many peers a node hears before it takes the highest of
	// their revisions.
	bootPeers = 3
	// bootPatience is how long a booting node waits for peers that do not
	// answer. While the platform is down no lease runs out, so a dead host is
	// still among the peers and must not keep others from starting.
	bootPatience = 10 * time.Second
	// bootHeadStart is the mean time that the platform has to answer before peers
	// are asked; it takes some milliseconds.
	bootHeadStart = 200 * time.Millisecond
	// bootInterval is the mean wait between two attempts to boot.
	bootInterval = 500 * time.Millisecond
	// storeTimeout bounds one operation on the platform while nodes follow it.
	storeTimeout = 3 * time.Second
	// followWait is how long one question to a source waits for news where nodes are
	// few. A source that has become silent is noticed after that, if not by the
	// connection before. Each further followNodes wait as much longer, since one node
	// that hears tells the others within a second, up to maxFollowWait.
	followWait    = 2 * time.Second
	followNodes   = 12
	maxFollowWait = 16 * time.Second
	// followRetry is the mean wait before a source that failed is asked again.
	followRetry = 400 * time.Millisecond
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 2 * time.Second

	configTable = "config"
	currentKey  = "current"
	historyKey  = "history"
	plansTable  = "owners"
)

var (
	namespace = errorx.NewNamespace("config")
	// Conflict means that the revision in force is not the expected one. Its
	// message names both.
	Conflict = namespace.NewType("conflict")
	// Unresolved means that the platform did not tell whether the revision was
	// accepted. The same Commit may be sent again without accepting it twice.
	Unresolved = namespace.NewType("unresolved")
	// Invalid means that the document cannot be read as declarations, or is
	// not the one that its digest names.
	Invalid = namespace.NewType("invalid")
	// ReadOnly means that the configuration is written elsewhere.
	ReadOnly = namespace.NewType("read_only")
	// NoRevision means that neither the platform nor enough peers could say
	// which revision is in force.
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
		// Set is the document as parsed. Offer fills it.
		Set *schema.Set
	}

	// Controller follows the revisions and owner plans. Its fields are set
	// before its first use; its methods are safe for concurrent use.
	Controller struct {
		// Fetch asks the node at a relay address for its configuration and its
		// owner plans of some services.
		Fetch func(ctx context.Context, address string, plans []string) (*relaypb.FetchResponse, error)
		// Name is the node's name, which the history tells; may be empty.
		Name string
		// Service is the node's own service, whose plan it polls; may be empty.
		Service string
		// Source follows the configuration of a platform whose operators write it
		// there themselves. It returns the newest revision, or nil when none came
		// in the time. Nil stands for revisions that nodes accept.
		Source func(ctx context.Context, wait time.Duration) (*Revision, error)
		// Nodes returns how many nodes follow the same source and tell each other; nil
		// stands for few.
		Nodes func() int
		// OnRevision is called after a revision came into force; may be nil.
		OnRevision func(revision *Revision)
		// OnPlan is called after a newer owner plan was taken; may be nil.
		OnPlan func(service string, document []byte, version int64)
		// Random draws from [0, 1).
		Random func() float64
		// Go runs work that waits for a peer; nil starts a goroutine.
		Go func(work func())

		store   plat.Store
		parse   func([]byte) (*schema.Set, error)
		clock   clock.Clock
		log     hclog.Logger
		current atomic.Pointer[Revision]
		// highest is the highest number that was heard of.
		highest atomic.Int64

		// order lets revisions come into force one after another, each with its
		// OnRevision, so that a lower one never has the last word.
		order sync.Mutex

		mu       sync.Mutex // guards what follows
		plans    map[string]plan
		fetching bool
	}

	plan struct {
		document []byte
		version  int64
	}
)

// New returns a controller without a revision. Answers of the store that were
// lost are resolved; the store need not do so itself.
func New(store plat.Store, parse func([]byte) (*schema.Set, error), clk clock.Clock, log hclog.Logger) *Controller {
	return &Controller{
		Random: rand.Float64,
		store:  plat.Resolved(store),
		parse:  parse,
		clock:  clk,
		log:    log,
		plans:  make(map[string]plan),
	}
}

// Digest returns the digest of a document.
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

// Offer brings a revision into force if it is higher than the one that is, and
// says whether it did. A document that does not fit its digest or cannot be
// read is refused.
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
	c.order.Lock()
	defer c.order.Unlock()
	if r.Number <= c.Number() {
		return false
	}
	c.current.Store(&r)
	c.log.Info("revision_in_force", "number", r.Number, "digest", r.Digest)
	if c.OnRevision != nil {
		c.OnRevision(&r)
	}
	return true
}

// Heard notes that a node has a revision, and fetches it if it is higher.
func (c *Controller) Heard(ctx context.Context, from string, number int64) {
	c.noteNumber(number)
	if number > c.Number() {
		c.fetchSoon(ctx, from, nil)
	}
}

// Answer is the server's side of Fetch.
func (c *Controller) Answer(req *relaypb.FetchRequest) *relaypb.FetchResponse {
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

// Boot learns the revision in force before the node takes work, or returns with
// the context. It asks the platform, and peers as soon as that takes long. The
// function peers returns relay addresses, none while none are known.
func (c *Controller) Boot(ctx context.Context, peers func() []string) error {
	start := c.clock.Now()
	polls := make(chan error, 1)
	polling := false
	for {
		if !polling {
			polling = true
			go func() { polls <- c.Poll(ctx) }()
		}
		var storeErr error = NoRevision.New("the platform has not answered yet")
		select {
		case storeErr = <-polls:
			polling = false
			if storeErr == nil {
				return nil
			}
		case <-c.clock.After(c.jitter(bootHeadStart)):
		case <-ctx.Done():
			return ctx.Err()
		}
		patient := c.clock.Now().Sub(start) < bootPatience
		if c.bootFromPeers(ctx, peers(), patient, storeErr) == nil {
			return nil
		}
		if !polling {
			c.pauseBoot(ctx)
		}
	}
}

// pauseBoot waits before a platform that failed is asked again.
func (c *Controller) pauseBoot(ctx context.Context) {
	select {
	case <-c.clock.After(c.jitter(bootInterval)):
	case <-ctx.Done():
	}
}

// BootOnce learns the revision in force from the platform if it answers, else
// the highest of several peers: three, or all when fewer are known. It returns
// NoRevision if too few could tell. A platform that answers that there is no
// revision yet is an answer; a peer without a revision is none. Without
// patience one peer is enough.
func (c *Controller) BootOnce(ctx context.Context, peers []string, patient bool) error {
	storeErr := c.Poll(ctx)
	if storeErr == nil {
		return nil
	}
	return c.bootFromPeers(ctx, peers, patient, storeErr)
}

func (c *Controller) bootFromPeers(ctx context.Context, peers []string, patient bool, storeErr error) error {
	heard := c.askPeers(ctx, peers)
	enough := 1
	if patient {
		enough = max(1, min(bootPeers, len(peers)))
	}
	if heard >= enough && c.Number() >= c.highest.Load() {
		return nil
	}
	return NoRevision.Wrap(storeErr, "%d of %d peers gave a revision", heard, len(peers))
}

// Run polls the version row until the context ends, and less often the plan. A
// source is followed instead.
func (c *Controller) Run(ctx context.Context) {
	if c.Source != nil {
		c.follow(ctx)
		return
	}
	for polls := 0; ; polls++ {
		select {
		case <-c.clock.After(c.jitter(pollInterval)):
		case <-ctx.Done():
			return
		}
		if err := c.Poll(ctx); err != nil {
			c.log.Debug("poll_failed", "error", err)
		}
		if _, version := c.Plan(c.Service); version > 0 && polls%planPolls != 0 {
			continue
		}
		if err := c.PollPlan(ctx); err != nil {
			c.log.Debug("plan_poll_failed", "error", err)
		}
	}
}

// follow waits for one revision after the other. A lost and a regained source
// are logged once each.
func (c *Controller) follow(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := c.pull(ctx, c.followWait())
		if err != nil && !lost {
			c.log.Warn("source_lost", "revision", c.Number(), "error", err)
		}
		if err == nil && lost {
			c.log.Info("source_regained", "revision", c.Number())
		}
		lost = err != nil
		if !lost {
			continue
		}
		select {
		case <-c.clock.After(c.jitter(followRetry)):
		case <-ctx.Done():
		}
	}
}

// followWait returns how long a question to the source waits.
func (c *Controller) followWait() time.Duration {
	if c.Nodes == nil {
		return followWait
	}
	shared := min(followWait*time.Duration(c.Nodes())/followNodes, maxFollowWait)
	return max(c.jitter(shared), followWait)
}

// pull takes what the source has or brings within the wait.
func (c *Controller) pull(ctx context.Context, wait time.Duration) error {
	revision, err := c.Source(ctx, wait)
	if err != nil {
		return err
	}
	if revision == nil || revision.Number <= c.Number() {
		return nil
	}
	c.noteNumber(revision.Number)
	if !c.Offer(*revision) && c.Number() < revision.Number {
		return Invalid.New("revision %d of the source was refused", revision.Number)
	}
	return nil
}

// Poll reads the version row and takes the revision it names, if higher.
func (c *Controller) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if c.Source != nil {
		return c.pull(ctx, 0)
	}
	_, head, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	c.noteNumber(head.Number)
	if head.Number <= c.Number() {
		return nil
	}
	document, err := c.store.GetObject(ctx, objectName(head.Number, head.Digest))
	if err != nil {
		return err
	}
	revision := Revision{Number: head.Number, Digest: head.Digest, Document: document}
	if !c.Offer(revision) && c.Number() < head.Number {
		return Invalid.New("revision %d of the platform was refused", head.Number)
	}
	return nil
}

// askPeers fetches from peers in random order until bootPeers have given a
// revision, and returns how many did.
func (c *Controller) askPeers(ctx context.Context, peers []string) (heard int) {
	peers = slices.Clone(peers)
	for i := len(peers) - 1; i > 0; i-- {
		j := min(int(c.Random()*float64(i+1)), i)
		peers[i], peers[j] = peers[j], peers[i]
	}
	for _, peer := range peers {
		if heard >= bootPeers || ctx.Err() != nil {
			break
		}
		if number, err := c.fetch(ctx, peer, nil); err == nil && number > 0 {
			heard++
		}
	}
	return heard
}

func (c *Controller) noteNumber(number int64) {
	for {
		highest := c.highest.Load()
		if number <= highest || c.highest.CompareAndSwap(highest, number) {
			return
		}
	}
}

// fetchSoon fetches from a node unless a fetch is on its way already. What
// that one leaves out is heard of again with a later exchange.
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

// fetch takes what a node has, and returns the number of its revision.
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

// jitter returns a time between half and one and a half of d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + c.Random()) * float64(d))
}

func sortedKeys(plans map[string]plan) []string {
	return slices.Sorted(maps.Keys(plans))
}
