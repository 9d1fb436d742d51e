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

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// send makes one sending and waits for its whole answer.
func (c *Caller) send(ctx context.Context, request Request, s sending) (Answer, outcome) {
	answer := Answer{Key: s.key, Node: s.node}
	limited, cancel := c.withTimeout(ctx, s.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	formed, err := c.form(httptrace.WithClientTrace(limited, trace), request, s)
	if err != nil {
		answer.Code = result.BadRequest
		answer.Detail = err.Error()
		return answer, outcome{code: answer.Code}
	}
	response, err := c.client().Do(formed)
	if err != nil {
		sent := connected.Load() || !refused(err)
		answer.Code = interrupted(ctx, limited, sent)
		answer.Detail = err.Error()
		return answer, outcome{code: answer.Code, sent: sent}
	}
	defer response.Body.Close()
	body, code, detail := c.read(response)
	if code == 0 {
		code = interrupted(ctx, limited, true)
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
	wait := retryAfter(response.Header.Get("Retry-After"), c.Clock.Now())
	return answer, outcome{code: code, refusal: answer.Refusal, sent: true, answered: true, retryAfter: wait}
}

// form makes the HTTP request of one sending.
func (c *Caller) form(ctx context.Context, request Request, s sending) (*http.Request, error) {
	// The body's type hides that it could be read again, so that net/http never
	// repeats the request by itself: the repeat would claim a fresh key too.
	body := io.NopCloser(struct{ io.Reader }{bytes.NewReader(request.Body)})
	formed, err := http.NewRequestWithContext(ctx, request.Method, "http://"+s.node+request.Path, body)
	if err != nil {
		return nil, err
	}
	formed.ContentLength = int64(len(request.Body))
	if request.Header != nil {
		formed.Header = request.Header.Clone()
	}
	header := formed.Header
	header.Del(keyHeader)
	header.Del(freshHeader)
	header.Set(deadlineHeader, s.left.String())
	if header.Get("Accept-Encoding") == "" {
		// A transport that unpacked the answer would hide its length.
		header.Set("Accept-Encoding", "identity")
	}
	if s.key != "" {
		header.Set(keyHeader, s.key)
	}
	if s.fresh {
		header.Set(freshHeader, "true")
	}
	return formed, nil
}

// client is the caller's HTTP client without redirects.
func (c *Caller) client() *http.Client {
	client := *c.HTTP
	client.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return &client
}

// read takes the body whole and returns it with the node's code. Otherwise it
// returns a code of the caller's own with the reason in words. The code is 0
// when the connection broke.
func (c *Caller) read(response *http.Response) ([]byte, result.Code, string) {
	number, err := strconv.ParseUint(response.Header.Get(codeHeader), 10, 16)
	code := result.Code(number)
	if err != nil || code.Family() < result.Complete || code.Family() > result.Unknown {
		return nil, result.Lost, "the answer has no " + codeHeader
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.MaxAnswerBytes+1))
	failed, detail := c.fault(response, body, err)
	if detail != "" && code.Family() == result.NotRun {
		// The headers have said it all; only the explanation is missing.
		return nil, code, detail
	}
	if detail != "" {
		return nil, failed, detail
	}
	return body, code, ""
}

// fault says what keeps an answer from being whole; the detail is empty when
// nothing does.
func (c *Caller) fault(response *http.Response, body []byte, err error) (result.Code, string) {
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return result.AnswerTruncated, fmt.Sprintf("%d of %d bytes arrived", len(body), response.ContentLength)
	case err != nil:
		return 0, err.Error()
	case int64(len(body)) > c.MaxAnswerBytes:
		return result.AnswerTooLarge, fmt.Sprintf("the answer is longer than %d bytes", c.MaxAnswerBytes)
	case !bounded(response):
		return result.AnswerTruncated, "the answer has no length"
	}
	return 0, ""
}

// bounded says whether the end of the answer's body can be told from the end
// of its connection.
func bounded(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 ||
		response.ProtoMajor > 1 || response.Request.Method == http.MethodHead
}

// interrupted returns the code for a sending without a whole answer.
func interrupted(ctx, limited context.Context, sent bool) result.Code {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		if sent {
			return result.CancelledLate
		}
		return result.Cancelled
	case !sent:
		return result.Unreachable
	case limited.Err() != nil:
		return result.TimedOut
	}
	return result.Lost
}

// refused says whether an error proves that no connection could be opened.
func refused(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// retryAfter reads seconds or an HTTP date, and returns 0 for anything else.
func retryAfter(text string, now time.Time) time.Duration {
	if seconds, err := strconv.Atoi(text); err == nil {
		return time.Duration(max(seconds, 0)) * time.Second
	}
	if at, err := http.ParseTime(text); err == nil {
		return max(at.Sub(now), 0)
	}
	return 0
}
