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

	"github.com/dandelionfield/dandelionfield/internal/dedup"
	"github.com/dandelionfield/dandelionfield/internal/httpc"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	idHeader     = "Request-Id"
	notRunHeader = "Not-Run"
	sealHeader   = "Seal"
	completeBody = "rope"
	endlessBytes = 64 << 20
)

// scriptedTarget is a target that runs a script on each connection.
type scriptedTarget struct {
	listener net.Listener
	mu       sync.Mutex
	// opened counts the connections, and ran the executions of each request by its id.
	opened int
	ran    map[string]int
}

func newScriptedTarget(t *testing.T, script func(s *scriptedTarget, conn net.Conn, reader *bufio.Reader)) *scriptedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedTarget{listener: listener, ran: map[string]int{}}
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

func (s *scriptedTarget) recordRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
}

func (s *scriptedTarget) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// readRequestID reads one request and returns its id.
func readRequestID(reader *bufio.Reader) (string, bool) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get(idHeader), true
}

func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", idHeader, id, notRunHeader)
}

func success(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, sealHeader, len(completeBody), completeBody)
}

// testWire returns the protocol that the targets of these tests use.
func testWire() Wire {
	return Wire{
		IDHeader: idHeader,
		Headers: func(info CallInfo) httpc.Fields {
			return httpc.Fields{{Name: idHeader, Value: info.RequestID}}
		},
		Classify: func(requestID string, status int, header httpc.Fields) Disposition {
			switch echoed := header.Get(idHeader); {
			case echoed != "" && echoed != requestID:
				return WrongRequest
			case header.Get(notRunHeader) != "":
				return NotRun
			case status == http.StatusOK && (echoed == "" || header.Get(sealHeader) == ""):
				return WrongRequest
			}
			return Answered
		},
	}
}

func (s *scriptedTarget) client() *Target {
	target := NewTarget(s.listener.Addr().String(), 10, NewHeldMemory(func() int64 { return 8 << 20 }))
	target.Wire = testWire()
	return target
}

func sendRequest(target *Target, id string) *Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	limits := schema.DefaultLimits()
	limits.MaxAnswerBytes = 1 << 20
	return target.Call(ctx, "", &relaypb.CarryRequest{Method: http.MethodGet, Path: "/rope", Host: "h", RequestId: id}, limits)
}

func classify(reply *Reply) result.Code {
	return dedup.Classify(reply.Facts)
}

// An answer is not complete if the target closes the connection anywhere in it. Otherwise
// a caller would mistake an empty or short body for the complete one.
func TestTruncatedAnswerIsIncomplete(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length": success("a"),
		"in chunks": "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + sealHeader + ": s\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n2\r\nro\r\n2\r\npe\r\n0\r\n\r\n",
		"after an interim answer": "HTTP/1.1 100 Continue\r\n\r\n" + success("a"),
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(answer) {
				s := newScriptedTarget(t, func(_ *scriptedTarget, conn net.Conn, reader *bufio.Reader) {
					if _, ok := readRequestID(reader); ok {
						_, _ = io.WriteString(conn, answer[:cut])
					}
				})
				if reply := sendRequest(s.client(), "a"); reply.Facts.BodyComplete || classify(reply).Family() != result.Unknown {
					t.Errorf("cut after %d bytes, %q: %s", cut, answer[max(0, cut-20):cut], classify(reply))
				}
			}
		})
	}
}

// If the target closes the connection within the head of an answer without a declared
// length, the answer is lost. The truncated head must not be taken for an answer with an
// empty body.
func TestTruncatedHeadIsLost(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + sealHeader + ": s\r\nConnection: close\r\n"
	for cut := range len(head) {
		s := newScriptedTarget(t, func(_ *scriptedTarget, conn net.Conn, reader *bufio.Reader) {
			if _, ok := readRequestID(reader); ok {
				_, _ = io.WriteString(conn, head[:cut])
			}
		})
		if reply := sendRequest(s.client(), "a"); classify(reply) != result.Lost {
			t.Errorf("cut after %d bytes: %s", cut, classify(reply))
		}
	}
}

