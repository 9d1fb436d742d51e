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
	"github.com/dandelionfield/dandelionfield/internal/bench"
	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/once"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/shell"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// applyRun is one run of the apply command, concurrent with another.
	applyRun struct {
		dir    string
		code   int
		output string
	}

	// revisionHistory holds the revisions that each node reported, in the order of the polls.
	revisionHistory struct {
		stop      context.CancelFunc
		ended     chan struct{}
		revisions map[string][]int64
	}
)

const (
	// maxPropagationTime is the guaranteed time within which a change comes into force.
	maxPropagationTime = 4 * time.Second
	// inForceTimeout is maxPropagationTime plus a reserve for a busy host.
	inForceTimeout = 10 * time.Second
	// pollInterval is the time between two polls.
	pollInterval = 50 * time.Millisecond
	// statusTimeout limits one status request, as the node may be frozen or dead. A node
	// itself waits up to a second for silent members before it answers.
	statusTimeout = 2 * time.Second
)

// copyDeclarations DIR OLD NEW copies the directory $FIRM to DIR and replaces the only
// occurrence of OLD in the declarations by NEW. In OLD and NEW, \n stands for a line
// break.
func copyDeclarations(ts *testscript.TestScript, neg bool, args []string) {
	dir := ts.MkAbs(args[0])
	ts.Check(os.CopyFS(dir, os.DirFS(ts.Getenv("FIRM"))))
	path := filepath.Join(dir, "mesh", "mesh.yaml")
	text := ts.ReadFile(path)
	before, after := strings.ReplaceAll(args[1], `\n`, "\n"), strings.ReplaceAll(args[2], `\n`, "\n")
	if strings.Count(text, before) != 1 {
		ts.Fatalf("%q does not occur exactly once in the declarations", before)
	}
	ts.Check(os.WriteFile(path, []byte(strings.Replace(text, before, after, 1)), 0o644))
}

// applyConcurrently REVISION DIR NODE DIR NODE runs two apply commands at the same time
// that both expect the revision. One must succeed. The other must end in a conflict whose
// message names the expected revision and the next one. It sets WINNER to the directory
// of the command that succeeded.
func applyConcurrently(ts *testscript.TestScript, neg bool, args []string) {
	expected, err := strconv.Atoi(args[0])
	ts.Check(err)
	var runs [2]applyRun
	var ended sync.WaitGroup
	for i := range runs {
		runs[i].dir = ts.MkAbs(args[1+2*i])
		command := exec.Command(filepath.Join(binaries(ts), "dandelionfield"), "apply", "--expected", args[0],
			"-f", filepath.Join(runs[i].dir, "mesh"), "--node", args[2+2*i])
		command.Env = append(os.Environ(), "DANDELIONFIELD_TOKEN="+ts.Getenv("DANDELIONFIELD_TOKEN"))
		ended.Go(func() {
			printed, _ := command.CombinedOutput()
			runs[i].code, runs[i].output = command.ProcessState.ExitCode(), string(printed)
		})
	}
	ended.Wait()
	slices.SortFunc(runs[:], func(a, b applyRun) int { return a.code - b.code })
	won, lost := runs[0], runs[1]
	if won.code != shell.ExitOK || lost.code != shell.ExitConflict {
		ts.Fatalf("one apply must succeed and the other end in a conflict:\n%d %s\n%d %s", won.code, won.output, lost.code, lost.output)
	}
	for _, revision := range []int{expected, expected + 1} {
		if !strings.Contains(lost.output, fmt.Sprintf("revision %d", revision)) {
			ts.Fatalf("the conflict message does not name revision %d: %s", revision, lost.output)
		}
	}
	ts.Setenv("WINNER", won.dir)
}

// requireInForce REVISION DIR requires that the revision, with the declarations in DIR, comes
// into force at every node within inForceTimeout.
func requireInForce(ts *testscript.TestScript, neg bool, args []string) {
	revision, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	declared, err := schema.ParseDir(filepath.Join(ts.MkAbs(args[1]), "mesh"))
	ts.Check(err)
	digest := config.Digest(declared.Document())
	left := pollCount(inForceTimeout)
	for _, address := range adminAddresses(ts) {
		// A node that has just started does not answer yet.
		waitUntil(ts, "answer at "+address, func() bool {
			_, err := statusOf(address, ts.Getenv("DANDELIONFIELD_TOKEN"))
			return err == nil
		})
		left = awaitRevision(ts, address, left, revision, digest)
	}
}

// requirePropagation REVISION ADDRESS requires that the revision comes into force at the node
// within maxPropagationTime. The revision need not be in force there yet when apply reports
// that it was accepted.
func requirePropagation(ts *testscript.TestScript, neg bool, args []string) {
	revision, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	began := time.Now()
	awaitRevision(ts, args[1], pollCount(inForceTimeout), revision, "")
	status, err := statusOf(args[1], ts.Getenv("DANDELIONFIELD_TOKEN"))
	ts.Check(err)
	// A status request takes a second during a network partition, so the moment at which the
	// revision came into force is computed from the age that the node reports.
	age := time.Duration(status.RevisionAgeMS) * time.Millisecond
	if took := time.Since(began) - age; took > maxPropagationTime {
		ts.Fatalf("revision %d came into force at %s only after %s", revision, args[1], took)
	}
}

