// Package admin serves the operators' interface of one node over HTTP on an address of
// its own: the resource API, the status, the metrics and the probes.
//
// The server contains no policy. The node fills in its function fields; the handlers read
// requests, validate documents and write answers as JSON with snake_case keys.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/decode"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// Server serves the operators' requests. All function fields must be set.
	Server struct {
		Log hclog.Logger
		// Token is the bearer token that requests under /v1 must carry; empty disables
		// the check. Probes and metrics never need it.
		Token    string
		Registry *prometheus.Registry
		// Apply commits the document as the revision after expected. It returns
		// NewConflict or config.Conflict when another revision is in force, and
		// config.Unresolved when the outcome is unknown. A dry run checks the expected
		// revision and commits nothing. Changes and Digest of the result may be left
		// empty.
		Apply func(ctx context.Context, document []byte, expected int64, dryRun bool) (Applied, error)
		// Current returns the revision in force at this node; the number is 0 and the set
		// may be nil when there is none yet.
		Current func() (number int64, set *schema.Set, document []byte)
		// History returns the revisions that are kept, the latest first. History,
		// LoadRevision and Rollback return config.NotKept, config.Unreachable or
		// config.Invalid when an earlier revision is not available.
		History func(ctx context.Context) ([]config.Entry, error)
		// LoadRevision returns a kept revision.
		LoadRevision func(ctx context.Context, number int64) (config.Revision, error)
		// Rollback does what Apply does, with the document of a kept revision. Its result
		// contains the changes.
		Rollback func(ctx context.Context, number, expected int64, dryRun bool) (Applied, error)
		// Watch blocks until a revision above after is in force at this node.
		Watch  func(ctx context.Context, after int64) (number int64, set *schema.Set, err error)
		Status func(ctx context.Context) Status
		// Drain starts a planned stop and returns once the stop has started.
		Drain func(ctx context.Context) error
		// Ready reports whether the node takes work.
		Ready func() bool
		// Heartbeat is the interval of heartbeat lines on a watch that sends nothing
		// else; 0 means DefaultHeartbeat.
		Heartbeat time.Duration
	}

	// Applied is the answer to an accepted document.
	Applied struct {
		// Revision is the accepted revision, or for a dry run the one in force.
		Revision int64  `json:"revision"`
		Digest   string `json:"digest"`
		DryRun   bool   `json:"dry_run"`
		// Superseded is the revision in force if that is higher than Revision. The
		// document was then accepted by an earlier request, and Changes is left empty.
		Superseded int64           `json:"superseded,omitempty"`
		Changes    []schema.Change `json:"changes"`
	}

	// Listing is the answer to GET /v1/resources.
	Listing struct {
		Revision  int64             `json:"revision"`
		Digest    string            `json:"digest"`
		Resources []schema.Resource `json:"resources"`
		// Document is the same set in its canonical YAML form.
		Document string `json:"document"`
	}

	// Event is one line of a watch.
	Event struct {
		Revision int64  `json:"revision"`
		Digest   string `json:"digest,omitempty"`
		// Heartbeat marks a line that is sent only to show that the connection is alive.
		Heartbeat bool `json:"heartbeat,omitempty"`
		// Changes is relative to the previous event of the same stream; the first event
		// has no Changes but a Document.
		Changes  []schema.Change `json:"changes,omitempty"`
		Document string          `json:"document,omitempty"`
	}

	// Failure is the body of every error answer.
	Failure struct {
		Error string `json:"error"`
		// Expected and Current are the two revisions of a conflict. Current is absent
		// while this node does not know yet which revision was accepted instead.
		Expected *int64 `json:"expected_revision,omitempty"`
		Current  *int64 `json:"current_revision,omitempty"`
		// Unchanged is set when the platform did not answer and it is certain that no
		// change was accepted.
		Unchanged bool            `json:"unchanged,omitempty"`
		Problems  decode.Problems `json:"problems,omitempty"`
	}
)

