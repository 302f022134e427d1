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

// forecastOffsets are the moments ahead at which an engine's memory is foreseen. The first
// is about when a prompt's KV cache arrives, the last when most of what runs now
// has ended.
var forecastOffsets = [...]time.Duration{
	100 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	1400 * time.Millisecond, 2200 * time.Millisecond, 3200 * time.Millisecond,
}

const (
	// maxRetryPeakUse is the part of an engine up to which callers that came back
	// late are let in; the rest is for those who can still be on time.
	maxRetryPeakUse = 0.9
	// defaultTokenTime is the time for a token before any was measured.
	defaultTokenTime = 700 * time.Microsecond
	// tokenTimeWeight is the weight of one measurement in a learned average.
	tokenTimeWeight = 0.1
	// minSpread keeps the logarithmic spread of outputs from vanishing.
	minSpread = 0.15
)

// forecastPoint is an engine's foreseen use at one forecastPoint of the horizon.
type forecastPoint struct {
	// mean and variance are of the memory in tokens, running of the requests.
	mean, variance, running float64
}

// forecast is an engine's foreseen use; at is when it was made.
type forecast struct {
	at     time.Time
	points [len(forecastOffsets)]forecastPoint
}

// outputDistribution is what is known of an output's outputDistribution: its logarithm has a normal
// distribution, cut off at the limit.
type outputDistribution struct {
	logMean, logSpread float64
	limit              float64
}

// survival is the probability that an output is longer than some tokens.
func (l outputDistribution) survival(tokens float64) float64 {
	if l.limit > 0 && tokens >= l.limit {
		return 0
	}
	if tokens < 1 {
		return 1
	}
	return math.Erfc((math.Log(tokens)-l.logMean)/l.logSpread/math.Sqrt2) / 2
}

// conditionalSurvival is the probability that an output which has some tokens gets others.
func (l outputDistribution) conditionalSurvival(generated, longer float64) float64 {
	reachProbability := l.survival(generated)
	if reachProbability < 1e-6 {
		return 0
	}
	return min(1, l.survival(longer)/reachProbability)
}

// generatedTokens is how many tokens a grant's stream has made, from the last word of
// its node and the time since.
func (p *Placer) generatedTokens(now time.Time, g *grant) float64 {
	tokenTime := p.tokenTimeOf(g.decode).Seconds()
	if !g.Decoding {
		return max(0, now.Sub(g.plannedStart).Seconds()/tokenTime)
	}
	return float64(g.Output) + max(0, now.Sub(g.progressAt).Seconds())/tokenTime
}

// addRequest puts one request's use into the forecast: its prompt, and its output, of
// which it has some tokens once it starts.
func (f *forecast) addRequest(prompt float64, output outputDistribution, generated float64, startsIn time.Duration, tokenTime time.Duration) {
	for i := range f.points {
		ahead := forecastOffsets[i] - max(0, startsIn)
		tokens := generated + max(0, ahead.Seconds()/tokenTime.Seconds())
		running := output.conditionalSurvival(generated, tokens)
		memory := prompt + tokens
		m := &f.points[i]
		m.mean += running * memory
		m.variance += running * (1 - running) * memory * memory
		m.running += running
	}
}

// forecastOf returns the engine's forecast of now, made at most once for a moment.
func (p *Placer) forecastOf(now time.Time, e *engine) *forecast {
	if e.forecast.at.Equal(now) {
		return &e.forecast
	}
	e.forecast = forecast{at: now}
	for _, g := range e.grants {
		p.addGrantTo(now, &e.forecast, g)
	}
	return &e.forecast
}

func (p *Placer) addGrantTo(now time.Time, f *forecast, g *grant) {
	generated := p.generatedTokens(now, g)
	startsIn := time.Duration(0)
	if !g.Decoding {
		startsIn = g.plannedStart.Sub(now)
	}
	f.addRequest(float64(g.Demand.Prompt), p.outputDistributionOf(&g.Demand), generated, startsIn, p.tokenTimeOf(g.decode))
}

