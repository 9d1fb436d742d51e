package filter

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// slashEscaper encodes encoded slashes once more, so that they survive decoding.
var slashEscaper = strings.NewReplacer("%2F", "%252F", "%2f", "%252f")

// kindOf returns the kind of a request if all interpretations of its path lead to the same
// kind. Targets differ in when they decode a path, and the node forwards the path
// unchanged. If the node and the target disagreed about the kind, a request could evade its
// importance, or be retried although its kind must not be.
//
//	/orders/7%2Fnotes   /orders/7/notes when decoded, but /orders/{order} for many targets
//	/ord%65rs/7         /orders/7 when decoded, but not for a target that never decodes
//	/orders/caf%C3%A9   /orders/{order} for all targets
//
// A prefix is compared with the path as it was sent, which is what the target receives.
func kindOf(rules *Rules, request *http.Request) (*schema.Kind, bool) {
	method, requestURL := request.Method, request.URL
	if rules.MatchPrefix != nil {
		if kind, ok := rules.MatchPrefix(request.Host, requestURL.EscapedPath()); ok {
			return kind, true
		}
	}
	kind, ok := rules.Match(method, requestURL.Path)
	if !ok {
		return nil, false
	}
	escaped := requestURL.EscapedPath()
	decodedSegments, err := url.PathUnescape(slashEscaper.Replace(escaped))
	if err != nil {
		return nil, false
	}
	for _, interpretation := range []string{decodedSegments, escaped} {
		if interpretation == requestURL.Path {
			continue
		}
		if other, ok := rules.Match(method, interpretation); !ok || other != kind {
			return nil, false
		}
	}
	return kind, true
}