// awaitRevision polls until the node reports the revision, and the digest unless that is
// empty. It returns how many of the polls are left.
func awaitRevision(ts *testscript.TestScript, address string, left int, revision int64, digest string) int {
	for ; ; left-- {
		status, err := statusOf(address, ts.Getenv("DANDELIONFIELD_TOKEN"))
		if err == nil && status.Revision == revision && (digest == "" || status.Digest == digest) {
			return left
		}
		if left <= 0 {
			ts.Fatalf("%s reports revision %d (%s), want %d (%s): %v\n%s", address,
				status.Revision, status.Digest, revision, digest, err, logOf(ts, address))
		}
		time.Sleep(pollInterval)
	}
}

// pollCount returns how many polls, one per pollInterval, fit into a timeout. The waits count
// polls instead of measuring time, because the clock of a host that is paused as a whole
// moves on while its processes do not.
func pollCount(timeout time.Duration) int {
	return int(timeout / pollInterval)
}

// logOf returns the log of the node with the given admin address.
func logOf(ts *testscript.TestScript, address string) string {
	m := ts.Value(meshKey{}).(*mesh)
	for _, file := range mustGlob(ts, filepath.Join(m.dir, "node-*.yaml")) {
		if setting(ts, file, "admin_listen") == address {
			return ts.ReadFile(strings.TrimSuffix(file, ".yaml") + ".log")
		}
	}
	return ""
}

// watchRevisions starts to poll the revision of every node.
func watchRevisions(ts *testscript.TestScript, neg bool, args []string) {
	m := ts.Value(meshKey{}).(*mesh)
	ctx, stop := context.WithCancel(context.Background())
	h := &revisionHistory{stop: stop, ended: make(chan struct{}), revisions: map[string][]int64{}}
	addresses, token := adminAddresses(ts), ts.Getenv("DANDELIONFIELD_TOKEN")
	go func() {
		defer close(h.ended)
		for ctx.Err() == nil {
			for _, address := range addresses {
				if status, err := statusOf(address, token); err == nil {
					h.revisions[status.Node] = append(h.revisions[status.Node], status.Revision)
				}
			}
			time.Sleep(pollInterval)
		}
	}()
	ts.Defer(stop)
	m.history = h
}

// requireRevisionsRose NODES ends the polling that watchRevisions started. It requires that
// this many nodes answered, and that none reported a lower revision after a higher one.
// Revision 0 means that the node has none yet, and is ignored.
func requireRevisionsRose(ts *testscript.TestScript, neg bool, args []string) {
	h := ts.Value(meshKey{}).(*mesh).history
	h.stop()
	<-h.ended
	if want, err := strconv.Atoi(args[0]); err != nil || len(h.revisions) != want {
		ts.Fatalf("%d nodes answered, want %s", len(h.revisions), args[0])
	}
	for name, revisions := range h.revisions {
		revisions = slices.DeleteFunc(revisions, func(revision int64) bool { return revision == 0 })
		if !slices.IsSorted(revisions) {
			ts.Fatalf("%s reported a lower revision after a higher one: %v", name, slices.Compact(revisions))
		}
	}
}

// noteCalls NAME sets CALLS to the number of calls that a target has received.
func noteCalls(ts *testscript.TestScript, neg bool, args []string) {
	ts.Setenv("CALLS", strconv.Itoa(receivedCalls(ts, args[0])))
}

// requireNoCallsSince NAME requires that a target had received calls before noteCalls and has
// received none since. With !, it requires that the target has received calls since then.
func requireNoCallsSince(ts *testscript.TestScript, neg bool, args []string) {
	before, err := strconv.Atoi(ts.Getenv("CALLS"))
	ts.Check(err)
	now := receivedCalls(ts, args[0])
	if before == 0 || (now == before) == neg {
		ts.Fatalf("%s had received %d calls at note_calls, and has received %d now", args[0], before, now)
	}
}

// findOwner SERVICE VARIABLE waits until the keys of a service have owners, and sets a
// variable to the node that owns most of them.
func findOwner(ts *testscript.TestScript, neg bool, args []string) {
	waitUntil(ts, "owners of "+args[0], func() bool { return len(slotsByOwner(ts, args[0])) > 0 })
	most := ""
	counts := slotsByOwner(ts, args[0])
	for name, slots := range counts {
		if slots > counts[most] {
			most = name
		}
	}
	ts.Setenv(args[1], most)
}

