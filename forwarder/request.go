package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/router"
)

// Request is one caller's request. Its body is opaque.
type Request struct {
	// Attempt is the caller's own id of this sending; a repeated sending has
	// another one.
	Attempt identifier.Attempt
	Method  string
	Host    string
	// Target is the request target as the caller wrote it, Path its path.
	Target string
	Path   string
	Header http.Header
	Body   []byte
	// Arrived is when the request's header was read.
	Arrived time.Time
	// Patience is how long the caller waits, from Arrived; zero is unknown.
	Patience time.Duration
	// Cost is what a model request asks of an engine; its zero value is unknown.
	Cost Cost
	// Fingerprint is a hash of what the caller sends again when it repeats the
	// request.
	Fingerprint uint64
}

// Cost is what a model request asks of an engine.
type Cost struct {
	Prompt identifier.Tokens
	// Limit bounds the output.
	Limit identifier.Tokens
	// Hint is the caller's estimate of the output; zero is none.
	Hint identifier.Tokens
	// Prefixes are hashes of the prompt's leading parts, shortest first.
	Prefixes []uint64
}

// Work is one sending of a request to one back end.
type Work struct {
	Request *Request
	Backend Backend
	// Left is the time left for the answer; a back end stops after it.
	Left time.Duration
	// Rank is the route's.
	Rank int
	// Source is where the engine fetches the prompt's KV cache; empty for none.
	Source Source
	// Fresh asks for a new connection.
	Fresh bool
}

// Source names a prefilled prompt: the engine that keeps it and its handle.
type Source struct {
	Address identifier.Address
	Handle  string
}

// Answer is a back end's answer. Body returns io.EOF only after its proper end.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length, or negative where it is not known.
	Length int64
	Body   Body
}

// Body is an answer's body.
type Body interface {
	Read(buffer []byte) (int, error)
	// ReadAll reads the whole body, up to a limit.
	ReadAll(limit int64) ([]byte, error)
	// Close gives up what was not read.
	Close()
}

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("forwarder")

// The error types of a sending. Test with errorx.IsOfType.
var (
	// Unsent: no byte has left; the back end knows nothing of the request.
	Unsent = Errors.NewType("unsent")
	// Unreached: the back end cannot be connected to, and no byte has left.
	Unreached = Unsent.NewSubtype("unreached")
	// Declined: the back end said that it has not run the request.
	Declined = Errors.NewType("declined")
	// Replaced: another back end has the address and has not run the request.
	Replaced = Declined.NewSubtype("replaced")
	// Lost: the request may have run; its answer is missing or no answer.
	Lost = Errors.NewType("lost")
)

// Backends sends requests to back ends.
type Backends interface {
	// Send sends a request. Its errors are of the types above; an answer that
	// the back end made, whatever its status, is no error.
	Send(ctx context.Context, work Work) (*Answer, error)
	// Prefill has an engine read a prompt and keep its KV cache.
	Prefill(ctx context.Context, work Work) (Source, error)
	// Drop frees a KV cache that nobody fetches.
	Drop(ctx context.Context, source Source) error
}

// notRun is a refusal of a request that has not run and will not.
func notRun(reason router.Reason, retryAfter time.Duration, message string) *router.Refusal {
	return &router.Refusal{Outcome: router.NotRun, Reason: reason, RetryAfter: retryAfter, Message: message}
}

// unknown is a refusal of a request that may have run.
func unknown(reason router.Reason, message string) *router.Refusal {
	return &router.Refusal{Outcome: router.Unknown, Reason: reason, Message: message}
}
