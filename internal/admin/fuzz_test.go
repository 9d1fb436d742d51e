package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// fuzzRevision is the revision in force before each request.
	fuzzRevision = 7
	// fuzzAnswerBytes limits an error answer: a thousandth of a node's memory of 64 MB,
	// and of the size that the problems of a long document could otherwise reach.
	fuzzAnswerBytes = 64 << 10
	validDocument   = "resource: service\nname: orders\nslots: 115\nconnections: 800\n"
)

var (
	fuzzMethods = []string{http.MethodGet, http.MethodPost, http.MethodDelete, http.MethodPut, http.MethodHead, http.MethodOptions, "BREW"}
	// fuzzStatuses are the statuses in the operators' documentation. A node without
	// internal faults gives no others.
	fuzzStatuses = []int{
		http.StatusOK, http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusConflict, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity,
	}
)

// FuzzRequests sends arbitrary requests to a node without internal faults. Each request
// gets a documented answer and raises the revision by one or leaves it unchanged.
func FuzzRequests(f *testing.F) {
	addRequests(f)
	node := &fakeNode{ready: true}
	server := node.server()
	server.Watch = func(context.Context, int64) (int64, *schema.Set, error) { return 0, nil, io.EOF }
	handler := server.Handler()
	f.Fuzz(func(t *testing.T, method uint8, path, query, token, body string) {
		node.number, node.set = fuzzRevision, &schema.Set{Limits: schema.DefaultLimits()}
		request := &http.Request{
			Method: fuzzMethods[int(method)%len(fuzzMethods)],
			URL:    &url.URL{Path: "/" + strings.TrimPrefix(path, "/"), RawQuery: query},
			Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
			Header: http.Header{"Authorization": {token}},
			Body:   io.NopCloser(strings.NewReader(body)),
			Host:   "127.0.0.1", RemoteAddr: "127.0.0.1:2",
		}
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request.WithContext(t.Context()))
		checkAnswer(t, request, answer)
		checkChange(t, node, request, answer, body)
		if request.URL.Path == "/v1/apply" && len(body) > maxDocumentBytes && answer.Code < http.StatusBadRequest {
			t.Fatalf("status %d for a document of %d bytes", answer.Code, len(body))
		}
	})
}

// checkAnswer compares an answer with the operators' documentation.
func checkAnswer(t *testing.T, request *http.Request, answer *httptest.ResponseRecorder) {
	if !slices.Contains(fuzzStatuses, answer.Code) {
		t.Fatalf("status %d: %s", answer.Code, answer.Body)
	}
	authorised := request.Header.Get("Authorization") == "Bearer "+testToken
	if !authorised && strings.HasPrefix(request.URL.Path, "/v1/") && answer.Code < http.StatusBadRequest {
		t.Fatalf("status %d without the token", answer.Code)
	}
	if answer.Code < http.StatusBadRequest || request.Method == http.MethodHead {
		return
	}
	var failure Failure
	// The part of the URL that an error quotes may grow sixfold when encoded as JSON.
	quoted := 6 * (len(request.URL.Path) + len(request.URL.RawQuery))
	if answer.Body.Len() > fuzzAnswerBytes+quoted {
		t.Fatalf("%d bytes of errors", answer.Body.Len())
	}
	if err := json.Unmarshal(answer.Body.Bytes(), &failure); err != nil || failure.Error == "" {
		t.Fatalf("status %d without an error: %s", answer.Code, answer.Body)
	}
	if answer.Code == http.StatusUnprocessableEntity && len(failure.Problems) == 0 {
		t.Fatalf("errors without a place: %s", answer.Body)
	}
}

