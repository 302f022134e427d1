package measurer

import (
	"sort"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
)

// decodeEngine simulates continuous batching. Each step generates one token for
// every stream, and takes longer the more streams there are.
type decodeEngine struct {
	run        *run
	name       identifier.Member
	dataCentre identifier.DataCentre
	pieces     identifier.Pieces
	free       identifier.Pieces
	// slowFactor multiplies the time of a step.
	slowFactor float64
	// jobs hold memory; streams are the subset in the batch.
	jobs    map[*job]bool
	streams []*job
	// offers lists jobs whose KV cache waits for memory.
	offers []*job
	// steps is the number of steps, with fractions, from the start to stepsUpdatedAt.
	steps          float64
	stepsUpdatedAt time.Duration
	// batchVersion changes with the batch; an event scheduled for an older one is ignored.
	batchVersion int
	linkFreeAt   time.Duration
}

func newDecodeEngine(r *run, name identifier.Member, dataCentre identifier.DataCentre, pieces identifier.Pieces) *decodeEngine {
	return &decodeEngine{run: r, name: name, dataCentre: dataCentre, pieces: pieces, free: pieces, slowFactor: 1, jobs: map[*job]bool{}}
}

func (e *decodeEngine) stepTime() time.Duration {
	step := baseStepTime + time.Duration(len(e.streams))*stepTimePerStream
	return time.Duration(float64(step) * e.slowFactor)
}

// advanceSteps adds the steps since stepsUpdatedAt. Call it before the batch changes.
func (e *decodeEngine) advanceSteps() {
	e.steps += float64(e.run.now-e.stepsUpdatedAt) / float64(e.stepTime())
	e.stepsUpdatedAt = e.run.now
}

func piecesFor(tokens identifier.Tokens) identifier.Pieces {
	return identifier.Pieces((tokens + pieceTokens - 1) / pieceTokens)
}

// offer claims memory for a KV cache, or queues the job until the prefill engine
// evicts the cache.
func (e *decodeEngine) offer(j *job) {
	if j.cancelled {
		e.endWasted(j, stopped)
		return
	}
	if e.tryClaim(j) {
		return
	}
	e.offers = append(e.offers, j)
	e.run.after(evictAfter, func() {
		if j.claimed || j.cancelled {
			return
		}
		e.removeOffer(j)
		e.endWasted(j, evicted)
	})
}

func (e *decodeEngine) endWasted(j *job, outcome jobOutcome) {
	e.run.counts.wastedTokens += float64(j.computedTokens)
	e.run.counts.wastedByOutcome[outcome] += float64(j.computedTokens)
	j.onEnd(outcome)
}

func (e *decodeEngine) removeOffer(j *job) {
	for i, offer := range e.offers {
		if offer == j {
			e.offers = append(e.offers[:i], e.offers[i+1:]...)
			return
		}
	}
}

// tryClaim reserves memory and starts the transfer, or returns false if memory is short.
func (e *decodeEngine) tryClaim(j *job) bool {
	need := piecesFor(j.tokens + 1)
	if e.free < need {
		return false
	}
	e.addPieces(j, need)
	j.claimed = true
	arrival := j.prefill.sendKVCache(j)
	e.run.after(arrival-e.run.now, func() { e.joinBatch(j) })
	return true
}

// addPieces adds pieces, which may be negative, to a job's memory and the usage by rank.
func (e *decodeEngine) addPieces(j *job, pieces identifier.Pieces) {
	e.run.memory.update(e.run)
	e.free -= pieces
	j.pieces += pieces
	e.run.memory.held[j.request.rank] += pieces
	if j.pieces > 0 {
		e.jobs[j] = true
	} else {
		delete(e.jobs, j)
	}
}

