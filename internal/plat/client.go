package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"github.com/dandelionfield/dandelionfield/internal/clock"
)

// The defaults of Limits. The platform serves about 2000 reads and several hundred writes
// a second in total; 530 nodes at 3 reads and 0.5 writes a second stay within 1590 and
// 265 even if every node uses its whole share at once.
const (
	defaultReadsPerSecond  = 3.0
	defaultWritesPerSecond = 0.5
	defaultReadBurst       = 6
	defaultWriteBurst      = 4
	defaultTimeout         = 2 * time.Second
	defaultBackoffMin      = 200 * time.Millisecond
	defaultBackoffMax      = 10 * time.Second

	maxResponseBytes = 64 << 20

	// GenerationHeader holds, in all answers of the platform, how often it came back from an
	// older copy. A platform that never does may leave it out.
	GenerationHeader = "Platform-Generation"
)

type (
	// Limits restricts the requests of one process to the platform. A zero field means the
	// default.
	Limits struct {
		ReadsPerSecond  float64
		WritesPerSecond float64
		ReadBurst       int
		WriteBurst      int
		// Timeout limits the time of one request.
		Timeout time.Duration
		// After a failure the next request is delayed by a random part of the backoff,
		// which doubles from BackoffMin to BackoffMax.
		BackoffMin time.Duration
		BackoffMax time.Duration
		// Clock and Random can be replaced in tests; nil means the host's.
		Clock  clock.Clock
		Random func() float64
	}

	client struct {
		address string
		limits  Limits
		http    *http.Client
		// inFlight holds one token: each process has one request in flight at a time.
		inFlight chan struct{}
		reads    *rate.Limiter
		writes   *rate.Limiter

		restores RestoreTracker

		mu        sync.Mutex
		failures  int
		notBefore time.Time
	}

	request struct {
		method string
		path   string
		body   []byte
		write  bool
	}
)

// NewClient returns a Store that speaks HTTP and JSON with the platform at address
// (host:port or URL). A request that the rate limit or the backoff would delay past its
// context's deadline fails at once as Unavailable.
func NewClient(address string, limits Limits) Store {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	limits = limits.withDefaults()
	c := &client{
		address:  strings.TrimSuffix(address, "/"),
		limits:   limits,
		http:     &http.Client{Transport: transport(limits.Timeout)},
		inFlight: make(chan struct{}, 1),
		reads:    rate.NewLimiter(rate.Limit(limits.ReadsPerSecond), limits.ReadBurst),
		writes:   rate.NewLimiter(rate.Limit(limits.WritesPerSecond), limits.WriteBurst),
	}
	return Store{
		Get:          c.get,
		List:         c.list,
		Commit:       c.commit,
		PutObject:    c.putObject,
		GetObject:    c.getObject,
		DeleteObject: c.deleteObject,
		ListObjects:  c.listObjects,
		Generation:   c.restores.Generation,
		OnRestore:    c.restores.OnRestore,
	}
}

func (l Limits) withDefaults() Limits {
	l.ReadsPerSecond = orDefault(l.ReadsPerSecond, defaultReadsPerSecond)
	l.WritesPerSecond = orDefault(l.WritesPerSecond, defaultWritesPerSecond)
	l.ReadBurst = orDefault(l.ReadBurst, defaultReadBurst)
	l.WriteBurst = orDefault(l.WriteBurst, defaultWriteBurst)
	l.Timeout = orDefault(l.Timeout, defaultTimeout)
	l.BackoffMin = orDefault(l.BackoffMin, defaultBackoffMin)
	l.BackoffMax = orDefault(l.BackoffMax, defaultBackoffMax)
	if l.Clock == nil {
		l.Clock = clock.System{}
	}
	if l.Random == nil {
		l.Random = rand.Float64
	}
	return l
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

func transport(timeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
	}
}

func (c *client) get(ctx context.Context, table, key string) (Row, error) {
	var row Row
	path := "/table/" + url.PathEscape(table) + "/" + url.PathEscape(key)
	err := c.doJSON(ctx, request{method: http.MethodGet, path: path}, &row)
	return row, err
}

func (c *client) list(ctx context.Context, table string, since int64) ([]Row, int64, error) {
	var listing struct {
		Rows    []Row `json:"rows"`
		Version int64 `json:"version"`
	}
	path := "/table/" + url.PathEscape(table) + "?since=" + strconv.FormatInt(since, 10)
	err := c.doJSON(ctx, request{method: http.MethodGet, path: path}, &listing)
	return listing.Rows, listing.Version, err
}

func (c *client) commit(ctx context.Context, write Write) (int64, error) {
	body, err := json.Marshal(write)
	if err != nil {
		return 0, fmt.Errorf("encode write %s: %w", write.ID, err)
	}
	var answer struct {
		Version int64 `json:"version"`
	}
	path := "/table/" + url.PathEscape(write.Table) + "/commit"
	err = c.doJSON(ctx, request{method: http.MethodPost, path: path, body: body, write: true}, &answer)
	return answer.Version, err
}

