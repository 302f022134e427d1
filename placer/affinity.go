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
	// prefixLife is how long a prefix is believed to be cached without news.
	prefixLife = time.Minute
)

// holder is an engine that is believed to cache a prefix.
type holder struct {
	engine *engine
	until  time.Time
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

// add notes that an engine caches a prefix.
func (x *prefixIndex) add(now time.Time, e *engine, prefix uint64) {
	list, _ := x.holders.Get(prefix)
	for i := range list {
		if list[i].engine == e {
			list[i].until = now.Add(prefixLife)
			return
		}
	}
	x.holders.Add(prefix, append(list, holder{e, now.Add(prefixLife)}))
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
	for _, prefix := range load.Cached {
		x.add(now, e, prefix)
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
		for _, h := range list {
			if now.Before(h.until) {
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
