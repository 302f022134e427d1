package measurer

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Result holds the metrics of one run. Shares are from 0 to 1.
type Result struct {
	// Goodput is the requests a second answered within both targets.
	Goodput float64
	// Good is the share of each rank's arrivals answered within both targets;
	// Answered is the share answered at all.
	Good     [len(identifier.Ranks)]float64
	Answered [len(identifier.Ranks)]float64
	// GoodShort and GoodLong are the shares within both targets by prompt length.
	GoodShort float64
	GoodLong  float64
	// OthersGood is the share of lesser arrivals answered within both targets,
	// without those of the flooding account of a one-account flood.
	OthersGood float64
	// Wasted is the share of prefill work whose result was not used.
	Wasted float64
	// LesserKept is the share of decode memory that lesser work held while
	// the flood lasted.
	LesserKept float64
	// Idle is the share of decode memory that was free while requests waited.
	Idle float64
	// DecisionP99 is the 99th percentile of the wait for a placement or refusal.
	DecisionP99 time.Duration
}

// longPrompt is the minimum length of a long prompt.
const longPrompt identifier.Tokens = 4000

// share is a fraction whose part and whole are counted.
type share struct{ part, whole float64 }

func (s *share) count(in bool) {
	s.whole++
	if in {
		s.part++
	}
}

func (s *share) value() float64 {
	if s.whole == 0 {
		return 0
	}
	return s.part / s.whole
}

// computeResult returns the metrics of a finished run without its warm-up.
func (r *run) computeResult() Result {
	var good, answers [len(identifier.Ranks)]share
	var short, long, othersGood share
	total := 0.0
	for _, q := range r.requests {
		if q.arrivedAt < warmUp || q.arrivedAt > runLength {
			continue
		}
		good[q.rank].count(q.metTargets())
		answers[q.rank].count(q.state == answered)
		if q.rank == identifier.Lesser && q.account != accounts {
			othersGood.count(q.metTargets())
		}
		if q.prompt >= longPrompt {
			long.count(q.metTargets())
		} else {
			short.count(q.metTargets())
		}
		if q.metTargets() {
			total++
		}
	}
	result := Result{
		Goodput:    total / (runLength - warmUp).Seconds(),
		GoodShort:  short.value(),
		GoodLong:   long.value(),
		OthersGood: othersGood.value(),
		Wasted:     r.counts.wastedTokens / max(1, r.counts.prefilledTokens),
		LesserKept: r.memory.lesserInFlood / float64(r.capacity) / (floodEnd - floodStart).Seconds(),
		Idle:       r.memory.idleWhileWaiting / max(1, r.memory.totalWhileWaiting),
	}
	for _, rank := range identifier.Ranks {
		result.Good[rank] = good[rank].value()
		result.Answered[rank] = answers[rank].value()
	}
	slices.Sort(r.decisionTimes)
	if len(r.decisionTimes) > 0 {
		result.DecisionP99 = r.decisionTimes[len(r.decisionTimes)*99/100]
	}
	return result
}

// spread is the median, minimum and maximum of a metric over the seeds.
type spread struct {
	seeds               int
	median, least, most float64
}

func spreadOf(results []Result, value func(Result) float64) spread {
	values := make([]float64, 0, len(results))
	for _, result := range results {
		values = append(values, value(result))
	}
	if len(values) == 0 {
		return spread{}
	}
	sort.Float64s(values)
	return spread{len(values), values[len(values)/2], values[0], values[len(values)-1]}
}

func (s spread) String() string {
	if s.seeds == 0 {
		return "    -"
	}
	return fmt.Sprintf("%5.3f [%4.3f-%4.3f]", s.median, s.least, s.most)
}

// column is one metric of the table.
type column struct {
	name  string
	value func(Result) float64
}

var columns = []column{
	{"goodput/s", goodput},
	{"urgent-good", func(r Result) float64 { return r.Good[identifier.Urgent] }},
	{"lesser-good", func(r Result) float64 { return r.Good[identifier.Lesser] }},
	{"others-good", func(r Result) float64 { return r.OthersGood }},
	{"short-good", func(r Result) float64 { return r.GoodShort }},
	{"long-good", func(r Result) float64 { return r.GoodLong }},
	{"wasted", func(r Result) float64 { return r.Wasted }},
	{"lesser-kept", func(r Result) float64 { return r.LesserKept }},
	{"idle", func(r Result) float64 { return r.Idle }},
	{"decide-p99-s", func(r Result) float64 { return r.DecisionP99.Seconds() }},
}

// writeHeader writes the names of the columns.
func writeHeader(output io.Writer, first string) {
	_, _ = fmt.Fprintf(output, "%-32s", first)
	for _, c := range columns {
		_, _ = fmt.Fprintf(output, " %20s", c.name)
	}
	_, _ = fmt.Fprintln(output)
}

// writeRow writes the metrics of one strategy over its seeds.
func writeRow(output io.Writer, name string, results []Result) {
	_, _ = fmt.Fprintf(output, "%-32s", name)
	for _, c := range columns {
		_, _ = fmt.Fprintf(output, " %20s", spreadOf(results, c.value))
	}
	_, _ = fmt.Fprintln(output)
}
