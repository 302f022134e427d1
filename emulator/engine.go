package emulator

import (
	"net/http"
	"sync"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// EngineOptions configures a fake engine.
type EngineOptions struct {
	Name identifier.Member
	// Address is where other engines fetch exported KV caches.
	Address identifier.Address
	// Pieces is the engine's memory; a piece holds PieceTokens tokens.
	Pieces      int
	PieceTokens int
	// PrefillRate is the number of prompt tokens computed per second.
	PrefillRate int
	// TokenTime is the time between tokens while one request runs; each further
	// running request adds TokenTime/crowding.
	TokenTime time.Duration
	// Evict is how long an exported KV cache is kept for import.
	Evict time.Duration
	// Retain is how long a finished stream can still be resumed.
	Retain time.Duration
	// Lag is how long a load report is served before it is replaced.
	Lag time.Duration
	// TransferTime is how long the import of a KV cache takes.
	TransferTime time.Duration
	// ChecksFencing makes the engine refuse orders with a stale fencing number.
	ChecksFencing bool
	// PrefixCache configures the cache of prompt prefixes.
	PrefixCache PrefixCache
	// Poison, if set, crashes the engine on prompts that contain it, by Crash if that is set.
	Poison string
	Crash  func()
	// Variant selects the model: engines of different variants generate different
	// tokens after the same text.
	Variant string
	// Transport is used to fetch KV caches from other engines.
	Transport http.RoundTripper
}

// crowding is the number of further running requests that doubles the time between tokens.
const crowding = 50

// Engine is a fake model engine: OpenAI-compatible completions with KV transfer
// parameters, memory in pieces, resumable streams, a delayed load report and
// orders with fencing numbers.
type Engine struct {
	options EngineOptions
	mux     *http.ServeMux
	client  *http.Client

	mutex sync.Mutex
	// streams holds the running and retained streams by attempt.
	streams map[string]*stream
	// prefills holds the end time of each running prefill by attempt.
	prefills map[string]time.Time
	// cache holds recently computed prompt prefixes.
	cache *prefixCache
	// transfers holds the running KV cache imports by attempt.
	transfers map[string]*transfer
	// exports holds the KV caches kept for import, by attempt.
	exports map[string]*export
	// used is the number of pieces in use by prefills, streams and exports, at most options.Pieces.
	used    int
	running int
	report  loadReport
	fence   identifier.Fence
	state   engineState
	counts  EngineCounts
	down    bool
	// crossed puts a chunk of another attempt and a repeated one before each chunk.
	// stalls is how many of the next imports hang until their request ends.
	crossed bool
	stalls  int
	// broken aborts the connection of each stream before its next token.
	broken bool
	// cutEnds is how many of the next streams abort before their final event.
	cutEnds int
	// cancelled holds the attempts cancelled within the last options.Retain.
	cancelled map[string]bool
	// generation grows with each crash; work of an older generation is dropped.
	generation int
}

// EngineCounts holds an engine's own counts, for checkers.
type EngineCounts struct {
	// Prefills and Decodes count started work, Evicted the KV caches that were
	// never imported, Refused the requests that found too little memory.
	Prefills, Decodes, Evicted, Refused, Cancels int
	// PromptTokens is the total prompt length of finished prefills, ComputedTokens
	// the part of it that was not cached.
	PromptTokens, ComputedTokens int
	// Crashes counts the crashes.
	Crashes int
	// Held is the number of pieces now in use, Running that of generating streams.
	Held, Running int
	// Orders counts the applied orders, StaleOrders the refused ones, and
	// Regressions the applied ones that came after a larger fencing number.
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

// ServeHTTP implements the engine's protocol. A crashed engine aborts connections.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	down := e.down
	e.mutex.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Counts returns the current counts.
func (e *Engine) Counts() EngineCounts {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	counts := e.counts
	counts.Held = e.used
	counts.Running = e.running
	return counts
}

// Crash drops all work and memory. The engine aborts all connections until Restart.
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

// Restart makes a crashed engine serve again, with empty memory.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.down = false
	e.report = loadReport{}
}

// InterleaveChunks makes the engine send a chunk of another attempt and a repeated one
// before each later chunk.
func (e *Engine) InterleaveChunks() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crossed = true
}

// StallImports makes the next count KV cache imports hang until their request ends.
func (e *Engine) StallImports(count int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stalls = count
}

// BreakStreams makes the engine abort the connection of each stream before its next
// token, also after a resume. Generation continues.
func (e *Engine) BreakStreams() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.broken = true
}

func (e *Engine) breaksStreams() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.broken
}

// CutEnds makes the next count streams abort after the last token.
func (e *Engine) CutEnds(count int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cutEnds = count
}

// takeCut reports whether a stream must abort at its end, and decrements the count.
func (e *Engine) takeCut() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.cutEnds == 0 {
		return false
	}
	e.cutEnds--
	return true
}

// takeStall reports whether an import must hang, and decrements the count.
func (e *Engine) takeStall() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.stalls == 0 {
		return false
	}
	e.stalls--
	return true
}

// pieces returns the number of pieces that the tokens occupy.
func (e *Engine) pieces(tokens int) int {
	return (tokens + e.options.PieceTokens - 1) / e.options.PieceTokens
}

// reserve takes pieces and reports whether enough were free. The caller holds the mutex.
func (e *Engine) reserve(pieces int) bool {
	if e.used+pieces > e.options.Pieces {
		e.counts.Refused++
		return false
	}
	e.used += pieces
	return true
}

// crash crashes the engine on a poison request and aborts the request.
func (e *Engine) crash() {
	if e.options.Crash != nil {
		e.options.Crash()
	} else {
		e.Crash()
	}
	panic(http.ErrAbortHandler)
}
