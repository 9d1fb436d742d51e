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

// client speaks to the resource API of one node.
type client struct {
	node  string
	token string
}

const (
	// answerTimeout bounds one request to the API, except a watch.
	answerTimeout = 15 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 3 * time.Second
	// maxLineBytes bounds one line of a watch.
	maxLineBytes = 16 << 20
)

// transport opens a connection for each request: a command is short, and a
// reused connection may have gone silent.
var transport = &http.Transport{
	DisableKeepAlives: true,
	DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
}

// addFlags adds the flags that name the node and the token.
func (c *client) addFlags(command *cobra.Command) {
	command.Flags().StringVar(&c.node, "node", "", "admin address of any node, as IP:PORT")
	command.Flags().StringVar(&c.token, "token", "", "operator token (default: the environment variable "+tokenVariable+")")
	_ = command.MarkFlagRequired("node")
}

// get fetches a path and decodes the answer.
func (c *client) get(ctx context.Context, path string, answer any) error {
	return c.call(ctx, http.MethodGet, path, nil, answer)
}

// apply sends a document and tells a conflict from other failures.
func (c *client) apply(ctx context.Context, document []byte, expected int64, dryRun bool) (admin.Applied, error) {
	query := url.Values{
		"expected": {strconv.FormatInt(expected, 10)},
		"dry_run":  {strconv.FormatBool(dryRun)},
	}
	var applied admin.Applied
	err := c.call(ctx, http.MethodPost, "/v1/apply?"+query.Encode(), document, &applied)
	return applied, err
}

// rollback asks for the document of a former revision as the next one.
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

func (c *client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return c.broken(method, err)
	}
	if response.StatusCode != http.StatusOK {
		return c.refused(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return Failed.New("%s does not answer like the admin address of a node: %v", c.node, err)
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
		return nil, c.broken(method, err)
	}
	return response, nil
}

// broken explains a request without a whole answer: whether a change may have
// been accepted depends on whether anything was sent.
func (c *client) broken(method string, err error) error {
	var opening *net.OpError
	if errors.As(err, &opening) && opening.Op == "dial" {
		return Failed.New("no connection to %s, so nothing was sent; try another node (%v)", c.node, err)
	}
	if method == http.MethodGet {
		return Failed.New("no whole answer from %s; try again or another node (%v)", c.node, err)
	}
	return Unanswered.New("no whole answer from %s, so the change may have been accepted; see `dandelionfield diff` before trying again (%v)", c.node, err)
}

// refused turns an answer that is an error into one of the command line.
func (c *client) refused(status int, data []byte) error {
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

// stream sends the lines of a watch into the channel and closes it when the
// connection ends. It always ends with an error, which says why.
func (c *client) stream(ctx context.Context, after int64, events chan<- admin.Event) error {
	defer close(events)
	response, err := c.send(ctx, http.MethodGet, fmt.Sprintf("/v1/watch?after=%d", after), nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(response.Body)
		return c.refused(response.StatusCode, data)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var event admin.Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return Failed.New("%s does not answer like the admin address of a node: %v", c.node, err)
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
	return Failed.New("%s ended the watch", c.node)
}
