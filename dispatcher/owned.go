package dispatcher

import (
	"cmp"
	"slices"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// Owned is what this node places for: one shard of a pool.
type Owned struct {
	Pool  identifier.Pool
	Index uint32
	// Held are the grants of all nodes.
	Held []placer.Held
	// Waiting counts the demands without a grant, by rank.
	Waiting [len(identifier.Ranks)]int
}

// Owned lists the shards that this node places for, by pool and index.
func (d *Dispatcher) Owned() []Owned {
	d.server.mutex.Lock()
	shards := make([]*shard, 0, len(d.server.shards))
	for _, s := range d.server.shards {
		shards = append(shards, s)
	}
	d.server.mutex.Unlock()
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
	described := Owned{Pool: s.id.pool, Index: s.id.index, Held: s.placer.Held()}
	for _, rank := range identifier.Ranks {
		described.Waiting[rank] = s.placer.Waiting(rank)
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
