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

// statusByNode maps the names of nodes to the statuses that they report. A node without an
// entry does not respond.
type statusByNode map[string]*admin.Status

// awaitedRevision is the revision that the test waits for.
const awaitedRevision = 7

// serve starts a server for each node and enters the servers' addresses in all statuses. A
// member that has no status of its own gets an address at which nothing listens.
func (n statusByNode) serve(t *testing.T) map[string]string {
	addresses := map[string]string{}
	for name, status := range n {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(status)
		}))
		t.Cleanup(server.Close)
		addresses[name] = server.Listener.Addr().String()
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

// nodeStatus returns the status of a node that knows the given members.
func nodeStatus(name, dataCentre string, members ...admin.Member) *admin.Status {
	return &admin.Status{Node: name, DataCentre: dataCentre, State: "active", Revision: awaitedRevision, Members: members}
}

func newMember(name, dataCentre string, revision int64) admin.Member {
	return admin.Member{Name: name, DataCentre: dataCentre, State: "active", Revision: revision}
}

// TestWaitAsksOtherDataCentres waits through node a until revision 7 is in force. Node a
// may not know every member, so the wait has to ask nodes of other data centres too.
func TestWaitAsksOtherDataCentres(t *testing.T) {
	a, b, c, d := newMember("a", "east", awaitedRevision), newMember("b", "west", awaitedRevision), newMember("c", "north", awaitedRevision), newMember("d", "west", 5)
	e := newMember("e", "west", awaitedRevision)
	stuck := nodeStatus("a", "east", a, b, c, d)
	stuck.Services = []admin.Service{{Name: "s", Targets: []admin.Target{{Node: "d", State: admin.StateSilent}}}}
	cases := []struct {
		name  string
		nodes statusByNode
		want  string
	}{
		{"in force", statusByNode{"a": nodeStatus("a", "east", a, b, c), "b": nodeStatus("b", "west", a, b, c), "c": nodeStatus("c", "north", a, b, c)}, ""},
		{"single node", statusByNode{"a": nodeStatus("a", "east", a)}, ""},
		{"other nodes know more members", statusByNode{"a": nodeStatus("a", "east", a, b, c), "b": nodeStatus("b", "west", a, b, c, d), "c": nodeStatus("c", "north", a, b, c)},
			"it lags at d (west, active, has revision 5, unknown to a)"},
		{"first node has outdated revisions", statusByNode{"a": nodeStatus("a", "east", a, newMember("b", "west", 5), c), "b": nodeStatus("b", "west", a, b, c), "c": nodeStatus("c", "north", a, b, c)}, ""},
		{"silent member", statusByNode{"a": stuck, "c": nodeStatus("c", "north", a, b, c), "b": nodeStatus("b", "west", a, b, c)},
			"it lags at d (west, active, has revision 5, does not answer, unknown to c)"},
		{"silent data centre", statusByNode{"a": nodeStatus("a", "east", a, b, c), "c": nodeStatus("c", "north", a, b, c)}, "no second opinion: no connection to 127.0.0.1:1"},
		{"second node of a data centre answers", statusByNode{"a": nodeStatus("a", "east", a, b, c, e), "c": nodeStatus("c", "north", a, b, c), "e": nodeStatus("e", "west", a, b, c, d, e)},
			"it lags at d (west, active, has revision 5, unknown to a)"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := &skipClock{timers: map[chan time.Time]time.Time{}, skip: maxScriptSkip}
			app := &app{Dependencies: Dependencies{Clock: clock}, stdout: io.Discard, stderr: io.Discard}
			app.client.node = test.nodes.serve(t)["a"]
			err := app.waitInForce(t.Context(), awaitedRevision, time.Second)
			if test.want == "" {
				is.NoErr(err)
				return
			}
			is.Equal(exitCode(err), ExitNotInForce)
			if !strings.Contains(errorText(err), test.want) {
				t.Errorf("%s\nlacks %s", errorText(err), test.want)
			}
		})
	}
}
