package proof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionfield/dandelionfield/internal/admin"
	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/drill"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/shell"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// operator is one apply that runs beside another.
	operator struct {
		firm string
		code int
		said string
	}

	// history is the revisions that the nodes showed, in the order of the looks.
	history struct {
		stop  context.CancelFunc
		ended chan struct{}
		shown map[string][]int64
	}
)

const (
	// promisedTime is how soon a change is in force.
	promisedTime = 4 * time.Second
	// inForceTimeout is the promised time and a reserve for a busy host.
	inForceTimeout = 10 * time.Second
	// lookInterval is the time between two looks at the revisions of all nodes.
	lookInterval = 50 * time.Millisecond
	// statusTimeout bounds one look at a node, which may be frozen or gone. A node
	// itself waits a second for the members that are silent.
	statusTimeout = 2 * time.Second
)

// declare FIRM OLD NEW copies the firm's directory, with one text of the
// declarations replaced. In both texts, \n stands for a new line.
func declare(ts *testscript.TestScript, neg bool, args []string) {
	firm := ts.MkAbs(args[0])
	ts.Check(os.CopyFS(firm, os.DirFS(ts.Getenv("FIRM"))))
	path := filepath.Join(firm, "mesh", "mesh.yaml")
	text := ts.ReadFile(path)
	former, latter := strings.ReplaceAll(args[1], `\n`, "\n"), strings.ReplaceAll(args[2], `\n`, "\n")
	if strings.Count(text, former) != 1 {
		ts.Fatalf("%q does not stand once in the declarations", former)
	}
	ts.Check(os.WriteFile(path, []byte(strings.Replace(text, former, latter, 1)), 0o644))
}

// contend REVISION FIRM NODE FIRM NODE lets two operators apply at the same
// moment, both expecting the revision. One must win, and the other must hear of
// both revisions. WINNER becomes the firm of the one who won.
func contend(ts *testscript.TestScript, neg bool, args []string) {
	expected, err := strconv.Atoi(args[0])
	ts.Check(err)
	var both [2]operator
	var ended sync.WaitGroup
	for i := range both {
		both[i].firm = ts.MkAbs(args[1+2*i])
		command := exec.Command(filepath.Join(binaries(ts), "dandelionfield"), "apply", "--expected", args[0],
			"-f", filepath.Join(both[i].firm, "mesh"), "--node", args[2+2*i])
		command.Env = append(os.Environ(), "DANDELIONFIELD_TOKEN="+ts.Getenv("DANDELIONFIELD_TOKEN"))
		ended.Go(func() {
			said, _ := command.CombinedOutput()
			both[i].code, both[i].said = command.ProcessState.ExitCode(), string(said)
		})
	}
	ended.Wait()
	slices.SortFunc(both[:], func(a, b operator) int { return a.code - b.code })
	won, lost := both[0], both[1]
	if won.code != shell.ExitOK || lost.code != shell.ExitConflict {
		ts.Fatalf("one must win and the other meet a conflict:\n%d %s\n%d %s", won.code, won.said, lost.code, lost.said)
	}
	for _, revision := range []int{expected, expected + 1} {
		if !strings.Contains(lost.said, fmt.Sprintf("revision %d", revision)) {
			ts.Fatalf("the other operator was not told of revision %d: %s", revision, lost.said)
		}
	}
	ts.Setenv("WINNER", won.firm)
}

// inForce REVISION FIRM requires that the revision comes into force at every
// node in time, with the declarations of the firm.
func inForce(ts *testscript.TestScript, neg bool, args []string) {
	revision, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	declared, err := schema.ParseDir(filepath.Join(ts.MkAbs(args[1]), "mesh"))
	ts.Check(err)
	digest := config.Digest(declared.Document())
	left := looks(inForceTimeout)
	for _, address := range adminAddresses(ts) {
		// A node that was just started answers nobody yet.
		await(ts, "answer at "+address, func() bool {
			_, err := statusOf(address, ts.Getenv("DANDELIONFIELD_TOKEN"))
			return err == nil
		})
		left = awaitRevision(ts, address, left, revision, digest)
	}
}

// comesTo REVISION ADDRESS requires that the revision comes into force at the node
// within the promised time, and not that it already is when the operator hears of
// its acceptance.
func comesTo(ts *testscript.TestScript, neg bool, args []string) {
	revision, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	began := time.Now()
	awaitRevision(ts, args[1], looks(inForceTimeout), revision, "")
	status, err := statusOf(args[1], ts.Getenv("DANDELIONFIELD_TOKEN"))
	ts.Check(err)
	// A look takes a second in a cut, so that the node tells since when it has it.
	age := time.Duration(status.RevisionAgeMS) * time.Millisecond
	if took := time.Since(began) - age; took > promisedTime {
		ts.Fatalf("revision %d came into force at %s after %s", revision, args[1], took)
	}
}

