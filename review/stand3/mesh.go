package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

type (
	// mesh is a small deployment: a store, and machines with a node and a server each.
	mesh struct {
		rec      *record
		folder   string
		network  string
		store    *store
		machines []*machine
		// strictRevoke is the bound of that name, with its bound revoke.
		strictRevoke bool
	}

	// machine is a node process with the server beside it.
	machine struct {
		mesh   *mesh
		name   string
		zone   string
		ip     string
		server *server

		mu      sync.Mutex
		process *exec.Cmd
		ended   chan struct{}
	}
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	outboundPort = 8304
	readyPort    = 8302
	controlPort  = 8306
	serverPort   = 8301
	relayPort    = 7620
	storePort    = 8309
)

const (
	program      = "target/dandelionfield"
	templatePath = "deploy/node.yaml.tmpl"
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	killWait     = 3 * time.Second
	// loopbackNets is the number of networks 127.X.Y to choose from in each place.
	loopbackNets = 200
)

var zoneNames = []string{"tartu-a", "tartu-b", "tartu-c"}

func newMesh(rec *record) (*mesh, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	m := &mesh{rec: rec, folder: folder}
	for range 20 {
		m.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(loopbackNets), 1+rand.IntN(loopbackNets))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", m.network, storePort))
		if err == nil {
			m.store = newStore(listener)
			return m, nil
		}
	}
	_ = os.RemoveAll(folder)
	return nil, errors.New("no free loopback network")
}

// close ends all processes that the case started.
func (m *mesh) close() {
	for _, machine := range m.machines {
		machine.kill()
		machine.server.close()
	}
	m.store.close()
	_ = os.RemoveAll(m.folder)
}

// setState writes the operator's desired state.
func (m *mesh) setState(state string) {
	m.rec.note("operator writes a desired state")
	m.store.put("op", "config", []byte(state))
}

// addMachine adds a machine with a server of a service and starts both.
func (m *mesh) addMachine(service string) (*machine, error) {
	number := len(m.machines)
	mc := &machine{
		mesh: m,
		name: fmt.Sprintf("side-%d", number+1),
		zone: zoneNames[number%len(zoneNames)],
		ip:   fmt.Sprintf("%s%d", m.network, number+10),
	}
	m.machines = append(m.machines, mc)
	var err error
	mc.server, err = newServer(mc, service, "i-"+mc.name)
	if err != nil {
		return nil, err
	}
	return mc, mc.start()
}

// address returns an address of the machine.
func (mc *machine) address(port int) string {
	return fmt.Sprintf("%s:%d", mc.ip, port)
}

func (mc *machine) settings() fields {
	bounds := fields{
		"budget_ratio":  0.2,
		"budget_window": "10s",
		"budget_slack":  47,
		"grace":         "6s",
	}
	if mc.mesh.strictRevoke {
		bounds["strict_revoke"], bounds["revoke"] = true, "5000ms"
	}
	return fields{
		"node_name":  mc.name,
		"ip":         mc.ip,
		"zone":       mc.zone,
		"region":     "tartu",
		"service":    mc.server.service,
		"app":        mc.address(serverPort),
		"port_range": []int{relayPort, relayPort + 15},
		"listen": fields{
			"outbound": mc.address(outboundPort),
			"ready":    mc.address(readyPort),
			"control":  mc.address(controlPort),
		},
		"platform": fields{"address": mc.mesh.store.address},
		"bounds":   bounds,
	}
}

// start starts the node with the command of the deploy file.
func (mc *machine) start() error {
	text, err := renderTemplate(templatePath, mc.settings())
	if err != nil {
		return err
	}
	file := filepath.Join(mc.mesh.folder, mc.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(mc.mesh.folder, mc.name+".log"))
	if err != nil {
		return err
	}
	process := exec.Command(program, "side", "--config", file)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DANDELIONFIELD_CONFIG=" + file}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		_ = log.Close()
		mc.mesh.rec.note("node %s ended", mc.name)
		close(ended)
	}()
	mc.mu.Lock()
	mc.process, mc.ended = process, ended
	mc.mu.Unlock()
	mc.mesh.rec.note("node %s started", mc.name)
	return nil
}

// kill ends the node and waits for its end.
func (mc *machine) kill() {
	mc.mu.Lock()
	process, ended := mc.process, mc.ended
	mc.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	select {
	case <-ended:
	case <-time.After(killWait):
	}
}

// isReady reports whether the node answers the platform's question with 200.
func (mc *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + mc.address(readyPort) + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitServing waits until every node is ready and the given requests succeed on each.
func (m *mesh) awaitServing(requests ...request) error {
	end := time.Now().Add(readyTimeout)
	for time.Now().Before(end) {
		if m.serves(requests) {
			m.rec.note("all nodes serve")
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.New("the nodes do not serve: " + m.logs())
}

func (m *mesh) serves(requests []request) bool {
	for _, mc := range m.machines {
		if !mc.isReady() {
			return false
		}
		for _, r := range requests {
			r.id = newID()
			if sendOnce(mc, r).status != http.StatusOK {
				return false
			}
		}
	}
	return true
}

// logs returns the last lines of the nodes' logs.
func (m *mesh) logs() string {
	var text strings.Builder
	for _, mc := range m.machines {
		data, _ := os.ReadFile(filepath.Join(m.folder, mc.name+".log"))
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		text.WriteString(mc.name + ": " + lines[len(lines)-1] + "; ")
	}
	return text.String()
}
