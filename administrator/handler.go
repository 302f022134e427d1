package administrator

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/logger"
)

// The paths of the operators' interface.
const (
	pathStatus  = "/v1/status"
	pathTables  = "/v1/tables"
	pathApply   = "/v1/tables/apply"
	pathRollout = "/v1/tables/status"
)

// HandlerOptions configures the operators' handler.
type HandlerOptions struct {
	Observer  Observer
	Publisher Publisher
	// Metrics serves /metrics.
	Metrics http.Handler
	Scope   tally.Scope
	Log     *logger.Logger
}

// NewHandler returns the handler of the operators' listener.
func NewHandler(options HandlerOptions) http.Handler {
	status := func(ctx context.Context, _ noParameters) (Status, error) {
		return options.Observer.Status(ctx), nil
	}
	tables := func(ctx context.Context, _ noParameters) (Tables, error) {
		return options.Publisher.Tables(ctx)
	}
	rollout := func(ctx context.Context, _ noParameters) (Rollout, error) {
		return options.Publisher.Rollout(ctx)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+pathStatus, newHandler(options.instrument("status", newEndpoint(status)), decodeNoParameters))
	mux.Handle("GET "+pathTables, newHandler(options.instrument("tables", newEndpoint(tables)), decodeNoParameters))
	mux.Handle("GET "+pathRollout, newHandler(options.instrument("tables-status", newEndpoint(rollout)), decodeNoParameters))
	apply := endpoint.Chain(options.logEdits)(newEndpoint(options.apply))
	mux.Handle("POST "+pathApply, newHandler(options.instrument("tables-apply", apply), decodeJSON[Edit]))
	mux.Handle("GET /metrics", options.Metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", options.serveReadiness)
	return mux
}

// serveReadiness answers 200 when the node accepts new requests: after it has
// joined the fleet and has a configuration, and until it starts to leave.
func (o HandlerOptions) serveReadiness(w http.ResponseWriter, r *http.Request) {
	status := o.Observer.Status(r.Context())
	if status.Unready != "" {
		writeError(w, Unavailable.New("the node is not ready: %s", status.Unready))
		return
	}
	if status.Configuration == 0 {
		writeError(w, Unavailable.New("the node has no configuration yet"))
		return
	}
	if status.State != assigner.Alive {
		writeError(w, Unavailable.New("the node is %s", status.State))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (o HandlerOptions) apply(ctx context.Context, edit Edit) (ApplyResult, error) {
	if edit.Routes == nil && edit.Pools == nil {
		return ApplyResult{}, Malformed.New("the edit holds neither table")
	}
	return o.Publisher.Apply(ctx, edit)
}

// instrument counts the calls and failures of an endpoint and records its latency.
func (o HandlerOptions) instrument(name string, next endpoint.Endpoint) endpoint.Endpoint {
	scope := o.Scope.Tagged(map[string]string{"call": name})
	calls, failures := scope.Counter("operator_calls"), scope.Counter("operator_call_failures")
	latency := scope.Timer("operator_call_latency")
	return func(ctx context.Context, request any) (any, error) {
		started := time.Now()
		response, err := next(ctx, request)
		calls.Inc(1)
		if err != nil {
			failures.Inc(1)
		}
		latency.Record(time.Since(started))
		return response, err
	}
}

// logEdits logs whether each edit was accepted.
func (o HandlerOptions) logEdits(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		response, err := next(ctx, request)
		if err != nil {
			o.Log.Log(EventEditFailed, logger.Fields{"reason": mappingOf(err).reason, "error": err.Error()})
			return nil, err
		}
		accepted := response.(ApplyResult)
		o.Log.Log(EventEditAccepted, logger.Fields{"configuration": accepted.Configuration, "unreached": accepted.Unreached})
		return accepted, nil
	}
}
