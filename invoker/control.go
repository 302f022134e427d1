package invoker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Load is an engine's report of its own load.
type Load struct {
	// Role is the engine's current role; empty when not reported.
	Role identifier.Role
	// Age is the age of the report; zero means unknown.
	Age        time.Duration
	FreePieces identifier.Pieces
	Running    int
	// StepTime is the time between two tokens of a stream; zero means unknown.
	StepTime time.Duration
	// PrefillRate is measured, in tokens per second; zero means unknown.
	PrefillRate identifier.Tokens
	// Backlog is the number of prompt tokens waiting to be computed.
	Backlog identifier.Tokens
	// Cache holds the changes to the engine's prefix cache since the last report.
	Cache CacheUpdate
	// Allocations lists the attempts that hold memory; nil when not reported.
	Allocations []Allocation
}

// Allocation is the memory that an engine holds for one attempt.
type Allocation struct {
	Attempt identifier.Attempt
	Pieces  identifier.Pieces
}

// Order sets the model that an engine serves, and its role.
type Order struct {
	Model   identifier.Model
	Adapter string
	Version string
	Role    identifier.Role
	// Fence is the order's fencing number; some engines ignore it.
	Fence identifier.Fence
}

// State is the model that an engine serves now, and its role.
type State struct {
	Model   identifier.Model
	Adapter string
	Version string
	Role    identifier.Role
	// Loading reports whether the engine is loading weights.
	Loading bool
	Running int
}

type wireLoad struct {
	Role          identifier.Role   `json:"role"`
	AgeSeconds    float64           `json:"age_seconds"`
	PiecesFree    int               `json:"pieces_free"`
	Running       int               `json:"running"`
	StepSeconds   float64           `json:"step_seconds"`
	PrefillRate   float64           `json:"prefill_tokens_per_second"`
	BacklogTokens identifier.Tokens `json:"backlog_tokens"`
	Holding       []struct {
		RequestID identifier.Attempt `json:"request_id"`
		Pieces    identifier.Pieces  `json:"pieces"`
	} `json:"holding"`
}

type wireOrder struct {
	Model   identifier.Model `json:"model"`
	Adapter string           `json:"adapter"`
	Version string           `json:"version"`
	Role    identifier.Role  `json:"role"`
	Fence   identifier.Fence `json:"fencing_number"`
}

type wireState struct {
	Model   identifier.Model `json:"model"`
	Adapter string           `json:"adapter"`
	Version string           `json:"version"`
	Role    identifier.Role  `json:"role"`
	Loading bool             `json:"loading"`
	Running int              `json:"running"`
}

// Load fetches an engine's load report. From a prefill engine it also reads the
// cache events after position.
func (i *Invoker) Load(ctx context.Context, member tabulator.Member, position CachePosition) (Load, error) {
	wire, err := getJSON[wireLoad](ctx, i, member, "/v1/load")
	if err != nil {
		return Load{}, err
	}
	load := Load{
		Role:        wire.Role,
		Age:         seconds(wire.AgeSeconds),
		FreePieces:  identifier.BoundedPieces(int64(wire.PiecesFree)),
		Running:     wire.Running,
		StepTime:    seconds(wire.StepSeconds),
		PrefillRate: identifier.Tokens(min(max(0, wire.PrefillRate), float64(identifier.MaxTokens))),
		Backlog:     identifier.BoundedTokens(int64(wire.BacklogTokens)),
	}
	if member.Role == identifier.Prefill {
		load.Cache = i.readCacheEvents(ctx, member, position)
	}
	for _, allocation := range wire.Holding {
		load.Allocations = append(load.Allocations, Allocation{Attempt: allocation.RequestID, Pieces: identifier.BoundedPieces(int64(allocation.Pieces))})
	}
	return load, nil
}

// seconds converts a number of seconds; negative ones become zero, meaning unknown.
func seconds(number float64) time.Duration {
	return identifier.BoundedDuration(number, time.Second)
}

// State fetches the state of an engine.
func (i *Invoker) State(ctx context.Context, member tabulator.Member) (State, error) {
	wire, err := getJSON[wireState](ctx, i, member, "/v1/state")
	return State(wire), err
}

// Order sends an order to an engine. It fails with Superseded when the engine has
// seen a larger fencing number. After AnswerLost or TimedOut the effect is unknown, and
// the caller must fetch the state.
func (i *Invoker) Order(ctx context.Context, member tabulator.Member, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, i.options.CallTimeout)
	defer cancel()
	body, err := json.Marshal(wireOrder(order))
	if err != nil {
		return Malformed.Wrap(err, "order")
	}
	response, err := i.post(ctx, i.unpooled, member, "/v1/orders", body)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func getJSON[T any](ctx context.Context, i *Invoker, member tabulator.Member, path string) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, i.options.CallTimeout)
	defer cancel()
	response, err := i.send(ctx, i.pooled, http.MethodGet, member, path, nil)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := decodeJSON(response.Body, &answer); err != nil {
		return answer, AnswerLost.Wrap(err, "%s%s", member.Name, path)
	}
	return answer, nil
}
