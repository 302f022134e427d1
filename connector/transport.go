package connector

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Stalled is the error type of an answer that sent no data for the limit of
// WithStallTimeout.
var Stalled = Errors.NewType("stalled")

// WithStallTimeout returns a transport whose answers fail with Stalled when one read of
// the body waits longer than limit. The time between reads is not limited.
func WithStallTimeout(next http.RoundTripper, limit time.Duration) http.RoundTripper {
	return stallTransport{next, limit}
}

type stallTransport struct {
	next  http.RoundTripper
	limit time.Duration
}

func (t stallTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	response, err := t.next.RoundTrip(request.WithContext(ctx))
	if err != nil {
		cancel(err)
		return nil, err
	}
	response.Body = &stallBody{ReadCloser: response.Body, ctx: ctx, cancel: cancel, limit: t.limit}
	return response, nil
}

// stallBody cancels its request's context when a read waits longer than limit.
type stallBody struct {
	io.ReadCloser
	// ctx is the context of the request that the body answers.
	ctx    context.Context
	cancel context.CancelCauseFunc
	limit  time.Duration
}

func (b *stallBody) Read(buffer []byte) (int, error) {
	stallTimer := time.AfterFunc(b.limit, func() {
		b.cancel(Stalled.New("no progress for %s", b.limit))
	})
	n, err := b.ReadCloser.Read(buffer)
	stallTimer.Stop()
	if cause := context.Cause(b.ctx); err != nil && errorx.IsOfType(cause, Stalled) {
		err = cause
	}
	return n, err
}

func (b *stallBody) Close() error {
	b.cancel(context.Canceled)
	return b.ReadCloser.Close()
}

// WithBearerToken returns a transport that adds the token in a file to each request as a
// bearer token. It reads the file each time, so that a replaced token is used at once.
func WithBearerToken(next http.RoundTripper, path string) http.RoundTripper {
	return bearerTransport{next, path}
}

type bearerTransport struct {
	next http.RoundTripper
	path string
}

func (t bearerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	token, err := os.ReadFile(t.path)
	if err != nil {
		if request.Body != nil {
			_ = request.Body.Close()
		}
		return nil, UnusableFiles.Wrap(err, "token")
	}
	request = request.Clone(request.Context())
	request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	return t.next.RoundTrip(request)
}

// WithHTTPS returns a transport that sends http requests as https, for callers that
// build URLs from addresses without knowing whether TLS is configured.
func WithHTTPS(next http.RoundTripper) http.RoundTripper {
	return httpsTransport{next}
}

type httpsTransport struct {
	next http.RoundTripper
}

func (t httpsTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.URL.Scheme = "https"
	return t.next.RoundTrip(request)
}

// CloseIdleConnections closes the idle connections of the next transport.
func (t httpsTransport) CloseIdleConnections() {
	closeIdle(t.next)
}

// CloseIdleConnections closes the idle connections of the next transport.
func (t stallTransport) CloseIdleConnections() {
	closeIdle(t.next)
}

func closeIdle(transport http.RoundTripper) {
	if closer, ok := transport.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
