package placer

import (
	"math"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Foresight grants memory by how much an engine's requests will occupy, instead
// of by reserving the whole of each from its start. A request holds its prompt
// and what it has generated, and all of it is free once it ends: at any moment
// the requests of an engine are at different points between the two, so that more
// of them fit than by their largest sizes. Their ends are uncertain, and so the
// sum has a mean and a spread at each moment ahead; a request is let in when the
// mean and a few spreads of it fit at all of them.

// horizon are the moments ahead at which an engine's memory is foreseen. The first
// is about when a prompt's KV cache arrives, the last when most of what runs now
// has ended.
var horizon = [...]time.Duration{
	100 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	1400 * time.Millisecond, 2200 * time.Millisecond, 3200 * time.Millisecond,
}

const (
	// returnedRoom is the part of an engine up to which callers that came back
	// late are let in; the rest is for those who can still be on time.
	returnedRoom = 0.9
	// defaultTokenTime is the time for a token before any was measured.
	defaultTokenTime = 700 * time.Microsecond
	// learnWeight is the weight of one measurement in a learned average.
	learnWeight = 0.1
	// leastSpread keeps the logarithmic spread of outputs from vanishing.
	leastSpread = 0.15
)

// moment is an engine's foreseen use at one moment of the horizon.
type moment struct {
	// mean and variance are of the memory in tokens, running of the requests.
	mean, variance, running float64
}

// forecast is an engine's foreseen use; at is when it was made.
type forecast struct {
	at      time.Time
	moments [len(horizon)]moment
}

// length is what is known of an output's length: its logarithm has a normal
// distribution, cut off at the limit.
type length struct {
	mean, spread float64
	limit        float64
}

// survival is the probability that an output is longer than some tokens.
func (l length) survival(tokens float64) float64 {
	if l.limit > 0 && tokens >= l.limit {
		return 0
	}
	if tokens < 1 {
		return 1
	}
	return math.Erfc((math.Log(tokens)-l.mean)/l.spread/math.Sqrt2) / 2
}

// after is the probability that an output which has some tokens gets others.
func (l length) after(have, more float64) float64 {
	reached := l.survival(have)
	if reached < 1e-6 {
		return 0
	}
	return min(1, l.survival(more)/reached)
}

// generated is how many tokens a grant's stream has made, from the last word of
// its node and the time since.
func (p *Placer) generated(now time.Time, g *grant) float64 {
	each := p.tokenTimeOf(g.decode).Seconds()
	if !g.Decoding {
		return max(0, now.Sub(g.ready).Seconds()/each)
	}
	return float64(g.Output) + max(0, now.Sub(g.told).Seconds())/each
}

// add puts one request's use into the forecast: its prompt, and its output, of
// which it has some tokens once it starts.
func (f *forecast) add(prompt float64, l length, have float64, starts time.Duration, tokenTime time.Duration) {
	for i := range f.moments {
		ahead := horizon[i] - max(0, starts)
		tokens := have + max(0, ahead.Seconds()/tokenTime.Seconds())
		stays := l.after(have, tokens)
		memory := prompt + tokens
		m := &f.moments[i]
		m.mean += stays * memory
		m.variance += stays * (1 - stays) * memory * memory
		m.running += stays
	}
}

// foresee returns the engine's forecast of now, made at most once for a moment.
func (p *Placer) foresee(now time.Time, e *engine) *forecast {
	if e.forecast.at.Equal(now) {
		return &e.forecast
	}
	e.forecast = forecast{at: now}
	for _, g := range e.held {
		p.addGrant(now, &e.forecast, g)
	}
	return &e.forecast
}

func (p *Placer) addGrant(now time.Time, f *forecast, g *grant) {
	have := p.generated(now, g)
	starts := time.Duration(0)
	if !g.Decoding {
		starts = g.ready.Sub(now)
	}
	f.add(float64(g.Demand.Prompt), p.lengthOf(&g.Demand), have, starts, p.tokenTimeOf(g.decode))
}

// peak returns the largest part of an engine's memory or slots that would be in
// use if a demand came to it.
func (p *Placer) peak(now time.Time, w *waiting, e *engine, ready time.Time) float64 {
	with := *p.foresee(now, e)
	with.add(float64(w.demand.Prompt), p.lengthOf(&w.demand), 0, ready.Sub(now), p.tokenTimeOf(e))
	memory := float64(e.Pieces) * float64(p.settings.PieceTokens)
	highest := 0.0
	for _, m := range with.moments {
		highest = max(highest, (m.mean+p.settings.Caution*math.Sqrt(m.variance))/memory)
	}
	if e.Slots > 0 {
		highest = max(highest, with.moments[0].running/(float64(e.Slots)+p.settings.SlotSlack))
	}
	return highest
}

// lengthOf is what is known of a demand's output.
func (p *Placer) lengthOf(d *Demand) length {
	return p.outputs(d).length(d.Hint, d.Limit)
}

// foreseeDecode returns the decode engine whose use would peak lowest, if it fits.
func (p *Placer) foreseeDecode(now time.Time, w *waiting, start run) *engine {
	var best *engine
	lowest := math.Inf(1)
	for _, e := range p.decodes {
		if !e.takes(now, &w.demand) {
			continue
		}
		use := p.peak(now, w, e, start.ready)
		e.lastPeak = use
		if use > 1 || w.returned && use > returnedRoom {
			continue
		}
		if e.DataCentre != start.engine.DataCentre {
			use += sameDataCentreBonus
		}
		if use < lowest {
			best, lowest = e, use
		}
	}
	return best
}

// noteOutput learns the time for a token from how far a stream came in some time.
func (p *Placer) noteOutput(g *grant, tokens identifier.Tokens, took time.Duration) {
	const fewest = 200
	if tokens < fewest || took <= 0 {
		return
	}
	measured := took / time.Duration(tokens)
	average(&p.tokenTime, measured)
	average(&g.decode.tokenTime, measured)
}

// average moves a learned time towards a measured one.
func average(learned *time.Duration, measured time.Duration) {
	if *learned == 0 {
		*learned = measured
		return
	}
	*learned += time.Duration(float64(measured-*learned) * learnWeight)
}

// tokenTimeOf is an engine's own time for a token, or the average of all.
func (p *Placer) tokenTimeOf(e *engine) time.Duration {
	if e.tokenTime > 0 {
		return e.tokenTime
	}
	return p.tokenTime
}

// logs averages the logarithms of outputs, and of what they are to their hints.
type logs struct {
	values, squares mean
}

func (l *logs) add(value float64) {
	l.values.add(value)
	l.squares.add(value * value)
}

// variance is that of what was added, the assumed one until there is enough.
func (l *logs) variance(assumed float64) float64 {
	const enough = 16
	if l.values.weight < enough {
		return assumed
	}
	return max(l.squares.value-l.values.value*l.values.value, leastSpread*leastSpread)
}

// assumedVariance is that of outputs and of hints before enough were seen.
const assumedVariance = 0.5

// learn counts one finished output.
func (e *estimator) learn(output, hint identifier.Tokens) {
	if output <= 0 {
		return
	}
	value := math.Log(float64(output))
	e.outputs.add(value)
	if hint > 0 {
		e.hints.add(value - math.Log(float64(hint)))
	}
}

// length joins what is known of the route's outputs with the caller's hint, each
// by how exact it has been.
func (e *estimator) length(hint, limit identifier.Tokens) length {
	mean, variance := math.Log(float64(unknownOutput)), assumedVariance
	if e.outputs.values.weight > 0 {
		mean, variance = e.outputs.values.value, e.outputs.variance(assumedVariance)
	}
	if hint > 0 {
		told, exact := math.Log(float64(hint))+e.hints.values.value, e.hints.variance(assumedVariance)
		if e.outputs.values.weight == 0 {
			mean, variance = told, exact
		} else {
			mean = (mean*exact + told*variance) / (variance + exact)
			variance = variance * exact / (variance + exact)
		}
	}
	return length{mean: mean, spread: math.Sqrt(variance), limit: float64(limit)}
}
