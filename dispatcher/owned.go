package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Owned is what this node places for: one shard of a pool.
type Owned struct {
	Pool  identifier.Pool
	Index uint32
	// Held are the grants of all nodes.
	Held []placer.HeldGrant
	// Waiting counts the demands without a grant, by rank.
	Waiting [len(identifier.Ranks)]int
}

// Owned lists the shards that this node places for, by pool and index.
func (d *Dispatcher) Owned() []Owned {
	shards := d.server.all()
	list := make([]Owned, 0, len(shards))
	for _, s := range shards {
		list = append(list, s.describe())
	}
	slices.SortFunc(list, func(a, b Owned) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Index, b.Index))
	})
	return list
}

func (s *shard) describe() Owned {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	described := Owned{Pool: s.id.pool, Index: s.id.index, Held: s.placer.HeldGrants()}
	for _, rank := range identifier.Ranks {
		described.Waiting[rank] = s.placer.QueueLength(rank)
	}
	return described
}

// Owner returns the node that places for a shard in this node's view.
func (d *Dispatcher) Owner(pool identifier.Pool, index uint32) identifier.Node {
	return d.options.View().Owner(shardID{pool: pool, index: index}.String()).Node
}

// Shards is how many shards a pool of models has.
func (d *Dispatcher) Shards(pool tabulator.Pool) int {
	return shardCount(pool, d.options.ShardEngines)
}

// RoleChanges lists the engines that should change their role, of the shards that
// this node places for.
func (d *Dispatcher) RoleChanges(now time.Time) []placer.RoleChange {
	var list []placer.RoleChange
	for _, s := range d.server.all() {
		s.mutex.Lock()
		list = append(list, s.placer.RoleChanges(now)...)
		s.mutex.Unlock()
	}
	return list
}

// Changing notes that an engine was told to change its role.
func (d *Dispatcher) Changing(now time.Time, change placer.RoleChange) {
	for _, s := range d.server.all() {
		s.mutex.Lock()
		s.placer.RoleChangeOrdered(now, change)
		s.mutex.Unlock()
	}
}

// all lists the shards that this node places for.
func (s *server) all() []*shard {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := make([]*shard, 0, len(s.shards))
	for _, known := range s.shards {
		list = append(list, known)
	}
	return list
}
