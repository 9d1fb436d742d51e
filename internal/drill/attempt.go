package drill

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	statusOK = http.StatusOK
	// longestAnswer bounds what a caller reads of an answer.
	longestAnswer = 4 << 20
)

// try sends one attempt of a caller and judges what came back.
func (l *Load) try(ctx context.Context, kind *schema.Kind, entry, attempt, key string, fresh bool) Try {
	timeout := time.Duration(l.Config.Callers.TimeoutShare * float64(kind.Deadline))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := newAttempt(ctx, kind, entry, attempt, key)
	if err != nil {
		return Try{Result: "bad_request"}
	}
	if key != "" && fresh {
		request.Header.Set(freshHeader, "true")
	}
	answer, err := l.client.Do(request)
	if err != nil {
		return Try{Result: faultName(err)}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, longestAnswer))
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return Check(answer.StatusCode, answer.Header, nil, kind.Name, attempt)
	}
	if err != nil {
		return Try{Result: faultName(err)}
	}
	return Check(answer.StatusCode, answer.Header, body, kind.Name, attempt)
}

// Check judges one answer: its code, and for a success whether the body is
// whole and belongs to the request. A replayed answer names the attempt that
// ran, so only the requests are compared.
func Check(status int, header http.Header, body []byte, kind, attempt string) Try {
	try := Try{Status: status, Result: header.Get(resultHeader)}
	try.Code, _ = strconv.Atoi(header.Get(codeHeader))
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
		try.RetryAfter = time.Duration(seconds) * time.Second
	}
	if try.Result == "" {
		try.Result = "http_" + strconv.Itoa(status)
	}
	if status != statusOK {
		return try
	}
	var answer Answer
	if err := json.Unmarshal(body, &answer); err != nil || !answer.Whole() {
		try.Torn = true
		try.Result = "torn"
		return try
	}
	if answer.Kind != kind || baseRequest(answer.Request) != baseRequest(attempt) {
		try.Foreign = true
		try.Result = "foreign"
	}
	return try
}

// newAttempt builds a request that net/http cannot repeat by itself: with an
// Idempotency-Key it would do so for a body that it can rewind.
func newAttempt(ctx context.Context, kind *schema.Kind, entry, attempt, key string) (*http.Request, error) {
	url := "http://" + entry + fillPath(kind.Path, baseRequest(attempt))
	if kind.Method == http.MethodGet {
		request, err := http.NewRequestWithContext(ctx, kind.Method, url, nil)
		if err != nil {
			return nil, err
		}
		request.Header.Set(RequestHeader, attempt)
		return request, nil
	}
	body := `{"request":"` + baseRequest(attempt) + `"}`
	request, err := http.NewRequestWithContext(ctx, kind.Method, url, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(RequestHeader, attempt)
	if key != "" {
		request.Header.Set(keyHeader, key)
	}
	return request, nil
}

func attemptName(id string, try int) string {
	return id + "." + strconv.Itoa(try+1)
}

func mintKey(kind *schema.Kind) string {
	if kind.Repeat != schema.Never {
		return ""
	}
	key, err := uuid.NewV7()
	if err != nil {
		return ""
	}
	return key.String()
}

// wantsNewKey reports whether the answer says that the key cannot run and is
// known not to have run. A lost owner leaves that open but for a first attempt.
func wantsNewKey(try Try, index int) bool {
	switch result.Code(try.Code) {
	case result.KeyTooOld, result.KeyFromFuture, result.NoOwner:
		return true
	case result.OwnerGone, result.OwnerUnclear:
		return index == 0
	}
	return false
}

func faultName(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "timeout"
	}
	if errors.Is(err, context.Canceled) {
		return "stopped"
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "connection_refused"
	}
	return "connection_lost"
}
