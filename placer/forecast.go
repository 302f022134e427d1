package placer

import (
	"math"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// With UseForecast, memory is granted by the forecast use of the engines instead of by
// reserving the largest size of each request from its start. A request holds its prompt
// and what it has generated so far, and frees all of it when it ends. At any moment the
// requests of an engine are at different points in between, so more of them fit than
// their largest sizes suggest. Because it is uncertain when they end, the forecast has a
// mean and a variance at several moments ahead; a request is admitted if the mean plus
// some standard deviations fits at each of them.

// forecastOffsets are the moments ahead for which memory is forecast. The first is about
// when a prompt's KV cache arrives, the last when most running requests have ended.
var forecastOffsets = [...]time.Duration{
	100 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	1400 * time.Millisecond, 2200 * time.Millisecond, 3200 * time.Millisecond,
}

const (
	// maxRetryPeakUse is the highest forecast peak use at which an engine gets a retry;
	// its remaining capacity is for demands that can still be on time.
	maxRetryPeakUse  = 0.9
	defaultTokenTime = 700 * time.Microsecond
	// lateEndPenalty puts those engines last that are not expected to end a request before its
	// caller stops waiting.
	lateEndPenalty = 1
	// tokenTimeWeight is the weight of one measurement in the average token time.
	tokenTimeWeight = 0.1
	// minLogSpread keeps the logarithmic spread of outputs above zero.
	minLogSpread = 0.15
)

// forecastPoint is the forecast use of an engine at one moment.
type forecastPoint struct {
	// mean and variance are of the memory in tokens; running is the mean request count.
	mean, variance, running float64
}

// forecast is an engine's forecast use, computed at the time at; zero means outdated.
type forecast struct {
	at time.Time
	// number orders the forecasts of all engines by the time of their computation.
	number uint64
	points [len(forecastOffsets)]forecastPoint
}

// forecastLifetime is how long a forecast is used while the grants of its engine and their
// progress stay the same.
const forecastLifetime = 50 * time.Millisecond

// outputDistribution is the distribution of an output's length in tokens: log-normal, cut
// off at the limit, where zero means no limit.
type outputDistribution struct {
	logMean, logSpread float64
	limit              float64
}

// survivor tells how likely an output that has some tokens reaches a longer length.
type survivor struct {
	outputDistribution
	// shift, in standard deviations, moves the distribution of an output that is longer than
	// the distribution allows for, which has not ended all the same.
	shift float64
	// reached is the probability that an output has got as long as this one.
	reached float64
}

// maxDeviations is how many standard deviations beyond the mean the distribution still says
// when an output ends.
const maxDeviations = 3

// survivorAt returns the survivor of an output that has the generated tokens.
func (l outputDistribution) survivorAt(generated float64) survivor {
	if generated < 1 {
		return survivor{l, 0, 1}
	}
	deviations := l.deviations(generated)
	shift := max(0, deviations-maxDeviations)
	return survivor{l, shift, normalTail(deviations - shift)}
}

// reaches returns the probability that the output gets at least as long as tokens.
func (s survivor) reaches(tokens float64) float64 {
	if s.limit > 0 && tokens >= s.limit {
		return 0
	}
	if tokens < 1 {
		return 1
	}
	return min(1, normalTail(s.deviations(tokens)-s.shift)/s.reached)
}

// deviations returns how many standard deviations a length is above the mean of the logarithms.
func (l outputDistribution) deviations(tokens float64) float64 {
	return (math.Log(tokens) - l.logMean) / l.logSpread
}

const (
	// tailRange is the number of standard deviations, either way, for which normalTail has a
	// table, and tailSteps the number of its entries for each.
	tailRange = 6
	tailSteps = 64
)

var tailTable = func() (table [2*tailRange*tailSteps + 2]float64) {
	for i := range table {
		table[i] = math.Erfc((float64(i)/tailSteps-tailRange)/math.Sqrt2) / 2
	}
	return table
}()

// normalTail returns the probability that a standard normal variable exceeds x. An owner in a
// burst needs it some hundred thousand times a second.
func normalTail(x float64) float64 {
	at := (x + tailRange) * tailSteps
	switch {
	case at <= 0:
		return 1
	case at >= 2*tailRange*tailSteps:
		return 0
	}
	i := int(at)
	return tailTable[i] + (tailTable[i+1]-tailTable[i])*(at-float64(i))
}

// generatedTokens estimates how many tokens a grant's stream has generated, from the last
// progress that its node reported and the time since.
func (p *Placer) generatedTokens(now time.Time, g *grant) float64 {
	tokenTime := p.tokenTimeOf(g.decode).Seconds()
	if !g.Decoding {
		return max(0, now.Sub(g.plannedStart).Seconds()/tokenTime)
	}
	return float64(g.Output) + max(0, now.Sub(g.progressAt).Seconds())/tokenTime
}

// addRequest adds the use of one request: its prompt, and an output that has the
// generated tokens and continues after startsIn.
func (f *forecast) addRequest(prompt float64, output outputDistribution, generated float64, startsIn time.Duration, tokenTime time.Duration) {
	survivor := output.survivorAt(generated)
	for i := range f.points {
		ahead := forecastOffsets[i] - max(0, startsIn)
		tokens := generated + max(0, float64(ahead)/float64(tokenTime))
		running := survivor.reaches(tokens)
		memory := prompt + tokens
		m := &f.points[i]
		m.mean += running * memory
		m.variance += running * (1 - running) * memory * memory
		m.running += running
	}
}

// forecastOf returns an engine's forecast, which is computed again if it is outdated or older
// than forecastLifetime.
func (p *Placer) forecastOf(now time.Time, e *engine) *forecast {
	if now.Sub(e.forecast.at) < forecastLifetime {
		return &e.forecast
	}
	p.latestForecast++
	e.forecast = forecast{at: now, number: p.latestForecast}
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

// peakUse returns the largest fraction of an engine's memory or slots in use if a
// demand's KV cache arrives at ready. The demand does not fit if the result is above one.
func (p *Placer) peakUse(now time.Time, w *waitingDemand, e *engine, ready time.Time) float64 {
	withDemand := *p.forecastOf(now, e)
	withDemand.addRequest(float64(w.demand.Prompt), p.outputDistributionOf(&w.demand), 0, ready.Sub(now), p.tokenTimeOf(e))
	memory := float64(e.Pieces) * float64(p.settings.PieceTokens)
	peak := 0.0
	for _, m := range withDemand.points {
		peak = max(peak, (m.mean+p.settings.ForecastDeviations*math.Sqrt(m.variance))/memory)
	}
	if e.Slots > 0 {
		peak = max(peak, withDemand.points[0].running/(float64(e.Slots)+p.settings.SlotOvercommit))
	}
	return peak
}

func (p *Placer) outputDistributionOf(d *Demand) outputDistribution {
	return p.estimatorOf(d).distribution(d.OutputHint, d.MaxOutput)
}

// decodeByForecast returns the decode engine with the lowest forecast peak use, with a
// bonus for the prefill engine's data centre, or nil if the demand fits on none. A demand that
// fitted on none is tried again only on engines that have a later forecast.
func (p *Placer) decodeByForecast(now time.Time, w *waitingDemand, plan prefillPlan) *engine {
	var best *engine
	lowestPeak := math.Inf(1)
	for _, e := range p.decodes {
		if !e.accepts(now, &w.demand) || p.forecastOf(now, e).number <= w.triedForecast {
			continue
		}
		peak := p.peakUse(now, w, e, plan.ready)
		e.lastPeakUse = peak
		if peak > 1 || w.isRetry && (peak > maxRetryPeakUse || !p.endsInTime(w, e, plan.ready)) {
			continue
		}
		if e.DataCentre != plan.engine.DataCentre {
			peak += sameDataCentreBonus
		}
		if !p.endsInTime(w, e, plan.ready) {
			peak += lateEndPenalty
		}
		peak -= e.probePreference(now, &w.demand).Seconds()
		if peak < lowestPeak {
			best, lowestPeak = e, peak
		}
	}
	if best == nil {
		w.triedForecast = p.latestForecast
	}
	return best
}

// learnTokenTime updates the average token times from the tokens that a stream generated
// in some time. Short measurements are ignored.
func (p *Placer) learnTokenTime(g *grant, tokens identifier.Tokens, took time.Duration) {
	const minTokens = 200
	if tokens < minTokens || took <= 0 {
		return
	}
	measured := took / time.Duration(tokens)
	moveTowards(&p.averageTokenTime, measured)
	moveTowards(&g.decode.tokenTime, measured)
}

func moveTowards(learned *time.Duration, measured time.Duration) {
	if *learned == 0 {
		*learned = measured
		return
	}
	*learned += time.Duration(float64(measured-*learned) * tokenTimeWeight)
}

// tokenTimeOf returns the average token time of the engine, or of all if it is unknown.
func (p *Placer) tokenTimeOf(e *engine) time.Duration {
	if e.tokenTime > 0 {
		return e.tokenTime
	}
	return p.averageTokenTime
}

type logAverage struct {
	values, squares movingAverage
}

func (l *logAverage) add(value float64) {
	l.values.add(value)
	l.squares.add(value * value)
}

// variance returns the variance of the values, or assumed if there are too few.
func (l *logAverage) variance(assumed float64) float64 {
	const minSamples = 16
	if l.values.samples < minSamples {
		return assumed
	}
	return max(l.squares.average-l.values.average*l.values.average, minLogSpread*minLogSpread)
}

const assumedVariance = 0.5

// addToDistribution counts the length of one finished output, and its ratio to the hint.
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

// distribution combines the route's outputs and the hint, each weighted by its accuracy.
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
