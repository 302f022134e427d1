package placer

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// PrefixBlock is how many more tokens each hash of Demand.Prefixes covers than the
	// hash before it.
	PrefixBlock identifier.Tokens = 256
	// maxPrefixes limits the prefix index.
	maxPrefixes = 50_000
	// prefixTTL is how long a prefix is assumed to be cached after its grant, or after
	// the last cache events of an engine that reported it.
	prefixTTL = time.Minute
)

// holder is an engine that is assumed to cache a prefix.
type holder struct {
	engine *engine
	// assumedUntil is when the prefix of a grant is no longer assumed to be cached.
	assumedUntil time.Time
	// reportedEpoch is the cacheEpoch when the prefix was last reported; zero if never.
	reportedEpoch uint64
}

// isValid reports whether the engine is still assumed to cache the prefix.
func (h *holder) isValid(now time.Time) bool {
	if now.Before(h.assumedUntil) {
		return true
	}
	return h.reportedEpoch == h.engine.cacheEpoch && now.Sub(h.engine.cacheEventsAt) < prefixTTL
}

// prefixIndex holds which prefill engines cache which prefixes. It is a hint: cache
// events arrive late and with gaps, and entries expire.
type prefixIndex struct {
	holders *simplelru.LRU[uint64, []holder]
}

func newPrefixIndex() *prefixIndex {
	// The size is positive, so there is no error.
	holders, _ := simplelru.NewLRU[uint64, []holder](maxPrefixes, nil)
	return &prefixIndex{holders: holders}
}

// addGranted records that an engine will cache a prefix because of a grant.
func (x *prefixIndex) addGranted(now time.Time, e *engine, prefix uint64) {
	x.holderEntry(e, prefix).assumedUntil = now.Add(prefixTTL)
}

// addReported records that an engine reported a prefix as cached.
func (x *prefixIndex) addReported(e *engine, prefix uint64) {
	x.holderEntry(e, prefix).reportedEpoch = e.cacheEpoch
}

// holderEntry returns an engine's entry for a prefix and adds it if there is none.
func (x *prefixIndex) holderEntry(e *engine, prefix uint64) *holder {
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

// remove records that an engine evicted a prefix.
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

func (x *prefixIndex) applyReport(now time.Time, e *engine, load Load) {
	if load.CacheEventsLost {
		e.cacheEpoch++
	}
	if load.CacheEventsRead {
		e.cacheEventsAt = now
	}
	for _, prefix := range load.Cached {
		x.addReported(e, prefix)
	}
	for _, prefix := range load.Evicted {
		x.remove(e, prefix)
	}
}

// countCachedBlocks sets, on each engine that caches any of a prompt's leading blocks,
// how many it caches. An engine that caches a prefix also caches all shorter ones, so a
// lost event for a shorter prefix does no harm.
func (x *prefixIndex) countCachedBlocks(now time.Time, d *Demand, matchNumber uint64) {
	for i, prefix := range d.Prefixes {
		list, _ := x.holders.Get(prefix)
		for j := range list {
			if h := &list[j]; h.isValid(now) {
				h.engine.cachedBlocks = i + 1
				h.engine.matchNumber = matchNumber
			}
		}
	}
}

// matchPrefixes finds the cached blocks of a demand. Call it before uncachedTokens.
func (p *Placer) matchPrefixes(now time.Time, d *Demand) {
	p.matchNumber++
	if p.settings.enabled(PrefixAffinity) {
		p.prefixes.countCachedBlocks(now, d, p.matchNumber)
	}
}

// uncachedTokens returns how many tokens of a prompt an engine has to compute. The demand
// must be the last one that was passed to matchPrefixes.
func (p *Placer) uncachedTokens(d *Demand, e *engine) identifier.Tokens {
	if !p.settings.enabled(PrefixAffinity) || e.matchNumber != p.matchNumber {
		return d.Prompt
	}
	return max(0, d.Prompt-identifier.Tokens(e.cachedBlocks)*PrefixBlock)
}
