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

// Stalled is the cause of an answer that was given up because it sent nothing
// for the limit of LimitProgress.
var Stalled = Errors.NewType("stalled")

// LimitProgress returns a transport whose answers fail with Stalled once a read
// of the body has waited for the limit. Whoever reads slowly is not hurried.
func LimitProgress(next http.RoundTripper, limit time.Duration) http.RoundTripper {
	return progressTransport{next, limit}
}

type progressTransport struct {
	next  http.RoundTripper
	limit time.Duration
}

func (t progressTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	response, err := t.next.RoundTrip(request.WithContext(ctx))
	if err != nil {
		cancel(err)
		return nil, err
	}
	response.Body = &progressBody{ReadCloser: response.Body, ctx: ctx, cancel: cancel, limit: t.limit}
	return response, nil
}

// progressBody ends its request's context when a read waits too long.
type progressBody struct {
	io.ReadCloser
	// ctx belongs to the one request that the body answers.
	ctx    context.Context
	cancel context.CancelCauseFunc
	limit  time.Duration
}

func (b *progressBody) Read(buffer []byte) (int, error) {
	waiting := time.AfterFunc(b.limit, func() {
		b.cancel(Stalled.New("no progress for %s", b.limit))
	})
	n, err := b.ReadCloser.Read(buffer)
	waiting.Stop()
	if cause := context.Cause(b.ctx); err != nil && errorx.IsOfType(cause, Stalled) {
		err = cause
	}
	return n, err
}

func (b *progressBody) Close() error {
	b.cancel(context.Canceled)
	return b.ReadCloser.Close()
}

// BearerFile returns a transport that sends the token in a file with every
// request. The file is read each time, so that a replaced token is used at once.
func BearerFile(next http.RoundTripper, path string) http.RoundTripper {
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

// Secure returns a transport that makes https calls of http ones, for callers
// that know addresses and not whether they are reached by TLS.
func Secure(next http.RoundTripper) http.RoundTripper {
	return secureTransport{next}
}

type secureTransport struct {
	next http.RoundTripper
}

func (t secureTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.URL.Scheme = "https"
	return t.next.RoundTrip(request)
}

// CloseIdleConnections closes the kept connections of the transport below.
func (t secureTransport) CloseIdleConnections() {
	closeIdle(t.next)
}

// CloseIdleConnections closes the kept connections of the transport below.
func (t progressTransport) CloseIdleConnections() {
	closeIdle(t.next)
}

func closeIdle(transport http.RoundTripper) {
	if closer, ok := transport.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
