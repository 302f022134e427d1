package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// OwnedShard describes a shard that this node owns.
type OwnedShard struct {
	Pool  identifier.Pool
	Index uint32
	// Grants lists the shard's grants to all nodes.
	Grants []placer.HeldGrant
	// Waiting is the number of queued demands of each rank.
	Waiting [len(identifier.Ranks)]int
}

// OwnedShards returns the shards that this node owns, sorted by pool and index.
func (d *Dispatcher) OwnedShards() []OwnedShard {
	shards := d.server.listShards()
	list := make([]OwnedShard, 0, len(shards))
	for _, s := range shards {
		list = append(list, s.describe())
	}
	slices.SortFunc(list, func(a, b OwnedShard) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Index, b.Index))
	})
	return list
}

func (s *shard) describe() OwnedShard {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	owned := OwnedShard{Pool: s.id.pool, Index: s.id.index, Grants: s.placer.HeldGrants()}
	for _, rank := range identifier.Ranks {
		owned.Waiting[rank] = s.placer.QueueLength(rank)
	}
	return owned
}

// Owner returns the node that owns a shard according to this node's view.
func (d *Dispatcher) Owner(pool identifier.Pool, index uint32) identifier.Node {
	return d.options.View().Owner(shardID{pool: pool, index: index}.String()).Node
}

// ShardCount returns the number of shards of a pool of models.
func (d *Dispatcher) ShardCount(pool tabulator.Pool) int {
	return shardCount(pool, d.options.ShardEngines)
}

// RoleChanges returns the role changes that are due in this node's owned shards.
func (d *Dispatcher) RoleChanges(now time.Time) []placer.RoleChange {
	var list []placer.RoleChange
	for _, s := range d.server.listShards() {
		s.mutex.Lock()
		list = append(list, s.placer.RoleChanges(now)...)
		s.mutex.Unlock()
	}
	return list
}

// Changing records that an engine was ordered to change its role.
func (d *Dispatcher) Changing(now time.Time, change placer.RoleChange) {
	for _, s := range d.server.listShards() {
		s.mutex.Lock()
		s.placer.RoleChangeOrdered(now, change)
		s.mutex.Unlock()
	}
}

// listShards returns the open shards in no particular order.
func (s *server) listShards() []*shard {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := make([]*shard, 0, len(s.shards))
	for _, sh := range s.shards {
		list = append(list, sh)
	}
	return list
}
