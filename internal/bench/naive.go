package bench

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

const (
	// naiveRetries is how often the naive relay retries a failed call at each hop.
	naiveRetries = 3
	// naiveIdleConns is the number of idle connections kept to one target.
	naiveIdleConns = 20
)

type (
	// NaiveConfig holds the settings of one naive relay.
	NaiveConfig struct {
		Listen string `yaml:"listen"`
		// Mesh is the directory of the firm's declarations.
		Mesh    string `yaml:"mesh"`
		Retries int    `yaml:"retries"`
		// Targets maps each service to its fixed list of target addresses.
		Targets map[string][]string `yaml:"targets"`
	}

	// NaiveRelay is the baseline of the benchmarks: round robin over a fixed list,
	// retries at every hop on any error or 5xx status, no load shedding. It is safe
	// for concurrent use.
	NaiveRelay struct {
		config NaiveConfig
		client *http.Client
		next   map[string]*atomic.Uint64
	}

	naiveAnswer struct {
		status int
		header http.Header
		body   []byte
	}
)

// NewNaiveRelay returns a naive relay.
func NewNaiveRelay(config NaiveConfig) *NaiveRelay {
	next := make(map[string]*atomic.Uint64, len(config.Targets))
	for service := range config.Targets {
		next[service] = new(atomic.Uint64)
	}
	return &NaiveRelay{config: config, client: newClient(naiveIdleConns), next: next}
}

// Handler returns the HTTP handler of the relay for the kinds of the mesh.
func (n *NaiveRelay) Handler(mesh *schema.Set) http.Handler {
	mux := http.NewServeMux()
	for _, kind := range mesh.Kinds {
		mux.HandleFunc(kind.Method+" "+kind.Path, func(w http.ResponseWriter, r *http.Request) {
			n.serve(w, r, kind)
		})
	}
	return mux
}

func (n *NaiveRelay) serve(w http.ResponseWriter, r *http.Request, kind schema.Kind) {
	ctx, cancel := context.WithTimeout(r.Context(), kind.Deadline)
	defer cancel()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "the request body ended early", http.StatusBadRequest)
		return
	}
	answer := naiveAnswer{status: http.StatusBadGateway}
	for attempt := 0; attempt <= n.config.Retries && ctx.Err() == nil; attempt++ {
		got, err := n.sendAttempt(ctx, r, kind, body)
		if err != nil {
			continue
		}
		answer = got
		if answer.status < http.StatusInternalServerError {
			break
		}
	}
	if ctx.Err() != nil {
		answer = naiveAnswer{status: http.StatusGatewayTimeout}
	}
	for name, values := range answer.header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body)
}

func (n *NaiveRelay) sendAttempt(ctx context.Context, r *http.Request, kind schema.Kind, body []byte) (naiveAnswer, error) {
	targets := n.config.Targets[kind.Service]
	if len(targets) == 0 {
		return naiveAnswer{}, callError.New("service %s has no targets", kind.Service)
	}
	address := targets[n.next[kind.Service].Add(1)%uint64(len(targets))]
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return naiveAnswer{}, err
	}
	// Without GetBody, net/http makes no retries beyond those that are counted here.
	request.GetBody = nil
	request.Header = r.Header.Clone()
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		request.Header.Set(timeLeftHeader, strconv.FormatInt(left, 10))
	}
	response, err := n.client.Do(request)
	if err != nil {
		return naiveAnswer{}, err
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return naiveAnswer{}, err
	}
	return naiveAnswer{status: response.StatusCode, header: response.Header, body: got}, nil
}
