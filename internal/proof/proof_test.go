package proof

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionfield/dandelionfield/internal/drill"
	"github.com/dandelionfield/dandelionfield/internal/node"
	"github.com/dandelionfield/dandelionfield/internal/shell"
)

// mesh is the processes of one trial, each known by its name.
type mesh struct {
	mu        sync.Mutex
	dir       string
	processes map[string]*process
	// history is what watch_revisions has seen.
	history *history
}

type process struct {
	arguments []string
	command   *exec.Cmd
	ended     chan struct{}
}

type meshKey struct{}

// timedVariable turns on the statements that depend on the speed of the host.
const timedVariable = "TRIALS_TIMED"

// seedVariable holds a seed in place of that of the layout.
const seedVariable = "TRIALS_SEED"

const (
	// startTimeout bounds the start of a process on a busy host.
	startTimeout = 20 * time.Second
	// stopTimeout bounds a planned stop, past which the process is killed.
	stopTimeout = 20 * time.Second
	// maxMeshes is how many meshes run at the same time.
	maxMeshes = 4
	// networkTries is how many networks are tried before a trial gives up.
	networkTries = 50
)

// running holds a token for each mesh that runs.
var running = make(chan struct{}, maxMeshes)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"dandelionfield": func() {
			os.Exit(shell.Main(os.Args[1:], os.Stdout, os.Stderr, shell.Seams{RunNode: node.Run}))
		},
		"fieldlab": func() { os.Exit(drill.Main()) },
	})
}

func TestTrials(t *testing.T) {
	firms, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			m := &mesh{dir: filepath.Join(env.WorkDir, "run"), processes: map[string]*process{}}
			env.Values[meshKey{}] = m
			env.Setenv("FIRM", filepath.Join(firms, "small"))
			env.Setenv("WIDE", filepath.Join(firms, "wide"))
			return nil
		},
		// Statements about how much got through depend on how busy the host is.
		// They are judged by `make prove` on a quiet one, and never in CI.
		Condition: func(condition string) (bool, error) {
			if condition != "timed" {
				return false, fmt.Errorf("unknown condition %s", condition)
			}
			return os.Getenv(timedVariable) != "", nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"mesh":    startMesh,
			"signal":  signalProcess,
			"restart": restart,
			"leave":   leave,
			"expect":  expect,
			"switch":  faultSwitch,
			"logged":  logged,
			"ended":   ended,
			"declare": declare,
			"contend": contend,
			"share":   share,
			"spared":  spared,
			"prompt":  prompt,
			"stats":   stats,
			"owner":   owner,
			"holds":   holds,
			"level":   level,

			"in_force":        inForce,
			"comes_to":        comesTo,
			"watch_revisions": watchRevisions,
			"revisions_rose":  revisionsRose,
			"note_calls":      noteCalls,
			"no_calls_since":  noCallsSince,
			"disturb":         disturb,
		},
	})
}

// startMesh [-naive] [-wire HOST]... [-all-wires] starts the platform, the
// targets and the nodes, and applies the declarations. With -naive, naive relays
// take the place of nodes. With -wire, other nodes reach that of a host through a
// wire; with -all-wires all nodes and the platform are behind wires. NETWORK
// becomes the first three parts of the addresses.
func startMesh(ts *testscript.TestScript, neg bool, args []string) {
	m := ts.Value(meshKey{}).(*mesh)
	running <- struct{}{}
	ts.Defer(func() {
		m.end()
		<-running
	})
	network := takeNetwork(ts)
	ts.Setenv("NETWORK", network)
	layout := []string{"layout", "--firm", ts.Getenv("FIRM"), "--out", m.dir, "--network", network}
	if seed := os.Getenv(seedVariable); seed != "" {
		layout = append(layout, "--seed", seed)
	}
	flags := flag.NewFlagSet("mesh", flag.ContinueOnError)
	naive := flags.Bool("naive", false, "")
	flags.Func("wire", "", func(host string) error {
		layout = append(layout, "--wire", host)
		return nil
	})
	allWires := flags.Bool("all-wires", false, "")
	ts.Check(flags.Parse(args))
	if *allWires {
		layout = append(layout, "--all-wires")
	}
	ts.Check(ts.Exec("fieldlab", layout...))
	platform := network + ".200:7104"
	m.start(ts, "platform", "fieldlab", "platform", "--listen", platform)
	waitPort(ts, platform)
	m.startAll(ts, "fieldlab", "target", "listen")
	if *naive {
		m.startAll(ts, "fieldlab", "naive", "listen")
		return
	}
	m.startAll(ts, "fieldlab", "wire", "control_listen")
	m.startAll(ts, "dandelionfield", "node", "admin_listen")
	ts.Setenv("ADMIN", network+".11:7102")
	ts.Setenv("DANDELIONFIELD_TOKEN", "loopback-trial-only")
	ts.Check(ts.Exec("dandelionfield", "apply", "-f", filepath.Join(ts.Getenv("FIRM"), "mesh"),
		"--node", ts.Getenv("ADMIN"), "--wait"))
	for _, file := range mustGlob(ts, filepath.Join(m.dir, "node-*.yaml")) {
		waitReady(ts, setting(ts, file, "admin_listen"))
	}
}

// takeNetwork finds three parts of addresses that no other trial uses. The
// listener stands for them until the trial ends, so that trials of several
// checkouts on one host do not meet.
func takeNetwork(ts *testscript.TestScript) string {
	for range networkTries {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
		listener, err := net.Listen("tcp", network+".254:7199")
		if err == nil {
			ts.Defer(func() { _ = listener.Close() })
			return network
		}
	}
	ts.Fatalf("no free network")
	return ""
}

