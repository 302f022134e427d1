package measurer

import (
	"fmt"
	"io"
	"sort"
)

// Strategy is a named way to place requests.
type Strategy struct {
	// Name is shown in the report.
	Name        string
	newStrategy func(*run) strategy
}

// Baselines are what the dispatcher is compared with.
var Baselines = []Strategy{
	{"least-loaded", func(r *run) strategy { return newLocalStrategy(r, leastLoaded) }},
	{"power-of-two", func(r *run) strategy { return newLocalStrategy(r, powerOfTwo) }},
	{"static-slices", func(r *run) strategy { return newLocalStrategy(r, staticSlices) }},
}

// DispatcherStrategy is the dispatcher in a variant.
func DispatcherStrategy(variant Variant) Strategy {
	return Strategy{variant.Name, func(r *run) strategy { return newOwnerStrategy(r, variant) }}
}

// Measure runs one strategy once for each seed.
func Measure(setting *Setting, scenario Scenario, strategy Strategy, seeds int) []Result {
	results := make([]Result, seeds)
	ends := make(chan struct{})
	for i := range results {
		go func() {
			r := newRun(setting, scenario, uint64(i+1))
			r.strategy = strategy.newStrategy(r)
			r.execute()
			results[i] = r.computeResult()
			ends <- struct{}{}
		}()
	}
	for range results {
		<-ends
	}
	return results
}

// Report runs all settings, scenarios and strategies and writes the tables,
// and at the end the goodput ratio: the dispatcher's goodput over that of the
// best baseline with the same seed, the median over the loads from 0.95 up.
func Report(output io.Writer, seeds int) {
	dispatcher := DispatcherStrategy(Variant{Name: "dispatcher"})
	var ratios []float64
	for i := range Settings {
		setting := &Settings[i]
		_, _ = fmt.Fprintf(output, "\n%s: %d prefill and %d decode engines, %d nodes, capacity %.1f requests/s\n",
			setting.Name, setting.prefillEngines, setting.decodeEngines, setting.nodes, setting.capacity())
		for _, scenario := range Scenarios {
			writeHeader(output, scenario.Name)
			var best []float64
			for _, baseline := range Baselines {
				results := Measure(setting, scenario, baseline, seeds)
				writeRow(output, baseline.Name, results)
				best = maxPerSeed(best, results)
			}
			results := Measure(setting, scenario, dispatcher, seeds)
			writeRow(output, dispatcher.Name, results)
			over := goodputOverBest(results, best)
			_, _ = fmt.Fprintf(output, "goodput over the best baseline %s\n", spreadOf(over, goodput))
			if scenario.load >= minRatioLoad && scenario.prefillEngines == 0 {
				for _, ratio := range over {
					ratios = append(ratios, ratio.Goodput)
				}
			}
		}
	}
	sort.Float64s(ratios)
	_, _ = fmt.Fprintf(output, "\ngoodput ratio %.2f\n", ratios[len(ratios)/2])
}

// minRatioLoad is the load from which scenarios with all engines count for the
// goodput ratio.
const minRatioLoad = 0.95

func goodput(r Result) float64 { return r.Goodput }

// goodputOverBest divides the goodput of each seed by the best baseline's. Seeds in
// which every baseline collapsed are left out.
func goodputOverBest(results []Result, best []float64) []Result {
	var ratios []Result
	for seed, result := range results {
		if best[seed] >= minBaselineGoodput {
			ratios = append(ratios, Result{Goodput: result.Goodput / best[seed]})
		}
	}
	return ratios
}

// minBaselineGoodput is the goodput a second below which a baseline serves nothing to
// speak of.
const minBaselineGoodput = 0.5

// maxPerSeed keeps the best goodput of each seed.
func maxPerSeed(best []float64, results []Result) []float64 {
	if best == nil {
		best = make([]float64, len(results))
	}
	for seed, result := range results {
		best[seed] = max(best[seed], result.Goodput)
	}
	return best
}
