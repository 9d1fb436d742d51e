package filter

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"github.com/dandelionfield/dandelionfield/internal/call"
)

// retryAfterSeconds is what callers are told to wait after a refusal for load.
const retryAfterSeconds = "1"

// Handler serves callers and targets over HTTP with a chain.
func Handler(chain Next) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remote, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			remote = ""
		}
		exchange := &Exchange{Request: r, Call: &call.Call{}, Remote: remote}
		answer := chain(r.Context(), exchange)
		Write(w, exchange.Call.RequestID, answer)
	})
}

// Write sends an answer whole: the target's own where there is one, otherwise
// a short JSON body that names the result.
func Write(w http.ResponseWriter, requestID string, answer *call.Answer) {
	header := w.Header()
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
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
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
