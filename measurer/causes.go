package measurer

import (
	"fmt"
	"io"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// cause says why a request was not answered within its targets.
type cause uint8

const (
	// refusedEarly: refused within earlyRefusalLimit of its arrival.
	refusedEarly cause = iota
	// outOfMemory: refused later, when all decode engines together had too little
	// free memory.
	outOfMemory
	// fragmented: refused later, with enough free memory in total but on no single engine.
	fragmented
	// unplaced: refused later, when a decode engine had enough free memory; the
	// prefill, the link or a reservation prevented the placement.
	unplaced
	// lateFirst: answered, but the first token missed its target.
	lateFirst
	// lateBetween: answered, but the time between tokens missed its target.
	lateBetween
	// lost: not answered, because its node died or its stream ended.
	lost
	causeCount
)

var causeNames = [causeCount]string{
	"refused-early", "out-of-memory", "fragmented", "unplaced", "late-first", "late-between", "lost",
}

// earlyRefusalLimit is the age below which a refused request counts as refused early.
const earlyRefusalLimit = 50 * time.Millisecond

// refusalCause returns why a request is refused, from the engines' present state.
func (r *run) refusalCause(q *request) cause {
	if r.now-q.arrivedAt < earlyRefusalLimit {
		return refusedEarly
	}
	need := piecesFor(q.prompt + q.generated + 1)
	var total identifier.Pieces
	for _, e := range r.decodes {
		if e.free >= need {
			return unplaced
		}
		total += e.free
	}
	if total >= need {
		return fragmented
	}
	return outOfMemory
}

// missCause returns why a request was not answered within its targets.
func (r *request) missCause() cause {
	switch {
	case r.state == notRun:
		return r.cause
	case r.state != answered:
		return lost
	case r.firstTokenAt > r.deadline():
		return lateFirst
	default:
		return lateBetween
	}
}

// group counts the requests of one rank with short or with long prompts.
type group struct {
	arrivals float64
	missed   [causeCount]float64
}

// Causes writes the share of arrivals that the dispatcher doesn't answer within
// their targets, by rank, prompt length and cause.
func Causes(output io.Writer, scenarios []string, seeds int) {
	for i := range Settings {
		for _, scenario := range Scenarios {
			if !selected(scenario.Name, scenarios) {
				continue
			}
			_, _ = fmt.Fprintf(output, "\n%s %s\n", Settings[i].Name, scenario.Name)
			writeCauses(output, &Settings[i], scenario, seeds)
		}
	}
}

func writeCauses(output io.Writer, setting *Setting, scenario Scenario, seeds int) {
	var groups [len(identifier.Ranks)][2]group
	var all prefillCounts
	for seed := range seeds {
		r := newRun(setting, scenario, uint64(seed+1))
		r.strategy = newOwnerStrategy(r, Variant{})
		r.execute()
		r.countMissed(&groups)
		all.add(r.counts)
	}
	for _, rank := range identifier.Ranks {
		for long, length := range [...]string{"short", "long"} {
			groups[rank][long].write(output, fmt.Sprintf("%s %s", rank, length))
		}
	}
	_, _ = fmt.Fprintf(output, "prefill work wasted: evicted %.4f, preempted %.4f, stopped %.4f\n",
		all.wastedByOutcome[evicted]/all.prefilledTokens,
		all.wastedByOutcome[preempted]/all.prefilledTokens,
		all.wastedByOutcome[stopped]/all.prefilledTokens)
}

// countMissed adds a run's arrivals and misses to the groups, without the warm-up.
func (r *run) countMissed(groups *[len(identifier.Ranks)][2]group) {
	for _, q := range r.requests {
		if q.arrivedAt < warmUp || q.arrivedAt > runLength {
			continue
		}
		long := 0
		if q.prompt >= longPrompt {
			long = 1
		}
		g := &groups[q.rank][long]
		g.arrivals++
		if !q.metTargets() {
			g.missed[q.missCause()]++
		}
	}
}

func (g *group) write(output io.Writer, name string) {
	_, _ = fmt.Fprintf(output, "%-12s %6.0f", name, g.arrivals)
	for c, count := range g.missed {
		_, _ = fmt.Fprintf(output, "  %s %.3f", causeNames[c], count/max(1, g.arrivals))
	}
	_, _ = fmt.Fprintln(output)
}
