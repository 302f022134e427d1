// Package administrator is the operators' interface of a node: what the node
// sees, and the two tables. It holds both sides, the HTTP handlers and the
// client that the command line uses, so that they cannot drift apart.
//
// The interface has a listener of its own, apart from the callers'.
package administrator

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Status is what one node sees.
type Status struct {
	Node        identifier.Node        `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	DataCentre  identifier.DataCentre  `json:"data-centre"`
	// State is alive, or leaving once the node drains.
	State assigner.State `json:"state"`
	// Unready is why the node serves no caller yet; empty once it does.
	Unready string `json:"unready,omitempty"`
	// Configuration is the number in force at the node; zero is none.
	Configuration identifier.Configuration `json:"configuration"`
	// InFlight counts the callers' requests that the node serves now.
	InFlight int      `json:"requests-in-flight"`
	Members  []Member `json:"members"`
	Pools    []Pool   `json:"pools"`
}

// Member is one node as the asked node sees it.
type Member struct {
	Node        identifier.Node        `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	DataCentre  identifier.DataCentre  `json:"data-centre"`
	State       assigner.State         `json:"state"`
	Callers     identifier.Address     `json:"callers"`
	Peers       identifier.Address     `json:"peers"`
}

// NewMembers lists the members of a view.
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

// Pool is a pool as the asked node sees it.
type Pool struct {
	Name identifier.Pool `json:"name"`
	Kind tabulator.Kind  `json:"kind"`
	// Grants are those that the asked node holds for its own requests, and
	// Pieces the engine memory that they take.
	Grants int               `json:"held-grants"`
	Pieces identifier.Pieces `json:"held-pieces"`
	// Shards are the parts of a pool of models, by index.
	Shards []Shard `json:"shards,omitempty"`
}

// Shard is a part of a pool that one node places for.
type Shard struct {
	Index uint32 `json:"index"`
	// Owner is the soft owner in the asked node's view.
	Owner identifier.Node `json:"owner"`
	// Placing is what the asked node knows where it places for the shard, and
	// nil where it does not.
	Placing *Placing `json:"placing,omitempty"`
}

// Placing is the state of a shard at a node that places for it.
type Placing struct {
	// Grants and Pieces are held by all nodes.
	Grants int               `json:"held-grants"`
	Pieces identifier.Pieces `json:"held-pieces"`
	// WaitingUrgent and WaitingLesser count requests without a grant.
	WaitingUrgent int `json:"waiting-urgent"`
	WaitingLesser int `json:"waiting-lesser"`
}

// Tables are the two tables in force at a node.
type Tables struct {
	Configuration identifier.Configuration `json:"configuration"`
	Routes        tabulator.Routes         `json:"routes-table"`
	Pools         tabulator.Pools          `json:"pools-table"`
}

// Edit replaces one or both tables.
type Edit struct {
	// Routes and Pools are the new tables; a nil one stays as it is. At least
	// one is set.
	Routes *tabulator.Routes `json:"routes-table,omitempty"`
	Pools  *tabulator.Pools  `json:"pools-table,omitempty"`
	// Base, when not zero, is the number that the edit was made from: the edit
	// loses to any other that was accepted since.
	Base identifier.Configuration `json:"base,omitempty"`
}

// Accepted answers an edit that is in the platform's store and held by a node
// in every data centre that can be reached.
type Accepted struct {
	Configuration identifier.Configuration `json:"configuration"`
	// Unreached are the data centres where no node held the configuration when it
	// was told as accepted, sorted. It comes into force there once they are reached.
	Unreached []identifier.DataCentre `json:"unreached-data-centres,omitempty"`
}

// Spread tells which nodes have which configuration.
type Spread struct {
	// Configuration is the largest number that the asked node knows.
	Configuration identifier.Configuration `json:"configuration"`
	Nodes         []NodeConfiguration      `json:"nodes"`
	// Refusal is why the latest edit was not accepted; empty when it was.
	Refusal string `json:"refusal,omitempty"`
	// StoreUnreachable tells that the platform did not answer, so that Refusal
	// is not known.
	StoreUnreachable bool `json:"store-unreachable,omitempty"`
}

// NodeConfiguration is the number in force at one node.
type NodeConfiguration struct {
	Node          identifier.Node          `json:"node"`
	DataCentre    identifier.DataCentre    `json:"data-centre"`
	Configuration identifier.Configuration `json:"configuration"`
	// Unreachable nodes did not answer; their number is the last one known.
	Unreachable bool `json:"unreachable,omitempty"`
}

// Observer tells what a node sees.
type Observer interface {
	Status(ctx context.Context) Status
}

// Publisher holds and changes the accepted configuration.
type Publisher interface {
	// Tables returns the tables in force; Unavailable before there are any.
	Tables(ctx context.Context) (Tables, error)
	// Apply returns once the edit is accepted, or with one of this package's
	// errors.
	Apply(ctx context.Context, edit Edit) (Accepted, error)
	Spread(ctx context.Context) (Spread, error)
}

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("operators")

// The error types of operators' calls. Test with errorx.IsOfType.
var (
	// Refused: the tables are wrong; nothing changed. The message names each fault.
	Refused = Errors.NewType("refused")
	// Raced: another edit was accepted first; nothing changed.
	Raced = Errors.NewType("raced")
	// Unavailable: the node cannot do it now; nothing changed.
	Unavailable = Errors.NewType("unavailable")
	// Unknown: whether the edit was accepted cannot be told. Ask for the tables
	// in force before another try.
	Unknown = Errors.NewType("unknown")
	// Malformed: the call itself is wrong; nothing changed.
	Malformed = Errors.NewType("malformed")
)
