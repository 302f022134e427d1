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

// observer implements administrator.Observer.
type observer struct {
	*Server
}

// Status returns the node's state, its view of the membership and its pools.
func (o observer) Status(context.Context) administrator.Status {
	view := o.prober.View()
	return administrator.Status{
		Node:          view.Self.Node,
		Incarnation:   view.Self.Incarnation,
		DataCentre:    view.Self.DataCentre,
		State:         view.Self.State,
		Unready:       string(o.unreadyReason()),
		Configuration: o.Configuration(),
		InFlight:      o.router.InFlight(),
		Members:       administrator.NewMembers(view),
		Pools:         o.describePools(),
	}
}

func (o observer) describePools() []administrator.Pool {
	snapshot := o.publisher.Snapshot()
	if snapshot == nil {
		return nil
	}
	owned := o.dispatcher.OwnedShards()
	held := o.dispatcher.HeldGrants()
	pools := make([]administrator.Pool, 0, len(snapshot.Pools.Pools))
	for _, pool := range snapshot.Pools.Pools {
		summary := administrator.Pool{Name: pool.Name, Kind: pool.Kind}
		for _, grant := range held {
			if grant.Demand.Pool == pool.Name {
				summary.Grants++
				summary.Pieces += grant.Pieces
			}
		}
		if pool.Kind == tabulator.Models {
			summary.Shards = o.describeShards(pool, owned)
		}
		pools = append(pools, summary)
	}
	return pools
}

func (o observer) describeShards(pool tabulator.Pool, owned []dispatcher.OwnedShard) []administrator.Shard {
	shards := make([]administrator.Shard, o.dispatcher.ShardCount(pool))
	for i := range shards {
		index := uint32(i)
		shards[i] = administrator.Shard{Index: index, Owner: o.dispatcher.Owner(pool.Name, index)}
		for _, ownedShard := range owned {
			if ownedShard.Pool == pool.Name && ownedShard.Index == index {
				shards[i].Placing = describePlacing(ownedShard)
			}
		}
	}
	return shards
}

func describePlacing(owned dispatcher.OwnedShard) *administrator.ShardPlacement {
	summary := &administrator.ShardPlacement{
		Grants:        len(owned.Grants),
		WaitingUrgent: owned.Waiting[identifier.Urgent],
		WaitingNormal: owned.Waiting[identifier.Normal],
		WaitingLesser: owned.Waiting[identifier.Lesser],
	}
	for _, held := range owned.Grants {
		summary.Pieces += held.Pieces
	}
	return summary
}

// editor implements administrator.Publisher: it returns and changes the tables.
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

// Apply publishes an edit of the tables. Its errors have administrator's types.
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

// Rollout returns the configuration number of each node, taken from the membership,
// and why the latest edit was refused, taken from the platform's store.
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
		return spread, nil //nolint:nilerr // The nodes' numbers are known without the platform.
	}
	reasons := append(refusalReasons(tables.Routes), refusalReasons(tables.Pools)...)
	spread.Refusal = strings.Join(slices.Compact(reasons), "; ")
	return spread, nil
}

// refusalReasons returns why the latest edits of a table were refused.
func refusalReasons[T tabulator.Routes | tabulator.Pools](table publisher.StoredTable[T]) []string {
	var reasons []string
	if table.Status.State == publisher.TableRefused {
		reasons = append(reasons, table.Status.Reason)
	}
	if table.Status.RefusedApply != "" {
		reasons = append(reasons, table.Status.RefusedApply)
	}
	return reasons
}
