package measurer

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// cachedBlocks is how many prefix blocks a prefill engine keeps.
const cachedBlocks = 800

// job is one placement of a request on its way through two engines.
type job struct {
	request *request
	attempt uint64
	prefill *prefillEngine
	decode  *decodeEngine
	// tokens is the prompt with what earlier attempts generated; computed is
	// what the prefill engine did not find in its cache.
	tokens         identifier.Tokens
	computedTokens identifier.Tokens
	// cancelled jobs are dropped at the next step.
	cancelled bool
	// onEnd tells the owner of the job how it ended.
	onEnd func(jobOutcome)
	// offered is when the KV cache began to wait for decode memory.
	offered time.Duration
	pieces  identifier.Pieces
	// endAt and growAt are in steps of the decode engine.
	startStep float64
	endStep   float64
	// sent and claimed tell how far the job came.
	claimed bool
}

// jobOutcome says how a job ended.
type jobOutcome uint8

const (
	// finished: the whole output was generated.
	finished jobOutcome = iota
	// evicted: the KV cache found no decode memory in time.
	evicted
	// preempted: the decode engine ran out of memory for a growing stream.
	preempted
	// stopped: the job was cancelled.
	stopped
	jobOutcomeCount
)

// prefillEngine computes one prompt at a time, urgent ones first.
type prefillEngine struct {
	run        *run
	name       identifier.Member
	dataCentre identifier.DataCentre
	queue      [len(identifier.Ranks)][]*job
	// backlog is the tokens queued and in work.
	backlog identifier.Tokens
	busy    bool
	// linkFreeAt is when the outgoing link has sent all it was given.
	linkFreeAt time.Duration
	cache      *simplelru.LRU[uint64, struct{}]
	// changes are the cache events that no report has carried yet.
	newlyCached  []uint64
	newlyEvicted []uint64
}

func newPrefillEngine(r *run, name identifier.Member, place identifier.DataCentre) *prefillEngine {
	e := &prefillEngine{run: r, name: name, dataCentre: place}
	e.cache, _ = simplelru.NewLRU(cachedBlocks, func(block uint64, _ struct{}) {
		e.newlyEvicted = append(e.newlyEvicted, block)
	})
	return e
}

func (e *prefillEngine) submit(j *job) {
	e.queue[j.request.rank] = append(e.queue[j.request.rank], j)
	e.backlog += j.tokens
	e.startNext()
}

// queuedTokens is the tokens whose prefill has not begun.
func (e *prefillEngine) queuedTokens() identifier.Tokens {
	var tokens identifier.Tokens
	for _, jobs := range e.queue {
		for _, j := range jobs {
			tokens += j.tokens
		}
	}
	return tokens
}

// startNext starts the startNext prompt when the engine is free.
func (e *prefillEngine) startNext() {
	if e.busy {
		return
	}
	for rank := range e.queue {
		if len(e.queue[rank]) == 0 {
			continue
		}
		j := e.queue[rank][0]
		e.queue[rank] = e.queue[rank][1:]
		e.start(j)
		return
	}
}

func (e *prefillEngine) start(j *job) {
	if j.cancelled {
		e.backlog -= j.tokens
		j.onEnd(stopped)
		e.startNext()
		return
	}
	e.busy = true
	j.computedTokens = j.tokens - e.cachedTokens(j.request.prefixes)
	e.run.counts.prefilledTokens += float64(j.computedTokens)
	duration := time.Duration(float64(j.computedTokens) / float64(prefillRate) * float64(time.Second))
	e.run.after(duration, func() {
		e.busy = false
		e.backlog -= j.tokens
		e.cachePrefixes(j.request.prefixes)
		j.offered = e.run.now
		j.decode.offer(j)
		e.startNext()
	})
}

// cachedTokens is how many leading tokens of a prompt are cached.
func (e *prefillEngine) cachedTokens(prefixes []uint64) identifier.Tokens {
	hits := 0
	for _, block := range prefixes {
		if _, ok := e.cache.Get(block); !ok {
			break
		}
		hits++
	}
	return identifier.Tokens(hits * prefixBlock)
}

func (e *prefillEngine) cachePrefixes(prefixes []uint64) {
	for _, block := range prefixes {
		if !e.cache.Contains(block) {
			e.newlyCached = append(e.newlyCached, block)
		}
		e.cache.Add(block, struct{}{})
	}
}

// sendKVCache puts a KV cache on both links and returns when it has arrived.
func (e *prefillEngine) sendKVCache(j *job) time.Duration {
	bytes := float64(j.tokens) * float64(kvBytesPerToken)
	duration := time.Duration(bytes / float64(e.run.linkRate) * float64(time.Second))
	begin := max(e.run.now, e.linkFreeAt, j.decode.linkFreeAt)
	e.linkFreeAt = begin + duration
	j.decode.linkFreeAt = begin + duration
	return begin + duration
}
