package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// owner plays the mesh for one request: it runs each key at most once for as
// long as its record lives, and draws what becomes of each sending.
type owner struct {
	t    *rapid.T
	now  time.Time
	ran  map[string]bool
	gone map[string]bool
	// late are the keys of sendings that are under way without an answer.
	late       []string
	executions int
}

var errBroken = errors.New("connection broken")

func (o *owner) Now() time.Time {
	return o.now
}

func (o *owner) After(d time.Duration) <-chan time.Time {
	o.now = o.now.Add(d)
	fired := make(chan time.Time, 1)
	fired <- o.now
	return fired
}

// run executes a key unless its record says that it ran. A sending without a
// key is known to nobody as a repeat.
func (o *owner) run(key string) {
	if key != "" && (o.ran[key] || o.gone[key]) {
		return
	}
	o.ran[key] = true
	o.executions++
}

// arrive lets sendings that were under way reach their owner.
func (o *owner) arrive() {
	for _, key := range o.late {
		o.run(key)
	}
	o.late = nil
}

// RoundTrip draws what becomes of one sending.
func (o *owner) RoundTrip(request *http.Request) (*http.Response, error) {
	key := request.Header.Get(keyHeader)
	fresh := request.Header.Get(freshHeader) == "true"
	if rapid.Bool().Draw(o.t, "arrive") {
		o.arrive()
	}
	if key != "" && rapid.IntRange(0, 9).Draw(o.t, "dies") == 0 {
		o.gone[key] = true
	}
	switch rapid.SampledFrom([]string{"refused", "lost", "late", "not_run", "cut", "unknown", "answer"}).Draw(o.t, "fate") {
	case "refused":
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errBroken}
	case "lost":
		o.run(key)
		return nil, errBroken
	case "late":
		o.late = append(o.late, key)
		return nil, errBroken
	case "not_run":
		code := rapid.SampledFrom([]result.Code{result.DoorClosed, result.Overloaded, result.NoTarget, result.KeyTooOld})
		return o.answer(request, code.Draw(o.t, "code"), false), nil
	}
	if o.gone[key] {
		return o.answer(request, o.ownerless(fresh), false), nil
	}
	code := result.OK
	if key != "" && o.ran[key] {
		code = result.Replayed
	}
	o.run(key)
	if rapid.Bool().Draw(o.t, "timed_out") {
		code = result.TimedOut
	}
	return o.answer(request, code, rapid.Bool().Draw(o.t, "cut")), nil
}

// ownerless is the code of an entry node for a key whose owner is gone.
func (o *owner) ownerless(fresh bool) result.Code {
	if fresh {
		return result.NoOwner
	}
	return rapid.SampledFrom([]result.Code{result.OwnerGone, result.OwnerUnclear}).Draw(o.t, "ownerless")
}

func (o *owner) answer(request *http.Request, code result.Code, cut bool) *http.Response {
	response := &http.Response{
		StatusCode:    http.StatusOK,
		Header:        http.Header{codeHeader: {strconv.Itoa(int(code))}},
		ContentLength: int64(len("whole")),
		Body:          io.NopCloser(strings.NewReader("whole")),
		Request:       request,
	}
	if cut {
		response.Body = io.NopCloser(io.MultiReader(strings.NewReader("wh"), brokenReader{}))
	}
	return response
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) {
	return 0, io.ErrUnexpectedEOF
}

// A request that may never repeat runs at most once, and "not run" is told only
// of a request that ran nowhere, even when a sending arrives late.
func TestExecutionsMatchWhatTheCallerIsTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		o := &owner{t: t, now: time.UnixMilli(1_700_000_000_000), ran: map[string]bool{}, gone: map[string]bool{}}
		c := New([]string{"n1", "n2", "n3"})
		c.HTTP = &http.Client{Transport: o}
		c.Clock = o
		c.Retries = rapid.IntRange(0, 5).Draw(t, "retries")
		c.Random = func() float64 { return rapid.Float64Range(0, 0.99).Draw(t, "random") }
		repeat := rapid.SampledFrom([]Repeat{Safe, Never}).Draw(t, "repeat")
		request := Request{Method: http.MethodPost, Path: "/orders", Repeat: repeat}
		if rapid.Bool().Draw(t, "sent_before") {
			request.Key = mintKey()
			o.run(request.Key)
		}
		answer, err := c.Do(context.Background(), request)
		o.arrive()
		if repeat == Never {
			is.True(o.executions <= 1) // at most once
		}
		if answer.Code.Family() == result.NotRun {
			is.Equal(o.executions, 0) // not run is true
		}
		if err == nil {
			is.Equal(string(answer.Body), "whole")
			is.True(o.executions >= 1)
		}
	})
}
