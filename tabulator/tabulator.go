// Package tabulator parses the routes and pools tables, joins them by pool name,
// validates the result and matches requests to routes.
//
// A Snapshot is immutable: nodes replace it as a whole by one with a larger number.
package tabulator

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Duration is a duration that is encoded as text in the tables, such as "700ms".
type Duration time.Duration

// Route directs matching requests to a pool. An empty match field matches every
// request. The first matching route in the table applies.
type Route struct {
	Name identifier.Route `json:"name" toml:"name"`
	// Model, Path, Method and Account must all match. Path is matched as a prefix.
	Model   identifier.Model   `json:"model,omitempty" toml:"model,omitempty"`
	Path    string             `json:"path,omitempty" toml:"path,omitempty"`
	Method  string             `json:"method,omitempty" toml:"method,omitempty"`
	Account identifier.Account `json:"account,omitempty" toml:"account,omitempty"`
	// Accounts are alternatives to Account. A long list in one route takes far
	// less space than one route per account.
	Accounts []identifier.Account `json:"accounts,omitempty" toml:"accounts,omitempty"`
	Pool     identifier.Pool      `json:"pool" toml:"pool"`
	Rank     identifier.Rank      `json:"rank" toml:"rank"`
	// Repeatable is true if a backend server may run a request twice. Model requests
	// may always run twice; other service requests need an Idempotency-Key.
	Repeatable bool `json:"repeatable" toml:"repeatable"`
	// FirstToken and BetweenTokens are the latency targets of model routes. They
	// must be positive on model routes.
	FirstToken    Duration `json:"first-token,omitempty" toml:"first-token,omitempty"`
	BetweenTokens Duration `json:"between-tokens,omitempty" toml:"between-tokens,omitempty"`
	// Timeout is the timeout of a whole request. It must not be negative.
	Timeout Duration `json:"timeout,omitempty" toml:"timeout,omitempty"`
}

// Kind says what a pool serves.
type Kind string

// The kinds of pools.
const (
	// Models pools have prefill and decode members.
	Models Kind = "models"
	// Services pools have service members.
	Services Kind = "services"
)

// Pool is a set of backend servers that can serve the same requests.
type Pool struct {
	Name identifier.Pool `json:"name" toml:"name"`
	Kind Kind            `json:"kind" toml:"kind"`
	// PieceTokens is the number of KV cache tokens per memory piece. It must be
	// positive in model pools.
	PieceTokens identifier.Tokens `json:"piece-tokens,omitempty" toml:"piece-tokens,omitempty"`
	// KVBytesPerToken is the KV cache size of a token. It must be positive in model
	// pools. It determines the size of KV transfers.
	KVBytesPerToken int64 `json:"kv-bytes-per-token,omitempty" toml:"kv-bytes-per-token,omitempty"`
	// LesserShare is the minimum share of memory, from 0 to 1, for lesser requests
	// when urgent requests could use all of it.
	LesserShare float64 `json:"lesser-share,omitempty" toml:"lesser-share,omitempty"`
	// QueueLimit is the maximum number of requests of each rank waiting for memory.
	QueueLimit int `json:"queue-limit,omitempty" toml:"queue-limit,omitempty"`
	// UseForecast grants memory by forecast use instead of by reservation.
	UseForecast bool `json:"-" toml:"-"`
	// RoleChangeTime is how long an engine takes to switch between prefill and decode.
	// If zero, engines keep the role in the table.
	RoleChangeTime time.Duration `json:"-" toml:"-"`
	// LocalPrefillRatio is the prefill rate of decode engines as a fraction of a prefill
	// engine's rate. If zero, decode engines do not prefill.
	LocalPrefillRatio float64 `json:"-" toml:"-"`
	// TokensPerStreamEvent is the number of tokens per stream event.
	TokensPerStreamEvent identifier.Tokens `json:"-" toml:"-"`
	// RepeatableOutput is true if all engines of the pool generate the same tokens
	// for the same prompt and seed. Otherwise an answer is not regenerated once
	// the caller has tokens whose text the node does not know.
	RepeatableOutput bool `json:"repeatable-output,omitempty" toml:"repeatable-output,omitempty"`
	// Members must not be empty. Their names must be unique.
	Members []Member `json:"members" toml:"members"`
}

// Member is one backend server of a pool.
type Member struct {
	Name       identifier.Member     `json:"name" toml:"name"`
	Address    identifier.Address    `json:"address" toml:"address"`
	DataCentre identifier.DataCentre `json:"data-centre,omitempty" toml:"data-centre,omitempty"`
	Role       identifier.Role       `json:"role" toml:"role"`
	// Pieces is the engine's memory in pieces, positive for engines.
	Pieces identifier.Pieces `json:"pieces,omitempty" toml:"pieces,omitempty"`
	// Concurrency is the maximum number of concurrent requests; zero means no limit.
	Concurrency int `json:"concurrency,omitempty" toml:"concurrency,omitempty"`
	// PrefillRate is the prefill throughput in prompt tokens per second.
	PrefillRate identifier.Tokens `json:"prefill-rate,omitempty" toml:"prefill-rate,omitempty"`
	// LinkRate limits the KV transfers to and from the engine.
	LinkRate identifier.BytesPerSecond `json:"link-rate,omitempty" toml:"link-rate,omitempty"`
	// ChecksFencing is true if the member refuses changes with old fencing numbers.
	ChecksFencing bool `json:"checks-fencing,omitempty" toml:"checks-fencing,omitempty"`
	// Model, Adapter and Version are what the member should have loaded. If an
	// engine has loaded something else, a node tells it to load them.
	Model   identifier.Model `json:"model,omitempty" toml:"model,omitempty"`
	Adapter string           `json:"adapter,omitempty" toml:"adapter,omitempty"`
	Version string           `json:"version,omitempty" toml:"version,omitempty"`
	// Leaving is true if the member finishes its requests and gets no new ones.
	Leaving bool `json:"leaving,omitempty" toml:"leaving,omitempty"`
	// Rate is how many requests a second the member has said that it takes; zero means that
	// it has not.
	Rate float64 `json:"-" toml:"-"`
	// Started is the start of the member's process; zero means unknown.
	Started time.Time `json:"-" toml:"-"`
}

// Routes is the routes table. The first matching route applies.
type Routes struct {
	Routes []Route `json:"routes" toml:"routes"`
}

// Pools is the pools table.
type Pools struct {
	// ConcurrentLoads is the maximum number of engines that load weights at once,
	// because they share the weight store's bandwidth. Zero means one.
	ConcurrentLoads int    `json:"concurrent-loads,omitempty" toml:"concurrent-loads,omitempty"`
	Pools           []Pool `json:"pools" toml:"pools"`
}

// Snapshot is a validated configuration of both tables. It is immutable.
type Snapshot struct {
	// Number increases with each accepted configuration and is never reused.
	Number identifier.Configuration `json:"number"`
	Routes Routes                   `json:"routes-table"`
	Pools  Pools                    `json:"pools-table"`
	// index is built by Join and is nil in a snapshot literal.
	index *index
}

// Query contains the request properties that routes match.
type Query struct {
	Model   identifier.Model
	Path    string
	Method  string
	Account identifier.Account
}

// ActiveMembers returns the members with a role that are not leaving.
func (p Pool) ActiveMembers(role identifier.Role) []Member {
	var members []Member
	for _, member := range p.Members {
		if member.Role == role && !member.Leaving {
			members = append(members, member)
		}
	}
	return members
}
