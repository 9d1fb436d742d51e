package admin

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"
	"github.com/kataras/iris/v12"

	"github.com/dandelionfield/dandelionfield/internal/config"
)

// History is the answer to GET /v1/history.
type History struct {
	// Revision is the revision in force at this node.
	Revision int64 `json:"revision"`
	// Revisions holds the kept revisions, the latest first.
	Revisions []config.Entry `json:"revisions"`
}

func (s *Server) history(ctx iris.Context) {
	number, _, _ := s.current()
	kept, err := s.History(ctx.Request().Context())
	if err != nil {
		failLoad(ctx, err)
		return
	}
	_ = ctx.JSON(History{Revision: number, Revisions: orEmpty(kept)})
}

// revision serves a kept revision in the same form as list serves the one in force.
func (s *Server) revision(ctx iris.Context) {
	text := ctx.Params().Get("number")
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 1 {
		fail(ctx, http.StatusBadRequest, Failure{Error: "a revision number from 1 must follow, found " + strconv.Quote(text)})
		return
	}
	former, err := s.LoadRevision(ctx.Request().Context(), number)
	if err != nil {
		failLoad(ctx, err)
		return
	}
	_ = ctx.JSON(Listing{
		Revision:  former.Number,
		Digest:    former.Digest,
		Resources: former.Set.Resources(),
		Document:  string(former.Document),
	})
}

// rollback makes the document of a kept revision the next revision. The expected revision
// is mandatory, to make sure that the operator has seen what is in force.
func (s *Server) rollback(ctx iris.Context) {
	number, ok := requiredRevision(ctx, "revision")
	if !ok {
		return
	}
	if _, ok := requiredRevision(ctx, "expected"); !ok {
		return
	}
	expected, dryRun, ok := commitParameters(ctx, 0)
	if !ok {
		return
	}
	if number == expected {
		fail(ctx, http.StatusBadRequest, Failure{
			Error: fmt.Sprintf("revision %d is the expected one, so there is nothing to go back to; see `dandelionfield history`", number),
		})
		return
	}
	s.runChange(ctx, change{name: "rollback", expected: expected, dryRun: dryRun, run: func(ctx context.Context) (Applied, error) {
		return s.Rollback(ctx, number, expected, dryRun)
	}})
}

// requiredRevision reads a mandatory revision number from the query and answers the
// request itself when the number is missing or invalid.
func requiredRevision(ctx iris.Context, name string) (int64, bool) {
	if ctx.URLParam(name) == "" {
		fail(ctx, http.StatusBadRequest, Failure{Error: name + " must be given, as a revision number"})
		return 0, false
	}
	return revisionParameter(ctx, name, 0)
}

func failLoad(ctx iris.Context, err error) {
	if !failUnavailableRevision(ctx, err) {
		fail(ctx, http.StatusInternalServerError, Failure{Error: err.Error()})
	}
}

// failUnavailableRevision answers a request for a revision that is not available, and
// reports whether the error is of that kind.
func failUnavailableRevision(ctx iris.Context, err error) bool {
	text := errorx.Cast(err)
	switch {
	case errorx.IsOfType(err, config.NotKept):
		fail(ctx, http.StatusGone, Failure{Error: text.Message()})
	case errorx.IsOfType(err, config.Unreachable):
		fail(ctx, http.StatusServiceUnavailable, Failure{Error: text.Message(), Unchanged: true})
	case errorx.IsOfType(err, config.Invalid):
		fail(ctx, http.StatusUnprocessableEntity, Failure{Error: "this version of the node cannot use the revision: " + err.Error()})
	default:
		return false
	}
	return true
}