// awaitEvenOwners SERVICE SLOTS waits until every node that owns keys of a service owns this
// many slots of the keys that are minted now.
func awaitEvenOwners(ts *testscript.TestScript, neg bool, args []string) {
	slots, err := strconv.Atoi(args[1])
	ts.Check(err)
	waitUntil(ts, "evenly spread owners of "+args[0], func() bool {
		counts := slotsByOwner(ts, args[0])
		for _, count := range counts {
			if count != slots {
				return false
			}
		}
		return len(counts) > 0
	})
}

// requireOwner SERVICE NAME requires that the node owns keys of the service that are minted
// now. With !, it requires that the node owns none.
func requireOwner(ts *testscript.TestScript, neg bool, args []string) {
	counts := slotsByOwner(ts, args[0])
	if (counts[args[1]] > 0) == neg {
		ts.Fatalf("slots of %s by owner: %v", args[0], counts)
	}
}

// slotsByOwner returns, by node, how many of a service's slots a node owns for keys that are
// minted now.
func slotsByOwner(ts *testscript.TestScript, service string) map[string]int {
	m := ts.Value(meshKey{}).(*mesh)
	store := plat.NewClient(setting(ts, mustGlob(ts, filepath.Join(m.dir, "node-*.yaml"))[0], "platform_address"), plat.Limits{})
	row, err := store.Get(context.Background(), "owners", service)
	ts.Check(err)
	counts := map[string]int{}
	if row.Version == 0 {
		return counts
	}
	plan, err := once.DecodePlan(row.Value)
	ts.Check(err)
	nowMS := time.Now().UnixMilli()
	for _, slot := range plan.Slots {
		for _, holding := range slot.Holdings {
			if holding.FromMS <= nowMS && nowMS < holding.UntilMS {
				counts["node-"+holding.Name]++
			}
		}
	}
	return counts
}

// requireShare FILE PHASE KIND OPERATOR NUMBER|KIND compares the share of good requests of a
// kind in a phase with a number, or with the share of another kind.
func requireShare(ts *testscript.TestScript, neg bool, args []string) {
	bound, err := strconv.ParseFloat(args[4], 64)
	if errors.Is(err, strconv.ErrSyntax) {
		bound = shareOf(ts, args[0], args[1], args[4])
	}
	if found := shareOf(ts, args[0], args[1], args[2]); !compare(found, args[3], bound) {
		ts.Fatalf("%.3f of %s in %s are good, want %s %v", found, args[2], args[1], args[3], bound)
	}
}

// requireLowerLoss FILE PHASE KIND KIND requires that the lost share of the first kind's
// requests in a phase is at most half of that of the second kind, and that some requests of
// the second kind were lost. Without load shedding by importance, the two shares are about
// equal.
func requireLowerLoss(ts *testscript.TestScript, neg bool, args []string) {
	first := 1 - shareOf(ts, args[0], args[1], args[2])
	second := 1 - shareOf(ts, args[0], args[1], args[3])
	if second == 0 || first > second/2 {
		ts.Fatalf("lost in %s: %.3f of %s and %.3f of %s", args[1], first, args[2], second, args[3])
	}
}

// requireP99Below FILE PHASE MILLISECONDS requires that in a phase, 99 of 100 good requests
// of each kind were answered in less than this time.
func requireP99Below(ts *testscript.TestScript, neg bool, args []string) {
	var report bench.Report
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &report))
	bound, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	found := false
	for _, count := range report.PhaseCounts {
		found = found || count.Phase == args[1]
		if count.Phase == args[1] && count.P99MS >= bound {
			ts.Fatalf("99th percentile of %s is %v ms in %s, want less than %v ms", count.Kind, count.P99MS, count.Phase, bound)
		}
	}
	if !found {
		ts.Fatalf("no phase %s", args[1])
	}
}

func shareOf(ts *testscript.TestScript, file, phase, kind string) float64 {
	var report bench.Report
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(file)), &report))
	i := slices.IndexFunc(report.PhaseCounts, func(c bench.PhaseCount) bool { return c.Phase == phase && c.Kind == kind })
	if i < 0 {
		ts.Fatalf("no %s in %s", kind, phase)
	}
	return report.PhaseCounts[i].Share
}

func compare(found float64, operator string, bound float64) bool {
	return map[string]bool{"==": found == bound, "<=": found <= bound, ">=": found >= bound}[operator]
}

// saveStats TARGET FILE writes the statistics of a target since its start to a file.
func saveStats(ts *testscript.TestScript, neg bool, args []string) {
	body, err := json.Marshal(statsOf(ts, args[0]))
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), body, 0o644))
}

func receivedCalls(ts *testscript.TestScript, target string) int {
	return statsOf(ts, target).Arrived
}

func statsOf(ts *testscript.TestScript, target string) bench.Stats {
	m := ts.Value(meshKey{}).(*mesh)
	address := setting(ts, filepath.Join(m.dir, "target-"+target+".yaml"), "control_listen")
	response, err := http.Get("http://" + address + "/-/stats")
	ts.Check(err)
	defer response.Body.Close()
	var stats bench.Stats
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