func (c *client) putObject(ctx context.Context, name string, data []byte) error {
	path := "/objects/" + url.PathEscape(name)
	_, err := c.do(ctx, request{method: http.MethodPut, path: path, body: data, write: true})
	return err
}

func (c *client) getObject(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, request{method: http.MethodGet, path: "/objects/" + url.PathEscape(name)})
}

func (c *client) deleteObject(ctx context.Context, name string) error {
	path := "/objects/" + url.PathEscape(name)
	_, err := c.do(ctx, request{method: http.MethodDelete, path: path, write: true})
	if errorx.IsOfType(err, NotFound) {
		return nil
	}
	return err
}

func (c *client) listObjects(ctx context.Context, prefix string, limit int) ([]string, error) {
	var listing struct {
		Names []string `json:"names"`
	}
	query := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	err := c.doJSON(ctx, request{method: http.MethodGet, path: "/objects?" + query.Encode()}, &listing)
	return listing.Names, err
}

func (c *client) doJSON(ctx context.Context, r request, answer any) error {
	body, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return Unavailable.Wrap(err, "the platform's answer cannot be read")
	}
	return nil
}

// do waits for the previous request, the backoff and the rate limit, and sends the
// request.
func (c *client) do(ctx context.Context, r request) ([]byte, error) {
	prepared := c.restores.Mark()
	select {
	case c.inFlight <- struct{}{}:
	case <-ctx.Done():
		return nil, Unavailable.Wrap(ctx.Err(), "another request to the platform took too long")
	}
	defer func() { <-c.inFlight }()
	if err := c.waitForPermit(ctx, r.write); err != nil {
		return nil, err
	}
	if !c.restores.Unchanged(prepared) {
		return nil, restoredDuring(r)
	}
	body, status, err := c.send(ctx, r, prepared)
	if errorx.IsOfType(err, Restored) {
		c.updateBackoff(nil)
		return nil, err
	}
	if err == nil && status >= http.StatusInternalServerError {
		err = fmt.Errorf("status %d: %s", status, bytes.TrimSpace(body))
	}
	if !errors.Is(ctx.Err(), context.Canceled) { // a cancelled request says nothing about the platform
		c.updateBackoff(err)
	}
	if err != nil {
		return nil, Unavailable.Wrap(err, "%s %s", r.method, r.path)
	}
	switch status {
	case http.StatusOK:
		return body, nil
	case http.StatusConflict:
		return nil, Conflict.New("%s", bytes.TrimSpace(body))
	case http.StatusNotFound:
		return nil, NotFound.New("%s", bytes.TrimSpace(body))
	}
	return nil, Unavailable.New("%s %s: status %d: %s", r.method, r.path, status, bytes.TrimSpace(body))
}

// waitForPermit waits until both the backoff and the rate limit allow a request.
func (c *client) waitForPermit(ctx context.Context, write bool) error {
	limiter := c.reads
	if write {
		limiter = c.writes
	}
	now := c.limits.Clock.Now()
	reservation := limiter.ReserveN(now, 1)
	c.mu.Lock()
	wait := max(reservation.DelayFrom(now), c.notBefore.Sub(now))
	c.mu.Unlock()
	if wait <= 0 {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok && deadline.Sub(now) < wait {
		reservation.CancelAt(now)
		return Unavailable.New("the platform is not asked again for %v", wait.Round(time.Millisecond))
	}
	select {
	case <-c.limits.Clock.After(wait):
		return nil
	case <-ctx.Done():
		reservation.CancelAt(c.limits.Clock.Now())
		return Unavailable.Wrap(ctx.Err(), "given up before the platform was asked")
	}
}

// send sends a request once, and drops the answer if it shows that the platform came back
// from an older copy since the request was prepared.
func (c *client) send(ctx context.Context, r request, prepared Mark) (body []byte, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, c.address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, 0, err
	}
	// Without GetBody the transport cannot retry the request by itself.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	if !c.usable(prepared, resp.Header) {
		return nil, 0, restoredDuring(r)
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return body, resp.StatusCode, err
}

// usable reports whether an answer may be used. One that names no valid generation is judged by
// the restores that other answers have shown.
func (c *client) usable(prepared Mark, header http.Header) bool {
	generation, err := strconv.ParseInt(header.Get(GenerationHeader), 10, 64)
	if err != nil || generation < 0 || generation > MaxGeneration {
		return c.restores.Unchanged(prepared)
	}
	return c.restores.Answered(prepared, generation)
}

func restoredDuring(r request) error {
	return Restored.New("%s %s: the platform came back from an older copy", r.method, r.path)
}

// updateBackoff sets the backoff from the result of a request. Full jitter spreads the
// requests of 530 nodes that have backed off to 10 s to about 100 a second when the
// platform returns.
func (c *client) updateBackoff(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.failures = 0
		c.notBefore = time.Time{}
		return
	}
	backoff := min(c.limits.BackoffMin<<min(c.failures, 16), c.limits.BackoffMax)
	c.failures++
	wait := time.Duration(c.limits.Random() * float64(backoff))
	c.notBefore = c.limits.Clock.Now().Add(wait)
}
