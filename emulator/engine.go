package emulator

import (
	"net/http"
	"sync"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// EngineOptions sets up a stand-in engine.
type EngineOptions struct {
	Name identifier.Member
	// Address is where other engines fetch exported KV cache.
	Address identifier.Address
	// Pieces is the engine's memory and PieceTokens what one piece holds.
	Pieces      int
	PieceTokens int
	// PrefillRate is the prompt tokens computed a second.
	PrefillRate int
	// TokenTime is the time between tokens of an empty engine; each further
	// running request adds a part of it (crowding).
	TokenTime time.Duration
	// Evict is how long an exported KV cache that nobody imports is kept.
	Evict time.Duration
	// Retain is how long a finished stream can still be resumed.
	Retain time.Duration
	// Lag is how old the load report is.
	Lag time.Duration
	// TransferTime is how long the import of a KV cache takes.
	TransferTime time.Duration
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// PrefixCache sets up the cache of prompt prefixes.
	PrefixCache PrefixCache
	// Crash ends the engine when it runs a prompt that contains Poison, if set.
	Poison string
	Crash  func()
	// Variant, unless empty, makes the engine generate other tokens than engines
	// of another variant do after the same text.
	Variant string
	// Transport fetches KV cache from other engines.
	Transport http.RoundTripper
}

// crowding is how many further requests double the time between tokens.
const crowding = 50

// Engine is a stand-in of a model engine: OpenAI-compatible completions with
// KV transfer parameters, memory in pieces, resumable streams, a lagging load
// report and orders with fencing numbers.
type Engine struct {
	options EngineOptions
	mux     *http.ServeMux
	client  *http.Client

	mutex sync.Mutex
	// streams holds the running and the retained streams by attempt.
	streams map[string]*stream
	// prefills holds when each prefill under way ends, by attempt.
	prefills map[string]time.Time
	// cache holds the prompt prefixes computed not long ago.
	cache *prefixCache
	// transfers holds the imports of KV cache under way, by attempt.
	transfers map[string]*transfer
	// exports holds the KV caches that wait for import, by attempt.
	exports map[string]*export
	// used is the pieces held by streams and exports, at most options.Pieces.
	used    int
	running int
	report  loadReport
	fence   identifier.Fence
	state   engineState
	counts  EngineCounts
	down    bool
	// crossed puts a chunk of another attempt before each chunk, and stalls is
	// how many of the next imports hang until their request is given up.
	crossed bool
	stalls  int
	// broken drops the connection of each stream before its next token.
	broken bool
	// cutEnds is how many of the next streams lose their closing event.
	cutEnds int
	// cancelled holds the streams that were cancelled not long ago.
	cancelled map[string]bool
	// generation grows with each crash; work of an older one is dropped.
	generation int
}

// EngineCounts is what an engine saw, for checkers.
type EngineCounts struct {
	// Prefills and Decodes count started work, Evicted the KV caches that
	// nobody imported, Refused the requests for which there was no memory.
	Prefills, Decodes, Evicted, Refused, Cancels int
	// PromptTokens sums the prompts of finished prefills, ComputedTokens what of
	// them was not cached.
	PromptTokens, ComputedTokens int
	// Crashes counts how often the engine crashed.
	Crashes int
	// Held is the pieces in use now, Running the streams that generate now.
	Held, Running int
	// Orders counts the orders carried out, StaleOrders those refused, and
	// Regressions those carried out although a larger fencing number had come.
	Orders, StaleOrders, Regressions int
}

// NewEngine returns an idle engine.
func NewEngine(options EngineOptions) *Engine {
	e := &Engine{
		options: options,
		mux:     http.NewServeMux(),
		client:  &http.Client{Transport: options.Transport},
		streams: map[string]*stream{},

		transfers: map[string]*transfer{},
		exports:   map[string]*export{},

		prefills:  map[string]time.Time{},
		cache:     newPrefixCache(options.PrefixCache),
		cancelled: map[string]bool{},
	}
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletions)
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveCompletions)
	e.mux.HandleFunc("GET /v1/streams/{attempt}", e.serveResume)
	e.mux.HandleFunc("DELETE /v1/streams/{attempt}", e.serveCancel)
	e.mux.HandleFunc("POST /v1/kv/{attempt}/import", e.serveExport)
	e.mux.HandleFunc("GET /v1/load", e.serveLoad)
	e.mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /v1/orders", e.serveOrder)
	e.mux.HandleFunc("GET /v1/state", e.serveState)
	return e
}

// ServeHTTP answers the engine's protocol. A crashed engine drops connections.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	down := e.down
	e.mutex.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Counts returns what the engine saw so far.
func (e *Engine) Counts() EngineCounts {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	counts := e.counts
	counts.Held = e.used
	counts.Running = e.running
	return counts
}

// Crash drops all work and memory and answers nothing until Restart.
func (e *Engine) Crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.down = true
	e.counts.Crashes++
	e.generation++
	for attempt, s := range e.streams {
		s.stop()
		delete(e.streams, attempt)
	}
	e.exports = map[string]*export{}
	e.prefills = map[string]time.Time{}
	e.cache = newPrefixCache(e.options.PrefixCache)
	e.cancelled = map[string]bool{}
	e.used = 0
	e.running = 0
}

// Restart brings a crashed engine back, empty.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.down = false
	e.report = loadReport{}
}

// Cross puts a chunk of another attempt and a repeated one before each chunk
// from now on.
func (e *Engine) Cross() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crossed = true
}

// StallImports makes the next imports of KV cache hang.
func (e *Engine) StallImports(count int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stalls = count
}

// BreakStreams drops the connection of each stream before its next token from now
// on, also of resumed ones, while the streams themselves go on.
func (e *Engine) BreakStreams() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.broken = true
}

func (e *Engine) breaks() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.broken
}

// CutEnds makes the next streams break off after the last token.
func (e *Engine) CutEnds(count int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cutEnds = count
}

// takeCut tells whether a stream has to break off at its end.
func (e *Engine) takeCut() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.cutEnds == 0 {
		return false
	}
	e.cutEnds--
	return true
}

// takeStall tells whether an import has to hang.
func (e *Engine) takeStall() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.stalls == 0 {
		return false
	}
	e.stalls--
	return true
}

// pieces returns the pieces that a number of tokens takes.
func (e *Engine) pieces(tokens int) int {
	return (tokens + e.options.PieceTokens - 1) / e.options.PieceTokens
}

// reserve takes pieces of memory unless too few are free.
func (e *Engine) reserve(pieces int) bool {
	if e.used+pieces > e.options.Pieces {
		e.counts.Refused++
		return false
	}
	e.used += pieces
	return true
}

// crash ends the engine as a poison request does.
func (e *Engine) crash() {
	if e.options.Crash != nil {
		e.options.Crash()
	} else {
		e.Crash()
	}
	panic(http.ErrAbortHandler)
}
