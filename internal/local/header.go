package local

import (
	"net/http"

	"github.com/dandelionfield/dandelionfield/internal/http1"
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

// packer fills the form in which headers travel. All entries share their memory.
type packer struct {
	headers []relaypb.Header
	packed  []*relaypb.Header
}

func newPacker(most int) *packer {
	return &packer{headers: make([]relaypb.Header, most), packed: make([]*relaypb.Header, 0, most)}
}

func (p *packer) add(name, value string) {
	if len(p.packed) == len(p.headers) {
		p.packed = append(p.packed, &relaypb.Header{Name: name, Value: value})
		return
	}
	header := &p.headers[len(p.packed)]
	header.Name = name
	header.Value = value
	p.packed = append(p.packed, header)
}

// Pack turns the headers of a call into the form in which they travel, without
// those of one connection and those that only a node may write.
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

// packFields is Pack for the headers of an answer.
func packFields(fields http1.Fields) []*relaypb.Header {
	p := newPacker(len(fields))
	for _, field := range fields {
		if !hopByHop[http.CanonicalHeaderKey(field.Name)] {
			p.add(field.Name, field.Value)
		}
	}
	return p.packed
}

// Unpack is the reverse of Pack.
func Unpack(packed []*relaypb.Header) http.Header {
	header := make(http.Header, len(packed))
	values := make([]string, len(packed))
	for i, h := range packed {
		name := http.CanonicalHeaderKey(h.Name)
		if before := header[name]; before != nil {
			header[name] = append(before, h.Value)
			continue
		}
		values[i] = h.Value
		header[name] = values[i : i+1 : i+1]
	}
	return header
}
