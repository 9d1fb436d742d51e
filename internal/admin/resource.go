package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/kataras/iris/v12"

	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/decode"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// change is a request that makes a new revision.
type change struct {
	// name is "apply" or "rollback".
	name     string
	expected int64
	dryRun   bool
	run      func(ctx context.Context) (Applied, error)
}

const (
	// documentName stands for the file name in the problems of a request body.
	documentName = "document"
	// maxProblemBytes limits the problems of an answer to about 200 of them.
	maxProblemBytes = 32 << 10
	// maxPathRunes limits the path of a problem, which consists of the document's own
	// keys and so may have any length.
	maxPathRunes = 200
)

func (s *Server) apply(ctx iris.Context) {
	body := http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxDocumentBytes)
	data, err := io.ReadAll(body)
	if err != nil {
		fail(ctx, http.StatusRequestEntityTooLarge, Failure{Error: "the document could not be read whole: " + err.Error()})
		return
	}
	set, err := schema.Parse(documentName, data)
	if err != nil {
		failInvalid(ctx, "the document has errors", err)
		return
	}
	s.commit(ctx, set)
}

func (s *Server) delete(ctx iris.Context) {
	_, set, _ := s.current()
	resourceType, name := ctx.Params().Get("type"), ctx.Params().Get("name")
	rest, found := set.Without(resourceType, name)
	if !found {
		fail(ctx, http.StatusNotFound, Failure{Error: "no " + resourceType + " of the name " + name})
		return
	}
	checked, err := schema.Parse(documentName, rest.Document())
	if err != nil {
		failInvalid(ctx, "what remains without "+resourceType+" "+name+" has errors", err)
		return
	}
	s.commit(ctx, checked)
}

// commit passes a validated set to the node. A request without an expected revision
// expects the one in force at this node.
func (s *Server) commit(ctx iris.Context, set *schema.Set) {
	number, old, _ := s.current()
	expected, dryRun, ok := commitParameters(ctx, number)
	if !ok {
		return
	}
	document := set.Document()
	s.runChange(ctx, change{name: "apply", expected: expected, dryRun: dryRun, run: func(ctx context.Context) (Applied, error) {
		applied, err := s.Apply(ctx, document, expected, dryRun)
		if err != nil {
			return applied, err
		}
		if applied.Changes == nil {
			applied.Changes = old.Diff(set)
		}
		if applied.Digest == "" {
			applied.Digest = config.Digest(document)
		}
		return applied, nil
	}})
}

// runChange runs a change and answers with its result.
func (s *Server) runChange(ctx iris.Context, c change) {
	remote := ctx.Request().RemoteAddr
	applied, err := c.run(ctx.Request().Context())
	if err != nil {
		s.Log.Warn("change_refused", "change", c.name, "remote", remote, "expected", c.expected, "error", err)
		s.failCommit(ctx, err, c)
		return
	}
	applied.DryRun = c.dryRun
	if latest, _, _ := s.current(); latest > applied.Revision && !c.dryRun {
		applied.Superseded = latest
		applied.Changes = []schema.Change{}
	}
	if !c.dryRun {
		s.Log.Info("change_accepted", "change", c.name, "remote", remote, "revision", applied.Revision, "changes", len(applied.Changes))
	}
	_ = ctx.JSON(applied)
}

// commitParameters reads the query of a change and answers the request itself when the
// query is invalid.
func commitParameters(ctx iris.Context, current int64) (expected int64, dryRun, ok bool) {
	expected, ok = revisionParameter(ctx, "expected", current)
	if !ok {
		return 0, false, false
	}
	if text := ctx.URLParam("dry_run"); text != "" {
		parsed, err := strconv.ParseBool(text)
		if err != nil {
			fail(ctx, http.StatusBadRequest, Failure{Error: "dry_run must be true or false, found " + strconv.Quote(text)})
			return 0, false, false
		}
		dryRun = parsed
	}
	return expected, dryRun, true
}

// revisionParameter reads a revision number from the query and returns fallback if there is
// none. It answers the request itself when the number is invalid.
func revisionParameter(ctx iris.Context, name string, fallback int64) (int64, bool) {
	text := ctx.URLParam(name)
	if text == "" {
		return fallback, true
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		fail(ctx, http.StatusBadRequest, Failure{Error: name + " must be a revision number, found " + strconv.Quote(text)})
		return 0, false
	}
	return number, true
}

func (s *Server) list(ctx iris.Context) {
	number, set, document := s.current()
	_ = ctx.JSON(Listing{
		Revision:  number,
		Digest:    config.Digest(document),
		Resources: set.Resources(),
		Document:  string(document),
	})
}

func (s *Server) get(ctx iris.Context) {
	number, set, _ := s.current()
	resourceType, name := ctx.Params().Get("type"), ctx.Params().Get("name")
	for _, resource := range set.Resources() {
		if resource.Type == resourceType && resource.Name == name {
			_ = ctx.JSON(struct {
				Revision int64           `json:"revision"`
				Resource schema.Resource `json:"resource"`
			}{number, resource})
			return
		}
	}
	fail(ctx, http.StatusNotFound, Failure{Error: "no " + resourceType + " of the name " + name})
}