// awaitRevision looks until the node shows the revision, and the digest unless that
// is empty. It returns how many of the looks are left.
func awaitRevision(ts *testscript.TestScript, address string, left int, revision int64, digest string) int {
	for ; ; left-- {
		status, err := statusOf(address, ts.Getenv("DANDELIONFIELD_TOKEN"))
		if err == nil && status.Revision == revision && (digest == "" || status.Digest == digest) {
			return left
		}
		if left <= 0 {
			ts.Fatalf("%s shows revision %d (%s) and not %d (%s): %v\n%s", address,
				status.Revision, status.Digest, revision, digest, err, logOf(ts, address))
		}
		time.Sleep(lookInterval)
	}
}

// looks is how many looks, each after lookInterval, a time allows. They are
// counted in place of the time itself: where a whole host is paused, its clock
// moves on without its processes.
func looks(timeout time.Duration) int {
	return int(timeout / lookInterval)
}

// logOf returns what the node with the admin address has logged.
func logOf(ts *testscript.TestScript, address string) string {
	m := ts.Value(meshKey{}).(*mesh)
	for _, file := range mustGlob(ts, filepath.Join(m.dir, "node-*.yaml")) {
		if setting(ts, file, "admin_listen") == address {
			return ts.ReadFile(strings.TrimSuffix(file, ".yaml") + ".log")
		}
	}
	return ""
}

// watchRevisions begins to look at the revision of every node.
func watchRevisions(ts *testscript.TestScript, neg bool, args []string) {
	m := ts.Value(meshKey{}).(*mesh)
	ctx, stop := context.WithCancel(context.Background())
	h := &history{stop: stop, ended: make(chan struct{}), shown: map[string][]int64{}}
	addresses, token := adminAddresses(ts), ts.Getenv("DANDELIONFIELD_TOKEN")
	go func() {
		defer close(h.ended)
		for ctx.Err() == nil {
			for _, address := range addresses {
				if status, err := statusOf(address, token); err == nil {
					h.shown[status.Node] = append(h.shown[status.Node], status.Revision)
				}
			}
			time.Sleep(lookInterval)
		}
	}()
	ts.Defer(stop)
	m.history = h
}

// revisionsRose NODES ends the looks, and requires that so many nodes were seen
// and that none showed a lower revision after a higher one. Revision 0 is "none
// yet".
func revisionsRose(ts *testscript.TestScript, neg bool, args []string) {
	h := ts.Value(meshKey{}).(*mesh).history
	h.stop()
	<-h.ended
	if want, err := strconv.Atoi(args[0]); err != nil || len(h.shown) != want {
		ts.Fatalf("%d nodes were seen, not %s", len(h.shown), args[0])
	}
	for name, shown := range h.shown {
		shown = slices.DeleteFunc(shown, func(revision int64) bool { return revision == 0 })
		if !slices.IsSorted(shown) {
			ts.Fatalf("%s showed a lower revision after a higher one: %v", name, slices.Compact(shown))
		}
	}
}

// noteCalls NAME keeps how many calls a target has received.
func noteCalls(ts *testscript.TestScript, neg bool, args []string) {
	ts.Setenv("CALLS", strconv.Itoa(arrived(ts, args[0])))
}

// noCallsSince NAME requires that no call has reached a target since noteCalls,
// and that some did before. With ! it requires the contrary of the first.
func noCallsSince(ts *testscript.TestScript, neg bool, args []string) {
	before, err := strconv.Atoi(ts.Getenv("CALLS"))
	ts.Check(err)
	now := arrived(ts, args[0])
	if before == 0 || (now == before) == neg {
		ts.Fatalf("%s had received %d calls, and has received %d", args[0], before, now)
	}
}

// owner SERVICE VARIABLE sets a variable to the node that owns most keys of a
// service, once some node does.
func owner(ts *testscript.TestScript, neg bool, args []string) {
	await(ts, "owners of "+args[0], func() bool { return len(holders(ts, args[0])) > 0 })
	most := ""
	held := holders(ts, args[0])
	for name, slots := range held {
		if slots > held[most] {
			most = name
		}
	}
	ts.Setenv(args[1], most)
}

// level SERVICE SLOTS waits until every node that owns keys of a service, minted
// now, owns this many slots of them.
func level(ts *testscript.TestScript, neg bool, args []string) {
	slots, err := strconv.Atoi(args[1])
	ts.Check(err)
	await(ts, "level owners of "+args[0], func() bool {
		held := holders(ts, args[0])
		for _, count := range held {
			if count != slots {
				return false
			}
		}
		return len(held) > 0
	})
}

// holds SERVICE NAME requires that the node owns keys that are minted now.
func holds(ts *testscript.TestScript, neg bool, args []string) {
	held := holders(ts, args[0])
	if (held[args[1]] > 0) == neg {
		ts.Fatalf("slots of %s by holder: %v", args[0], held)
	}
}

