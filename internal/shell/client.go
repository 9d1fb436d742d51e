package shell

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/dandelionfield/dandelionfield/internal/admin"
)

// client calls the resource API of one node.
type client struct {
	node  string
	token string
}

const (
	// requestTimeout limits one API request. It does not apply to a watch.
	requestTimeout = 15 * time.Second
	// dialTimeout limits how long a connection may take to open.
	dialTimeout = 3 * time.Second
	// maxLineBytes limits one line of a watch response.
	maxLineBytes = 16 << 20
)

// transport opens a new connection for each request: commands are short-lived, and a reused
// connection may be dead without an error yet.
var transport = &http.Transport{
	DisableKeepAlives: true,
	DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
}

// addFlags adds the flags --node, which is required, and --token.
func (c *client) addFlags(command *cobra.Command) {
	c.addOptionalFlags(command)
	_ = command.MarkFlagRequired("node")
}

// addOptionalFlags adds the flags --node and --token.
func (c *client) addOptionalFlags(command *cobra.Command) {
	command.Flags().StringVar(&c.node, "node", "", "admin address of any node, as IP:PORT")
	command.Flags().StringVar(&c.token, "token", "", "operator token (default: the environment variable "+tokenVariable+")")
}

// get fetches path and decodes the JSON response into the value that into points to.
func (c *client) get(ctx context.Context, path string, into any) error {
	return c.call(ctx, http.MethodGet, path, nil, into)
}

// apply sends a document of declarations to be accepted as the revision after expected. If
// another revision is in force, it fails with Conflict.
func (c *client) apply(ctx context.Context, document []byte, expected int64, dryRun bool) (admin.Applied, error) {
	query := url.Values{
		"expected": {strconv.FormatInt(expected, 10)},
		"dry_run":  {strconv.FormatBool(dryRun)},
	}
	var applied admin.Applied
	err := c.call(ctx, http.MethodPost, "/v1/apply?"+query.Encode(), document, &applied)
	return applied, err
}

// rollback asks the node to make the document of a former revision the next revision.
func (c *client) rollback(ctx context.Context, number, expected int64, dryRun bool) (admin.Applied, error) {
	query := url.Values{
		"revision": {strconv.FormatInt(number, 10)},
		"expected": {strconv.FormatInt(expected, 10)},
		"dry_run":  {strconv.FormatBool(dryRun)},
	}
	var applied admin.Applied
	err := c.call(ctx, http.MethodPost, "/v1/rollback?"+query.Encode(), nil, &applied)
	return applied, err
}

func (c *client) call(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return c.connectionError(method, err)
	}
	if response.StatusCode != http.StatusOK {
		return c.responseError(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return Failed.New("the response of %s is not that of a node's admin API: %v", c.node, err)
	}
	return nil
}

func (c *client) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	address, err := netip.ParseAddrPort(c.node)
	if err != nil {
		return nil, BadInput.New("--node must be an IP address and port such as 10.0.0.7:7102, found %q", c.node)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	token := c.token
	if token == "" {
		token = os.Getenv(tokenVariable)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, c.connectionError(method, err)
	}
	return response, nil
}

// connectionError describes a request that got no complete response. A change cannot have
// been accepted if the connection was never opened, and may have been accepted otherwise.
func (c *client) connectionError(method string, err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return Failed.New("no connection to %s, so nothing was sent; try another node (%v)", c.node, err)
	}
	if method == http.MethodGet {
		return Failed.New("no complete response from %s; try again or another node (%v)", c.node, err)
	}
	return Unanswered.New("no complete response from %s, so the change may have been accepted; see `dandelionfield diff` before trying again (%v)", c.node, err)
}

// responseError converts an error response of the API into a typed command-line error.
func (c *client) responseError(status int, data []byte) error {
	var failure admin.Failure
	if json.Unmarshal(data, &failure) != nil || failure.Error == "" {
		return Failed.New("%s answered %d", c.node, status)
	}
	switch status {
	case http.StatusUnprocessableEntity:
		if len(failure.Problems) > 0 {
			return failure.Problems
		}
	case http.StatusConflict:
		return Conflict.New("%s; look at it with `dandelionfield diff` or `dandelionfield history`, then try again", failure.Error)
	case http.StatusUnauthorized:
		return Refused.New("%s; give it with --token or %s", failure.Error, tokenVariable)
	case http.StatusServiceUnavailable:
		if failure.Unchanged {
			return Refused.New("%s", failure.Error)
		}
		return Unanswered.New("%s", failure.Error)
	case http.StatusNotFound, http.StatusBadRequest, http.StatusGone:
		return BadInput.New("%s", failure.Error)
	}
	return Failed.New("%s", failure.Error)
}

// stream sends the events of a watch to the channel, and closes the channel when the
// connection ends. It always returns an error, which says why the connection ended.
func (c *client) stream(ctx context.Context, after int64, events chan<- admin.Event) error {
	defer close(events)
	response, err := c.send(ctx, http.MethodGet, fmt.Sprintf("/v1/watch?after=%d", after), nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(response.Body)
		return c.responseError(response.StatusCode, data)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var event admin.Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return Failed.New("the response of %s is not that of a node's admin API: %v", c.node, err)
		}
		select {
		case events <- event:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return Failed.New("%s closed the watch connection", c.node)
}