// current returns the revision in force at this node, or number 0 with an empty set.
func (s *Server) current() (int64, *schema.Set, []byte) {
	number, set, document := s.Current()
	if set == nil {
		set = &schema.Set{Limits: schema.DefaultLimits()}
	}
	if document == nil {
		document = set.Document()
	}
	return number, set, document
}

// watch sends one JSON line for each revision above the requested one. After a broken
// connection the client repeats the request with the last revision that it received.
func (s *Server) watch(ctx iris.Context) {
	after, ok := revisionParameter(ctx, "after", 0)
	if !ok {
		return
	}
	ctx.ContentType("application/x-ndjson")
	ctx.Header("Cache-Control", "no-store")
	ctx.StatusCode(http.StatusOK)
	ctx.ResponseWriter().Flush()
	encoder := json.NewEncoder(ctx.ResponseWriter())
	var before *schema.Set
	for {
		event, set, err := s.nextEvent(ctx.Request().Context(), after, before)
		if err != nil {
			return
		}
		if encoder.Encode(event) != nil {
			return
		}
		ctx.ResponseWriter().Flush()
		if set != nil {
			after, before = event.Revision, set
		}
	}
}

// nextEvent waits for the next revision, and returns a heartbeat without a set if none
// arrives within the heartbeat interval.
func (s *Server) nextEvent(ctx context.Context, after int64, before *schema.Set) (Event, *schema.Set, error) {
	wait, cancel := context.WithTimeout(ctx, s.heartbeat())
	defer cancel()
	number, set, err := s.Watch(wait, after)
	if ctx.Err() != nil {
		return Event{}, nil, ctx.Err()
	}
	if err != nil && wait.Err() != nil {
		return Event{Revision: after, Heartbeat: true}, nil, nil
	}
	if err != nil {
		return Event{}, nil, err
	}
	document := set.Document()
	event := Event{Revision: number, Digest: config.Digest(document)}
	if before == nil {
		event.Document = string(document)
	} else {
		event.Changes = before.Diff(set)
	}
	return event, set, nil
}

func (s *Server) heartbeat() time.Duration {
	if s.Heartbeat > 0 {
		return s.Heartbeat
	}
	return DefaultHeartbeat
}

func failInvalid(ctx iris.Context, message string, err error) {
	var problems decode.Problems
	errors.As(err, &problems)
	listed := truncateProblems(problems)
	if len(listed) < len(problems) {
		message = fmt.Sprintf("%s; these are the first %d of %d", message, len(listed), len(problems))
	}
	fail(ctx, http.StatusUnprocessableEntity, Failure{Error: message, Problems: listed})
}

// truncateProblems returns the first problems, up to maxProblemBytes, and truncates long
// paths. A document of 4 MiB may have a problem in every line, and the whole answer would
// not fit into a node's memory.
func truncateProblems(problems decode.Problems) decode.Problems {
	var listed decode.Problems
	size := 0
	for _, problem := range problems {
		problem.Path = truncatePath(problem.Path)
		encoded, _ := json.Marshal(problem)
		size += len(encoded)
		if size > maxProblemBytes {
			break
		}
		listed = append(listed, problem)
	}
	return listed
}

func truncatePath(text string) string {
	runes := []rune(text)
	if len(runes) <= maxPathRunes {
		return text
	}
	return string(runes[:maxPathRunes-1]) + "…"
}

// failCommit answers a change that the node did not accept.
func (s *Server) failCommit(ctx iris.Context, err error, c change) {
	expected := c.expected
	switch {
	case errorx.IsOfType(err, Conflict):
		value, _ := errorx.ExtractProperty(err, propertyCurrent)
		current, _ := value.(int64)
		failConflict(ctx, err, expected, current)
	case errorx.IsOfType(err, config.Conflict):
		current, _, _ := s.current()
		failConflict(ctx, err, expected, current)
	case errorx.IsOfType(err, config.Unresolved):
		fail(ctx, http.StatusServiceUnavailable, Failure{
			Error: "the platform gave no clear answer: " + errorx.Cast(err).Message() +
				"; the same " + c.name + " with expected revision " + strconv.FormatInt(expected, 10) +
				" may be sent again and is never accepted twice",
		})
	default:
		failLoad(ctx, err)
	}
}

// failConflict answers with the error's message, which names both revisions. If current
// equals expected, this node has not yet learned of the change that the platform
// accepted, so Current is left out.
func failConflict(ctx iris.Context, err error, expected, current int64) {
	failure := Failure{Error: errorx.Cast(err).Message(), Expected: &expected}
	if current != expected {
		failure.Current = &current
	}
	fail(ctx, http.StatusConflict, failure)
}
