package placer

import (
	"math"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// unknownStep is the time between two tokens of an engine that reports none.
const unknownStep = 45 * time.Millisecond

// promised is the memory that is expected, less PromiseMargin standard
// deviations, to come free on an engine while a prefill runs and its result is kept.
func (p *Placer) promised(e *engine, ready time.Duration) identifier.Pieces {
	if !p.settings.has(Prediction) || len(e.held) == 0 {
		return 0
	}
	step := e.load.Step
	if step <= 0 {
		step = unknownStep
	}
	stay := time.Duration(p.estimators[""].mean) * step
	if stay <= 0 {
		return 0
	}
	part := min(1, float64(ready+promiseKept)/float64(stay))
	ending := float64(len(e.held)) * part
	average := float64(e.used) / float64(len(e.held))
	sure := ending - p.settings.PromiseMargin*math.Sqrt(ending)
	return identifier.Pieces(max(0, sure*average))
}

// promiseKept is how long a prefill engine is sure to keep an unclaimed KV cache.
const promiseKept = 400 * time.Millisecond
