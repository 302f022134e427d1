package invoker

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

const (
	// cacheEventsLimit bounds the events of one answer; the rest comes with the next.
	cacheEventsLimit = 256
	// cacheEventsRetry is how long an engine that publishes no events is not asked.
	cacheEventsRetry = time.Minute
	// hexadecimal is the base of prefix hashes in requests and events.
	hexadecimal = 16
)

// CachePosition is how far an engine's cache events have been read. The reader
// keeps it; the zero value starts at the oldest event that the engine still has.
type CachePosition struct {
	// Instance names the run of the engine that Number belongs to.
	Instance string
	// Number is that of the last event read.
	Number uint64
	// RetryAt is when an engine that publishes no events is asked again.
	RetryAt time.Time
}

// CacheNews is what an engine's cache events tell since a position.
type CacheNews struct {
	// Position is what to ask from the next time.
	Position CachePosition
	// Known tells that the events were read and go on from the position without a
	// gap, or begin anew where Lost is set.
	Known bool
	// Lost tells that events are missing or the engine started anew, so that what
	// was read before does not stand any more.
	Lost bool
	// Cached and Evicted are the prefixes, as the hashes that Work.Prefixes named,
	// which are cached now or not any more. None is in both.
	Cached  []uint64
	Evicted []uint64
}

type wireCacheEvents struct {
	Instance string           `json:"instance"`
	Last     uint64           `json:"last"`
	Events   []wireCacheEvent `json:"events"`
}

type wireCacheEvent struct {
	Number  uint64   `json:"number"`
	Stored  []string `json:"stored"`
	Removed []string `json:"removed"`
}

// wirePrefill asks for a KV cache to be exported, and names the prompt's blocks.
type wirePrefill struct {
	RemoteDecode bool              `json:"do_remote_decode"`
	Names        []string          `json:"prefix_names,omitempty"`
	BlockTokens  identifier.Tokens `json:"prefix_block_tokens,omitempty"`
}

// prefillParameters names the leading blocks of the prompt, so that the engine's
// cache events can name them too.
func (w Work) prefillParameters() (json.RawMessage, error) {
	parameters := wirePrefill{RemoteDecode: true}
	for _, prefix := range w.Prefixes {
		parameters.BlockTokens = w.PrefixBlock
		parameters.Names = append(parameters.Names, strconv.FormatUint(prefix, hexadecimal))
	}
	return json.Marshal(parameters)
}

// cacheNews reads the cache events after a position. A call that failed is no
// news: the events come with the next one.
func (i *Invoker) cacheNews(ctx context.Context, member tabulator.Member, seen CachePosition) CacheNews {
	if time.Now().Before(seen.RetryAt) {
		return CacheNews{Position: seen}
	}
	path := "/v1/cache-events?after=" + strconv.FormatUint(seen.Number, 10) + "&limit=" + strconv.Itoa(cacheEventsLimit)
	wire, err := ask[wireCacheEvents](ctx, i, member, path)
	switch {
	case errorx.IsOfType(err, Gone):
		return CacheNews{Position: CachePosition{RetryAt: time.Now().Add(cacheEventsRetry)}, Lost: seen.Number > 0}
	case err != nil:
		return CacheNews{Position: seen}
	case seen.Number > 0 && (wire.Instance != seen.Instance || wire.Last < seen.Number):
		// The engine started anew, and its numbers too.
		return CacheNews{Position: CachePosition{Instance: wire.Instance}, Lost: true}
	}
	news := CacheNews{Position: CachePosition{Instance: wire.Instance, Number: seen.Number}, Known: true}
	news.read(wire.Events)
	return news
}

// read takes events in. At a gap it drops what was read before.
func (n *CacheNews) read(events []wireCacheEvent) {
	cached := map[uint64]bool{}
	var changed []uint64
	note := func(names []string, isCached bool) {
		for _, name := range names {
			prefix, err := strconv.ParseUint(name, hexadecimal, 64)
			if err != nil {
				// Not a name that this adapter gave.
				continue
			}
			if _, known := cached[prefix]; !known {
				changed = append(changed, prefix)
			}
			cached[prefix] = isCached
		}
	}
	for _, event := range events {
		if event.Number <= n.Position.Number {
			continue
		}
		if event.Number != n.Position.Number+1 {
			n.Lost = true
			clear(cached)
			changed = nil
		}
		n.Position.Number = event.Number
		note(event.Removed, false)
		note(event.Stored, true)
	}
	for _, prefix := range changed {
		if cached[prefix] {
			n.Cached = append(n.Cached, prefix)
		} else {
			n.Evicted = append(n.Evicted, prefix)
		}
	}
}
