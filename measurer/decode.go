package measurer

import (
	"sort"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
)

// decodeEngine batches streams continuously. All streams get a token each step,
// and a step takes longer the more streams there are.
type decodeEngine struct {
	run        *run
	name       identifier.Member
	dataCentre identifier.DataCentre
	pieces     identifier.Pieces
	free       identifier.Pieces
	// slowFactor multiplies the time of a step.
	slowFactor float64
	// jobs hold memory; streams are those of them in the batch.
	jobs    map[*job]bool
	streams []*job
	// offers are the KV caches that wait for memory.
	offers []*job
	// steps counts since the start, up to date at updated.
	steps          float64
	stepsUpdatedAt time.Duration
	// batchVersion makes events of an earlier batch void.
	batchVersion int
	linkFreeAt   time.Duration
}

func newDecodeEngine(r *run, name identifier.Member, place identifier.DataCentre, pieces identifier.Pieces) *decodeEngine {
	return &decodeEngine{run: r, name: name, dataCentre: place, pieces: pieces, free: pieces, slowFactor: 1, jobs: map[*job]bool{}}
}

func (e *decodeEngine) stepTime() time.Duration {
	step := baseStepTime + time.Duration(len(e.streams))*stepTimePerStream
	return time.Duration(float64(step) * e.slowFactor)
}

// advanceSteps counts the steps since the last change of the batch.
func (e *decodeEngine) advanceSteps() {
	e.steps += float64(e.run.now-e.stepsUpdatedAt) / float64(e.stepTime())
	e.stepsUpdatedAt = e.run.now
}

func piecesFor(tokens identifier.Tokens) identifier.Pieces {
	return identifier.Pieces((tokens + pieceTokens - 1) / pieceTokens)
}

// offer claims memory for a KV cache, or keeps it until the prefill engine
// evicts it.
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

func (e *decodeEngine) endWasted(j *job, how jobOutcome) {
	e.run.counts.wastedTokens += float64(j.computedTokens)
	e.run.counts.wastedByOutcome[how] += float64(j.computedTokens)
	j.onEnd(how)
}

func (e *decodeEngine) removeOffer(j *job) {
	for i, offer := range e.offers {
		if offer == j {
			e.offers = append(e.offers[:i], e.offers[i+1:]...)
			return
		}
	}
}

// tryClaim takes the memory and starts the transfer.
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

// addPieces changes what a job holds and counts memory by rank.
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

// joinBatch adds a stream whose KV cache has arrived to the batch.
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
	if j.request.first == 0 {
		j.request.first = e.run.now + e.stepTime()
	}
	e.scheduleNextChange()
}

// scheduleNextChange plans the next end or growth of a stream.
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

// nextChangeStep is the step at which a stream ends or needs another piece.
func (j *job) nextChangeStep() float64 {
	grow := j.startStep + float64(identifier.Tokens(j.pieces)*pieceTokens-j.tokens)
	return min(j.endStep, max(grow, j.startStep))
}

// generatedTokens is how many tokens a job has generated as of its engine's last event.
func (j *job) generatedTokens() identifier.Tokens {
	if j.endStep == 0 {
		return 0
	}
	return identifier.Tokens(max(0, j.decode.steps-j.startStep))
}

// updateDueStreams ends and grows the streams that are due.
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

// stopStream takes a stream out of the batch before its end.
func (e *decodeEngine) stopStream(j *job, how jobOutcome) {
	e.removeStream(j)
	j.request.generated += identifier.Tokens(e.steps - j.startStep)
	e.endWasted(j, how)
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

// cancel drops a job wherever it is.
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

// holdings lists what the engine tells about its memory.
func (e *decodeEngine) holdings() []placer.Holding {
	list := make([]placer.Holding, 0, len(e.jobs))
	for j := range e.jobs {
		list = append(list, placer.Holding{Request: requestID(j.request), Stream: j.attempt, Pieces: j.pieces})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Request < list[j].Request })
	return list
}
