package placer

import (
	"github.com/DataDog/sketches-go/ddsketch"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// sketchAccuracy is the relative error of estimated output lengths.
	sketchAccuracy = 0.02
	// sketchRotation is how many outputs a sketch takes before it is replaced,
	// so that old traffic is forgotten.
	sketchRotation = 2000
	// sketchRefresh is how many outputs pass between two readings of the sketch.
	sketchRefresh = 32
	// unknownOutput is the length assumed before any output has finished.
	unknownOutput identifier.Tokens = 500
	// routesLimit bounds the routes that are told apart.
	routesLimit = 256
)

// estimator tells how long the outputs of a route are from finished ones.
type estimator struct {
	sketch *ddsketch.DDSketch
	count  int
	total  float64
	// outputs and hints average logarithms, for Foresight.
	outputs logs
	hints   logs
	// upper is the configured quantile and mean the average, as last read.
	upper identifier.Tokens
	mean  identifier.Tokens
}

func newEstimator() *estimator {
	return &estimator{upper: unknownOutput, mean: unknownOutput}
}

// add counts one finished output.
func (e *estimator) add(output identifier.Tokens, quantile float64) {
	if e.sketch == nil || e.count >= sketchRotation {
		sketch, err := ddsketch.NewDefaultDDSketch(sketchAccuracy)
		if err != nil {
			return
		}
		e.sketch, e.count, e.total = sketch, 0, 0
	}
	if err := e.sketch.Add(float64(output)); err != nil {
		return
	}
	e.count++
	e.total += float64(output)
	if e.count%sketchRefresh != 0 {
		return
	}
	if upper, err := e.sketch.GetValueAtQuantile(quantile); err == nil {
		e.upper = identifier.Tokens(upper)
		e.mean = identifier.Tokens(e.total / float64(e.count))
	}
}

// outputs returns the estimator of a demand's route.
func (p *Placer) outputs(d *Demand) *estimator {
	if known, ok := p.estimators[d.Route]; ok {
		return known
	}
	if len(p.estimators) >= routesLimit {
		return p.estimators[""]
	}
	fresh := newEstimator()
	p.estimators[d.Route] = fresh
	return fresh
}

// pieces is the decode memory to reserve for a demand.
func (p *Placer) pieces(d *Demand) identifier.Pieces {
	output := p.outputs(d).upper
	if d.Limit > 0 {
		output = min(output, d.Limit)
	}
	return p.piecesFor(d.Prompt + output)
}

func (p *Placer) piecesFor(tokens identifier.Tokens) identifier.Pieces {
	per := p.settings.PieceTokens
	return identifier.Pieces(max(1, (tokens+per-1)/per))
}
