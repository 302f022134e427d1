package measurer

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// cachedBlocks is how many prefix blocks a prefill engine keeps.
const cachedBlocks = 800

// job is one placement of a request on a prefill and a decode engine.
type job struct {
	request *request
	attempt uint64
	prefill *prefillEngine
	decode  *decodeEngine
	// tokens counts the prompt and the output of earlier attempts; computedTokens
	// is the part that the prefill engine did not find in its cache.
	tokens         identifier.Tokens
	computedTokens identifier.Tokens
	// cancelled makes the engines drop the job at its next stage.
	cancelled bool
	// onEnd is called with the outcome when the job ends.
	onEnd func(jobOutcome)
	// offered is when the prefill engine offered the KV cache to the decode engine.
	offered time.Duration
	pieces  identifier.Pieces
	// startStep and endStep bound the job's stream in steps of the decode engine.
	startStep float64
	endStep   float64
	// claimed is set once the decode engine has reserved memory.
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
	// backlog counts the tokens of queued and running jobs.
	backlog identifier.Tokens
	busy    bool
	// linkFreeAt is when the outgoing link finishes its transfers.
	linkFreeAt time.Duration
	cache      *simplelru.LRU[uint64, struct{}]
	// newlyCached and newlyEvicted are the blocks changed since the last report.
	newlyCached  []uint64
	newlyEvicted []uint64
}

func newPrefillEngine(r *run, name identifier.Member, dataCentre identifier.DataCentre) *prefillEngine {
	e := &prefillEngine{run: r, name: name, dataCentre: dataCentre}
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

// queuedTokens returns the tokens of jobs whose prefill has not begun.
func (e *prefillEngine) queuedTokens() identifier.Tokens {
	var tokens identifier.Tokens
	for _, jobs := range e.queue {
		for _, j := range jobs {
			tokens += j.tokens
		}
	}
	return tokens
}

// startNext starts the next queued prompt if the engine is free.
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

// cachedTokens returns how many leading tokens of a prompt are cached.
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

// sendKVCache reserves both engines' links for a transfer and returns its end time.
func (e *prefillEngine) sendKVCache(j *job) time.Duration {
	bytes := float64(j.tokens) * float64(kvBytesPerToken)
	duration := time.Duration(bytes / float64(e.run.linkRate) * float64(time.Second))
	begin := max(e.run.now, e.linkFreeAt, j.decode.linkFreeAt)
	e.linkFreeAt = begin + duration
	j.decode.linkFreeAt = begin + duration
	return begin + duration
}
