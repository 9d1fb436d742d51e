package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type (
	// machine is a node process with the server beside it, on a loopback address of its own.
	machine struct {
		mesh   *mesh
		name   string
		zone   string
		ip     string
		server *server

		mu      sync.Mutex
		command *exec.Cmd
		// exited is closed once the present process has ended.
		exited chan struct{}
		// stopped is set once the process is not to be started again.
		stopped bool
		// exits says how the processes of the machine ended.
		exits []string
	}

	// mesh is a small deployment.
	mesh struct {
		log      *record
		folder   string
		store    *store
		network  string
		machines []*machine
	}

	// serverSpec describes the servers of one service.
	serverSpec struct {
		service string
		count   int
		slots   int
	}
)

const (
	nodeProgram  = "target/dandelionfield"
	templateFile = "deploy/node.yaml.tmpl"

	// The ports of a machine. They are the same on all machines.
	readyPort    = 8302
	outboundPort = 8304
	controlPort  = 8306
	appPort      = 8301
	relayPort    = 7620
	storePort    = 8309

	// machineMemoryMB is the memory of a machine of the small sites.
	machineMemoryMB = 284

	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// restartDelay is how long the platform takes to start an ended process again.
	restartDelay = 300 * time.Millisecond
	// startTimeout limits the wait until all machines are ready.
	startTimeout = 15 * time.Second
)

// started is the mesh of the case.
var started atomic.Pointer[mesh]

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newMesh starts a store, servers and nodes, and waits until all nodes are ready.
func newMesh(log *record, first state, specs []serverSpec) (*mesh, error) {
	folder, err := os.MkdirTemp("", "review-")
	m := &mesh{log: log, folder: folder}
	started.Store(m)
	if err != nil {
		return m, err
	}
	for m.store == nil {
		// Another process may use the same network of loopback addresses.
		m.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if m.store, err = newStore(fmt.Sprintf("%s.250:%d", m.network, storePort)); err != nil && !errors.Is(err, syscall.EADDRINUSE) {
			return m, err
		}
	}
	m.store.put(stateTable, stateKey, first.document())
	for _, spec := range specs {
		for i := range spec.count {
			if err := m.add(spec, i); err != nil {
				return m, err
			}
		}
	}
	return m, m.awaitReady()
}

// add starts one machine of a service.
func (m *mesh) add(spec serverSpec, index int) error {
	one := &machine{
		mesh: m,
		name: fmt.Sprintf("side-%s-%d", spec.service, index+1),
		zone: zones[index%len(zones)],
		ip:   fmt.Sprintf("%s.%d", m.network, len(m.machines)+1),
	}
	one.server = &server{
		id: fmt.Sprintf("i-%s-%d", spec.service, index+1), service: spec.service, zone: one.zone,
		address: one.at(appPort), control: one.at(controlPort), slots: spec.slots, log: m.log,
	}
	m.machines = append(m.machines, one)
	if err := one.writeSettings(spec.service); err != nil {
		return err
	}
	if err := one.server.start(); err != nil {
		return err
	}
	go one.run()
	return nil
}

// of returns the machines of a service.
func (m *mesh) of(service string) []*machine {
	var found []*machine
	for _, one := range m.machines {
		if one.server.service == service {
			found = append(found, one)
		}
	}
	return found
}

// find returns what the servers did for a request.
func (m *mesh) find(id string) (run, *server) {
	for _, one := range m.machines {
		if done, ok := one.server.find(id); ok {
			return done, one.server
		}
	}
	return run{}, nil
}

func (m *mesh) awaitReady() error {
	until := time.Now().Add(startTimeout)
	for _, one := range m.machines {
		for !one.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", one.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes that the mesh started.
func (m *mesh) close() {
	for _, one := range m.machines {
		one.kill()
	}
	_ = os.RemoveAll(m.folder)
}

func (m *machine) at(port int) string {
	return fmt.Sprintf("%s:%d", m.ip, port)
}

// writeSettings fills in the template of the deploy file as the platform does.
func (m *machine) writeSettings(service string) error {
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return err
	}
	var kept []string
	for line := range strings.Lines(string(template)) {
		// The sections are for bounds that small deployments do not have.
		if !strings.Contains(line, "strict_revoke") && !strings.Contains(line, "bounds.revoke") {
			kept = append(kept, line)
		}
	}
	settings := strings.NewReplacer(
		"{{node_name}}", m.name, "{{zone}}", m.zone, "{{region}}", "region-a", "{{service}}", service,
		"{{listen.outbound}}", m.at(outboundPort), "{{listen.ready}}", m.at(readyPort), "{{listen.control}}", m.at(controlPort),
		"{{ip}}", m.ip, "{{port_range.0}}", fmt.Sprint(relayPort), "{{app}}", m.at(appPort),
		"{{platform.address}}", fmt.Sprintf("%s.250:%d", m.mesh.network, storePort),
		"{{bounds.budget_ratio}}", "0.2", "{{bounds.grace}}", grace.String(),
		"{{bounds.budget_window}}", "10s", "{{bounds.budget_slack}}", "48",
	).Replace(strings.Join(kept, ""))
	return os.WriteFile(m.settingsFile(), []byte(settings), 0o600)
}

func (m *machine) settingsFile() string {
	return filepath.Join(m.mesh.folder, m.name+".yaml")
}

// run starts the node process, and starts it again each time that it ends.
func (m *machine) run() {
	for {
		command := exec.Command(nodeProgram, "side", "--config", m.settingsFile())
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		output, err := os.OpenFile(filepath.Join(m.mesh.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return
		}
		command.Stdout, command.Stderr = output, output
		m.mu.Lock()
		if m.stopped || command.Start() != nil {
			m.mu.Unlock()
			return
		}
		m.command = command
		exited := make(chan struct{})
		m.exited = exited
		m.mu.Unlock()
		_ = command.Wait()
		_ = output.Close()
		m.mu.Lock()
		m.exits = append(m.exits, command.ProcessState.String())
		m.mu.Unlock()
		m.mesh.log.printf("%s ended: %s", m.name, command.ProcessState)
		close(exited)
		time.Sleep(restartDelay)
	}
}

// stop sends SIGTERM, and SIGKILL after the grace time. It returns once the process has ended.
func (m *machine) stop() {
	m.mu.Lock()
	command, exited := m.command, m.exited
	m.mu.Unlock()
	m.mesh.log.printf("SIGTERM to %s", m.name)
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = command.Process.Kill()
		<-exited
	}
}

// ended says how the processes of the machine ended so far.
func (m *machine) ended() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.exits)
}

// crash ends the process. The platform starts it again.
func (m *machine) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.command.Process.Kill()
}

// kill ends the process for good.
func (m *machine) kill() {
	m.mu.Lock()
	m.stopped = true
	command := m.command
	m.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
	}
}

// ready asks the node whether it is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.at(readyPort) + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// memoryMB returns the memory that the node process holds now, in megabytes.
func (m *machine) memoryMB() int {
	m.mu.Lock()
	command := m.command
	m.mu.Unlock()
	if command == nil || command.Process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// limitMemory ends the process each time that it holds more than the memory of its machine, as
// the platform does, until the context ends. It returns the most that the process held.
func (m *machine) limitMemory(ctx context.Context) (peak int) {
	for ctx.Err() == nil {
		now := m.memoryMB()
		peak = max(peak, now)
		if now > machineMemoryMB {
			m.mesh.log.say("%s holds %d MB of %d and is ended", m.name, now, machineMemoryMB)
			m.crash()
			time.Sleep(restartDelay)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return peak
}
