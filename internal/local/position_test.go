package local

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// Calls made by targets that announce themselves are queued in order of arrival, behind the
// requests of callers, whatever position they drew.
func TestInternalCallsQueueInArrivalOrder(t *testing.T) {
	is := is.New(t)
	target := newRawTarget(t)
	target.answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	target.hang = make(chan struct{})
	inner := &schema.Kind{Name: "inner", Service: "s", Method: http.MethodGet, Repeat: schema.Safe}
	announced := newServer(target.listener.Addr().String(), inner, schema.DefaultLimits())
	announced.settings.CheckTarget = func(string) result.Code { return result.OK }
	unannounced := newServer(target.listener.Addr().String(), inner, schema.DefaultLimits())
	for _, s := range []*Server{announced, unannounced} {
		for range 2 * int(minOrigins) {
			s.origins.count("inner", "orders")
		}
	}
	position := func(s *Server, kind string, drawn uint32) uint16 {
		request := newAttempt(inner)
		request.Kind = kind
		request.Position = drawn
		request.CallerService = "orders"
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.start(time.Now(), request).position()
	}
	is.Equal(position(announced, "inner", 60_000), uint16(0))
	is.Equal(position(announced, "inner", 3), uint16(0))
	is.Equal(position(announced, "direct", 3), uint16(3))
	is.Equal(position(unannounced, "inner", 60_000), uint16(60_000)) // without announcements, calls inherit the position of their request
	close(target.hang)
	<-announced.Drained()
	<-unannounced.Drained()
}
