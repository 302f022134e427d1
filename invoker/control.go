package invoker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Load is what an engine reports of itself, late.
type Load struct {
	// Role is the role that the engine has; empty when it does not tell.
	Role identifier.Role
	// Age is how old the report is; zero is unknown.
	Age     time.Duration
	Free    identifier.Pieces
	Running int
	// Step is the time between two tokens of a stream; zero is unknown.
	Step time.Duration
	// PrefillRate is measured, in tokens a second; zero is unknown.
	PrefillRate identifier.Tokens
	// Backlog is the prompt tokens that the engine has yet to compute.
	Backlog identifier.Tokens
	// Cache is what the engine's cache events tell since the last report.
	Cache CacheNews
	// Holding lists the attempts that hold memory; nil when the engine does not tell.
	Holding []Holding
}

// Holding is the memory that an engine holds for one attempt.
type Holding struct {
	Attempt identifier.Attempt
	Pieces  identifier.Pieces
}

// Order tells an engine what to serve and in which role.
type Order struct {
	Model   identifier.Model
	Adapter string
	Version string
	Role    identifier.Role
	// Fence is the order's fencing number; some engines ignore it.
	Fence identifier.Fence
}

// State is what an engine serves now.
type State struct {
	Model   identifier.Model
	Adapter string
	Version string
	Role    identifier.Role
	// Loading tells that the engine is loading weights.
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

// Load asks an engine for its load report, and one that computes prompts for its
// cache events since a position.
func (i *Invoker) Load(ctx context.Context, member tabulator.Member, seen CachePosition) (Load, error) {
	wire, err := ask[wireLoad](ctx, i, member, "/v1/load")
	if err != nil {
		return Load{}, err
	}
	load := Load{
		Role:        wire.Role,
		Age:         seconds(wire.AgeSeconds),
		Free:        identifier.Pieces(wire.PiecesFree),
		Running:     wire.Running,
		Step:        seconds(wire.StepSeconds),
		PrefillRate: identifier.Tokens(max(0, wire.PrefillRate)),
		Backlog:     max(0, wire.BacklogTokens),
	}
	if member.Role == identifier.Prefill {
		load.Cache = i.cacheNews(ctx, member, seen)
	}
	for _, held := range wire.Holding {
		load.Holding = append(load.Holding, Holding{Attempt: held.RequestID, Pieces: held.Pieces})
	}
	return load, nil
}

// seconds reads a time; a negative one is unknown.
func seconds(number float64) time.Duration {
	return time.Duration(max(0, number) * float64(time.Second))
}

// State asks an engine what it serves.
func (i *Invoker) State(ctx context.Context, member tabulator.Member) (State, error) {
	wire, err := ask[wireState](ctx, i, member, "/v1/state")
	return State(wire), err
}

// Order sends an order. Superseded means the engine has seen a larger fencing
// number; Lost means the effect has to be read back.
func (i *Invoker) Order(ctx context.Context, member tabulator.Member, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, i.options.Call)
	defer cancel()
	body, err := json.Marshal(wireOrder(order))
	if err != nil {
		return Malformed.Wrap(err, "order")
	}
	response, err := i.post(ctx, i.fresh, member, "/v1/orders", body)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// ask reads a small JSON answer.
func ask[T any](ctx context.Context, i *Invoker, member tabulator.Member, path string) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, i.options.Call)
	defer cancel()
	response, err := i.send(ctx, i.kept, http.MethodGet, member, path, nil)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, Lost.Wrap(err, "%s%s", member.Name, path)
	}
	return answer, nil
}
