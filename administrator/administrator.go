// Package administrator is the operators' HTTP interface of a node: it reports the
// node's status, and reads and edits the routes and pools tables. It contains both
// the handlers and the client of the command line, to keep the two consistent.
//
// The interface is served on its own listener, separate from the callers' one.
package administrator

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Status is the state of one node and its view of the fleet.
type Status struct {
	Node        identifier.Node        `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	DataCentre  identifier.DataCentre  `json:"data-centre"`
	// State is alive, or leaving while the node drains.
	State assigner.State `json:"state"`
	// Unready is why the node does not serve callers yet; empty once it does.
	Unready string `json:"unready,omitempty"`
	// Configuration is the number of the active configuration; zero means none.
	Configuration identifier.Configuration `json:"configuration"`
	// InFlight is the number of callers' requests in flight at the node.
	InFlight int      `json:"requests-in-flight"`
	Members  []Member `json:"members"`
	Pools    []Pool   `json:"pools"`
}

// Member is one node in the queried node's membership view.
type Member struct {
	Node        identifier.Node        `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	DataCentre  identifier.DataCentre  `json:"data-centre"`
	State       assigner.State         `json:"state"`
	Callers     identifier.Address     `json:"callers"`
	Peers       identifier.Address     `json:"peers"`
}

// NewMembers returns the members of a view.
func NewMembers(view *assigner.View) []Member {
	members := make([]Member, 0, len(view.Members))
	for _, m := range view.Members {
		members = append(members, Member{
			Node: m.Node, Incarnation: m.Incarnation, DataCentre: m.DataCentre,
			State: m.State, Callers: m.CallerAddress, Peers: m.PeerAddress,
		})
	}
	return members
}

// Pool is the state of a pool at the queried node.
type Pool struct {
	Name identifier.Pool `json:"name"`
	Kind tabulator.Kind  `json:"kind"`
	// Grants counts the grants that the queried node holds for its own requests.
	Grants int `json:"held-grants"`
	// Pieces is the engine memory that Grants use.
	Pieces identifier.Pieces `json:"held-pieces"`
	// Shards are the shards of a pool of models, sorted by index.
	Shards []Shard `json:"shards,omitempty"`
}

// Shard is a part of a pool; its owner places the requests for it.
type Shard struct {
	Index uint32 `json:"index"`
	// Owner is the owner in the queried node's view; other nodes may see another.
	Owner identifier.Node `json:"owner"`
	// Placing is the placement state of the shard; nil when the queried node does
	// not place requests for it.
	Placing *ShardPlacement `json:"placing,omitempty"`
}

// ShardPlacement is the state of a shard at a node that places requests for it.
type ShardPlacement struct {
	// Grants counts the grants that all nodes hold in the shard.
	Grants int `json:"held-grants"`
	// Pieces is the engine memory that Grants use.
	Pieces identifier.Pieces `json:"held-pieces"`
	// WaitingUrgent counts the queued requests of rank urgent.
	WaitingUrgent int `json:"waiting-urgent"`
	// WaitingNormal counts the queued requests of rank normal.
	WaitingNormal int `json:"waiting-normal"`
	// WaitingLesser counts the queued requests of rank lesser.
	WaitingLesser int `json:"waiting-lesser"`
}

// Tables holds the active routes and pools tables of a node.
type Tables struct {
	Configuration identifier.Configuration `json:"configuration"`
	Routes        tabulator.Routes         `json:"routes-table"`
	Pools         tabulator.Pools          `json:"pools-table"`
}

// Edit replaces one or both tables.
type Edit struct {
	// Routes is the new routes table; nil keeps the current one. An edit sets
	// Routes, Pools or both.
	Routes *tabulator.Routes `json:"routes-table,omitempty"`
	// Pools is the new pools table; nil keeps the current one.
	Pools *tabulator.Pools `json:"pools-table,omitempty"`
	// Base is the number of the configuration that was edited. The edit fails
	// with Raced if another was accepted since; zero skips this check.
	Base identifier.Configuration `json:"base,omitempty"`
}

// ApplyResult is the answer to an accepted edit: it is in the platform's store and
// at one node or more in every reachable data centre.
type ApplyResult struct {
	Configuration identifier.Configuration `json:"configuration"`
	// Unreached are the data centres, sorted, where no node had the configuration
	// when the edit was accepted. It becomes active there once they are reachable.
	Unreached []identifier.DataCentre `json:"unreached-data-centres,omitempty"`
}

// Rollout lists the active configuration of each node.
type Rollout struct {
	// Configuration is the highest number that the queried node knows.
	Configuration identifier.Configuration `json:"configuration"`
	Nodes         []NodeConfiguration      `json:"nodes"`
	// Refusal is why the latest edit was rejected; empty when it was accepted.
	Refusal string `json:"refusal,omitempty"`
	// StoreUnreachable reports that the platform did not answer, which leaves
	// Refusal unknown.
	StoreUnreachable bool `json:"store-unreachable,omitempty"`
}

// NodeConfiguration is the number of one node's active configuration.
type NodeConfiguration struct {
	Node          identifier.Node          `json:"node"`
	DataCentre    identifier.DataCentre    `json:"data-centre"`
	Configuration identifier.Configuration `json:"configuration"`
	// Unreachable means no answer; Configuration is then the last known number.
	Unreachable bool `json:"unreachable,omitempty"`
}

// Observer reports the status of a node.
type Observer interface {
	Status(ctx context.Context) Status
}

// Publisher reads and changes the configuration.
type Publisher interface {
	// Tables returns the active tables, or Unavailable before there are any.
	Tables(ctx context.Context) (Tables, error)
	// Apply returns once the edit is accepted. Errors have this package's types.
	Apply(ctx context.Context, edit Edit) (ApplyResult, error)
	Rollout(ctx context.Context) (Rollout, error)
}

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("operators")

// The error types of operators' calls, for errorx.IsOfType.
var (
	// Refused means invalid tables. Nothing changed; the message names each fault.
	Refused = Errors.NewType("refused")
	// Raced means that another edit was accepted first. Nothing changed.
	Raced = Errors.NewType("raced")
	// Unavailable means that the node cannot serve the call now. Nothing changed.
	Unavailable = Errors.NewType("unavailable")
	// Unknown means that the edit may or may not have been accepted. Read the
	// active tables before a retry.
	Unknown = Errors.NewType("unknown")
	// Malformed means that the call itself is invalid. Nothing changed.
	Malformed = Errors.NewType("malformed")
)
