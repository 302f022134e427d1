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
	tokens   identifier.Tokens
	computed identifier.Tokens
	// cancelled jobs are dropped at the next step.
	cancelled bool
	// done tells the owner of the job how it ended.
	done func(ending)
	// offered is when the KV cache began to wait for decode memory.
	offered time.Duration
	pieces  identifier.Pieces
	// endAt and growAt are in steps of the decode engine.
	startAt float64
	endAt   float64
	// sent and claimed tell how far the job came.
	claimed bool
}

// ending says how a job ended.
type ending uint8

const (
	// finished: the whole output was generated.
	finished ending = iota
	// evicted: the KV cache found no decode memory in time.
	evicted
	// preempted: the decode engine ran out of memory for a growing stream.
	preempted
	// stopped: the job was cancelled.
	stopped
	endingCount
)

// prefillEngine computes one prompt at a time, urgent ones first.
type prefillEngine struct {
	run   *run
	name  identifier.Member
	place identifier.DataCentre
	queue [len(identifier.Ranks)][]*job
	// backlog is the tokens queued and in work.
	backlog identifier.Tokens
	busy    bool
	// linkFree is when the outgoing link has sent all it was given.
	linkFree time.Duration
	cache    *simplelru.LRU[uint64, struct{}]
	// changes are the cache events that no report has carried yet.
	cached  []uint64
	evicted []uint64
}

func newPrefillEngine(r *run, name identifier.Member, place identifier.DataCentre) *prefillEngine {
	e := &prefillEngine{run: r, name: name, place: place}
	e.cache, _ = simplelru.NewLRU(cachedBlocks, func(block uint64, _ struct{}) {
		e.evicted = append(e.evicted, block)
	})
	return e
}

func (e *prefillEngine) submit(j *job) {
	e.queue[j.request.rank] = append(e.queue[j.request.rank], j)
	e.backlog += j.tokens
	e.next()
}

// queued is the tokens whose prefill has not begun.
func (e *prefillEngine) queued() identifier.Tokens {
	var tokens identifier.Tokens
	for _, jobs := range e.queue {
		for _, j := range jobs {
			tokens += j.tokens
		}
	}
	return tokens
}

// next starts the next prompt when the engine is free.
func (e *prefillEngine) next() {
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
		j.done(stopped)
		e.next()
		return
	}
	e.busy = true
	j.computed = j.tokens - e.hit(j.request.prefixes)
	e.run.counts.prefilled += float64(j.computed)
	duration := time.Duration(float64(j.computed) / float64(prefillRate) * float64(time.Second))
	e.run.after(duration, func() {
		e.busy = false
		e.backlog -= j.tokens
		e.remember(j.request.prefixes)
		j.offered = e.run.now
		j.decode.offer(j)
		e.next()
	})
}

// hit is how many leading tokens of a prompt are cached.
func (e *prefillEngine) hit(prefixes []uint64) identifier.Tokens {
	hits := 0
	for _, block := range prefixes {
		if _, ok := e.cache.Get(block); !ok {
			break
		}
		hits++
	}
	return identifier.Tokens(hits * prefixBlock)
}

func (e *prefillEngine) remember(prefixes []uint64) {
	for _, block := range prefixes {
		if !e.cache.Contains(block) {
			e.cached = append(e.cached, block)
		}
		e.cache.Add(block, struct{}{})
	}
}

// send puts a KV cache on both links and returns when it has arrived.
func (e *prefillEngine) send(j *job) time.Duration {
	bytes := float64(j.tokens) * float64(kvBytesPerToken)
	duration := time.Duration(bytes / float64(e.run.linkRate) * float64(time.Second))
	begin := max(e.run.now, e.linkFree, j.decode.linkFree)
	e.linkFree = begin + duration
	j.decode.linkFree = begin + duration
	return begin + duration
}
