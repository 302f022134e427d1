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
	// maxCacheEvents bounds the cache events read in one call; the next call reads more.
	maxCacheEvents = 256
	// cacheEventsRetryInterval applies to engines that publish no cache events.
	cacheEventsRetryInterval = time.Minute
	// prefixHashBase is the number base of prefix hashes in requests and events.
	prefixHashBase = 16
)

// CachePosition is the position up to which an engine's cache events were read.
// The zero value starts at the oldest event that the engine still has.
type CachePosition struct {
	// Instance identifies the engine process that numbered the events.
	Instance string
	// Number is the number of the last event read.
	Number uint64
	// RetryAt is the earliest next call to an engine that publishes no events.
	RetryAt time.Time
}

// CacheUpdate holds the changes to an engine's prefix cache since a position.
type CacheUpdate struct {
	// Position is the position to pass to the next call of Load.
	Position CachePosition
	// EventsRead reports that the events were read, without a gap unless EventsLost is set.
	EventsRead bool
	// EventsLost reports missing events or an engine restart; earlier updates are stale.
	EventsLost bool
	// Cached lists the hashes, from Work.Prefixes, of prefixes now in the cache.
	Cached []uint64
	// Evicted lists the hashes of prefixes no longer cached, none of them in Cached.
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

// wirePrefill requests the export of the KV cache and names the prompt's blocks.
type wirePrefill struct {
	RemoteDecode bool              `json:"do_remote_decode"`
	Names        []string          `json:"prefix_names,omitempty"`
	BlockTokens  identifier.Tokens `json:"prefix_block_tokens,omitempty"`
}

// encodePrefillParameters returns the KV transfer parameters of a prefill. They
// name the prompt's leading blocks so that cache events can refer to them.
func (w Work) encodePrefillParameters() (json.RawMessage, error) {
	parameters := wirePrefill{RemoteDecode: true}
	for _, prefix := range w.Prefixes {
		parameters.BlockTokens = w.PrefixBlockTokens
		parameters.Names = append(parameters.Names, strconv.FormatUint(prefix, prefixHashBase))
	}
	return json.Marshal(parameters)
}

// readCacheEvents reads the cache events after a position. After a failed call it
// returns the same position, so that the next call reads the events.
func (i *Invoker) readCacheEvents(ctx context.Context, member tabulator.Member, position CachePosition) CacheUpdate {
	if time.Now().Before(position.RetryAt) {
		return CacheUpdate{Position: position}
	}
	path := "/v1/cache-events?after=" + strconv.FormatUint(position.Number, 10) + "&limit=" + strconv.Itoa(maxCacheEvents)
	wire, err := getJSON[wireCacheEvents](ctx, i, member, path)
	switch {
	case errorx.IsOfType(err, NotFound):
		return CacheUpdate{Position: CachePosition{RetryAt: time.Now().Add(cacheEventsRetryInterval)}, EventsLost: position.Number > 0}
	case err != nil:
		return CacheUpdate{Position: position}
	case position.Number > 0 && (wire.Instance != position.Instance || wire.Last < position.Number):
		// The engine restarted and numbers its events from the start.
		return CacheUpdate{Position: CachePosition{Instance: wire.Instance}, EventsLost: true}
	}
	update := CacheUpdate{Position: CachePosition{Instance: wire.Instance, Number: position.Number}, EventsRead: true}
	update.applyEvents(wire.Events)
	return update
}

// applyEvents adds the changes of events to n. At a gap in the event numbers it sets
// EventsLost and discards the changes before the gap.
func (n *CacheUpdate) applyEvents(events []wireCacheEvent) {
	cached := map[uint64]bool{}
	var changed []uint64
	record := func(names []string, isCached bool) {
		for _, name := range names {
			prefix, err := strconv.ParseUint(name, prefixHashBase, 64)
			if err != nil {
				// Another user of the engine chose this name.
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
			n.EventsLost = true
			clear(cached)
			changed = nil
		}
		n.Position.Number = event.Number
		record(event.Removed, false)
		record(event.Stored, true)
	}
	for _, prefix := range changed {
		if cached[prefix] {
			n.Cached = append(n.Cached, prefix)
		} else {
			n.Evicted = append(n.Evicted, prefix)
		}
	}
}
