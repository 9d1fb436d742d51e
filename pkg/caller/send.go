package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/dandelionfield/dandelionfield/internal/httpc"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// send makes one attempt and waits for its complete answer.
func (c *Caller) send(ctx context.Context, request Request, a attempt) (Answer, outcome) {
	answer := Answer{Key: a.key, Node: a.node}
	attemptCtx, cancel := c.withTimeout(ctx, a.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	httpRequest, err := c.newHTTPRequest(httptrace.WithClientTrace(attemptCtx, trace), request, a)
	if err != nil {
		answer.Code = result.BadRequest
		answer.Detail = err.Error()
		return answer, outcome{code: answer.Code}
	}
	response, err := c.client().Do(httpRequest)
	if err != nil {
		sent := connected.Load() || !isDialError(err)
		answer.Code = failureCode(ctx, attemptCtx, sent)
		answer.Detail = err.Error()
		return answer, outcome{code: answer.Code, sent: sent}
	}
	defer response.Body.Close()
	if !isWellFormed(response) {
		answer.Code = result.Lost
		answer.Detail = "the head of the answer is malformed"
		return answer, outcome{code: answer.Code, sent: true}
	}
	body, code, detail := c.readAnswer(response)
	if code == 0 {
		code = failureCode(ctx, attemptCtx, true)
	}
	answer.Code = code
	answer.Detail = detail
	answer.RequestID = response.Header.Get(requestHeader)
	if detail == "" {
		answer.Replayed = code == result.Replayed
		answer.Status = response.StatusCode
		answer.Header = response.Header
		answer.Body = body
	}
	answer.Refusal, _ = result.Parse(response.Header.Get(refusalHeader))
	wait := parseRetryAfter(response.Header.Get("Retry-After"), c.Clock.Now())
	return answer, outcome{code: code, refusal: answer.Refusal, sent: true, answered: true, retryAfter: wait}
}

// newHTTPRequest returns the HTTP request of one attempt.
func (c *Caller) newHTTPRequest(ctx context.Context, request Request, a attempt) (*http.Request, error) {
	// The wrapper hides that the body can be rewound, so that net/http never repeats the
	// request on its own. Such a repeat would again mark its key as fresh.
	body := io.NopCloser(struct{ io.Reader }{bytes.NewReader(request.Body)})
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+a.node+request.Path, body)
	if err != nil {
		return nil, err
	}
	httpRequest.ContentLength = int64(len(request.Body))
	if request.Header != nil {
		httpRequest.Header = request.Header.Clone()
	}
	header := httpRequest.Header
	header.Del(keyHeader)
	header.Del(freshHeader)
	header.Set(deadlineHeader, a.timeLeft.String())
	if header.Get("Accept-Encoding") == "" {
		// A transport that decompressed the answer would hide its length.
		header.Set("Accept-Encoding", "identity")
	}
	if a.key != "" {
		header.Set(keyHeader, a.key)
	}
	if a.fresh {
		header.Set(freshHeader, "true")
	}
	return httpRequest, nil
}

// client returns a copy of the caller's HTTP client that does not follow redirects.
func (c *Caller) client() *http.Client {
	client := *c.HTTP
	client.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return &client
}

// isWellFormed reports whether the head of an answer has a final status and only valid field
// names. net/http also accepts other statuses, and names with spaces.
func isWellFormed(response *http.Response) bool {
	if !httpc.IsFinalStatus(response.StatusCode) {
		return false
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
	}
	return true
}

// readAnswer reads the whole body and returns it with the node's code. If the answer is not
// complete, it returns no body and a detail that describes the reason, with a code that the
// caller determined. The code is 0 if the connection broke. A NotRun code of the node is
// kept, because it does not depend on the body.
func (c *Caller) readAnswer(response *http.Response) ([]byte, result.Code, string) {
	number, err := strconv.ParseUint(response.Header.Get(codeHeader), 10, 16)
	code := result.Code(number)
	if err != nil || code.Family() < result.Complete || code.Family() > result.Unknown {
		return nil, result.Lost, "the answer has no " + codeHeader
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.MaxAnswerBytes+1))
	failed, detail := c.checkBody(response, body, err)
	if detail != "" && code.Family() == result.NotRun {
		// The headers already state that the request did not run, and the body would only
		// explain why.
		return nil, code, detail
	}
	if detail != "" {
		return nil, failed, detail
	}
	return body, code, ""
}

// checkBody returns the code and a description of what makes an answer incomplete. The
// description is empty if the answer is complete, and the code is 0 if the connection broke.
func (c *Caller) checkBody(response *http.Response, body []byte, err error) (result.Code, string) {
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return result.AnswerTruncated, fmt.Sprintf("%d of %d bytes arrived", len(body), response.ContentLength)
	case err != nil:
		return 0, err.Error()
	case int64(len(body)) > c.MaxAnswerBytes:
		return result.AnswerTooLarge, fmt.Sprintf("the answer is longer than %d bytes", c.MaxAnswerBytes)
	case !hasDelimitedBody(response):
		return result.AnswerTruncated, "the answer has no length"
	}
	return 0, ""
}

// hasDelimitedBody reports whether the end of the answer's body can be distinguished from a
// closed connection.
func hasDelimitedBody(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 ||
		response.ProtoMajor > 1 || response.Request.Method == http.MethodHead
}

// failureCode returns the code for an attempt without a complete answer.
func failureCode(ctx, attemptCtx context.Context, sent bool) result.Code {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		if sent {
			return result.CancelledLate
		}
		return result.Cancelled
	case !sent:
		return result.Unreachable
	case attemptCtx.Err() != nil:
		return result.TimedOut
	}
	return result.Lost
}

// isDialError reports whether an error proves that no connection could be opened.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// parseRetryAfter parses seconds or an HTTP date, and returns 0 for anything else.
func parseRetryAfter(text string, now time.Time) time.Duration {
	if seconds, err := strconv.Atoi(text); err == nil {
		return time.Duration(max(seconds, 0)) * time.Second
	}
	if at, err := http.ParseTime(text); err == nil {
		return max(at.Sub(now), 0)
	}
	return 0
}
