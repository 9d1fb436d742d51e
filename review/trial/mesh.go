package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

type (
	// machine is one machine of the deployment: a node process and its server.
	machine struct {
		name     string
		ip       string
		zone     string
		service  string
		outbound string
		ready    string
		settings string
		server   *server
		process  *exec.Cmd
		// exited is closed when the process has ended.
		exited chan struct{}
		// open is set while clients of the machine send requests.
		open atomic.Bool
	}

	// mesh is a small deployment on loopback addresses.
	mesh struct {
		record   *record
		results  *results
		folder   string
		template string
		store    *store
		storeAt  string
		machines []*machine
		ctx      context.Context
		stop     context.CancelFunc
	}
)

const (
	storePort    = 8309
	outboundPort = 8304
	serverPort   = 8301
	readyPort    = 8302
	controlPort  = 8306
	firstPort    = 7620
	adminPort    = 9464

	// The bounds of a small deployment.
	drainBound = 2 * time.Second
	contact    = 3 * time.Second
	grace      = 6 * time.Second
	// budgetRatio and budgetSlack bound repeats in each budgetWindow.
	budgetRatio  = 0.2
	budgetSlack  = 48
	budgetWindow = 10 * time.Second

	startTimeout = 20 * time.Second
	host         = "shop.example"
)

// services and zones of the deployment: one server of each service in each zone.
var (
	services = []string{"stock", "orders"}
	zones    = []string{"zone-a", "zone-b", "zone-c"}
)

func newMesh(work time.Duration) (*mesh, error) {
	m := &mesh{record: newRecord(), results: &results{}}
	m.ctx, m.stop = context.WithCancel(context.Background())
	var err error
	if m.folder, err = os.MkdirTemp("", "trial"); err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/node.yaml.tmpl")
	if err != nil {
		return nil, err
	}
	m.template = string(template)
	block, err := freeBlock()
	if err != nil {
		return nil, err
	}
	m.storeAt = fmt.Sprintf("%s.200:%d", block, storePort)
	for _, service := range services {
		for _, zone := range zones {
			m.addMachine(block, service, zone, work)
		}
	}
	return m, nil
}

func (m *mesh) addMachine(block, service, zone string, work time.Duration) {
	name := fmt.Sprintf("side-%s-%s", zone, service)
	ip := fmt.Sprintf("%s.%d", block, len(m.machines)+1)
	node := &machine{
		name: name, ip: ip, zone: zone, service: service,
		outbound: fmt.Sprintf("%s:%d", ip, outboundPort),
		ready:    fmt.Sprintf("http://%s:%d/ready", ip, readyPort),
		settings: filepath.Join(m.folder, name+".yaml"),
	}
	node.server = &server{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, record: m.record, work: work,
		address: fmt.Sprintf("%s:%d", ip, serverPort), control: fmt.Sprintf("%s:%d", ip, controlPort),
	}
	m.machines = append(m.machines, node)
}

// freeBlock returns the first three numbers of loopback addresses whose ports are free.
func freeBlock() (string, error) {
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for last := 1; last <= len(services)*len(zones) && free; last++ {
			for _, port := range []int{outboundPort, serverPort, readyPort, controlPort, firstPort, adminPort} {
				free = free && canListen(fmt.Sprintf("%s.%d:%d", block, last, port))
			}
		}
		if free && canListen(fmt.Sprintf("%s.200:%d", block, storePort)) {
			return block, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func canListen(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}

// start brings up the store, the servers and the nodes, and waits until all nodes are
// ready.
func (m *mesh) start(kind string) error {
	var err error
	if m.store, err = startStore(m.storeAt); err != nil {
		return err
	}
	m.store.put("op", "config", desiredState(kind))
	for _, node := range m.machines {
		if err := node.server.start(); err != nil {
			return err
		}
		if err := m.startNode(node); err != nil {
			return err
		}
	}
	for _, node := range m.machines {
		go node.server.pingFor(m.ctx)
	}
	deadline := time.Now().Add(startTimeout)
	for _, node := range m.machines {
		for !isReady(node) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", node.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
		node.open.Store(true)
		go m.watchReady(node)
	}
	// Each node learns of the targets of all others within a second or two.
	time.Sleep(3 * time.Second)
	return nil
}

func desiredState(kind string) []byte {
	state := map[string]any{
		"version": 7,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
		"listeners": []any{map[string]any{"host": host, "rules": []any{
			rule("look-up", "safe", "/stock/", "stock"), rule("order", kind, "/order/", "orders"),
		}}},
		"clusters": []any{cluster("stock"), cluster("orders")},
	}
	encoded, err := json.Marshal(state)
	if err != nil {
		panic(err)
	}
	return encoded
}

func rule(name, kind, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "kind": kind, "target_latency": "1500ms", "priority": 1, "match": map[string]any{"prefix": prefix},
		"action": map[string]any{"service": service, "timeout": "5000ms", "max_attempts": 2},
	}
}

func cluster(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 940, "protocol": "h1", "tls": false}
}