// checkChange checks that only an accepted change that is not a dry run has made a
// revision, and that applying the document of that revision again changes nothing.
func checkChange(t *testing.T, node *fakeNode, request *http.Request, answer *httptest.ResponseRecorder, body string) {
	var applied Applied
	accepted := answer.Code == http.StatusOK && (request.Method == http.MethodPost || request.Method == http.MethodDelete) &&
		request.URL.Path != "/v1/drain"
	if accepted {
		if err := json.Unmarshal(answer.Body.Bytes(), &applied); err != nil {
			t.Fatal(err)
		}
	}
	want := int64(fuzzRevision)
	dryRun, _ := strconv.ParseBool(request.URL.Query().Get("dry_run"))
	if accepted && !dryRun {
		want++
	}
	if accepted && applied.DryRun != dryRun {
		t.Fatalf("dry run %v, answered %v", dryRun, applied.DryRun)
	}
	if node.number != want || (accepted && applied.Revision != want) {
		t.Fatalf("revision %d, answered %d, want %d", node.number, applied.Revision, want)
	}
	document := node.set.Document()
	reparsed, err := schema.Parse("again", document)
	if err != nil {
		t.Fatalf("what was accepted has errors: %v\n%s\nfrom\n%s", err, document, body)
	}
	if !bytes.Equal(reparsed.Document(), document) {
		t.Fatalf("what was accepted reads otherwise:\n%s\n%s", document, reparsed.Document())
	}
}

// addRequests adds typical requests of operators and malformed variants of them to the
// seed corpus.
func addRequests(f *testing.F) {
	const get, post, remove = 0, 1, 2
	bearer := "Bearer " + testToken
	f.Add(uint8(post), "/v1/apply", "expected=7", bearer, validDocument)
	f.Add(uint8(post), "/v1/apply", "expected=7&dry_run=true", bearer, validDocument)
	f.Add(uint8(post), "/v1/apply", "", "", validDocument)
	f.Add(uint8(post), "/v1/apply", "expected=-1", bearer, validDocument)
	f.Add(uint8(post), "/v1/apply", "expected=99999999999999999999", bearer, validDocument)
	f.Add(uint8(post), "/v1/apply", "expected=6&expected=7", bearer, validDocument)
	f.Add(uint8(post), "/v1/apply", "dry_run=maybe;expected=7&%zz", bearer, validDocument)
	for _, body := range []string{
		"", "---\n---\n", "null", "[]", "resource: [", "resource: service\nresource: service\n", "\t", "\x00", "\xff\xfe",
		"resource: limits\nkey_age: 99999999999999999999h\n", "resource: limits\nmax_answer_bytes: 1e999\n",
		"resource: service\nname: *a\n", "a: &a [x]\nb: &b [*a, *a, *a]\nc: [*b, *b, *b]\n", strings.Repeat("[", 10_000), validDocument + "? " + strings.Repeat("x", fuzzAnswerBytes) + "\n: 1\n",
		strings.Repeat("resource: x\n---\n", 10_000),
		validDocument + strings.Repeat("#", maxDocumentBytes), "resource: !!binary service\n", "<<: *x\n", "resource: service\nname: ünï\nslots: 0x10\nconnections: 0o7\n",
	} {
		f.Add(uint8(post), "/v1/apply", "expected=7", bearer, body)
	}
	f.Add(uint8(post), "/v1/rollback", "revision=3&expected=7", bearer, "")
	f.Add(uint8(post), "/v1/rollback", "revision=7&expected=7", bearer, "")
	f.Add(uint8(post), "/v1/rollback", "revision=3", bearer, "")
	f.Add(uint8(remove), "/v1/resources/limits/limits", "expected=7", bearer, "")
	f.Add(uint8(remove), "/v1/resources/service/orders", "", bearer, "")
	f.Add(uint8(get), "/v1/resources/limits/limits", "", bearer, "")
	f.Add(uint8(get), "/v1/resources/%2e%2e/\x00", "", bearer, "")
	f.Add(uint8(get), "/v1/revisions/-3", "", bearer, "")
	f.Add(uint8(get), "/v1/watch", "after=-1", bearer, "")
	f.Add(uint8(get), "/v1/watch", "after=6", bearer, "")
	for _, path := range []string{"/v1/status", "/v1/history", "/v1/resources", "/v1/", "/metrics", "/healthz", "/readyz", "//v1/status", "/v1/../v1/status"} {
		f.Add(uint8(get), path, "", "bearer "+testToken, "")
		f.Add(uint8(get), path, "", bearer, "")
	}
}
