package httpd_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// expectContinue is the head of a request that awaits the word to send its body.
const expectContinue = "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"

func put(path, body string) string {
	return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// A caller that disconnects while one of its requests waits for those before it cancels them
// all, and the waiting one never runs. Before, the connection was not read while a request
// waited, so that the work went on to its end.
func TestDisconnectIsNoticedWhileARequestWaits(t *testing.T) {
	for name, waiting := range map[string]string{
		"unsafe method":                put("/order", "rope"),
		"unsafe method, more behind":   put("/order", "rope") + put("/order", "hemp") + get("/behind"),
		"unsafe method, half a head":   put("/order", "rope") + "GET /behi",
		"unsafe method, long request":  put("/order", "rope") + put("/order", strings.Repeat("x", 32<<10)),
		"body not asked for yet":       expectContinue,
		"as many as may be unanswered": strings.Repeat(get("/slow"), 40),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, defaultLimits, "/slow")
			conn, _ := s.dial(t)
			send(t, conn, get("/slow")+waiting)
			is.Equal(<-s.started, "/slow")
			time.Sleep(50 * time.Millisecond) // the waiting request has been read
			_ = conn.Close()
			select {
			case cancelled := <-s.cancelled:
				is.Equal(cancelled, "/slow cancelled")
			case <-time.After(5 * time.Second):
				t.Fatal("the caller's disconnect was not noticed")
			}
			for s.server.InFlight() > 0 {
				time.Sleep(time.Millisecond)
			}
			close(s.started)
			for path := range s.started {
				is.Equal(path, "/slow") // no waiting request has run
			}
		})
	}
}

// What is read while a request waits is not lost: it is parsed once the request has its turn,
// in the order in which it was sent.
func TestRequestsBehindAWaitingOneAreServed(t *testing.T) {
	is := is.New(t)
	limits := defaultLimits
	limits.BodyBytes = 1 << 20
	s := startServer(t, limits, "/slow")
	conn, reader := s.dial(t)
	// More than what is read ahead.
	long := strings.Repeat("rope and hemp ", 20<<10)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = fmt.Fprint(conn, get("/slow")+put("/order", "rope")+get("/second")+put("/order", long)+get("/last"))
	}()
	is.Equal(<-s.started, "/slow")
	time.Sleep(50 * time.Millisecond)
	is.Equal(s.runs.Load(), int64(1))
	s.holds["/slow"] <- struct{}{}
	for _, want := range []string{"GET /slow ", "PUT /order rope", "GET /second ", "PUT /order " + long, "GET /last "} {
		response, body := readAnswer(t, reader)
		is.Equal(response.StatusCode, 200)
		is.True(body == want)
	}
	<-sent
}

// The time that a caller has for its body begins when it is told to send the body, not while
// its request waits for an earlier one that outlasts this time.
func TestBodyTimeoutBeginsWithContinue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startServer(t, defaultLimits, "/slow")
	conn, reader := s.dial(t)
	is.NoErr(conn.SetDeadline(time.Now().Add(30 * time.Second)))
	send(t, conn, get("/slow")+expectContinue)
	is.Equal(<-s.started, "/slow")
	time.Sleep(10500 * time.Millisecond) // the least time for a body is 10 s
	s.holds["/slow"] <- struct{}{}
	_, body := readAnswer(t, reader)
	is.Equal(body, "GET /slow ")
	line, err := reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, _ = reader.ReadString('\n')
	send(t, conn, "rope")
	_, body = readAnswer(t, reader)
	is.Equal(body, "POST /order rope")
}
