package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// testToken is the token of the scripted requests unless they name another.
const testToken = "0123456789abcdef"

// fakeNode is a node with its sequence of revisions in memory.
type fakeNode struct {
	number int64
	set    *schema.Set
	// fail is the error of the next requests, or nil.
	fail error
	// alreadyAccepted makes every apply return this revision, as if an earlier request
	// had been accepted; 0 disables it.
	alreadyAccepted int64
	ready           bool
}

func (node *fakeNode) server() *Server {
	return &Server{
		Log:      hclog.NewNullLogger(),
		Token:    testToken,
		Registry: prometheus.NewRegistry(),
		Current: func() (int64, *schema.Set, []byte) {
			if node.set == nil {
				return 0, nil, nil
			}
			return node.number, node.set, node.set.Document()
		},
		Apply: node.apply,
		History: func(context.Context) ([]config.Entry, error) {
			return []config.Entry{{Number: 2, Digest: "d2", Node: "orders-1", Restores: 1}, {Number: 1, Digest: "d1"}}, node.fail
		},
		LoadRevision: func(_ context.Context, number int64) (config.Revision, error) {
			return config.Revision{Number: number, Set: node.set, Document: []byte("former")}, node.fail
		},
		Rollback: func(ctx context.Context, _, expected int64, dryRun bool) (Applied, error) {
			return node.apply(ctx, node.set.Document(), expected, dryRun)
		},
		Ready:  func() bool { return node.ready },
		Drain:  func(context.Context) error { return nil },
		Status: func(context.Context) Status { return Status{Node: "orders-1", Revision: node.number} },
	}
}

func (node *fakeNode) apply(_ context.Context, document []byte, expected int64, dryRun bool) (Applied, error) {
	if node.fail != nil {
		return Applied{}, node.fail
	}
	if node.alreadyAccepted > 0 {
		return Applied{Revision: node.alreadyAccepted}, nil
	}
	if expected != node.number {
		return Applied{}, NewConflict(expected, node.number)
	}
	if dryRun {
		return Applied{Revision: node.number}, nil
	}
	set, err := schema.Parse("apply", document)
	if err != nil {
		return Applied{}, err
	}
	node.number++
	node.set = set
	return Applied{Revision: node.number}, nil
}

// TestRequests runs testdata/requests: each command is a request to a node, its input is
// the body, and its output is the status and body of the answer.
func TestRequests(t *testing.T) {
	node := &fakeNode{}
	handler := node.server().Handler()
	datadriven.RunTest(t, "testdata/requests", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "set" {
			node.ready = d.HasArg("ready")
			node.fail, node.alreadyAccepted = nil, 0
			if d.HasArg("before") {
				node.alreadyAccepted = 1
			}
			if d.HasArg("unresolved") {
				node.fail = config.Unresolved.New("whether revision 2 was accepted is not known")
			}
			if d.HasArg("gone") {
				node.fail = config.NotKept.New("revision 1 is not kept any more")
			}
			if d.HasArg("unreachable") {
				node.fail = config.Unreachable.New("the platform gave no answer")
			}
			if d.HasArg("invalid") {
				node.fail = config.Invalid.New("the document cannot be read")
			}
			if d.HasArg("conflict") {
				node.fail = config.Conflict.New("expected revision 1, but revision 2 is in force")
			}
			return "ok\n"
		}
		var path string
		d.ScanArgs(t, "path", &path)
		token := testToken
		d.MaybeScanArgs(t, "token", &token)
		request := httptest.NewRequest(d.Cmd, path, strings.NewReader(d.Input))
		if token != "none" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request)
		return fmt.Sprintf("%d\n%s\n", answer.Code, indent(answer.Body.Bytes()))
	})
}

func indent(body []byte) string {
	var value any
	if json.Unmarshal(body, &value) != nil {
		return strings.TrimSpace(string(body))
	}
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// TestWatchEndsOnDisconnect checks that a watch sends a revision, then heartbeats, and
// cancels the node's Watch call when the client disconnects.
func TestWatchEndsOnDisconnect(t *testing.T) {
	is := is.New(t)
	server := (&fakeNode{}).server()
	server.Heartbeat = time.Millisecond
	released := make(chan struct{})
	server.Watch = func(ctx context.Context, after int64) (int64, *schema.Set, error) {
		if after < 7 {
			return 7, &schema.Set{Limits: schema.DefaultLimits()}, nil
		}
		<-ctx.Done()
		if ctx.Err() == context.Canceled {
			close(released)
		}
		return 0, nil, ctx.Err()
	}
	httpServer := httptest.NewServer(server.Handler())
	defer httpServer.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, httpServer.URL+"/v1/watch?after=3", nil)
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+testToken)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	var events [3]Event
	for i := range events {
		is.NoErr(decoder.Decode(&events[i]))
	}
	is.Equal(events[0].Revision, int64(7))
	is.True(strings.Contains(events[0].Document, "resource: limits"))
	is.Equal(events[1], Event{Revision: 7, Heartbeat: true})
	cancel()
	_, _ = io.Copy(io.Discard, response.Body)
	<-released
}

