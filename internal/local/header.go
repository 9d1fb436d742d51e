package local

import (
	"net/http"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// hopByHop are the headers that belong to one connection and never travel on.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// Pack turns the headers of a call into the form in which they travel, without
// those of one connection and those that only a node may write.
func Pack(header http.Header) []*relaypb.Header {
	clean := header.Clone()
	clean.Del(ContextHeader)
	clean.Del(TimeLeftHeader)
	return pack(clean)
}

// Unpack is the reverse of Pack.
func Unpack(packed []*relaypb.Header) http.Header {
	header := make(http.Header, len(packed))
	for _, h := range packed {
		header.Add(h.Name, h.Value)
	}
	return header
}
