// Package receiver is the callers' HTTP interface: OpenAI-compatible
// completions streamed as server-sent events, plain calls by route, and the
// answer to which addresses callers should use.
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

// Router answers requests.
type Router interface {
	Complete(ctx context.Context, request router.Completion) (*router.Reply, *router.Refusal)
	Call(ctx context.Context, call router.Call) (*invoker.Reply, *router.Refusal)
}

// Addresser answers which addresses callers should use.
type Addresser interface {
	Answer(near identifier.DataCentre) addresser.Answer
}

// Options sets up a receiver.
type Options struct {
	Router    Router
	Addresser Addresser
	// Unready tells why the node serves nothing yet; empty once it serves. May be
	// nil.
	Unready func() router.Reason
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// Requests bounds the requests answered at once.
	Requests int
	// AccountRequests bounds the requests of one account answered at once, from 1
	// to Requests. Callers that name no account count as one.
	AccountRequests int
	// RetryAfter is told to callers refused for these bounds.
	RetryAfter time.Duration
	// Middleware goes around every endpoint: traces, say. May be nil.
	Middleware func(name string) endpoint.Middleware
	// Before runs before each endpoint on the request's context. May be empty.
	Before []kithttp.RequestFunc
	Log    *logger.Logger
	Scope  tally.Scope
}

// Receiver is the callers' HTTP handler.
type Receiver struct {
	options Options
	mux     *http.ServeMux
	// places holds one value for each request being answered.
	places chan struct{}
	// accounts bounds the requests of each account.
	accounts *limiter.Accounts
}

// New returns a receiver.
func New(options Options) *Receiver {
	r := &Receiver{
		options: options,
		mux:     http.NewServeMux(),
		places:  make(chan struct{}, options.Requests),
	}
	r.accounts = limiter.NewAccounts(limiter.AccountsOptions{Limit: options.AccountRequests, Reached: r.accountReached})
	complete := r.admitAccount(r.admit(handle(r, "complete", r.decodeCompletion, r.complete, encodeCompletion)))
	r.mux.Handle("POST /v1/completions", complete)
	r.mux.Handle("POST /v1/chat/completions", complete)
	r.mux.Handle("GET /v1/entries", r.admit(handle(r, "entries", decodeEntries, r.entries, encodeEntries)))
	r.mux.Handle("/", r.admitAccount(r.admit(handle(r, "call", r.decodeCall, r.call, encodeCall))))
	return r
}

// ServeHTTP answers a caller.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if reason := r.unready(); reason != "" {
		r.refuse(w, request, reason, "this node has just started and serves nothing yet")
		return
	}
	r.mux.ServeHTTP(w, request)
}

// refused carries a refusal through go-kit's decoders, whose failures are errors.
type refused struct {
	*router.Refusal
}

// Error returns the refusal's message.
func (r refused) Error() string {
	return r.Message
}

// handle builds the handler of one operation from its typed parts.
func handle[Request, Response any](
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

// encodeError writes a refusal; anything else is a fault of the node.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	if refusal, ok := err.(refused); ok { //nolint:errorlint // Decoders return it unwrapped.
		writeRefusal(w, "", refusal.Refusal)
		return
	}
	writeRefusal(w, "", &router.Refusal{Outcome: router.Unknown, Reason: "fault", Message: err.Error()})
}

// decodeEntries reads where the caller stands, if it says so.
func decodeEntries(_ context.Context, request *http.Request) (identifier.DataCentre, error) {
	return identifier.DataCentre(request.URL.Query().Get("data-centre")), nil
}

func (r *Receiver) entries(_ context.Context, near identifier.DataCentre) (addresser.Answer, error) {
	return r.options.Addresser.Answer(near), nil
}

type wireEntry struct {
	Address    identifier.Address    `json:"address"`
	DataCentre identifier.DataCentre `json:"data-centre"`
	// KeyBinding, put behind an Idempotency-Key, binds it to this process.
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
			KeyBinding: recorder.Binding(entry.Node, entry.Incarnation),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(wire)
}
