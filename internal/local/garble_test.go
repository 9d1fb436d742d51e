package local

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/fate"
	"github.com/dandelionfield/dandelionfield/internal/http1"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	idHeader     = "Request-Id"
	notRunMark   = "Not-Run"
	sealHeader   = "Seal"
	wholeBody    = "rope"
	endlessBytes = 64 << 20
)

// scripted is a target that speaks by a script of its own on each connection.
type scripted struct {
	listener net.Listener
	mu       sync.Mutex
	// opened counts connections, ran the requests by id that were really run.
	opened int
	ran    map[string]int
}

func newScripted(t *testing.T, script func(s *scripted, conn net.Conn, reader *bufio.Reader)) *scripted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{listener: listener, ran: map[string]int{}}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.opened++
			s.mu.Unlock()
			go func() {
				defer func() { _ = conn.Close() }()
				script(s, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

func (s *scripted) run(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
}

func (s *scripted) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// nextID reads one request and returns its id.
func nextID(reader *bufio.Reader) (string, bool) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get(idHeader), true
}

func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", idHeader, id, notRunMark)
}

func success(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, sealHeader, len(wholeBody), wholeBody)
}

// marked is how the targets of these tests speak of a call.
func marked() Wire {
	return Wire{
		IDHeader: idHeader,
		Dress: func(about About) http1.Fields {
			return http1.Fields{{Name: idHeader, Value: about.RequestID}}
		},
		Judge: func(requestID string, status int, header http1.Fields) Mark {
			switch echoed := header.Get(idHeader); {
			case echoed != "" && echoed != requestID:
				return Foreign
			case header.Get(notRunMark) != "":
				return NotRun
			case status == http.StatusOK && (echoed == "" || header.Get(sealHeader) == ""):
				return Foreign
			}
			return Answered
		},
	}
}

func (s *scripted) door() *Target {
	target := NewTarget(s.listener.Addr().String(), 10, NewHeld(func() int64 { return 8 << 20 }))
	target.Wire = marked()
	return target
}

func ask(target *Target, id string) *Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	limits := schema.DefaultLimits()
	limits.MaxAnswerBytes = 1 << 20
	return target.Call(ctx, "", &relaypb.CarryRequest{Method: http.MethodGet, Path: "/rope", Host: "h", RequestId: id}, limits)
}

func outcomeOf(reply *Reply) result.Code {
	return fate.Classify(reply.Facts)
}

// A target that stops anywhere in its answer and closes has not answered: a caller
// would take an empty or short body for the whole.
func TestAnswerCutAnywhereIsNotWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length": success("a"),
		"in chunks": "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + sealHeader + ": s\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n2\r\nro\r\n2\r\npe\r\n0\r\n\r\n",
		"after an interim answer": "HTTP/1.1 100 Continue\r\n\r\n" + success("a"),
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(answer) {
				s := newScripted(t, func(_ *scripted, conn net.Conn, reader *bufio.Reader) {
					if _, ok := nextID(reader); ok {
						_, _ = io.WriteString(conn, answer[:cut])
					}
				})
				if reply := ask(s.door(), "a"); reply.Facts.BodyWhole || outcomeOf(reply).Family() != result.Unknown {
					t.Errorf("cut after %d bytes, %q: %s", cut, answer[max(0, cut-20):cut], outcomeOf(reply))
				}
			}
		})
	}
}

// A head without a length that is cut off names no body at all.
func TestHeadCutBeforeItsEndHasNoBody(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + sealHeader + ": s\r\nConnection: close\r\n"
	for cut := range len(head) {
		s := newScripted(t, func(_ *scripted, conn net.Conn, reader *bufio.Reader) {
			if _, ok := nextID(reader); ok {
				_, _ = io.WriteString(conn, head[:cut])
			}
		})
		if reply := ask(s.door(), "a"); outcomeOf(reply) != result.Lost {
			t.Errorf("cut after %d bytes: %s", cut, outcomeOf(reply))
		}
	}
}

// A faulty target writes an earlier refusal once more. The request that it spoke of
// comes again and runs: "not run" would be untrue of it.
func TestRefusalWrittenAgainIsNotTakenForTheRepeat(t *testing.T) {
	is := is.New(t)
	s := newScripted(t, func(s *scripted, conn net.Conn, reader *bufio.Reader) {
		refused := ""
		for {
			id, ok := nextID(reader)
			switch {
			case !ok:
				return
			case refused == "" && s.connections() == 1:
				refused = id
				_, _ = io.WriteString(conn, refusal(id))
			default:
				s.run(id)
				if refused != "" {
					_, _ = io.WriteString(conn, refusal(refused))
				}
				_, _ = io.WriteString(conn, success(id))
			}
		}
	})
	target := s.door()
	is.Equal(outcomeOf(ask(target, "a")), result.TargetShed)
	again := outcomeOf(ask(target, "a"))
	is.Equal(s.ran["a"], 1)
	is.True(again.Family() != result.NotRun) // it ran
	is.Equal(again, result.OK)
	is.Equal(outcomeOf(ask(target, "b")), result.OK)
}

// A refusal that does not say which request it speaks of is the last word on its
// connection: the next one there could be the same once more.
func TestRefusalWithoutAnIDEndsItsConnection(t *testing.T) {
	is := is.New(t)
	unnamed := "HTTP/1.1 503 Service Unavailable\r\n" + notRunMark + ": 1\r\nContent-Length: 0\r\n\r\n"
	s := newScripted(t, func(s *scripted, conn net.Conn, reader *bufio.Reader) {
		first := s.connections() == 1
		for {
			id, ok := nextID(reader)
			if !ok {
				return
			}
			if first {
				_, _ = io.WriteString(conn, unnamed)
				continue
			}
			s.run(id)
			_, _ = io.WriteString(conn, success(id))
		}
	})
	target := s.door()
	is.Equal(outcomeOf(ask(target, "a")), result.TargetShed)
	is.Equal(outcomeOf(ask(target, "b")), result.OK)
	is.Equal(s.connections(), 2)
}

// A head, interim answers or a body without end are cut off by bounds on memory, and
// their connection is closed, so that the target's writer fails.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	piece := strings.Repeat("x", 32<<10)
	for _, one := range []struct{ name, begin, more string }{
		{"bytes that are no answer", "", piece},
		{"one header line", "HTTP/1.1 200 OK\r\nX: ", piece},
		{"header lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Line: rope\r\n", 2000)},
		{"interim answers", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)},
		{"body", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + sealHeader + ": s\r\n\r\n", piece},
		{"chunks", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + sealHeader + ": s\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + piece + "\r\n"},
		{"chunk extension", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + sealHeader + ": s\r\nTransfer-Encoding: chunked\r\n\r\n4;x=", piece},
		{"trailer", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + sealHeader + ": s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-Line: rope\r\n", 2000)},
	} {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			written := make(chan int, 1)
			s := newScripted(t, func(_ *scripted, conn net.Conn, reader *bufio.Reader) {
				if _, ok := nextID(reader); !ok {
					return
				}
				_, err := io.WriteString(conn, one.begin)
				sum := 0
				for err == nil && sum < endlessBytes {
					_, err = io.WriteString(conn, one.more)
					sum += len(one.more)
				}
				written <- sum
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			reply := ask(s.door(), "a")
			runtime.ReadMemStats(&after)
			is.Equal(outcomeOf(reply).Family(), result.Unknown)
			is.True(<-written < endlessBytes)                    // the connection was closed
			is.True(after.TotalAlloc-before.TotalAlloc < 16<<20) // and little was taken
		})
	}
}