// holders counts the slots of a service by the node that owns the keys minted now.
func holders(ts *testscript.TestScript, service string) map[string]int {
	m := ts.Value(meshKey{}).(*mesh)
	store := plat.NewClient(setting(ts, mustGlob(ts, filepath.Join(m.dir, "node-*.yaml"))[0], "platform_address"), plat.Limits{})
	row, err := store.Get(context.Background(), "owners", service)
	ts.Check(err)
	held := map[string]int{}
	if row.Version == 0 {
		return held
	}
	plan, err := once.DecodePlan(row.Value)
	ts.Check(err)
	nowMS := time.Now().UnixMilli()
	for _, slot := range plan.Slots {
		for _, holding := range slot.Holdings {
			if holding.FromMS <= nowMS && nowMS < holding.UntilMS {
				held["node-"+holding.Name]++
			}
		}
	}
	return held
}

// share FILE PHASE KIND OPERATOR NUMBER|KIND compares the share of good
// requests of a kind in a phase with a number or with that of another kind.
func share(ts *testscript.TestScript, neg bool, args []string) {
	bound, err := strconv.ParseFloat(args[4], 64)
	if errors.Is(err, strconv.ErrSyntax) {
		bound = shareOf(ts, args[0], args[1], args[4])
	}
	if found := shareOf(ts, args[0], args[1], args[2]); !compare(found, args[3], bound) {
		ts.Fatalf("%.3f of %s in %s are good, and %s %v must hold", found, args[2], args[1], args[3], bound)
	}
}

// spared FILE PHASE KIND KIND requires that the share of the first kind that was
// lost in a phase is at most half of that of the second kind, and that some of
// the second were lost. Without an order of refusal the two are about equal.
func spared(ts *testscript.TestScript, neg bool, args []string) {
	first := 1 - shareOf(ts, args[0], args[1], args[2])
	second := 1 - shareOf(ts, args[0], args[1], args[3])
	if second == 0 || first > second/2 {
		ts.Fatalf("lost in %s: %.3f of %s and %.3f of %s", args[1], first, args[2], second, args[3])
	}
}

// prompt FILE PHASE MILLISECONDS requires that 99 of 100 good requests of each
// kind in a phase were answered in less time.
func prompt(ts *testscript.TestScript, neg bool, args []string) {
	var report drill.Report
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &report))
	bound, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	seen := false
	for _, line := range report.Lines {
		seen = seen || line.Phase == args[1]
		if line.Phase == args[1] && line.P99MS >= bound {
			ts.Fatalf("%s took %v ms in %s, and less than %v must hold", line.Kind, line.P99MS, line.Phase, bound)
		}
	}
	if !seen {
		ts.Fatalf("no phase %s", args[1])
	}
}

func shareOf(ts *testscript.TestScript, file, phase, kind string) float64 {
	var report drill.Report
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(file)), &report))
	i := slices.IndexFunc(report.Lines, func(l drill.Line) bool { return l.Phase == phase && l.Kind == kind })
	if i < 0 {
		ts.Fatalf("no %s in %s", kind, phase)
	}
	return report.Lines[i].Share
}

func compare(found float64, operator string, bound float64) bool {
	return map[string]bool{"==": found == bound, "<=": found <= bound, ">=": found >= bound}[operator]
}

// stats TARGET FILE keeps what a target did since its start.
func stats(ts *testscript.TestScript, neg bool, args []string) {
	body, err := json.Marshal(statsOf(ts, args[0]))
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), body, 0o644))
}

func arrived(ts *testscript.TestScript, target string) int {
	return statsOf(ts, target).Arrived
}

func statsOf(ts *testscript.TestScript, target string) drill.Stats {
	m := ts.Value(meshKey{}).(*mesh)
	address := setting(ts, filepath.Join(m.dir, "target-"+target+".yaml"), "control_listen")
	response, err := http.Get("http://" + address + "/-/stats")
	ts.Check(err)
	defer response.Body.Close()
	var stats drill.Stats
	ts.Check(json.NewDecoder(response.Body).Decode(&stats))
	return stats
}

func adminAddresses(ts *testscript.TestScript) []string {
	m := ts.Value(meshKey{}).(*mesh)
	files := mustGlob(ts, filepath.Join(m.dir, "node-*.yaml"))
	addresses := make([]string, 0, len(files))
	for _, file := range files {
		addresses = append(addresses, setting(ts, file, "admin_listen"))
	}
	return addresses
}

func statusOf(address, token string) (admin.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return admin.Status{}, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return admin.Status{}, err
	}
	defer response.Body.Close()
	var status admin.Status
	return status, json.NewDecoder(response.Body).Decode(&status)
}
