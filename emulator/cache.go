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
	// cacheLogLimit bounds the events that can be read again.
	cacheLogLimit = 1024
)

// PrefixCache sets up an engine's cache of prompt prefixes.
type PrefixCache struct {
	// Blocks is how many blocks of prompts are kept, those used last; zero caches
	// nothing and publishes no events.
	Blocks int
	// Lag is how late events are published.
	Lag time.Duration
	// LoseEvery loses each event whose number it divides; zero loses none.
	LoseEvery uint64
	// Silent engines cache but publish no events.
	Silent bool
}

// cacheEvent is one change of the prefix cache. Blocks go by the names that their
// requests gave them; blocks without one are left out.
type cacheEvent struct {
	Number  uint64   `json:"number"`
	Stored  []string `json:"stored,omitempty"`
	Removed []string `json:"removed,omitempty"`
	at      time.Time
}

type cacheEvents struct {
	// Instance changes when the engine starts anew and numbers from one again.
	Instance string `json:"instance"`
	// Last is the largest number published so far.
	Last   uint64       `json:"last"`
	Events []cacheEvent `json:"events"`
}

// prefixCache holds the hashes of cached blocks. A block's hash covers all text
// before it as well. The engine's mutex guards it.
type prefixCache struct {
	options PrefixCache
	// names has each cached block's name by hash, empty for none.
	names *simplelru.LRU[uint64, string]
	// removed are the names of the blocks evicted since the last event.
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

// hashes returns the hash of each whole block of a text.
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

// cached counts the tokens of a text's leading blocks that are cached.
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

// store keeps a text's blocks under the names that its request gave them, and
// logs what has changed. Leading blocks are used last, so that they stay longest.
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

// publish logs an event unless it says nothing or is to be lost.
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

// SetPrefixCache gives the engine another, empty prefix cache.
func (e *Engine) SetPrefixCache(options PrefixCache) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.options.PrefixCache = options
	e.cache = newPrefixCache(options)
}

// serveCacheEvents answers the events after a number, oldest first, at most a limit.
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