// TestDegradedOnlyWhenOperatorIsNeeded covers faults that recover automatically and
// faults that need an operator.
func TestDegradedOnlyWhenOperatorIsNeeded(t *testing.T) {
	healthy := Status{
		Revision:          4,
		PlatformReachable: true,
		RevisionAgeMS:     rolloutGrace.Milliseconds() + 1,
		Members:           []Member{{Name: "a", Revision: 4}, {Name: "b", Revision: 4}},
		Services:          []Service{{Name: "s", Targets: []Target{{State: StateReady, Ejected: true, Floor: 1 << 17}}}},
	}
	cases := []struct {
		name   string
		change func(*Status)
		action string
	}{
		{"overload and an ejected target", func(*Status) {}, ""},
		{"short outage of the platform", func(s *Status) {
			s.PlatformReachable, s.PlatformSilentMS = false, platformGrace.Milliseconds()
		}, ""},
		{"long outage of the platform", func(s *Status) {
			s.PlatformReachable, s.PlatformSilentMS = false, platformGrace.Milliseconds()+1
		}, "bring the platform back"},
		{"rollout under way", func(s *Status) { s.Members[1].Revision, s.RevisionAgeMS = 3, 0 }, ""},
		{"member stuck", func(s *Status) { s.Members[1].Revision = 3 }, "look at the hosts of b"},
		{"no target", func(s *Status) { s.Services = []Service{{Name: "s", Targets: []Target{{State: "leaving"}}}} }, "start targets of s"},
		{"first target starts", func(s *Status) {
			s.Services = []Service{{Name: "s"}}
			s.Members[0] = Member{Name: "a", Service: "s", State: "starting", Revision: 4}
		}, ""},
		{"first target does not come up", func(s *Status) {
			s.Services = []Service{{Name: "s"}}
			s.Members[0] = Member{Name: "a", Service: "s", State: "starting", Revision: 4, AgeMS: startGrace.Milliseconds()}
		}, "start targets of s"},
		{"one of two targets stopped", func(s *Status) { s.Services = serviceWithTargets(true, false) }, ""},
		{"all targets stopped a moment ago", func(s *Status) {
			s.Services = serviceWithTargets(true)
			s.Services[0].Targets[0].StoppedMS = stopGrace.Milliseconds()
		}, ""},
		{"all targets stopped", func(s *Status) { s.Services = serviceWithTargets(true, true) }, "restart targets of s"},
		{"keys of a lost host", func(s *Status) { s.Services[0].Unowned = &Unowned{Slots: 1, Of: 12, Until: "later"} }, ""},
		{"handover waits", func(s *Status) { s.Members[1].PendingHandovers = 1 }, ""},
		{"two services without targets", func(s *Status) { s.Services = []Service{{Name: "s"}, {Name: "t"}} }, "start targets of s, t"},
		{"nothing declared", func(s *Status) { s.Revision, s.Members = 0, nil }, "apply a configuration"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status := healthy
			status.Members = append([]Member(nil), healthy.Members...)
			status.Services = append([]Service(nil), healthy.Services...)
			c.change(&status)
			status.Complete()
			degraded := status.Conditions[2]
			is.Equal(degraded.Type, Degraded)
			is.Equal(degraded.Action, c.action)
			is.Equal(degraded.Holds, c.action != "")
		})
	}
}

// serviceWithTargets returns a service whose targets are all ready; each argument tells
// whether one target has stopped.
func serviceWithTargets(targets ...bool) []Service {
	service := Service{Name: "s"}
	for _, stopped := range targets {
		target := Target{Node: "n", State: StateReady}
		if stopped {
			target.StoppedMS = stopGrace.Milliseconds() + 1
		}
		service.Targets = append(service.Targets, target)
	}
	return []Service{service}
}

// TestConditionsReportTransientFaults checks that faults that recover automatically
// appear in their conditions, but not in Degraded.
func TestConditionsReportTransientFaults(t *testing.T) {
	cases := []struct {
		condition string
		change    func(*Status)
		message   string
	}{
		{PlatformAnswers, func(s *Status) { s.PlatformReachable = false }, "silent for 3m0s"},
		{KeysOwned, func(s *Status) { s.Services[0].Unowned = &Unowned{Slots: 1, Of: 12, Until: "later"} }, "orders 9% until later"},
		{HandedOver, func(s *Status) { s.Members[0].PendingHandovers = 1 }, "at orders-1"},
		{TargetsRunning, func(s *Status) { s.Services[0].Targets[0].StoppedMS = 1 }, "orders-1"},
	}
	for _, c := range cases {
		t.Run(c.condition, func(t *testing.T) {
			is := is.New(t)
			status := Status{
				Revision: 1, PlatformReachable: true, PlatformSilentMS: 180_000,
				Members:  []Member{{Name: "orders-1", Revision: 1}},
				Services: []Service{{Name: "orders", Targets: []Target{{Node: "orders-1", State: StateReady}}}},
			}
			is.True(findCondition(status, c.condition).Holds)
			c.change(&status)
			broken := findCondition(status, c.condition)
			is.True(!broken.Holds)
			is.True(strings.Contains(broken.Message, c.message))
			is.True(!findCondition(status, Degraded).Holds) // no operator has to act
		})
	}
}

// findCondition returns a condition of the completed status.
func findCondition(status Status, condition string) Condition {
	status.Conditions = nil
	status.Complete()
	for _, c := range status.Conditions {
		if c.Type == condition {
			return c
		}
	}
	return Condition{}
}
