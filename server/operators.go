package server

import (
	"context"
	"slices"
	"strings"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/dispatcher"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/publisher"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// observer tells operators what the node sees.
type observer struct {
	*Server
}

// Status returns what the node sees now.
func (o observer) Status(context.Context) administrator.Status {
	view := o.prober.View()
	return administrator.Status{
		Node:          view.Self.Node,
		Incarnation:   view.Self.Incarnation,
		DataCentre:    view.Self.DataCentre,
		State:         view.Self.State,
		Unready:       string(o.unready()),
		Configuration: o.Configuration(),
		InFlight:      o.router.Running(),
		Members:       administrator.NewMembers(view),
		Pools:         o.pools(),
	}
}

func (o observer) pools() []administrator.Pool {
	snapshot := o.publisher.Snapshot()
	if snapshot == nil {
		return nil
	}
	owned := o.dispatcher.Owned()
	held := o.dispatcher.Held()
	pools := make([]administrator.Pool, 0, len(snapshot.Pools.Pools))
	for _, pool := range snapshot.Pools.Pools {
		described := administrator.Pool{Name: pool.Name, Kind: pool.Kind}
		for _, grant := range held {
			if grant.Demand.Pool == pool.Name {
				described.Grants++
				described.Pieces += grant.Pieces
			}
		}
		if pool.Kind == tabulator.Models {
			described.Shards = o.shards(pool, owned)
		}
		pools = append(pools, described)
	}
	return pools
}

func (o observer) shards(pool tabulator.Pool, owned []dispatcher.Owned) []administrator.Shard {
	shards := make([]administrator.Shard, o.dispatcher.Shards(pool))
	for i := range shards {
		index := uint32(i)
		shards[i] = administrator.Shard{Index: index, Owner: o.dispatcher.Owner(pool.Name, index)}
		for _, own := range owned {
			if own.Pool == pool.Name && own.Index == index {
				shards[i].Placing = placing(own)
			}
		}
	}
	return shards
}

func placing(owned dispatcher.Owned) *administrator.ShardPlacement {
	described := &administrator.ShardPlacement{
		Grants:        len(owned.Held),
		WaitingUrgent: owned.Waiting[identifier.Urgent],
		WaitingLesser: owned.Waiting[identifier.Lesser],
	}
	for _, held := range owned.Held {
		described.Pieces += held.Pieces
	}
	return described
}

// editor shows and changes the tables for operators.
type editor struct {
	*Server
}

// Tables returns the tables in force.
func (e editor) Tables(context.Context) (administrator.Tables, error) {
	snapshot := e.publisher.Snapshot()
	if snapshot == nil {
		return administrator.Tables{}, administrator.Unavailable.New("the node has no configuration yet")
	}
	return administrator.Tables{Configuration: snapshot.Number, Routes: snapshot.Routes, Pools: snapshot.Pools}, nil
}

// Apply brings an edit into force, or returns an error of package administrator.
func (e editor) Apply(ctx context.Context, edit administrator.Edit) (administrator.ApplyResult, error) {
	request := publisher.ApplyRequest{Routes: edit.Routes, Pools: edit.Pools}
	if edit.Base != 0 {
		snapshot := e.publisher.Snapshot()
		if snapshot == nil || snapshot.Number != edit.Base {
			return administrator.ApplyResult{}, administrator.Raced.New("configuration %d is in force", e.Configuration())
		}
		content := snapshot.Content()
		routes, pools := tabulator.DigestOf(content.Routes), tabulator.DigestOf(content.Pools)
		request.SeenRoutes, request.SeenPools = &routes, &pools
	}
	outcome := e.publisher.Apply(ctx, request)
	reasons := strings.Join(outcome.Reasons, "; ")
	switch outcome.State {
	case publisher.ApplyAccepted:
		return administrator.ApplyResult{Configuration: outcome.Configuration, Unreached: outcome.Reach.Unreached}, nil
	case publisher.ApplyRefused:
		return administrator.ApplyResult{}, administrator.Refused.New("%s", reasons)
	case publisher.ApplyRaced:
		return administrator.ApplyResult{}, administrator.Raced.New("lost to the %s", outcome.Winner)
	case publisher.ApplyNotRun:
		return administrator.ApplyResult{}, administrator.Unavailable.New("%s", reasons)
	default:
		return administrator.ApplyResult{}, administrator.Unknown.New("%s", reasons)
	}
}

// Rollout tells which nodes have which configuration, as the membership tells it,
// and why the latest edit was refused, as the platform holds it.
func (e editor) Rollout(ctx context.Context) (administrator.Rollout, error) {
	spread := administrator.Rollout{Configuration: e.Configuration()}
	for _, member := range e.prober.View().Members {
		spread.Configuration = max(spread.Configuration, member.Configuration)
		spread.Nodes = append(spread.Nodes, administrator.NodeConfiguration{
			Node:          member.Node,
			DataCentre:    member.DataCentre,
			Configuration: member.Configuration,
			Unreachable:   member.State == assigner.Dead || member.State == assigner.Suspect,
		})
	}
	tables, err := e.publisher.Tables(ctx)
	if err != nil {
		spread.StoreUnreachable = true
		return spread, nil //nolint:nilerr // The spread is known without the platform.
	}
	reasons := append(refusals(tables.Routes), refusals(tables.Pools)...)
	spread.Refusal = strings.Join(slices.Compact(reasons), "; ")
	return spread, nil
}

// refusals tells why the latest edits of a table were not accepted.
func refusals[T tabulator.Routes | tabulator.Pools](table publisher.StoredTable[T]) []string {
	var reasons []string
	if table.Status.State == publisher.TableRefused {
		reasons = append(reasons, table.Status.Reason)
	}
	if table.Status.RefusedApply != "" {
		reasons = append(reasons, table.Status.RefusedApply)
	}
	return reasons
}
