package filter

import (
	"net"
	"net/http"

	"github.com/dandelionfield/dandelionfield/internal/alloc"
	"github.com/dandelionfield/dandelionfield/internal/authn"
	"github.com/dandelionfield/dandelionfield/internal/local"
)

// MemoryClass returns the class of the memory that a request takes. Calls that the target makes
// have a class of their own, so that they do not wait for the memory of the requests that they
// are made for. The request is nil until its head is known; a connection from the target's host
// is taken for the target's until then.
//
// Where targets do not name the request that they make a call for, every request without a key
// from the target's host counts as a call of the target. The bound holds even if it is not.
func (in *Inbound) MemoryClass(raw net.Conn, request *http.Request) alloc.Class {
	switch {
	case !in.fromTargetHost(raw):
		return alloc.FromCallers
	case request == nil:
		return alloc.FromTarget
	case in.UnnamedCalls && authn.BearerKey(request.Header[AuthorizationHeader]) == "":
		return alloc.FromTarget
	}
	if _, ok := in.Serving(request.Header.Get(local.ContextHeader)); ok {
		return alloc.FromTarget
	}
	return alloc.FromCallers
}

// fromTargetHost reports whether the other end of a connection is at the target's host, which is
// also this node's: a connection within one host has the same address at both ends.
func (in *Inbound) fromTargetHost(raw net.Conn) bool {
	remote := hostOf(raw.RemoteAddr())
	return remote != "" && (remote == in.TargetHost || remote == hostOf(raw.LocalAddr()))
}

func hostOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return ""
	}
	return host
}
