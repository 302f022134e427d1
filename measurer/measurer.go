package measurer

import (
	"fmt"
	"io"
	"sort"
)

// Strategy is a named placement policy.
type Strategy struct {
	// Name is shown in the report.
	Name        string
	newStrategy func(*run) strategy
}

// Baselines are the uncoordinated strategies that the dispatcher is compared with.
var Baselines = []Strategy{
	{"least-loaded", func(r *run) strategy { return newLocalStrategy(r, leastLoaded) }},
	{"power-of-two", func(r *run) strategy { return newLocalStrategy(r, powerOfTwo) }},
	{"static-slices", func(r *run) strategy { return newLocalStrategy(r, staticSlices) }},
}

// DispatcherStrategy returns a strategy that runs a variant of the dispatcher.
func DispatcherStrategy(variant Variant) Strategy {
	return Strategy{variant.Name, func(r *run) strategy { return newOwnerStrategy(r, variant) }}
}

// Measure runs a strategy once for each seed, in parallel, and returns the results.
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

// Report runs all strategies in all settings and scenarios, and writes a table for
// each scenario. The last line is the goodput ratio: the dispatcher's goodput
// divided by the best baseline's for the same seed, as the median over scenarios
// with a load of at least 0.95 and all prefill engines.
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
			goodputRatios := goodputOverBest(results, best)
			_, _ = fmt.Fprintf(output, "goodput over the best baseline %s\n", spreadOf(goodputRatios, goodput))
			if scenario.load >= minRatioLoad && scenario.prefillEngines == 0 {
				for _, ratio := range goodputRatios {
					ratios = append(ratios, ratio.Goodput)
				}
			}
		}
	}
	sort.Float64s(ratios)
	_, _ = fmt.Fprintf(output, "\ngoodput ratio %.2f\n", ratios[len(ratios)/2])
}

// minRatioLoad is the lowest load of a scenario that counts for the goodput ratio.
const minRatioLoad = 0.95

func goodput(r Result) float64 { return r.Goodput }

// goodputOverBest returns the goodput of each seed divided by the best baseline's.
// It leaves out seeds in which all baselines are below minBaselineGoodput.
func goodputOverBest(results []Result, best []float64) []Result {
	var ratios []Result
	for seed, result := range results {
		if best[seed] >= minBaselineGoodput {
			ratios = append(ratios, Result{Goodput: result.Goodput / best[seed]})
		}
	}
	return ratios
}

// minBaselineGoodput, in requests a second, is the goodput below which a baseline
// has collapsed and a ratio to it means nothing.
const minBaselineGoodput = 0.5

// maxPerSeed returns the higher of best and the result's goodput for each seed.
func maxPerSeed(best []float64, results []Result) []float64 {
	if best == nil {
		best = make([]float64, len(results))
	}
	for seed, result := range results {
		best[seed] = max(best[seed], result.Goodput)
	}
	return best
}
