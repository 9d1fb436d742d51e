package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/ahead"
	"github.com/dandelionfield/dandelionfield/internal/beat"
	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/filter"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// Doors are a node's ways to its surroundings, where they are not the
	// project's own. A zero field stands for the own way.
	Doors struct {
		// Store is the platform.
		Store *plat.Store
		// Source follows the configuration that operators write on the platform,
		// and Parse reads it.
		Source func(ctx context.Context, wait time.Duration) (*config.Revision, error)
		Parse  func(document []byte) (*schema.Set, error)
		// Callers answers the requests of callers and targets with the chain.
		Callers func(chain filter.Next) func(ctx context.Context, request *http.Request) *ahead.Answer
		// Refuse answers a request that could not be read.
		Refuse func(status int, reason string) *ahead.Answer
		// Target is how the target is spoken with.
		Target local.Wire
		// Control serves the target that announces itself, at the address of the
		// settings' control_listen.
		Control func(announce Announce) http.Handler
	}

	// Announce is what a target can tell its node. Each returns once the node
	// itself acts by it.
	Announce struct {
		Beat   func(b beat.Beat) beat.Verdict
		Depart func(id string, bornMS int64)
	}
)

// orOwn fills in the project's own ways.
func (d Doors) orOwn() Doors {
	if d.Parse == nil {
		d.Parse = parseDocument
	}
	if d.Callers == nil {
		d.Callers = filter.Door
	}
	if d.Refuse == nil {
		d.Refuse = filter.Unreadable
	}
	return d
}

// callerServer serves callers and the target's own calls.
func (n *Node) callerServer() *ahead.Server {
	chain := filter.Chain(n.inward().Filters(), n.end)
	return &ahead.Server{
		Handle: n.doors.Callers(chain),
		Refuse: n.doors.Refuse,
		Log:    n.log.Named("ahead"),
		Bounds: func() ahead.Bounds {
			limits := n.limits()
			return ahead.Bounds{
				HeaderBytes:   limits.MaxHeaderBytes,
				BodyBytes:     limits.MaxRequestBytes,
				HeaderTimeout: limits.HeaderTimeout,
				IdleTimeout:   limits.IdleTimeout,
			}
		},
	}
}

// serveDoors starts the servers of the addresses that only some settings have.
func (n *Node) serveDoors(s *servers, bound *listeners) {
	if bound.ready != nil {
		s.start(bound.ready, &http.Server{Handler: n.readyHandler()})
	}
	if bound.control != nil && n.doors.Control != nil {
		s.start(bound.control, &http.Server{Handler: n.doors.Control(n.announce())})
	}
}

// readyHandler answers any question with 200 while the node takes requests.
func (n *Node) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// listenOptional binds an address that need not be set.
func listenOptional(address string, into *net.Listener) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	*into = listener
	return nil
}

// queueFactor is how many calls may wait for each slot of a target that announced
// itself. The time that a call may wait bounds the queue more tightly where calls
// take long.
const queueFactor = 3

// announcedSettings are the gate's settings for a target that announced itself.
func (n *Node) announcedSettings(target beat.Target) admit.Settings {
	settings := n.gateSettings(n.declared(n.settings.Service))
	if target.Slots > 0 {
		settings.Slots = admit.Usable(target.Slots)
		settings.Queue = queueFactor * settings.Slots
	}
	settings.Opaque = true
	// A target that warms up is slow, but has all its slots; the choice between
	// targets goes by the work that each has in hand.
	settings.ColdStart = 0
	return settings
}