const (
	// DefaultHeartbeat is the interval of heartbeat lines on an idle watch.
	DefaultHeartbeat = 5 * time.Second
	// maxDocumentBytes limits the body of an apply request.
	maxDocumentBytes = 4 << 20
)

var (
	namespace = errorx.NewNamespace("admin")
	// Conflict means that the revision in force is not the expected one.
	Conflict = namespace.NewType("conflict")

	propertyExpected = errorx.RegisterPrintableProperty("expected")
	propertyCurrent  = errorx.RegisterPrintableProperty("current")
)

// NewConflict returns the error of a change whose expected revision is not the one in
// force.
func NewConflict(expected, current int64) error {
	return Conflict.New("expected revision %d, but revision %d is in force", expected, current).
		WithProperty(propertyExpected, expected).
		WithProperty(propertyCurrent, current)
}

// Handler returns the handler for the node's admin address.
func (s *Server) Handler() http.Handler {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutPathCorrection, iris.WithFireMethodNotAllowed, iris.WithoutStartupLog)
	app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		_ = ctx.JSON(Failure{Error: "no such path: " + ctx.Path()})
	})
	app.OnErrorCode(http.StatusMethodNotAllowed, func(ctx iris.Context) {
		_ = ctx.JSON(Failure{Error: ctx.Method() + " is not allowed on " + ctx.Path()})
	})
	app.Get("/healthz", s.alive)
	app.Get("/readyz", s.ready)
	app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(s.Registry, promhttp.HandlerOpts{})))
	v1 := app.Party("/v1", s.authorise)
	v1.Post("/apply", s.apply)
	v1.Get("/resources", s.list)
	v1.Get("/resources/{type:string}/{name:string}", s.get)
	v1.Delete("/resources/{type:string}/{name:string}", s.delete)
	v1.Get("/history", s.history)
	v1.Get("/revisions/{number:string}", s.revision)
	v1.Post("/rollback", s.rollback)
	v1.Get("/watch", s.watch)
	v1.Get("/status", s.status)
	v1.Post("/drain", s.drain)
	if err := app.Build(); err != nil {
		s.Log.Error("admin_routes_failed", "error", err)
		return http.NotFoundHandler()
	}
	return app
}

// authorise rejects requests without the token. It compares digests in constant time, so
// that the duration reveals nothing about the token, not even its length.
func (s *Server) authorise(ctx iris.Context) {
	if s.Token == "" {
		ctx.Next()
		return
	}
	presented, bearer := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	presentedDigest := sha256.Sum256([]byte(presented))
	tokenDigest := sha256.Sum256([]byte(s.Token))
	if !bearer || subtle.ConstantTimeCompare(presentedDigest[:], tokenDigest[:]) != 1 {
		s.Log.Warn("operator_refused", "remote", ctx.Request().RemoteAddr, "path", ctx.Path())
		ctx.Header("WWW-Authenticate", "Bearer")
		fail(ctx, http.StatusUnauthorized, Failure{Error: "the node's operator token is needed as Authorization: Bearer TOKEN"})
		return
	}
	ctx.Next()
}

func (s *Server) alive(ctx iris.Context) {
	_, _ = ctx.WriteString("ok\n")
}

func (s *Server) ready(ctx iris.Context) {
	if !s.Ready() {
		ctx.StatusCode(http.StatusServiceUnavailable)
		_, _ = ctx.WriteString("not ready\n")
		return
	}
	_, _ = ctx.WriteString("ready\n")
}

func (s *Server) status(ctx iris.Context) {
	status := s.Status(ctx.Request().Context())
	status.Complete()
	_ = ctx.JSON(status)
}

func (s *Server) drain(ctx iris.Context) {
	if err := s.Drain(ctx.Request().Context()); err != nil {
		fail(ctx, http.StatusInternalServerError, Failure{Error: err.Error()})
		return
	}
	s.Log.Info("drain_begun", "remote", ctx.Request().RemoteAddr)
	_ = ctx.JSON(struct {
		State string `json:"state"`
	}{"draining"})
}

func fail(ctx iris.Context, status int, failure Failure) {
	_ = ctx.StopWithJSON(status, failure)
}
