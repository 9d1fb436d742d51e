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

// fakeOwner simulates the mesh for one request. It runs each key at most once while the key's
// record exists, and draws a random outcome for each attempt. It is also the clock of the
// caller under test.
type fakeOwner struct {
	t           *rapid.T
	now         time.Time
	ran         map[string]bool
	lostRecords map[string]bool
	// delayed holds the keys of attempts that are still in transit although the caller has
	// already seen an error.
	delayed    []string
	executions int
}

var errBroken = errors.New("connection broken")

func (o *fakeOwner) Now() time.Time {
	return o.now
}

func (o *fakeOwner) After(d time.Duration) <-chan time.Time {
	o.now = o.now.Add(d)
	fired := make(chan time.Time, 1)
	fired <- o.now
	return fired
}

// execute runs the request unless the key has run before or its record is lost. An attempt
// without a key always runs, because it cannot be recognised as a repeat.
func (o *fakeOwner) execute(key string) {
	if key != "" && (o.ran[key] || o.lostRecords[key]) {
		return
	}
	o.ran[key] = true
	o.executions++
}

// deliverDelayed delivers the attempts that are in transit.
func (o *fakeOwner) deliverDelayed() {
	for _, key := range o.delayed {
		o.execute(key)
	}
	o.delayed = nil
}

// RoundTrip draws a random outcome for one attempt.
func (o *fakeOwner) RoundTrip(request *http.Request) (*http.Response, error) {
	key := request.Header.Get(keyHeader)
	fresh := request.Header.Get(freshHeader) == "true"
	if rapid.Bool().Draw(o.t, "arrive") {
		o.deliverDelayed()
	}
	if key != "" && rapid.IntRange(0, 9).Draw(o.t, "dies") == 0 {
		o.lostRecords[key] = true
	}
	switch rapid.SampledFrom([]string{"refused", "lost", "late", "not_run", "cut", "unknown", "answer"}).Draw(o.t, "outcome") {
	case "refused":
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errBroken}
	case "lost":
		o.execute(key)
		return nil, errBroken
	case "late":
		o.delayed = append(o.delayed, key)
		return nil, errBroken
	case "not_run":
		code := rapid.SampledFrom([]result.Code{result.DoorClosed, result.Overloaded, result.NoTarget, result.KeyTooOld})
		return o.answer(request, code.Draw(o.t, "code"), false), nil
	}
	if o.lostRecords[key] {
		return o.answer(request, o.ownerLostCode(fresh), false), nil
	}
	code := result.OK
	if key != "" && o.ran[key] {
		code = result.Replayed
	}
	o.execute(key)
	if rapid.Bool().Draw(o.t, "timed_out") {
		code = result.TimedOut
	}
	return o.answer(request, code, rapid.Bool().Draw(o.t, "cut")), nil
}

// ownerLostCode returns the code of an entry node for a key whose owner is gone.
func (o *fakeOwner) ownerLostCode(fresh bool) result.Code {
	if fresh {
		return result.NoOwner
	}
	return rapid.SampledFrom([]result.Code{result.OwnerGone, result.OwnerUnclear}).Draw(o.t, "ownerless")
}

func (o *fakeOwner) answer(request *http.Request, code result.Code, cut bool) *http.Response {
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

// A request with the rule Never runs at most once, and the caller reports "not run" only for
// a request that ran nowhere, even if an attempt arrives late.
func TestReportedResultMatchesExecutions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		o := &fakeOwner{t: t, now: time.UnixMilli(1_700_000_000_000), ran: map[string]bool{}, lostRecords: map[string]bool{}}
		c := New([]string{"n1", "n2", "n3"})
		c.HTTP = &http.Client{Transport: o}
		c.Clock = o
		c.Retries = rapid.IntRange(0, 5).Draw(t, "retries")
		c.Random = func() float64 { return rapid.Float64Range(0, 0.99).Draw(t, "random") }
		repeat := rapid.SampledFrom([]Repeat{Safe, Never}).Draw(t, "repeat")
		request := Request{Method: http.MethodPost, Path: "/orders", Repeat: repeat}
		if rapid.Bool().Draw(t, "sent_before") {
			request.Key = mintKey()
			o.execute(request.Key)
		}
		answer, err := c.Do(context.Background(), request)
		o.deliverDelayed()
		if repeat == Never {
			is.True(o.executions <= 1) // a Never request runs at most once
		}
		if answer.Code.Family() == result.NotRun {
			is.Equal(o.executions, 0) // "not run" is reported only if nothing ran
		}
		if err == nil {
			is.Equal(string(answer.Body), "whole")
			is.True(o.executions >= 1)
		}
	})
}