// peakUse returns the largest part of an engine's memory or slots that would be in
// use if a demand came to it.
func (p *Placer) peakUse(now time.Time, w *waitingDemand, e *engine, ready time.Time) float64 {
	withDemand := *p.forecastOf(now, e)
	withDemand.addRequest(float64(w.demand.Prompt), p.outputDistributionOf(&w.demand), 0, ready.Sub(now), p.tokenTimeOf(e))
	memory := float64(e.Pieces) * float64(p.settings.PieceTokens)
	peak := 0.0
	for _, m := range withDemand.points {
		peak = max(peak, (m.mean+p.settings.Caution*math.Sqrt(m.variance))/memory)
	}
	if e.Slots > 0 {
		peak = max(peak, withDemand.points[0].running/(float64(e.Slots)+p.settings.SlotSlack))
	}
	return peak
}

// outputDistributionOf is what is known of a demand's output.
func (p *Placer) outputDistributionOf(d *Demand) outputDistribution {
	return p.estimatorOf(d).distribution(d.Hint, d.Limit)
}

// decodeByForecast returns the decode engine whose use would peak lowest, if it fits.
func (p *Placer) decodeByForecast(now time.Time, w *waitingDemand, plan prefillPlan) *engine {
	var best *engine
	lowestPeak := math.Inf(1)
	for _, e := range p.decodes {
		if !e.accepts(now, &w.demand) {
			continue
		}
		peak := p.peakUse(now, w, e, plan.ready)
		e.lastPeakUse = peak
		if peak > 1 || w.isRetry && peak > maxRetryPeakUse {
			continue
		}
		if e.DataCentre != plan.engine.DataCentre {
			peak += sameDataCentreBonus
		}
		if peak < lowestPeak {
			best, lowestPeak = e, peak
		}
	}
	return best
}

// learnTokenTime learns the time for a token from how far a stream came in some time.
func (p *Placer) learnTokenTime(g *grant, tokens identifier.Tokens, took time.Duration) {
	const minTokens = 200
	if tokens < minTokens || took <= 0 {
		return
	}
	measured := took / time.Duration(tokens)
	moveTowards(&p.averageTokenTime, measured)
	moveTowards(&g.decode.tokenTime, measured)
}

// moveTowards moves a learned time towards a measured one.
func moveTowards(learned *time.Duration, measured time.Duration) {
	if *learned == 0 {
		*learned = measured
		return
	}
	*learned += time.Duration(float64(measured-*learned) * tokenTimeWeight)
}

// tokenTimeOf is an engine's own time for a token, or the average of all.
func (p *Placer) tokenTimeOf(e *engine) time.Duration {
	if e.tokenTime > 0 {
		return e.tokenTime
	}
	return p.averageTokenTime
}

// logAverage averages the logarithms of outputs, and of what they are to their hints.
type logAverage struct {
	values, squares movingAverage
}

func (l *logAverage) add(value float64) {
	l.values.add(value)
	l.squares.add(value * value)
}

// variance is that of what was added, the assumed one until there is enough.
func (l *logAverage) variance(assumed float64) float64 {
	const minSamples = 16
	if l.values.samples < minSamples {
		return assumed
	}
	return max(l.squares.average-l.values.average*l.values.average, minSpread*minSpread)
}

// assumedVariance is that of outputs and of hints before enough were seen.
const assumedVariance = 0.5

// addToDistribution counts one finished output.
func (e *estimator) addToDistribution(output, hint identifier.Tokens) {
	if output <= 0 {
		return
	}
	value := math.Log(float64(output))
	e.outputLogs.add(value)
	if hint > 0 {
		e.hintErrorLogs.add(value - math.Log(float64(hint)))
	}
}

// distribution joins what is known of the route's outputs with the caller's hint, each
// by how exact it has been.
func (e *estimator) distribution(hint, limit identifier.Tokens) outputDistribution {
	mean, variance := math.Log(float64(defaultOutput)), assumedVariance
	if e.outputLogs.values.samples > 0 {
		mean, variance = e.outputLogs.values.average, e.outputLogs.variance(assumedVariance)
	}
	if hint > 0 {
		hintMean, hintVariance := math.Log(float64(hint))+e.hintErrorLogs.values.average, e.hintErrorLogs.variance(assumedVariance)
		if e.outputLogs.values.samples == 0 {
			mean, variance = hintMean, hintVariance
		} else {
			mean = (mean*hintVariance + hintMean*variance) / (variance + hintVariance)
			variance = variance * hintVariance / (variance + hintVariance)
		}
	}
	return outputDistribution{logMean: mean, logSpread: math.Sqrt(variance), limit: float64(limit)}
}
