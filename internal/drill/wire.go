package drill

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
	// WireConfig is the settings of one wire.
	WireConfig struct {
		Name   string `yaml:"name"`
		Listen string `yaml:"listen"`
		// To is the address that connections are forwarded to.
		To            string `yaml:"to"`
		ControlListen string `yaml:"control_listen"`
		// Hosts names the hosts that connections come from, by IP number.
		Hosts map[string]string `yaml:"hosts,omitempty"`
	}

	// WireFaults are the switches of a wire; without any, it passes all bytes.
	WireFaults struct {
		// SilentTo holds what goes to the address that is forwarded to, and
		// SilentFrom what comes from there, until the switch is off. As on a
		// lossy path, neither side learns of it, nor that the other has closed.
		SilentTo   bool `json:"silent_to"`
		SilentFrom bool `json:"silent_from"`
		// OpenOnly leaves connections alone that are opened from now on.
		OpenOnly bool `json:"open_only"`
		// Cut resets all connections, and new ones at once.
		Cut bool `json:"cut"`
		// From limits the switches to connections from these hosts, by name;
		// without any, they hold for all.
		From []string `json:"from"`
	}

	// WireStats counts the connections of a wire.
	WireStats struct {
		Opened int `json:"opened"`
		Open   int `json:"open"`
		// Silenced counts the open connections that are held in any direction.
		Silenced int `json:"silenced"`
	}

	// Wire forwards TCP connections between two processes, and can go silent
	// as a path between hosts does. It is safe for concurrent use.
	Wire struct {
		config WireConfig

		mu     sync.Mutex
		faults WireFaults
		lines  map[*line]bool
		opened int
	}

	// line is one connection through the wire, and its way in each direction.
	line struct {
		near, far net.Conn
		host      string
		to, from  hold
	}

	// hold makes the bytes of one direction wait.
	hold struct {
		mu      sync.Mutex
		release chan struct{}
	}
)

const (
	wireDialTimeout = time.Second
	wireChunkBytes  = 32 << 10
)

// NewWire returns a wire that passes all bytes.
func NewWire(config WireConfig) *Wire {
	return &Wire{config: config, lines: map[*line]bool{}}
}

// Handler returns the switches and counters.
func (w *Wire) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/faults", func(rw http.ResponseWriter, r *http.Request) {
		var faults WireFaults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.Switch(faults)
		rw.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /-/stats", func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, w.Stats(), nil) })
	return mux
}

// Serve forwards connections until the context ends, and then closes all.
func (w *Wire) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", w.config.Listen)
	if err != nil {
		return err
	}
	return w.forward(ctx, listener)
}

// Switch sets the faults, on the open connections as well.
func (w *Wire) Switch(faults WireFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
	for l := range w.lines {
		meant := faults.of(l.host)
		if meant.Cut {
			// What is held is lost with the connection.
			l.reset()
		}
		l.set(meant)
	}
}

// Stats returns a copy of the counters.
func (w *Wire) Stats() WireStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	stats := WireStats{Opened: w.opened, Open: len(w.lines)}
	for l := range w.lines {
		if l.to.held() != nil || l.from.held() != nil {
			stats.Silenced++
		}
	}
	return stats
}

func (w *Wire) forward(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	// What is held may go on, so that no connection outlives the wire.
	defer w.Switch(WireFaults{Cut: true})
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

// open connects the other side and copies both ways until either ends.
func (w *Wire) open(ctx context.Context, near net.Conn) {
	host := w.host(near)
	if w.current().of(host).Cut {
		reset(near)
		return
	}
	dialer := net.Dialer{Timeout: wireDialTimeout}
	far, err := dialer.DialContext(ctx, "tcp", w.config.To)
	if err != nil {
		reset(near)
		return
	}
	l := &line{near: near, far: far, host: host}
	if !w.add(l) {
		l.reset()
		return
	}
	var ways sync.WaitGroup
	ways.Go(func() { pump(&l.to, near, far) })
	ways.Go(func() { pump(&l.from, far, near) })
	ways.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.lines, l)
}

// add puts a new connection under the switches, unless the wire is cut.
func (w *Wire) add(l *line) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	meant := w.faults.of(l.host)
	if meant.Cut {
		return false
	}
	if !meant.OpenOnly {
		l.set(meant)
	}
	w.opened++
	w.lines[l] = true
	return true
}

func (w *Wire) current() WireFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// host names the host that a connection comes from, if it is known.
func (w *Wire) host(near net.Conn) string {
	ip, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	return w.config.Hosts[ip]
}

// of returns the switches that hold for connections from a host.
func (f WireFaults) of(host string) WireFaults {
	if len(f.From) > 0 && !slices.Contains(f.From, host) {
		return WireFaults{}
	}
	return f
}

func (l *line) set(faults WireFaults) {
	l.to.set(faults.SilentTo && !faults.Cut)
	l.from.set(faults.SilentFrom && !faults.Cut)
}

func (l *line) reset() {
	reset(l.near)
	reset(l.far)
}

// pump copies one direction. The end of the source is held like its bytes.
func pump(h *hold, source, sink net.Conn) {
	defer func() { _ = sink.Close() }()
	chunk := make([]byte, wireChunkBytes)
	for {
		n, err := source.Read(chunk)
		h.wait()
		if _, failed := sink.Write(chunk[:n]); failed != nil || err != nil {
			return
		}
	}
}

// reset closes a connection so that the other side sees an error and no end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (h *hold) set(held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held && h.release == nil {
		h.release = make(chan struct{})
	}
	if !held && h.release != nil {
		close(h.release)
		h.release = nil
	}
}

func (h *hold) held() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.release
}

func (h *hold) wait() {
	if release := h.held(); release != nil {
		<-release
	}
}
