package local

import (
	"net/http"

	"github.com/dandelionfield/dandelionfield/internal/httpc"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// hopByHop holds the hop-by-hop headers, which are never forwarded.
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

// packer builds a header list for the relay protocol. Its entries share one allocation.
type packer struct {
	headers []relaypb.Header
	packed  []*relaypb.Header
}

func newPacker(capacity int) *packer {
	return &packer{headers: make([]relaypb.Header, capacity), packed: make([]*relaypb.Header, 0, capacity)}
}

func (p *packer) add(name, value string) {
	if len(p.packed) >= len(p.headers) {
		p.packed = append(p.packed, &relaypb.Header{Name: name, Value: value})
		return
	}
	header := &p.headers[len(p.packed)]
	header.Name = name
	header.Value = value
	p.packed = append(p.packed, header)
}

// Pack converts the headers of a call to the relay protocol. It leaves out hop-by-hop
// headers and those that only a node may set.
func Pack(header http.Header) []*relaypb.Header {
	p := newPacker(len(header))
	for name, values := range header {
		if hopByHop[name] || name == ContextHeader || name == TimeLeftHeader {
			continue
		}
		for _, value := range values {
			p.add(name, value)
		}
	}
	return p.packed
}

// packFields converts the headers of an answer to the relay protocol, without the
// hop-by-hop ones.
func packFields(fields httpc.Fields) []*relaypb.Header {
	p := newPacker(len(fields))
	for _, field := range fields {
		if !hopByHop[http.CanonicalHeaderKey(field.Name)] {
			p.add(field.Name, field.Value)
		}
	}
	return p.packed
}

// Unpack converts headers from the relay protocol.
func Unpack(packed []*relaypb.Header) http.Header {
	header := make(http.Header, len(packed))
	values := make([]string, len(packed))
	for i, h := range packed {
		name := http.CanonicalHeaderKey(h.Name)
		if earlier := header[name]; earlier != nil {
			header[name] = append(earlier, h.Value)
			continue
		}
		values[i] = h.Value
		header[name] = values[i : i+1 : i+1]
	}
	return header
}