// joinBatch adds a job to the batch once its KV cache has arrived.
func (e *decodeEngine) joinBatch(j *job) {
	if j.cancelled {
		e.freeMemory(j)
		e.endWasted(j, stopped)
		e.claimForOffers()
		return
	}
	e.advanceSteps()
	j.startStep = e.steps
	j.endStep = e.steps + float64(j.request.output-j.request.generated)
	e.streams = append(e.streams, j)
	if j.request.firstTokenAt == 0 {
		j.request.firstTokenAt = e.run.now + e.stepTime()
	}
	e.scheduleNextChange()
}

// scheduleNextChange schedules the next time a stream ends or needs memory.
func (e *decodeEngine) scheduleNextChange() {
	e.batchVersion++
	if len(e.streams) == 0 {
		return
	}
	version, due := e.batchVersion, e.streams[0].nextChangeStep()
	for _, j := range e.streams[1:] {
		due = min(due, j.nextChangeStep())
	}
	delay := time.Duration((due - e.steps) * float64(e.stepTime()))
	e.run.after(delay+1, func() {
		if e.batchVersion == version {
			e.updateDueStreams()
		}
	})
}

// nextChangeStep returns the step at which a stream ends or needs another piece.
func (j *job) nextChangeStep() float64 {
	grow := j.startStep + float64(identifier.Tokens(j.pieces)*pieceTokens-j.tokens)
	return min(j.endStep, max(grow, j.startStep))
}

// generatedTokens returns a job's output in tokens as of its engine's last step update.
func (j *job) generatedTokens() identifier.Tokens {
	if j.endStep == 0 {
		return 0
	}
	return identifier.Tokens(max(0, j.decode.steps-j.startStep))
}

// updateDueStreams ends finished streams and grows full ones, or preempts them if no memory is free.
func (e *decodeEngine) updateDueStreams() {
	e.advanceSteps()
	for _, j := range append([]*job(nil), e.streams...) {
		switch {
		case j.nextChangeStep() > e.steps:
		case j.endStep <= e.steps:
			e.removeStream(j)
			j.request.generated = j.request.output
			j.onEnd(finished)
		case e.free > 0:
			e.addPieces(j, 1)
		default:
			e.stopStream(j, preempted)
		}
	}
	e.claimForOffers()
	e.scheduleNextChange()
}

// stopStream removes an unfinished stream from the batch; its prefill counts as wasted.
func (e *decodeEngine) stopStream(j *job, outcome jobOutcome) {
	e.removeStream(j)
	j.request.generated += identifier.Tokens(e.steps - j.startStep)
	e.endWasted(j, outcome)
}

func (e *decodeEngine) removeStream(j *job) {
	for i, stream := range e.streams {
		if stream == j {
			e.streams = append(e.streams[:i], e.streams[i+1:]...)
			break
		}
	}
	e.freeMemory(j)
}

func (e *decodeEngine) freeMemory(j *job) {
	e.addPieces(j, -j.pieces)
}

// claimForOffers claims memory for waiting KV caches, urgent ones first.
func (e *decodeEngine) claimForOffers() {
	for _, rank := range identifier.Ranks {
		for _, j := range append([]*job(nil), e.offers...) {
			if j.request.rank == rank && !j.claimed && e.tryClaim(j) {
				e.removeOffer(j)
			}
		}
	}
}

// cancel drops a streaming or waiting job at once, and any other at its next stage.
func (e *decodeEngine) cancel(j *job) {
	j.cancelled = true
	for _, stream := range e.streams {
		if stream == j {
			e.advanceSteps()
			e.stopStream(j, stopped)
			e.claimForOffers()
			e.scheduleNextChange()
			return
		}
	}
	for _, offer := range e.offers {
		if offer == j {
			e.removeOffer(j)
			e.endWasted(j, stopped)
			return
		}
	}
}

// holdings lists the memory held by each job, as load reports carry it.
func (e *decodeEngine) holdings() []placer.Holding {
	list := make([]placer.Holding, 0, len(e.jobs))
	for j := range e.jobs {
		list = append(list, placer.Holding{Request: requestID(j.request), Stream: j.attempt, Pieces: j.pieces})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Request < list[j].Request })
	return list
}
