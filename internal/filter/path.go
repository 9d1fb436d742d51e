package filter

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// slashes keeps encoded slashes as they are when a path is decoded.
var slashes = strings.NewReplacer("%2F", "%252F", "%2f", "%252f")

// kindOf finds the kind of a request, if every way to read its path leads to the
// same one. Targets differ in when they decode, and the path goes on to them as
// it came: a request that the node takes for another kind than the target would
// escape its importance or run again where it may not.
//
//	/orders/7%2Fnotes   decoded /orders/7/notes, for many targets /orders/{order}
//	/ord%65rs/7         decoded /orders/7, for a target that never decodes not
//	/orders/caf%C3%A9   /orders/{order} for all of them
//
// A prefix is compared with the path as it was sent, which a target sees too.
func kindOf(rules *Rules, request *http.Request) (*schema.Kind, bool) {
	method, address := request.Method, request.URL
	if rules.Prefix != nil {
		if kind, ok := rules.Prefix(request.Host, address.EscapedPath()); ok {
			return kind, true
		}
	}
	kind, ok := rules.Match(method, address.Path)
	if !ok {
		return nil, false
	}
	escaped := address.EscapedPath()
	segments, err := url.PathUnescape(slashes.Replace(escaped))
	if err != nil {
		return nil, false
	}
	for _, reading := range []string{segments, escaped} {
		if reading == address.Path {
			continue
		}
		if other, ok := rules.Match(method, reading); !ok || other != kind {
			return nil, false
		}
	}
	return kind, true
}
