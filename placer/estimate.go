package placer

import (
	"github.com/DataDog/sketches-go/ddsketch"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// sketchAccuracy is the relative error of the quantiles.
	sketchAccuracy = 0.02
	// sketchLifetime is how many outputs a sketch takes before a new one replaces it, so
	// that old traffic is forgotten.
	sketchLifetime = 2000
	// sketchReadInterval is how many outputs pass between two readings of the sketch.
	sketchReadInterval = 32
	// defaultOutput is the output length before any output has finished.
	defaultOutput identifier.Tokens = 500
	// maxRoutes limits the routes with an estimator of their own.
	maxRoutes = 256
)

// estimator estimates the output length of a route from finished outputs.
type estimator struct {
	sketch      *ddsketch.DDSketch
	sketchCount int
	outputSum   float64
	// outputLogs averages the logarithms of output lengths, hintErrorLogs the logarithms
	// of output divided by hint. UseForecast needs both.
	outputLogs    logAverage
	hintErrorLogs logAverage
	// quantileOutput is the output length at OutputQuantile, last read from the sketch.
	quantileOutput identifier.Tokens
	meanOutput     identifier.Tokens
}

func newEstimator() *estimator {
	return &estimator{quantileOutput: defaultOutput, meanOutput: defaultOutput}
}

func (e *estimator) addToSketch(output identifier.Tokens, quantile float64) {
	if e.sketch == nil || e.sketchCount >= sketchLifetime {
		sketch, err := ddsketch.NewDefaultDDSketch(sketchAccuracy)
		if err != nil {
			return
		}
		e.sketch, e.sketchCount, e.outputSum = sketch, 0, 0
	}
	if err := e.sketch.Add(float64(output)); err != nil {
		return
	}
	e.sketchCount++
	e.outputSum += float64(output)
	if e.sketchCount%sketchReadInterval != 0 {
		return
	}
	if upper, err := e.sketch.GetValueAtQuantile(quantile); err == nil {
		e.quantileOutput = identifier.Tokens(upper)
		e.meanOutput = identifier.Tokens(e.outputSum / float64(e.sketchCount))
	}
}

// estimatorOf returns the estimator of a demand's route. Routes beyond maxRoutes share
// the estimator of the empty route.
func (p *Placer) estimatorOf(d *Demand) *estimator {
	if existing, ok := p.estimators[d.Route]; ok {
		return existing
	}
	if len(p.estimators) >= maxRoutes {
		return p.estimators[""]
	}
	created := newEstimator()
	p.estimators[d.Route] = created
	return created
}

// piecesToReserve returns the decode memory to reserve for a demand.
func (p *Placer) piecesToReserve(d *Demand) identifier.Pieces {
	output := p.estimatorOf(d).quantileOutput
	if d.MaxOutput > 0 {
		output = min(output, d.MaxOutput)
	}
	return p.piecesFor(d.Prompt + output)
}

func (p *Placer) piecesFor(tokens identifier.Tokens) identifier.Pieces {
	pieceTokens := p.settings.PieceTokens
	return identifier.Pieces(max(1, (tokens+pieceTokens-1)/pieceTokens))
}
