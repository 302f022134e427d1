package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// maxAnswerBytes bounds an answer of a node.
const maxAnswerBytes = 64 << 20

// ClientOptions sets up a client.
type ClientOptions struct {
	// URL is the base address of a node's operators' listener.
	URL string
	// Transport carries the calls.
	Transport http.RoundTripper
	// Timeout bounds each call as a whole.
	Timeout time.Duration
}

// Client asks one node. Its errors are of this package's types.
type Client struct {
	options ClientOptions
	http    *http.Client
}

// NewClient returns a client of a node.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, http: &http.Client{Transport: options.Transport, Timeout: options.Timeout}}
}

// Status returns what the node sees.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, pathStatus, nil)
}

// Tables returns the tables in force at the node.
func (c *Client) Tables(ctx context.Context) (Tables, error) {
	return call[Tables](ctx, c, http.MethodGet, pathTables, nil)
}

// Spread returns which nodes have which configuration.
func (c *Client) Spread(ctx context.Context) (Spread, error) {
	return call[Spread](ctx, c, http.MethodGet, pathSpread, nil)
}

// Apply returns once the edit is accepted.
func (c *Client) Apply(ctx context.Context, edit Edit) (Accepted, error) {
	body, err := json.Marshal(edit)
	if err != nil {
		return Accepted{}, Malformed.Wrap(err, "encode edit")
	}
	return call[Accepted](ctx, c, http.MethodPost, pathApply, body)
}

func call[Response any](ctx context.Context, c *Client, method, path string, body []byte) (Response, error) {
	var answer Response
	request, err := http.NewRequestWithContext(ctx, method, c.options.URL+path, bytes.NewReader(body))
	if err != nil {
		return answer, Malformed.Wrap(err, "%s %s", method, path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer, lostCall(err, method)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, lostCall(err, method)
	}
	if response.StatusCode != http.StatusOK {
		var refused wireRefusal
		if json.Unmarshal(content, &refused) != nil {
			return answer, Unknown.New("%s %s: status %d", method, path, response.StatusCode)
		}
		return answer, errorOf(refused, response.StatusCode)
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return answer, Unknown.Wrap(err, "%s %s: answer", method, path)
	}
	return answer, nil
}

// lostCall tells a call without effect from one whose effect is not known.
func lostCall(err error, method string) error {
	var dial *net.OpError
	neverSent := errors.As(err, &dial) && dial.Op == "dial"
	if neverSent || method == http.MethodGet {
		return Unavailable.Wrap(err, "cannot reach the node")
	}
	return Unknown.Wrap(err, "the answer was lost")
}
