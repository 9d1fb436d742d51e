package filter

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"strconv"

	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/internal/httpd"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// retryAfterSeconds is the Retry-After value of rejections due to overload.
const retryAfterSeconds = "1"

// Handler returns a handler that answers requests of callers and targets with a chain.
func Handler(chain Next) func(ctx context.Context, request *http.Request) *httpd.Answer {
	return func(ctx context.Context, request *http.Request) *httpd.Answer {
		exchange := NewExchange(request)
		answer := chain(ctx, exchange)
		return Reply(exchange.Call.RequestID, answer)
	}
}

// NewExchange returns the exchange for a request.
func NewExchange(request *http.Request) *Exchange {
	remote, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		remote = ""
	}
	return &Exchange{Request: request, Call: &call.Call{}, Remote: remote, head: headOf(request)}
}

// Reply returns the HTTP answer to a request. It is the target's own answer if there is
// one, and otherwise a short JSON body that describes the result.
func Reply(requestID string, answer *call.Answer) *httpd.Answer {
	header := make(http.Header, len(answer.Header)+4)
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(CodeHeader, strconv.Itoa(int(answer.Code)))
	header.Set(ResultHeader, answer.Code.String())
	header.Del(RefusalHeader)
	if answer.Refusal != 0 {
		header.Set(RefusalHeader, answer.Refusal.String())
	}
	header.Del(RequestHeader)
	if requestID != "" {
		header.Set(RequestHeader, requestID)
	}
	status := answer.Status
	body := answer.Body
	if status == 0 {
		status, body = describeResult(answer)
		header.Set("Content-Type", "application/json")
		if status == http.StatusServiceUnavailable {
			header.Set("Retry-After", retryAfterSeconds)
		}
		if answer.RetryAfter > 0 {
			header.Set("Retry-After", strconv.FormatFloat(math.Ceil(answer.RetryAfter.Seconds()), 'f', 0, 64))
		}
	}
	return &httpd.Answer{Status: status, Header: header, Body: body}
}

// UnreadableReply returns the answer to a request that could not be parsed.
func UnreadableReply(status int, reason string) *httpd.Answer {
	refused := call.Refuse(result.BadRequest, reason)
	switch status {
	case http.StatusRequestEntityTooLarge:
		refused.Code = result.BodyTooLarge
	case http.StatusServiceUnavailable:
		// The head was not read, so an earlier transmission of the same key may have run.
		refused.Code = result.RepeatRefused
		refused.Refusal = result.MemoryBound
	}
	answer := Reply("", refused)
	answer.Status = status
	return answer
}

// describeResult returns the status and the JSON body for an answer without a target's own.
func describeResult(answer *call.Answer) (int, []byte) {
	info, ok := answer.Code.Info()
	if !ok {
		info.Status = http.StatusBadGateway
	}
	var refusal string
	if answer.Refusal != 0 {
		refused, _ := answer.Refusal.Info()
		info.Status = refused.Status
		refusal = answer.Refusal.String()
	}
	body, err := json.Marshal(struct {
		Code    int    `json:"code"`
		Result  string `json:"result"`
		Family  string `json:"family"`
		Refusal string `json:"refusal,omitempty"`
		Meaning string `json:"meaning"`
		Advice  string `json:"advice"`
		Detail  string `json:"detail,omitempty"`
	}{
		int(answer.Code), answer.Code.String(), answer.Code.Family().String(), refusal,
		info.Meaning, info.Advice, answer.Detail,
	})
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return info.Status, append(body, '\n')
}