// signalProcess SIGNAL NAME... sends a signal by name.
func signalProcess(ts *testscript.TestScript, neg bool, args []string) {
	m := ts.Value(meshKey{}).(*mesh)
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
	}
	for _, name := range args[1:] {
		ts.Check(m.get(ts, name).command.Process.Signal(signals[args[0]]))
	}
}

// restart NAME... waits for the end of processes and starts them again.
func restart(ts *testscript.TestScript, neg bool, args []string) {
	m := ts.Value(meshKey{}).(*mesh)
	for _, name := range args {
		former := m.get(ts, name)
		<-former.ended
		m.start(ts, name, former.arguments[0], former.arguments[1:]...)
	}
}

// leave NAME... asks processes to stop and waits for their own end.
func leave(ts *testscript.TestScript, neg bool, args []string) {
	m := ts.Value(meshKey{}).(*mesh)
	for _, name := range args {
		ts.Check(m.get(ts, name).command.Process.Signal(syscall.SIGTERM))
		ended(ts, neg, []string{name})
	}
}

// ended NAME... waits until processes that were asked to stop have ended.
func ended(ts *testscript.TestScript, neg bool, args []string) {
	m := ts.Value(meshKey{}).(*mesh)
	for _, name := range args {
		p := m.get(ts, name)
		select {
		case <-p.ended:
		case <-time.After(stopTimeout):
			ts.Fatalf("%s did not stop by itself", name)
		}
	}
}

// expect FILE FIELD OPERATOR NUMBER compares a field of a JSON report; fields
// inside others are named with dots.
func expect(ts *testscript.TestScript, neg bool, args []string) {
	var report any
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &report))
	found := 0.0
	for _, part := range strings.Split(args[1], ".") {
		fields, _ := report.(map[string]any)
		report = fields[part]
	}
	if number, ok := report.(float64); ok {
		found = number
	}
	bound, err := strconv.ParseFloat(args[3], 64)
	ts.Check(err)
	if !compare(found, args[2], bound) {
		ts.Fatalf("%s is %v, and %s %v must hold", args[1], found, args[2], bound)
	}
}

// faultSwitch ADDRESS JSON posts a switch to a stand-in.
func faultSwitch(ts *testscript.TestScript, neg bool, args []string) {
	response, err := http.Post("http://"+args[0]+"/-/faults", "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		body, _ := io.ReadAll(response.Body)
		ts.Fatalf("%s: %s", response.Status, body)
	}
}

// logged NAME TEXT requires that a process has logged a text.
func logged(ts *testscript.TestScript, neg bool, args []string) {
	m := ts.Value(meshKey{}).(*mesh)
	log, err := os.ReadFile(filepath.Join(m.dir, args[0]+".log"))
	ts.Check(err)
	if strings.Contains(string(log), args[1]) == neg {
		ts.Fatalf("%s logged:\n%s", args[0], log)
	}
}

// startAll starts the processes of one kind and waits until they listen.
func (m *mesh) startAll(ts *testscript.TestScript, program, kind, listen string) {
	files := mustGlob(ts, filepath.Join(m.dir, kind+"-*.yaml"))
	for _, file := range files {
		m.start(ts, strings.TrimSuffix(filepath.Base(file), ".yaml"), program, kind, "--config", file)
	}
	for _, file := range files {
		waitPort(ts, setting(ts, file, listen))
	}
}

func (m *mesh) start(ts *testscript.TestScript, name, program string, arguments ...string) {
	path, err := exec.LookPath(filepath.Join(binaries(ts), program))
	ts.Check(err)
	log, err := os.OpenFile(filepath.Join(m.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	ts.Check(err)
	command := exec.Command(path, arguments...)
	command.Stdout = log
	command.Stderr = log
	ts.Check(command.Start())
	p := &process{
		arguments: append([]string{program}, arguments...),
		command:   command,
		ended:     make(chan struct{}),
	}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.processes[name] = p
}

func (m *mesh) get(ts *testscript.TestScript, name string) *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.processes[name]
	if !ok {
		ts.Fatalf("no process %s", name)
	}
	return p
}

// end kills what is left of a trial.
func (m *mesh) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		_ = p.command.Process.Kill()
		<-p.ended
	}
}

// binaries is the directory in which testscript.Main put the programs.
func binaries(ts *testscript.TestScript) string {
	first, _, _ := strings.Cut(ts.Getenv("PATH"), string(os.PathListSeparator))
	return first
}

func mustGlob(ts *testscript.TestScript, pattern string) []string {
	files, err := filepath.Glob(pattern)
	ts.Check(err)
	return files
}

func setting(ts *testscript.TestScript, file, name string) string {
	for line := range strings.Lines(ts.ReadFile(file)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			return strings.TrimSpace(value)
		}
	}
	ts.Fatalf("%s has no %s", file, name)
	return ""
}

func waitPort(ts *testscript.TestScript, address string) {
	await(ts, "listen on "+address, func() bool {
		response, err := http.Get("http://" + address + "/-/stats")
		if err == nil {
			response.Body.Close()
		}
		return err == nil
	})
}

func waitReady(ts *testscript.TestScript, address string) {
	await(ts, "ready at "+address, func() bool {
		response, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func await(ts *testscript.TestScript, what string, holds func() bool) {
	for left := looks(startTimeout); !holds(); left-- {
		if left <= 0 {
			ts.Fatalf("not within %s: %s", startTimeout, what)
		}
		time.Sleep(lookInterval)
	}
}
