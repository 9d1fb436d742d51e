package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/admit"
	"github.com/dandelionfield/dandelionfield/internal/beat"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/filter"
	"github.com/dandelionfield/dandelionfield/internal/httpd"
	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/loglim"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// Adapters holds the implementations through which a node reaches the platform, its
	// callers and its target. A zero field selects the project's own implementation.
	Adapters struct {
		// Store accesses the platform.
		Store *plat.Store
		// Source waits for the next configuration that operators write on the platform,
		// and Parse decodes its document.
		Source func(ctx context.Context, wait time.Duration) (*config.Revision, error)
		Parse  func(document []byte) (*schema.Set, error)
		// CallerHandler returns the handler that answers requests of callers and targets
		// through the filter chain.
		CallerHandler func(chain filter.Next) func(ctx context.Context, request *http.Request) *httpd.Answer
		// RefuseUnreadable answers a request that could not be read.
		RefuseUnreadable func(status int, reason string) *httpd.Answer
		// TargetWire is the protocol that is spoken with the target.
		TargetWire local.Wire
		// Control returns the handler for the heartbeats of a target that announces
		// itself. It is served at the address of the setting control_listen.
		Control func(events TargetEvents) http.Handler
	}

	// TargetEvents holds the callbacks for what a target reports to its node. Each returns
	// once the node acts on the report, or beat.Foreign if the report cannot come from the
	// target.
	TargetEvents struct {
		Heartbeat func(b beat.Heartbeat) beat.Verdict
		// Depart reports a departure. startedMS is 0 if the target did not say when the
		// process started.
		Depart func(id string, startedMS int64) beat.Verdict
	}
)

// withDefaults sets unset fields to the project's own implementations.
func (a Adapters) withDefaults() Adapters {
	if a.Parse == nil {
		a.Parse = parseDocument
	}
	if a.CallerHandler == nil {
		a.CallerHandler = filter.Handler
	}
	if a.RefuseUnreadable == nil {
		a.RefuseUnreadable = filter.UnreadableReply
	}
	if a.TargetWire.TeamHeader == "" {
		a.TargetWire.TeamHeader = local.TeamHeader
	}
	return a
}

// callerServer returns the server for requests of callers and calls of the target.
func (n *Node) callerServer() *httpd.Server {
	inbound := n.inboundFilters()
	refuse := filter.Chain(inbound.MemoryFilters(), func(context.Context, *filter.Exchange) *call.Answer {
		return call.Refuse(result.MemoryBound, "")
	})
	return &httpd.Server{
		Handle: n.adapters.CallerHandler(filter.Chain(inbound.Filters(), n.dispatch)),
		Refuse: n.adapters.RefuseUnreadable,
		Log:    n.log.Named("ahead"),

		RefuseForMemory: n.adapters.CallerHandler(refuse),
		JudgeHead:       inbound.JudgeHead,

		UnsentBytes: n.settings.MemoryBytes / answerMemoryDivisor,
		Memory:      n.memory,
		MemoryClass: inbound.MemoryClass,
		MaxConns:    maxCallerConns(),

		OnClosed:   func(reason string) { n.metrics.ConnectionsClosed.WithLabelValues(reason).Inc() },
		OnNoMemory: n.metrics.MemoryRefusals.WithLabelValues(metric.OriginCallers).Inc,

		EvictionLimiter: loglim.NewLimiter(failureLinesPerSecond, time.Second),
		Limits: func() httpd.Limits {
			limits := n.limits()
			return httpd.Limits{
				HeaderBytes:   limits.MaxHeaderBytes,
				BodyBytes:     limits.MaxRequestBytes,
				HeaderTimeout: limits.HeaderTimeout,
				IdleTimeout:   limits.IdleTimeout,
			}
		},
	}
}

// serveOptional starts the servers whose listeners are optional in the settings.
func (n *Node) serveOptional(s *servers, bound *listeners) {
	if bound.ready != nil {
		s.start(bound.ready, &http.Server{Handler: n.readyHandler()})
	}
	if bound.control != nil && n.adapters.Control != nil {
		s.start(bound.control, &http.Server{Handler: n.adapters.Control(n.targetEvents())})
	}
}

// readyHandler answers every request with 200 while the node accepts requests, and with
// 503 otherwise.
func (n *Node) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// listenOptional binds an address unless the address is empty.
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

// queueFactor is how many calls may be queued for each slot of a target that announces
// itself. Where calls take long, the limit on the queue wait bounds the queue more
// tightly.
const queueFactor = 3

// announcedSettings returns the admission settings for a target that announces itself.
func (n *Node) announcedSettings(target beat.Target) admit.Settings {
	settings := n.gateSettings(n.declared(n.settings.Service))
	if target.Slots > 0 {
		settings.Slots = admit.UsableSlots(target.Slots)
		settings.Queue = queueFactor * settings.Slots
	}
	settings.Opaque = true
	// A target that is warming up is slow but has all its slots. Routing accounts for the
	// slowness, since it chooses between targets by their work in flight.
	settings.ColdStart = 0
	return settings
}
