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

	"github.com/foxtailspool/foxtailspool/connector"
)

// maxAnswerBytes limits the response body that the client reads.
const maxAnswerBytes = 64 << 20

// ClientOptions configures a Client.
type ClientOptions struct {
	// URL is the base URL of a node's operators' listener.
	URL       string
	Transport http.RoundTripper
	// Timeout limits each whole call.
	Timeout time.Duration
}

// Client calls one node. Its errors have the error types of this package.
type Client struct {
	options ClientOptions
	http    *http.Client
}

// NewClient returns a client of one node.
func NewClient(options ClientOptions) *Client {
	client := connector.NewClient(options.Transport)
	client.Timeout = options.Timeout
	return &Client{options: options, http: client}
}

// Status returns the node's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, pathStatus, nil)
}

// Tables returns the active tables of the node.
func (c *Client) Tables(ctx context.Context) (Tables, error) {
	return call[Tables](ctx, c, http.MethodGet, pathTables, nil)
}

// Rollout returns the active configuration of each node.
func (c *Client) Rollout(ctx context.Context) (Rollout, error) {
	return call[Rollout](ctx, c, http.MethodGet, pathRollout, nil)
}

// Apply replaces the tables and returns once the edit is accepted.
func (c *Client) Apply(ctx context.Context, edit Edit) (ApplyResult, error) {
	body, err := json.Marshal(edit)
	if err != nil {
		return ApplyResult{}, Malformed.Wrap(err, "encode edit")
	}
	return call[ApplyResult](ctx, c, http.MethodPost, pathApply, body)
}

func call[Response any](ctx context.Context, c *Client, method, path string, body []byte) (Response, error) {
	var answer Response
	request, err := http.NewRequestWithContext(ctx, method, c.options.URL+path, bytes.NewReader(body))
	if err != nil {
		return answer, Malformed.Wrap(err, "%s %s", method, path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer, transportError(err, method)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, transportError(err, method)
	}
	if response.StatusCode != http.StatusOK {
		var failure errorBody
		if json.Unmarshal(content, &failure) != nil {
			return answer, Unknown.New("%s %s: status %d", method, path, response.StatusCode)
		}
		return answer, decodeError(failure, response.StatusCode)
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return answer, Unknown.Wrap(err, "%s %s: answer", method, path)
	}
	return answer, nil
}

// transportError returns Unavailable for a call that was never sent or only reads,
// and Unknown for one that may have taken effect.
func transportError(err error, method string) error {
	var opError *net.OpError
	neverSent := errors.As(err, &opError) && opError.Op == "dial"
	if neverSent || method == http.MethodGet {
		return Unavailable.Wrap(err, "cannot reach the node")
	}
	return Unknown.Wrap(err, "the answer was lost")
}
