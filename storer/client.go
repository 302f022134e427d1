package storer

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
)

// apiPath is the root of foxtailspool's kinds in the platform's API.
const apiPath = "/apis/foxtailspool.example/v1/"

// maximumAnswerBytes limits one decoded answer. A stored object takes up to 1 MB.
const maximumAnswerBytes = 64 << 20

// ClientOptions configures a client.
type ClientOptions struct {
	// URL is the platform's base address, such as "http://192.0.2.1:6443".
	URL string
	// Transport sends the calls.
	Transport http.RoundTripper
	// CallTimeout is the timeout of a call, and of opening a watch.
	CallTimeout time.Duration
	// WatchIdleTimeout closes a watch that has sent nothing, not even a bookmark.
	WatchIdleTimeout time.Duration
}

// Client calls the platform's object API over HTTP.
type Client struct {
	options ClientOptions
	http    *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the platform.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, http: connector.NewClient(options.Transport)}
}

type wireMetadata struct {
	Name            string  `json:"name,omitempty"`
	ResourceVersion Version `json:"resourceVersion,omitempty"`
}

type wireObject struct {
	APIVersion string          `json:"apiVersion,omitempty"`
	Kind       Kind            `json:"kind,omitempty"`
	Metadata   wireMetadata    `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Status     json.RawMessage `json:"status,omitempty"`
}

type wireList struct {
	Metadata wireMetadata `json:"metadata"`
	Items    []wireObject `json:"items"`
}

type wireEvent struct {
	Type   Change     `json:"type"`
	Object wireObject `json:"object"`
}

func (o wireObject) toObject(kind Kind) Object {
	return Object{Kind: kind, Name: o.Metadata.Name, Version: o.Metadata.ResourceVersion, Spec: o.Spec, Status: o.Status}
}

func toWire(o Object) wireObject {
	return wireObject{
		APIVersion: "foxtailspool.example/v1",
		Kind:       o.Kind,
		Metadata:   wireMetadata{Name: o.Name, ResourceVersion: o.Version},
		Spec:       o.Spec,
		Status:     o.Status,
	}
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var answer wireObject
	if err := c.call(ctx, http.MethodGet, string(kind)+"/"+name, nil, &answer); err != nil {
		return Object{}, err
	}
	return answer.toObject(kind), nil
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind Kind) (Listing, error) {
	var answer wireList
	if err := c.call(ctx, http.MethodGet, string(kind), nil, &answer); err != nil {
		return Listing{}, err
	}
	listing := Listing{Version: answer.Metadata.ResourceVersion}
	for _, item := range answer.Items {
		listing.Objects = append(listing.Objects, item.toObject(kind))
	}
	return listing, nil
}

// Create stores a new object.
func (c *Client) Create(ctx context.Context, object Object) (Object, error) {
	var answer wireObject
	if err := c.call(ctx, http.MethodPost, string(object.Kind), toWire(object), &answer); err != nil {
		return Object{}, err
	}
	return answer.toObject(object.Kind), nil
}

// Update replaces an object if its stored version matches.
func (c *Client) Update(ctx context.Context, object Object) (Object, error) {
	var answer wireObject
	path := string(object.Kind) + "/" + object.Name
	if err := c.call(ctx, http.MethodPut, path, toWire(object), &answer); err != nil {
		return Object{}, err
	}
	return answer.toObject(object.Kind), nil
}

// Delete removes an object if its stored version matches.
func (c *Client) Delete(ctx context.Context, object Object) error {
	path := string(object.Kind) + "/" + object.Name + "?resourceVersion=" + string(object.Version)
	return c.call(ctx, http.MethodDelete, path, nil, nil)
}

func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if answer == nil {
		return nil
	}
	decompressed, err := decompressedBody(response)
	if err != nil {
		return Uncertain.Wrap(err, "%s %s: answer cut off", method, path)
	}
	reader := io.LimitReader(decompressed, maximumAnswerBytes)
	if err := json.NewDecoder(reader).Decode(answer); err != nil {
		return Uncertain.Wrap(err, "%s %s: answer cut off", method, path)
	}
	return nil
}

// decompressedBody returns a reader of the answer's decompressed body.
func decompressedBody(response *http.Response) (io.Reader, error) {
	if response.Header.Get("Content-Encoding") != "gzip" {
		return response.Body, nil
	}
	return gzip.NewReader(response.Body)
}

// send makes one call. It fails with one of this package's error types.
func (c *Client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, Invalid.Wrap(err, "encode %s", path)
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.options.URL+apiPath+path, content)
	if err != nil {
		return nil, Invalid.Wrap(err, "%s %s", method, path)
	}
	request.Header.Set("Content-Type", "application/json")
	// The transports do not ask for compression, and table lists compress well.
	request.Header.Set("Accept-Encoding", "gzip")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, TransportError(err, method, path)
	}
	if IsSuccess(response.StatusCode) {
		return response, nil
	}
	_ = response.Body.Close()
	return nil, StatusError(response.StatusCode, method, path)
}

// TransportError returns Unavailable if the call was never sent, and otherwise Uncertain.
func TransportError(err error, method, path string) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return Unavailable.Wrap(err, "%s %s", method, path)
	}
	return Uncertain.Wrap(err, "%s %s", method, path)
}

// IsSuccess reports whether a status confirms a call.
func IsSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// StatusError returns the error for an HTTP status that is no success.
func StatusError(status int, method, path string) error {
	switch {
	case status == http.StatusNotFound:
		return NotFound.New("%s %s", method, path)
	case status == http.StatusConflict:
		return Conflict.New("%s %s", method, path)
	case status == http.StatusGone:
		return Expired.New("%s %s", method, path)
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return Unavailable.New("%s %s: status %d", method, path, status)
	case status >= http.StatusInternalServerError, status < http.StatusBadRequest:
		return Uncertain.New("%s %s: status %d", method, path, status)
	default:
		return Invalid.New("%s %s: status %d", method, path, status)
	}
}

// Watch opens a stream of the changes after a version.
func (c *Client) Watch(ctx context.Context, kind Kind, after Version) (Watch, error) {
	ctx, cancel := context.WithCancel(ctx)
	path := string(kind) + "?watch=1&allowWatchBookmarks=true&resourceVersion=" + string(after)
	openTimer := time.AfterFunc(c.options.CallTimeout, cancel)
	response, err := c.send(ctx, http.MethodGet, path, nil) //nolint:bodyclose // The watch closes it.
	openTimer.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	w := &watch{kind: kind, body: response.Body, cancel: cancel, idleTimeout: c.options.WatchIdleTimeout}
	stream, err := decompressedBody(response)
	if err != nil {
		w.Close()
		return nil, Unavailable.Wrap(err, "watch %s", kind)
	}
	w.decoder = json.NewDecoder(stream)
	return w, nil
}

type watch struct {
	kind        Kind
	body        io.Closer
	decoder     *json.Decoder
	cancel      context.CancelFunc
	idleTimeout time.Duration
}

func (w *watch) Next() (Event, error) {
	idleTimer := time.AfterFunc(w.idleTimeout, w.cancel)
	defer idleTimer.Stop()
	var event wireEvent
	if err := w.decoder.Decode(&event); err != nil {
		w.Close()
		return Event{}, Unavailable.Wrap(err, "watch %s", w.kind)
	}
	if event.Type == "ERROR" {
		w.Close()
		return Event{}, Expired.New("watch %s", w.kind)
	}
	return Event{Change: event.Type, Object: event.Object.toObject(w.kind)}, nil
}

func (w *watch) Close() {
	w.cancel()
	_ = w.body.Close()
}
