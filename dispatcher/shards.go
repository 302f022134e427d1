package dispatcher

import (
	"fmt"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

type shardID struct {
	pool  identifier.Pool
	index uint32
}

// String returns the name that is hashed to choose the shard's owner.
func (s shardID) String() string {
	return fmt.Sprintf("placement/%s/%d", s.pool, s.index)
}

// ownerCache holds the owners of shards in the latest view that was asked for, because each
// call of another node needs one and its choice takes time for each member.
type ownerCache struct {
	mutex  sync.Mutex
	view   *assigner.View
	owners map[shardID]assigner.Member
}

func (c *ownerCache) ownerOf(view *assigner.View, id shardID) assigner.Member {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.view != view {
		c.view, c.owners = view, map[shardID]assigner.Member{}
	}
	owner, known := c.owners[id]
	if !known {
		owner = view.Owner(id.String())
		c.owners[id] = owner
	}
	return owner
}

// shardCount returns the number of shards of a pool. Each shard needs engines of
// both roles, so shards can have more than perShard engines. Members that leave do not
// count: while the engines of a pool are replaced one after the other, its shards and their
// owners stay the same.
func shardCount(pool tabulator.Pool, perShard int) int {
	prefills, decodes := 0, 0
	for _, member := range pool.Members {
		switch {
		case member.Leaving:
		case member.Role == identifier.Prefill:
			prefills++
		default:
			decodes++
		}
	}
	shards := (prefills + decodes + perShard - 1) / perShard
	return max(1, min(shards, prefills, decodes))
}

// shardMembers returns the members of one shard, or nil if the pool has shrunk and
// the shard no longer exists. Members of each role are sorted by data centre before
// they are divided, to keep a shard's engines close to one another.
func shardMembers(pool tabulator.Pool, index uint32, perShard int) []tabulator.Member {
	count := shardCount(pool, perShard)
	if int(index) >= count {
		return nil
	}
	var list []tabulator.Member
	for _, role := range []identifier.Role{identifier.Prefill, identifier.Decode} {
		members := sortByDataCentre(pool, role)
		from := len(members) * int(index) / count
		to := len(members) * (int(index) + 1) / count
		list = append(list, members[from:to]...)
	}
	return list
}

func sortByDataCentre(pool tabulator.Pool, role identifier.Role) []tabulator.Member {
	var members []tabulator.Member
	for _, member := range pool.Members {
		if member.Role == role {
			members = append(members, member)
		}
	}
	sort.Slice(members, func(i, j int) bool {
		if members[i].DataCentre != members[j].DataCentre {
			return members[i].DataCentre < members[j].DataCentre
		}
		return members[i].Name < members[j].Name
	})
	return members
}

// shardFor returns the shard for a demand, or false if there is no such pool of
// models. It hashes the request ID over the shards with decode engines in the entry
// node's data centre, or over all shards if there are none. Attempts through one data
// centre get the same shard; after a change of data centre the old grant expires.
func (d *Dispatcher) shardFor(demand *placer.Demand) (shardID, bool) {
	snapshot := d.options.Snapshot()
	if snapshot == nil {
		return shardID{}, false
	}
	pool, ok := snapshot.Pool(demand.Pool)
	if !ok || pool.Kind != tabulator.Models {
		return shardID{}, false
	}
	count := shardCount(pool, d.options.ShardEngines)
	if count == 1 {
		return shardID{pool: pool.Name}, true
	}
	near := nearShards(pool, demand.DataCentre, d.options.ShardEngines, count)
	hash := xxhash.Sum64String(string(demand.Request))
	return shardID{pool: pool.Name, index: near[hash%uint64(len(near))]}, true
}

func nearShards(pool tabulator.Pool, dataCentre identifier.DataCentre, perShard, count int) []uint32 {
	var near, all []uint32
	for index := range uint32(count) {
		all = append(all, index)
		for _, member := range shardMembers(pool, index, perShard) {
			if member.DataCentre == dataCentre && member.Role == identifier.Decode {
				near = append(near, index)
				break
			}
		}
	}
	if len(near) == 0 {
		return all
	}
	return near
}

func placerEngines(members []tabulator.Member) []placer.Engine {
	list := make([]placer.Engine, 0, len(members))
	for _, member := range members {
		list = append(list, placer.Engine{
			Member:      member.Name,
			Role:        member.Role,
			DataCentre:  member.DataCentre,
			Pieces:      member.Pieces,
			PrefillRate: member.PrefillRate,
			LinkRate:    member.LinkRate,
			Slots:       member.Concurrency,
			Draining:    member.Leaving,
			Rate:        member.Rate,
			Process:     member.Started,
		})
	}
	return list
}
