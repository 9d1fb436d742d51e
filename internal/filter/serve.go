package filter

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"github.com/dandelionfield/dandelionfield/internal/ahead"
	"github.com/dandelionfield/dandelionfield/internal/call"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// retryAfterSeconds is what callers are told to wait after a refusal for load.
const retryAfterSeconds = "1"

// Door answers the requests of callers and targets with a chain.
func Door(chain Next) func(ctx context.Context, request *http.Request) *ahead.Answer {
	return func(ctx context.Context, request *http.Request) *ahead.Answer {
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
	return &Exchange{Request: request, Call: &call.Call{}, Remote: remote}
}

// Reply makes an answer for the wire: the target's own where there is one,
// otherwise a short JSON body that names the result.
func Reply(requestID string, answer *call.Answer) *ahead.Answer {
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
		status, body = describe(answer)
		header.Set("Content-Type", "application/json")
		if status == http.StatusServiceUnavailable {
			header.Set("Retry-After", retryAfterSeconds)
		}
	}
	return &ahead.Answer{Status: status, Header: header, Body: body}
}

// Unreadable answers a request that could not be read.
func Unreadable(status int, reason string) *ahead.Answer {
	code := result.BadRequest
	if status == http.StatusRequestEntityTooLarge {
		code = result.BodyTooLarge
	}
	answer := Reply("", call.Refuse(code, reason))
	answer.Status = status
	return answer
}

func describe(answer *call.Answer) (int, []byte) {
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
