package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// cacheBlockTokens is how many tokens each block of the prefix cache covers.
	cacheBlockTokens = 256
	cacheBlockBytes  = cacheBlockTokens * bytesPerToken
	// cacheLogLimit is how many events are kept for readers.
	cacheLogLimit = 1024
)

// PrefixCache configures an engine's cache of prompt prefixes.
type PrefixCache struct {
	// Blocks is the capacity in blocks, with LRU eviction; zero disables the cache
	// and its events.
	Blocks int
	// Lag is the delay before an event is published.
	Lag time.Duration
	// LoseEvery drops each event whose number is a multiple of it; zero drops none.
	LoseEvery uint64
	// Silent disables events; the engine still caches.
	Silent bool
}

// cacheEvent is one change of the prefix cache. It lists blocks by the names that
// requests gave them and omits unnamed blocks.
type cacheEvent struct {
	Number  uint64   `json:"number"`
	Stored  []string `json:"stored,omitempty"`
	Removed []string `json:"removed,omitempty"`
	at      time.Time
}

type cacheEvents struct {
	// Instance changes when the engine restarts; event numbers then start at one.
	Instance string `json:"instance"`
	// Last is the largest number published so far.
	Last   uint64       `json:"last"`
	Events []cacheEvent `json:"events"`
}

// prefixCache holds the hashes of cached blocks. A block's hash also covers all
// preceding text. The engine's mutex guards it.
type prefixCache struct {
	options PrefixCache
	// names maps each cached block's hash to its name, empty if unnamed.
	names *simplelru.LRU[uint64, string]
	// removed holds the names of the blocks evicted since the last event.
	removed []string
	log     []cacheEvent
	number  uint64
}

func newPrefixCache(options PrefixCache) *prefixCache {
	c := &prefixCache{options: options}
	// The size is positive, so there is no error.
	c.names, _ = simplelru.NewLRU(max(1, options.Blocks), func(_ uint64, name string) {
		if name != "" {
			c.removed = append(c.removed, name)
		}
	})
	return c
}

// hashes returns the hash of each complete block of text, nil if caching is off.
func (c *prefixCache) hashes(text string) []uint64 {
	var hashes []uint64
	if c.options.Blocks == 0 {
		return nil
	}
	digest := xxhash.New()
	for ; len(text) >= cacheBlockBytes; text = text[cacheBlockBytes:] {
		_, _ = digest.WriteString(text[:cacheBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// cached returns the number of leading tokens of text whose blocks are cached.
func (c *prefixCache) cached(text string) int {
	tokens := 0
	for _, hash := range c.hashes(text) {
		if !c.names.Contains(hash) {
			break
		}
		tokens += cacheBlockTokens
	}
	return tokens
}

// store caches the blocks of text under the names of the request and publishes the
// change. It goes backwards, so the LRU cache evicts leading blocks last.
func (c *prefixCache) store(text string, names []string) {
	hashes := c.hashes(text)
	var added []uint64
	for i := len(hashes) - 1; i >= 0; i-- {
		name := ""
		if i < len(names) {
			name = names[i]
		}
		known, cached := c.names.Get(hashes[i])
		if cached && (name == "" || name == known) {
			continue
		}
		c.names.Add(hashes[i], name)
		added = append(added, hashes[i])
	}
	event := cacheEvent{Removed: c.removed, at: time.Now()}
	c.removed = nil
	for _, hash := range added {
		if name, kept := c.names.Peek(hash); kept && name != "" {
			event.Stored = append(event.Stored, name)
		}
	}
	c.publish(event)
}

// publish appends an event to the log unless it is empty or LoseEvery drops it.
func (c *prefixCache) publish(event cacheEvent) {
	if len(event.Stored)+len(event.Removed) == 0 {
		return
	}
	c.number++
	event.Number = c.number
	if c.options.LoseEvery > 0 && c.number%c.options.LoseEvery == 0 {
		return
	}
	c.log = append(c.log, event)
	c.log = c.log[max(0, len(c.log)-cacheLogLimit):]
}

// SetPrefixCache replaces the engine's prefix cache by an empty one.
func (e *Engine) SetPrefixCache(options PrefixCache) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.options.PrefixCache = options
	e.cache = newPrefixCache(options)
}

// serveCacheEvents returns at most limit events numbered above after, oldest first.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	e.mutex.Lock()
	defer e.mutex.Unlock()
	c := e.cache
	if c.options.Blocks == 0 || c.options.Silent {
		http.Error(w, "no cache events", http.StatusNotFound)
		return
	}
	answer := cacheEvents{Instance: fmt.Sprintf("%s-%d", e.options.Name, e.generation), Events: []cacheEvent{}}
	for _, event := range c.log {
		if time.Since(event.at) < c.options.Lag {
			break
		}
		answer.Last = event.Number
		if event.Number > after && len(answer.Events) < limit {
			answer.Events = append(answer.Events, event)
		}
	}
	_ = json.NewEncoder(w).Encode(answer)
}
