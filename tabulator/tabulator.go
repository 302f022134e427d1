// Package tabulator reads the routes and the pools table, joins them by name
// and checks the whole, and matches requests against the result.
//
// A Snapshot is immutable: nodes swap it whole when a larger number arrives.
package tabulator

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Duration is a time span that the tables write as text, such as "700ms".
type Duration time.Duration

// Route sends the requests it matches to a pool. An empty match field matches
// every request; the first matching route of the table wins.
type Route struct {
	Name identifier.Route `json:"name" toml:"name"`
	// Model, Path, Method and Account are matched together. Path is a prefix.
	Model   identifier.Model   `json:"model,omitempty" toml:"model,omitempty"`
	Path    string             `json:"path,omitempty" toml:"path,omitempty"`
	Method  string             `json:"method,omitempty" toml:"method,omitempty"`
	Account identifier.Account `json:"account,omitempty" toml:"account,omitempty"`
	// Accounts are further accounts, any of which matches. A long list in one
	// route takes far less room than a route for each account.
	Accounts []identifier.Account `json:"accounts,omitempty" toml:"accounts,omitempty"`
	Pool     identifier.Pool      `json:"pool" toml:"pool"`
	Rank     identifier.Rank      `json:"rank" toml:"rank"`
	// Repeatable requests may run twice at a backend server. Model requests
	// always are; a service route that is not needs an Idempotency-Key.
	Repeatable bool `json:"repeatable" toml:"repeatable"`
	// FirstToken and BetweenTokens are the latency targets of model routes,
	// positive on those.
	FirstToken    Duration `json:"first-token,omitempty" toml:"first-token,omitempty"`
	BetweenTokens Duration `json:"between-tokens,omitempty" toml:"between-tokens,omitempty"`
	// Timeout bounds one request as a whole, positive.
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

// Pool is a set of backend servers that serve the same requests.
type Pool struct {
	Name identifier.Pool `json:"name" toml:"name"`
	Kind Kind            `json:"kind" toml:"kind"`
	// PieceTokens is how many tokens of KV cache a piece of memory holds,
	// positive in model pools.
	PieceTokens identifier.Tokens `json:"piece-tokens,omitempty" toml:"piece-tokens,omitempty"`
	// KVBytesPerToken sizes a transfer, positive in model pools.
	KVBytesPerToken int64 `json:"kv-bytes-per-token,omitempty" toml:"kv-bytes-per-token,omitempty"`
	// LesserShare is the least share of memory, from 0 to 1, that lesser work
	// keeps in an urgent flood.
	LesserShare float64 `json:"lesser-share,omitempty" toml:"lesser-share,omitempty"`
	// QueueLimit bounds the requests that wait for memory, for each rank.
	QueueLimit int `json:"queue-limit,omitempty" toml:"queue-limit,omitempty"`
	// Foresight grants memory by its foreseen use instead of by reservation.
	Foresight bool `json:"-" toml:"-"`
	// RoleChange is how long an engine takes to change its role when the requests
	// need another split; zero engines keep the role of their row.
	RoleChange time.Duration `json:"-" toml:"-"`
	// DirectRate is the part of a prefill engine's rate at which decode engines read
	// prompts themselves; zero ones do not. EventTokens is how many tokens an event of
	// a stream holds.
	DirectRate  float64           `json:"-" toml:"-"`
	EventTokens identifier.Tokens `json:"-" toml:"-"`
	// RepeatableOutput tells that all engines of the pool generate the same tokens
	// for the same prompt and seed. Only then is an answer whose beginning is known
	// to its caller alone generated again.
	RepeatableOutput bool `json:"repeatable-output,omitempty" toml:"repeatable-output,omitempty"`
	// Members is not empty and holds each name once.
	Members []Member `json:"members" toml:"members"`
}

// Member is one backend server of a pool.
type Member struct {
	Name       identifier.Member     `json:"name" toml:"name"`
	Address    identifier.Address    `json:"address" toml:"address"`
	DataCentre identifier.DataCentre `json:"data-centre,omitempty" toml:"data-centre,omitempty"`
	Role       identifier.Role       `json:"role" toml:"role"`
	// Pieces is the engine's memory, positive for engines.
	Pieces identifier.Pieces `json:"pieces,omitempty" toml:"pieces,omitempty"`
	// Concurrency bounds the requests the member runs at once; zero is no bound.
	Concurrency int `json:"concurrency,omitempty" toml:"concurrency,omitempty"`
	// PrefillRate is the prompt tokens a second that a prefill engine computes.
	PrefillRate identifier.Tokens `json:"prefill-rate,omitempty" toml:"prefill-rate,omitempty"`
	// LinkRate bounds the KV transfers out of or into the engine.
	LinkRate identifier.BytesPerSecond `json:"link-rate,omitempty" toml:"link-rate,omitempty"`
	// ChecksFencing tells whether the member refuses orders with old fencing numbers.
	ChecksFencing bool `json:"checks-fencing,omitempty" toml:"checks-fencing,omitempty"`
	// Model, Adapter and Version are what the member should have loaded; orders
	// bring it there.
	Model   identifier.Model `json:"model,omitempty" toml:"model,omitempty"`
	Adapter string           `json:"adapter,omitempty" toml:"adapter,omitempty"`
	Version string           `json:"version,omitempty" toml:"version,omitempty"`
	// Leaving members finish what they run and get no new work.
	Leaving bool `json:"leaving,omitempty" toml:"leaving,omitempty"`
}

// Routes is the routes table. Order matters: the first match wins.
type Routes struct {
	Routes []Route `json:"routes" toml:"routes"`
}

// Pools is the pools table.
type Pools struct {
	// ConcurrentLoads bounds the engines of the fleet that load weights at
	// once, because they share the weight store's rate; zero is a bound of one.
	ConcurrentLoads int    `json:"concurrent-loads,omitempty" toml:"concurrent-loads,omitempty"`
	Pools           []Pool `json:"pools" toml:"pools"`
}

// Snapshot is the accepted configuration: both tables, joined and checked.
// It is immutable.
type Snapshot struct {
	// Number grows with each accepted configuration and is never reused.
	Number identifier.Configuration `json:"number"`
	Routes Routes                   `json:"routes-table"`
	Pools  Pools                    `json:"pools-table"`
	// index is built by Join and nil in snapshots made otherwise.
	index *index
}

// Query is what a route is matched against.
type Query struct {
	Model   identifier.Model
	Path    string
	Method  string
	Account identifier.Account
}

// WithRole returns the pool's members of a role that take new work.
func (p Pool) WithRole(role identifier.Role) []Member {
	var members []Member
	for _, member := range p.Members {
		if member.Role == role && !member.Leaving {
			members = append(members, member)
		}
	}
	return members
}
