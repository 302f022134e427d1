package placer

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// PrefixBlock is how many tokens each hash of Demand.Prefixes covers
	// beyond the one before it.
	PrefixBlock identifier.Tokens = 256
	// prefixesLimit bounds the prefixes that are remembered.
	prefixesLimit = 50_000
	// prefixLife is how long a prefix is believed to be cached without news: since it
	// was granted, or since cache events last came where those told of it.
	prefixLife = time.Minute
)

// holder is an engine that is believed to cache a prefix.
type holder struct {
	engine *engine
	// until is how long the prefix is believed to be cached because of a grant.
	until time.Time
	// epoch is the engine's cacheEpoch in which an event told of the prefix; zero
	// for none.
	epoch uint64
}

// stands tells whether the engine is still believed to cache the prefix.
func (h *holder) stands(now time.Time) bool {
	if now.Before(h.until) {
		return true
	}
	return h.epoch == h.engine.cacheEpoch && now.Sub(h.engine.cacheHeard) < prefixLife
}

// prefixIndex remembers which prefill engines cache which prefixes. It is a
// hint: cache events come late and with gaps, and entries expire.
type prefixIndex struct {
	holders *simplelru.LRU[uint64, []holder]
}

func newPrefixIndex() *prefixIndex {
	// The size is positive, so there is no error.
	holders, _ := simplelru.NewLRU[uint64, []holder](prefixesLimit, nil)
	return &prefixIndex{holders: holders}
}

// add notes that an engine will cache a prefix because of a grant.
func (x *prefixIndex) add(now time.Time, e *engine, prefix uint64) {
	x.holder(e, prefix).until = now.Add(prefixLife)
}

// confirm notes that an engine told that it caches a prefix.
func (x *prefixIndex) confirm(e *engine, prefix uint64) {
	x.holder(e, prefix).epoch = e.cacheEpoch
}

// holder returns an engine's entry for a prefix, which it adds if there is none.
func (x *prefixIndex) holder(e *engine, prefix uint64) *holder {
	list, _ := x.holders.Get(prefix)
	for i := range list {
		if list[i].engine == e {
			return &list[i]
		}
	}
	list = append(list, holder{engine: e})
	x.holders.Add(prefix, list)
	return &list[len(list)-1]
}

// remove notes that an engine evicted a prefix.
func (x *prefixIndex) remove(e *engine, prefix uint64) {
	list, _ := x.holders.Peek(prefix)
	for i := range list {
		if list[i].engine == e {
			list[i] = list[len(list)-1]
			x.holders.Add(prefix, list[:len(list)-1])
			return
		}
	}
}

// take brings the index up to date with an engine's report.
func (x *prefixIndex) take(now time.Time, e *engine, load Load) {
	if load.CacheLost {
		e.cacheEpoch++
	}
	if load.CacheKnown {
		e.cacheHeard = now
	}
	for _, prefix := range load.Cached {
		x.confirm(e, prefix)
	}
	for _, prefix := range load.Evicted {
		x.remove(e, prefix)
	}
}

// match counts for each engine how many leading blocks of a prompt it caches.
// A longer prefix implies the shorter ones, so that lost events do no harm.
func (x *prefixIndex) match(now time.Time, d *Demand, stamp uint64) {
	for i, prefix := range d.Prefixes {
		list, _ := x.holders.Get(prefix)
		for j := range list {
			if h := &list[j]; h.stands(now) {
				h.engine.hits = i + 1
				h.engine.stamp = stamp
			}
		}
	}
}

// matchPrefixes prepares uncached for one demand.
func (p *Placer) matchPrefixes(now time.Time, d *Demand) {
	p.stamp++
	if p.settings.has(Affinity) {
		p.index.match(now, d, p.stamp)
	}
}

// uncached is how many tokens of a prompt an engine has to compute.
func (p *Placer) uncached(d *Demand, e *engine) identifier.Tokens {
	if !p.settings.has(Affinity) || e.stamp != p.stamp {
		return d.Prompt
	}
	return max(0, d.Prompt-identifier.Tokens(e.hits)*PrefixBlock)
}
