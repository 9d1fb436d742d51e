package shell

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/admin"
)

// nodes are the statuses that nodes give, by name. One without is silent.
type nodes map[string]*admin.Status

const awaited = 7

// serve starts a node for each status and announces their addresses to all. A
// member without a status of its own has the address of nobody.
func (n nodes) serve(t *testing.T) map[string]string {
	addresses := map[string]string{}
	for name, status := range n {
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(status)
		}))
		t.Cleanup(web.Close)
		addresses[name] = web.Listener.Addr().String()
	}
	for _, status := range n {
		for i, m := range status.Members {
			status.Members[i].AdminAddress = "127.0.0.1:1"
			if address, ok := addresses[m.Name]; ok {
				status.Members[i].AdminAddress = address
			}
		}
	}
	return addresses
}

// seen is the status of a node of the data centre that knows the members.
func seen(name, dataCentre string, members ...admin.Member) *admin.Status {
	return &admin.Status{Node: name, DataCentre: dataCentre, State: "active", Revision: awaited, Members: members}
}

func at(name, dataCentre string, revision int64) admin.Member {
	return admin.Member{Name: name, DataCentre: dataCentre, State: "active", Revision: revision}
}

// TestWaitAsksNodesElsewhere waits for revision 7 by way of node a.
func TestWaitAsksNodesElsewhere(t *testing.T) {
	a, b, c, d := at("a", "east", awaited), at("b", "west", awaited), at("c", "north", awaited), at("d", "west", 5)
	e := at("e", "west", awaited)
	stuck := seen("a", "east", a, b, c, d)
	stuck.Services = []admin.Service{{Name: "s", Targets: []admin.Target{{Node: "d", State: admin.StateSilent}}}}
	cases := []struct {
		name  string
		nodes nodes
		want  string
	}{
		{"in force", nodes{"a": seen("a", "east", a, b, c), "b": seen("b", "west", a, b, c), "c": seen("c", "north", a, b, c)}, ""},
		{"alone", nodes{"a": seen("a", "east", a)}, ""},
		{"others know more", nodes{"a": seen("a", "east", a, b, c), "b": seen("b", "west", a, b, c, d), "c": seen("c", "north", a, b, c)},
			"it lags at d (west, active, has revision 5, unknown to a)"},
		{"the first is behind with its news", nodes{"a": seen("a", "east", a, at("b", "west", 5), c), "b": seen("b", "west", a, b, c), "c": seen("c", "north", a, b, c)}, ""},
		{"silent member", nodes{"a": stuck, "c": seen("c", "north", a, b, c), "b": seen("b", "west", a, b, c)},
			"it lags at d (west, active, has revision 5, does not answer, unknown to c)"},
		{"silent data centre", nodes{"a": seen("a", "east", a, b, c), "c": seen("c", "north", a, b, c)}, "no second opinion: no connection to 127.0.0.1:1"},
		{"another of a data centre answers", nodes{"a": seen("a", "east", a, b, c, e), "c": seen("c", "north", a, b, c), "e": seen("e", "west", a, b, c, d, e)},
			"it lags at d (west, active, has revision 5, unknown to a)"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := &skipClock{alarms: map[chan time.Time]time.Time{}, skip: scriptSkip}
			app := &app{Seams: Seams{Clock: clock}, stdout: io.Discard, stderr: io.Discard}
			app.client.node = test.nodes.serve(t)["a"]
			err := app.waitInForce(t.Context(), awaited, time.Second)
			if test.want == "" {
				is.NoErr(err)
				return
			}
			is.Equal(exitCode(err), ExitNotInForce)
			if !strings.Contains(message(err), test.want) {
				t.Errorf("%s\nlacks %s", message(err), test.want)
			}
		})
	}
}