// startNode renders the settings of a node and starts it with the command of the deploy
// file.
func (m *mesh) startNode(node *machine) error {
	if err := os.WriteFile(node.settings, []byte(m.render(node)), 0o600); err != nil {
		return err
	}
	node.process = exec.Command("target/dandelionfield", "side", "--config", node.settings)
	log, err := os.OpenFile(filepath.Join(m.folder, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	node.process.Stdout = log
	node.process.Stderr = log
	if err := node.process.Start(); err != nil {
		return err
	}
	m.record.add("%s starts, process %d", node.name, node.process.Process.Pid)
	exited := make(chan struct{})
	node.exited = exited
	process := node.process
	go func() {
		err := process.Wait()
		_ = log.Close()
		m.record.add("process %d of %s has ended: %v", process.Process.Pid, node.name, err)
		close(exited)
	}()
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)

// render fills in the template of the deploy file for one machine.
func (m *mesh) render(node *machine) string {
	values := map[string]string{
		"node_name": node.name, "zone": node.zone, "region": "region", "service": node.service, "ip": node.ip,
		"listen.outbound": node.outbound, "listen.inbound": node.ip + ":8300",
		"listen.ready":   fmt.Sprintf("%s:%d", node.ip, readyPort),
		"listen.control": fmt.Sprintf("%s:%d", node.ip, controlPort),
		"port_range.0":   fmt.Sprint(firstPort), "port_range.1": fmt.Sprint(firstPort + 15),
		"app": node.server.address, "platform.address": m.storeAt,
		"bounds.budget_ratio": fmt.Sprint(budgetRatio), "bounds.budget_window": budgetWindow.String(),
		"bounds.budget_slack": fmt.Sprint(budgetSlack), "bounds.grace": grace.String(),
	}
	return placeholder.ReplaceAllStringFunc(m.template, func(found string) string {
		return values[strings.Trim(found, "{}")]
	})
}

func isReady(node *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, node.ready, http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// watchReady asks a node once a second whether it is ready. Two misses close its machine
// to clients until the node is ready again.
func (m *mesh) watchReady(node *machine) {
	misses := 0
	for m.ctx.Err() == nil {
		time.Sleep(time.Second)
		if isReady(node) {
			misses = 0
		} else {
			misses++
		}
		open := misses < 2
		if node.open.Swap(open) != open {
			m.record.add("clients of %s: open %t", node.name, open)
		}
	}
}

// load starts clients at every machine, each of which sends a request about every pause.
func (m *mesh) load(perMachine int, method, path string, pause time.Duration) {
	for _, node := range m.machines {
		for range perMachine {
			c := &client{
				machine: node, record: m.record, results: m.results, host: host, path: path, method: method,
				pause: pause, timeout: 5 * time.Second,
			}
			go c.run(m.ctx)
		}
	}
}

func (m *mesh) signal(node *machine, signal syscall.Signal) {
	m.record.say("%s gets %s", node.name, signal)
	_ = node.process.Process.Signal(signal)
}

// end stops all clients, servers and nodes, and writes the record. It keeps the logs of the
// nodes if the environment says so.
func (m *mesh) end(file string) {
	m.stop()
	for _, node := range m.machines {
		if node.process != nil && node.process.Process != nil {
			_ = node.process.Process.Kill()
			<-node.exited
		}
		if node.server.http != nil {
			_ = node.server.http.Close()
		}
	}
	if err := m.record.write(file); err != nil {
		fmt.Fprintln(os.Stderr, "the record cannot be written:", err)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(m.folder)
	} else {
		fmt.Println("logs are in", m.folder)
	}
}

// of returns the machines of a service.
func (m *mesh) of(service string) []*machine {
	var found []*machine
	for _, node := range m.machines {
		if node.service == service {
			found = append(found, node)
		}
	}
	return found
}
