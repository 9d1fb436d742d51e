package bench

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

type (
	// WireConfig holds the settings of one wire.
	WireConfig struct {
		Name   string `yaml:"name"`
		Listen string `yaml:"listen"`
		// To is the address to which connections are forwarded.
		To            string `yaml:"to"`
		ControlListen string `yaml:"control_listen"`
		// Hosts maps the source IP address of a connection to the name of its host.
		Hosts map[string]string `yaml:"hosts,omitempty"`
	}

	// WireFaults are the injected faults of a wire. With the zero value the wire passes
	// all bytes.
	WireFaults struct {
		// SilentTo holds back the bytes to the destination, and SilentFrom those from
		// it, until the fault is cleared. As on a path that drops packets, neither side
		// is told of the fault or learns that the other side has closed.
		SilentTo   bool `json:"silent_to"`
		SilentFrom bool `json:"silent_from"`
		// OpenOnly limits SilentTo and SilentFrom to connections that are already open
		// when the faults are set.
		OpenOnly bool `json:"open_only"`
		// Cut resets all open connections, and new ones as soon as they are accepted.
		Cut bool `json:"cut"`
		// From limits the faults to connections from the named hosts; empty means all
		// connections.
		From []string `json:"from"`
	}

	// WireStats counts the connections of a wire.
	WireStats struct {
		Opened int `json:"opened"`
		Open   int `json:"open"`
		// Silenced counts the open connections that are held back in either direction.
		Silenced int `json:"silenced"`
	}

	// Wire is a TCP proxy between two processes that simulates faults of the network
	// path, such as traffic that stalls silently. It is safe for concurrent use.
	Wire struct {
		config WireConfig

		mu     sync.Mutex
		faults WireFaults
		conns  map[*wireConn]bool
		opened int
	}

	// wireConn is one connection through the wire: the accepted connection (near), the
	// dialled one (far), and a gate for each direction.
	wireConn struct {
		near, far  net.Conn
		sourceHost string
		to, from   gate
	}

	// gate blocks the bytes of one direction while release is set; release is closed
	// when the gate opens.
	gate struct {
		mu      sync.Mutex
		release chan struct{}
	}
)

const (
	wireDialTimeout = time.Second
	wireChunkBytes  = 32 << 10
)

// NewWire returns a wire without faults.
func NewWire(config WireConfig) *Wire {
	return &Wire{config: config, conns: map[*wireConn]bool{}}
}

// Handler returns the HTTP handler for faults and counters.
func (w *Wire) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/faults", func(rw http.ResponseWriter, r *http.Request) {
		var faults WireFaults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.SetFaults(faults)
		rw.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /-/stats", func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, w.Stats(), nil) })
	return mux
}

// Serve forwards connections until the context ends, and then resets all of them.
func (w *Wire) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", w.config.Listen)
	if err != nil {
		return err
	}
	return w.forward(ctx, listener)
}

// SetFaults replaces the faults, on open connections as well.
func (w *Wire) SetFaults(faults WireFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
	for c := range w.conns {
		hostFaults := faults.forHost(c.sourceHost)
		if hostFaults.Cut {
			// The bytes that are held back are lost with the connection.
			c.reset()
		}
		c.set(hostFaults)
	}
}

// Stats returns a copy of the counters.
func (w *Wire) Stats() WireStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	stats := WireStats{Opened: w.opened, Open: len(w.conns)}
	for c := range w.conns {
		if c.to.releaseSignal() != nil || c.from.releaseSignal() != nil {
			stats.Silenced++
		}
	}
	return stats
}

func (w *Wire) forward(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	// Resetting the connections opens their gates, so that no connection outlives the wire.
	defer w.SetFaults(WireFaults{Cut: true})
	for {
		near, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		go w.open(ctx, near)
	}
}

// open dials the destination and copies in both directions until either side closes.
func (w *Wire) open(ctx context.Context, near net.Conn) {
	host := w.sourceHost(near)
	if w.currentFaults().forHost(host).Cut {
		reset(near)
		return
	}
	dialer := net.Dialer{Timeout: wireDialTimeout}
	far, err := dialer.DialContext(ctx, "tcp", w.config.To)
	if err != nil {
		reset(near)
		return
	}
	c := &wireConn{near: near, far: far, sourceHost: host}
	if !w.add(c) {
		c.reset()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { copyThroughGate(&c.to, near, far) })
	directions.Go(func() { copyThroughGate(&c.from, far, near) })
	directions.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// add registers a new connection and applies the faults to it. It returns false when
// the wire is cut.
func (w *Wire) add(c *wireConn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	hostFaults := w.faults.forHost(c.sourceHost)
	if hostFaults.Cut {
		return false
	}
	if !hostFaults.OpenOnly {
		c.set(hostFaults)
	}
	w.opened++
	w.conns[c] = true
	return true
}

func (w *Wire) currentFaults() WireFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// sourceHost returns the name of the host from which a connection comes, or "" when it
// is unknown.
func (w *Wire) sourceHost(near net.Conn) string {
	ip, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	return w.config.Hosts[ip]
}

// forHost returns the faults that apply to connections from a host.
func (f WireFaults) forHost(host string) WireFaults {
	if len(f.From) > 0 && !slices.Contains(f.From, host) {
		return WireFaults{}
	}
	return f
}

func (c *wireConn) set(faults WireFaults) {
	c.to.set(faults.SilentTo && !faults.Cut)
	c.from.set(faults.SilentFrom && !faults.Cut)
}

func (c *wireConn) reset() {
	reset(c.near)
	reset(c.far)
}

// copyThroughGate copies one direction. The gate holds back the end of the source's
// stream as well as its bytes.
func copyThroughGate(g *gate, source, sink net.Conn) {
	defer func() { _ = sink.Close() }()
	chunk := make([]byte, wireChunkBytes)
	for {
		n, err := source.Read(chunk)
		g.wait()
		if _, writeErr := sink.Write(chunk[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// reset closes a connection with a TCP reset, so that the peer sees an error and not an
// orderly end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (g *gate) set(held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if held && g.release == nil {
		g.release = make(chan struct{})
	}
	if !held && g.release != nil {
		close(g.release)
		g.release = nil
	}
}

func (g *gate) releaseSignal() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.release
}

func (g *gate) wait() {
	if release := g.releaseSignal(); release != nil {
		<-release
	}
}
