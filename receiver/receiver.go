// Package receiver implements the HTTP interface for callers: OpenAI-compatible
// completions streamed as server-sent events, plain calls by route, and the list of
// node addresses that callers should use.
package receiver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/addresser"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/recorder"
	"github.com/foxtailspool/foxtailspool/router"
)

// Router routes requests to backend servers. It returns either a reply or a refusal.
type Router interface {
	Complete(ctx context.Context, request router.Completion) (*router.Reply, *router.Refusal)
	Call(ctx context.Context, call router.Call) (*invoker.Reply, *router.Refusal)
}

// Addresser returns the node addresses that callers near a data centre should use.
type Addresser interface {
	Answer(near identifier.DataCentre) addresser.Answer
}

// Options configures a Receiver.
type Options struct {
	Router    Router
	Addresser Addresser
	// UnreadyReason returns why the node does not serve yet, or "" if it does. It may
	// be nil.
	UnreadyReason func() router.Reason
	// MaxBodyBytes limits the size of a request's body.
	MaxBodyBytes int64
	// Bodies and Answers bound the bytes of all requests' bodies, and of all answers of
	// services; nil means no bound.
	Bodies, Answers *limiter.Memory
	// MaxInFlight limits the requests in flight at this node.
	MaxInFlight int
	// MaxInFlightPerAccount limits the requests of one account in flight, from 1 to
	// MaxInFlight. All callers that name no account count as one account.
	MaxInFlightPerAccount int
	// RetryAfter is sent with refusals by MaxInFlight and MaxInFlightPerAccount, and
	// while the node is not ready.
	RetryAfter time.Duration
	// Middleware wraps each endpoint, for example with tracing. It may be nil.
	Middleware func(name string) endpoint.Middleware
	// Before runs on the request's context before each endpoint. It may be empty.
	Before []kithttp.RequestFunc
	Log    *logger.Logger
	Scope  tally.Scope
}

// Receiver is the HTTP handler for callers' requests.
type Receiver struct {
	options Options
	mux     *http.ServeMux
	// slots has one value for each request in flight.
	slots chan struct{}
	// accounts limits the requests in flight of each account.
	accounts *limiter.Accounts
}

// New returns a Receiver with a handler for each path.
func New(options Options) *Receiver {
	r := &Receiver{
		options: options,
		mux:     http.NewServeMux(),
		slots:   make(chan struct{}, options.MaxInFlight),
	}
	r.accounts = limiter.NewAccounts(limiter.AccountsOptions{Limit: options.MaxInFlightPerAccount, OnLimitReached: r.logAccountLimit})
	complete := r.limitAccountInFlight(r.limitInFlight(r.withLeases(newHandler(r, "complete", r.decodeCompletion, r.complete, encodeCompletion))))
	r.mux.Handle("POST /v1/completions", complete)
	r.mux.Handle("POST /v1/chat/completions", complete)
	r.mux.Handle("GET /v1/entries", r.limitInFlight(newHandler(r, "entries", decodeEntries, r.entries, encodeEntries)))
	r.mux.Handle("/", r.limitAccountInFlight(r.limitInFlight(r.withLeases(newHandler(r, "call", r.decodeCall, r.call, encodeCall)))))
	return r
}

// ServeHTTP answers one request. It refuses all requests while the node is not ready.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if reason := r.unreadyReason(); reason != "" {
		r.refuse(w, request, reason, "this node has just started and serves nothing yet")
		return
	}
	r.mux.ServeHTTP(w, request)
}

// refusalError wraps a refusal, because go-kit's decoders can only fail with an error.
type refusalError struct {
	*router.Refusal
}

// Error returns the refusal's message.
func (r refusalError) Error() string {
	return r.Message
}

// newHandler returns a handler that runs decode, operate and encode on each request.
func newHandler[Request, Response any](
	r *Receiver,
	name string,
	decode func(context.Context, *http.Request) (Request, error),
	operate func(context.Context, Request) (Response, error),
	encode func(context.Context, http.ResponseWriter, Response) error,
) http.Handler {
	var operation endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		return operate(ctx, request.(Request))
	}
	if r.options.Middleware != nil {
		operation = r.options.Middleware(name)(operation)
	}
	return kithttp.NewServer(
		operation,
		func(ctx context.Context, request *http.Request) (any, error) { return decode(ctx, request) },
		func(ctx context.Context, w http.ResponseWriter, response any) error {
			return encode(ctx, w, response.(Response))
		},
		kithttp.ServerBefore(r.options.Before...),
		kithttp.ServerErrorEncoder(encodeError),
	)
}

// encodeError writes a refusal. Any other error is a fault of the node.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	if refusal, ok := err.(refusalError); ok { //nolint:errorlint // Decoders return it unwrapped.
		writeRefusal(w, "", refusal.Refusal)
		return
	}
	writeRefusal(w, "", &router.Refusal{Outcome: router.Unknown, Reason: "fault", Message: err.Error()})
}

// decodeEntries returns the caller's data centre, or "" if the caller names none.
func decodeEntries(_ context.Context, request *http.Request) (identifier.DataCentre, error) {
	return identifier.DataCentre(request.URL.Query().Get("data-centre")), nil
}

func (r *Receiver) entries(_ context.Context, near identifier.DataCentre) (addresser.Answer, error) {
	return r.options.Addresser.Answer(near), nil
}

type wireEntry struct {
	Address    identifier.Address    `json:"address"`
	DataCentre identifier.DataCentre `json:"data-centre"`
	// KeyBinding, appended to an Idempotency-Key, binds the key to the process at Address.
	KeyBinding string `json:"key-binding"`
}

type wireEntries struct {
	Entries     []wireEntry `json:"entries"`
	KeepSeconds int         `json:"keep-seconds"`
}

func encodeEntries(_ context.Context, w http.ResponseWriter, answer addresser.Answer) error {
	wire := wireEntries{Entries: []wireEntry{}, KeepSeconds: int(answer.CacheTime / time.Second)}
	for _, entry := range answer.Entries {
		wire.Entries = append(wire.Entries, wireEntry{
			Address:    entry.Address,
			DataCentre: entry.DataCentre,
			KeyBinding: recorder.BindingSuffix(entry.Node, entry.Incarnation),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(wire)
}