// A faulty target sends an earlier rejection a second time, after the rejected request was
// retried and has run. The second rejection must not be taken for the answer to the retry,
// because the retry would then be reported as not run although it ran.
func TestDuplicateRefusalIsNotMatchedToRetry(t *testing.T) {
	is := is.New(t)
	s := newScriptedTarget(t, func(s *scriptedTarget, conn net.Conn, reader *bufio.Reader) {
		refused := ""
		for {
			id, ok := readRequestID(reader)
			switch {
			case !ok:
				return
			case refused == "" && s.connections() == 1:
				refused = id
				_, _ = io.WriteString(conn, refusal(id))
			default:
				s.recordRun(id)
				if refused != "" {
					_, _ = io.WriteString(conn, refusal(refused))
				}
				_, _ = io.WriteString(conn, success(id))
			}
		}
	})
	target := s.client()
	is.Equal(classify(sendRequest(target, "a")), result.TargetShed)
	retried := classify(sendRequest(target, "a"))
	is.Equal(s.ran["a"], 1)
	is.True(retried.Family() != result.NotRun) // the retry ran
	is.Equal(retried, result.OK)
	is.Equal(classify(sendRequest(target, "b")), result.OK)
}

// A connection is closed after a rejection that does not name its request, because the next
// rejection on that connection could be a duplicate of the first.
func TestRefusalWithoutIDClosesConnection(t *testing.T) {
	is := is.New(t)
	unnamed := "HTTP/1.1 503 Service Unavailable\r\n" + notRunHeader + ": 1\r\nContent-Length: 0\r\n\r\n"
	s := newScriptedTarget(t, func(s *scriptedTarget, conn net.Conn, reader *bufio.Reader) {
		first := s.connections() == 1
		for {
			id, ok := readRequestID(reader)
			if !ok {
				return
			}
			if first {
				_, _ = io.WriteString(conn, unnamed)
				continue
			}
			s.recordRun(id)
			_, _ = io.WriteString(conn, success(id))
		}
	})
	target := s.client()
	is.Equal(classify(sendRequest(target, "a")), result.TargetShed)
	is.Equal(classify(sendRequest(target, "b")), result.OK)
	is.Equal(s.connections(), 2)
}

// Endless heads, interim answers and bodies are cut off by memory limits. The connection
// is closed, so that the target's writes fail.
func TestEndlessAnswerIsAborted(t *testing.T) {
	piece := strings.Repeat("x", 32<<10)
	for _, tc := range []struct{ name, prefix, repeated string }{
		{"bytes that are no answer", "", piece},
		{"one header line", "HTTP/1.1 200 OK\r\nX: ", piece},
		{"header lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Line: rope\r\n", 2000)},
		{"interim answers", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)},
		{"body", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + sealHeader + ": s\r\n\r\n", piece},
		{"chunks", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + sealHeader + ": s\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + piece + "\r\n"},
		{"chunk extension", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + sealHeader + ": s\r\nTransfer-Encoding: chunked\r\n\r\n4;x=", piece},
		{"trailer", "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + sealHeader + ": s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-Line: rope\r\n", 2000)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			written := make(chan int, 1)
			s := newScriptedTarget(t, func(_ *scriptedTarget, conn net.Conn, reader *bufio.Reader) {
				if _, ok := readRequestID(reader); !ok {
					return
				}
				_, err := io.WriteString(conn, tc.prefix)
				sum := 0
				for err == nil && sum < endlessBytes {
					_, err = io.WriteString(conn, tc.repeated)
					sum += len(tc.repeated)
				}
				written <- sum
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			reply := sendRequest(s.client(), "a")
			runtime.ReadMemStats(&after)
			is.Equal(classify(reply).Family(), result.Unknown)
			is.True(<-written < endlessBytes)                    // the connection was closed
			is.True(after.TotalAlloc-before.TotalAlloc < 16<<20) // and little memory was allocated
		})
	}
}
