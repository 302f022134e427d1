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
	run    *run
	name   identifier.Member
	place  identifier.DataCentre
	pieces identifier.Pieces
	free   identifier.Pieces
	// slow multiplies the time of a step.
	slow float64
	// jobs hold memory; streams are those of them in the batch.
	jobs    map[*job]bool
	streams []*job
	// offers are the KV caches that wait for memory.
	offers []*job
	// steps counts since the start, up to date at updated.
	steps   float64
	updated time.Duration
	// version makes events of an earlier batch void.
	version  int
	linkFree time.Duration
}

func newDecodeEngine(r *run, name identifier.Member, place identifier.DataCentre, pieces identifier.Pieces) *decodeEngine {
	return &decodeEngine{run: r, name: name, place: place, pieces: pieces, free: pieces, slow: 1, jobs: map[*job]bool{}}
}

func (e *decodeEngine) step() time.Duration {
	step := stepBase + time.Duration(len(e.streams))*stepPerStream
	return time.Duration(float64(step) * e.slow)
}

// advance counts the steps since the last change of the batch.
func (e *decodeEngine) advance() {
	e.steps += float64(e.run.now-e.updated) / float64(e.step())
	e.updated = e.run.now
}

func memoryOf(tokens identifier.Tokens) identifier.Pieces {
	return identifier.Pieces((tokens + pieceTokens - 1) / pieceTokens)
}

// offer claims memory for a KV cache, or keeps it until the prefill engine
// evicts it.
func (e *decodeEngine) offer(j *job) {
	if j.cancelled {
		e.waste(j, stopped)
		return
	}
	if e.claim(j) {
		return
	}
	e.offers = append(e.offers, j)
	e.run.after(evictAfter, func() {
		if j.claimed || j.cancelled {
			return
		}
		e.withdraw(j)
		e.waste(j, evicted)
	})
}

func (e *decodeEngine) waste(j *job, how ending) {
	e.run.counts.wasted += float64(j.computed)
	e.run.counts.ended[how] += float64(j.computed)
	j.done(how)
}

func (e *decodeEngine) withdraw(j *job) {
	for i, offer := range e.offers {
		if offer == j {
			e.offers = append(e.offers[:i], e.offers[i+1:]...)
			return
		}
	}
}

// claim takes the memory and starts the transfer.
func (e *decodeEngine) claim(j *job) bool {
	need := memoryOf(j.tokens + 1)
	if e.free < need {
		return false
	}
	e.take(j, need)
	j.claimed = true
	arrival := j.prefill.send(j)
	e.run.after(arrival-e.run.now, func() { e.join(j) })
	return true
}

// take changes what a job holds and counts memory by rank.
func (e *decodeEngine) take(j *job, pieces identifier.Pieces) {
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

// join adds a stream whose KV cache has arrived to the batch.
func (e *decodeEngine) join(j *job) {
	if j.cancelled {
		e.leave(j)
		e.waste(j, stopped)
		e.admit()
		return
	}
	e.advance()
	j.startAt = e.steps
	j.endAt = e.steps + float64(j.request.output-j.request.generated)
	e.streams = append(e.streams, j)
	if j.request.first == 0 {
		j.request.first = e.run.now + e.step()
	}
	e.schedule()
}

// schedule plans the next end or growth of a stream.
func (e *decodeEngine) schedule() {
	e.version++
	if len(e.streams) == 0 {
		return
	}
	version, due := e.version, e.streams[0].nextAt()
	for _, j := range e.streams[1:] {
		due = min(due, j.nextAt())
	}
	delay := time.Duration((due - e.steps) * float64(e.step()))
	e.run.after(delay+1, func() {
		if e.version == version {
			e.settle()
		}
	})
}

// nextAt is the step at which a stream ends or needs another piece.
func (j *job) nextAt() float64 {
	grow := j.startAt + float64(identifier.Tokens(j.pieces)*pieceTokens-j.tokens)
	return min(j.endAt, max(grow, j.startAt))
}

// progress is how many tokens a job has generated as of its engine's last event.
func (j *job) progress() identifier.Tokens {
	if j.endAt == 0 {
		return 0
	}
	return identifier.Tokens(max(0, j.decode.steps-j.startAt))
}

// settle ends and grows the streams that are due.
func (e *decodeEngine) settle() {
	e.advance()
	for _, j := range append([]*job(nil), e.streams...) {
		switch {
		case j.nextAt() > e.steps:
		case j.endAt <= e.steps:
			e.remove(j)
			j.request.generated = j.request.output
			j.done(finished)
		case e.free > 0:
			e.take(j, 1)
		default:
			e.stop(j, preempted)
		}
	}
	e.admit()
	e.schedule()
}

// stop takes a stream out of the batch before its end.
func (e *decodeEngine) stop(j *job, how ending) {
	e.remove(j)
	j.request.generated += identifier.Tokens(e.steps - j.startAt)
	e.waste(j, how)
}

func (e *decodeEngine) remove(j *job) {
	for i, stream := range e.streams {
		if stream == j {
			e.streams = append(e.streams[:i], e.streams[i+1:]...)
			break
		}
	}
	e.leave(j)
}

func (e *decodeEngine) leave(j *job) {
	e.take(j, -j.pieces)
}

// admit claims memory for waiting KV caches, urgent ones first.
func (e *decodeEngine) admit() {
	for _, rank := range identifier.Ranks {
		for _, j := range append([]*job(nil), e.offers...) {
			if j.request.rank == rank && !j.claimed && e.claim(j) {
				e.withdraw(j)
			}
		}
	}
}

// cancel drops a job wherever it is.
func (e *decodeEngine) cancel(j *job) {
	j.cancelled = true
	for _, stream := range e.streams {
		if stream == j {
			e.advance()
			e.stop(j, stopped)
			e.admit()
			e.schedule()
			return
		}
	}
	for _, offer := range e.offers {
		if offer == j {
			e.withdraw(j)
			e.waste(j, stopped)
			return
		}
	}
}

// holding lists what the engine tells about its memory.
func (e *decodeEngine) holding() []placer.Holding {
	list := make([]placer.Holding, 0, len(e.jobs))
	for j := range e.jobs {
		list = append(list, placer.Holding{Request: requestID(j.request), Stream: j.attempt, Pieces: j.pieces})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Request < list[j].Request })
	return list
}
