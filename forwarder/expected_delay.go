package forwarder

import (
	"math"
	"slices"
	"time"
)

const (
	// delayDecayTime is the time constant of the evidence of a back end's answer times. A node
	// of a large fleet sends a back end a request in some seconds, and a back end that was
	// slow must be tried again once it is not.
	delayDecayTime = 2 * time.Second
	// priorAnswers is the weight of the pool's typical answer time beside a back end's own
	// answers, so that one slow answer does not make a back end look slow.
	priorAnswers = 0.5
	// declinedRuns is the typical answer times that a declined request counts as: with 6
	// requests running and 24 waiting, a request would take five.
	declinedRuns = 5
	// costSpread is the difference in cost that makes a back end about a third as likely.
	costSpread = 0.05
)

// sendTimes is the decayed evidence of how long a back end takes, from this node's own sends.
type sendTimes struct {
	// answers is the number of good answers, and seconds their total time.
	answers, seconds float64
	// unfinished is the number of sends that ended without an answer, because their callers or
	// this node gave up, and unfinishedSeconds their total time until then.
	unfinished, unfinishedSeconds float64
	// declined is the number of sends for which the back end had no room.
	declined float64
}

func (s *sendTimes) decay(elapsed time.Duration) {
	factor := math.Exp(-float64(elapsed) / float64(delayDecayTime))
	s.answers *= factor
	s.seconds *= factor
	s.unfinished *= factor
	s.unfinishedSeconds *= factor
	s.declined *= factor
}

func (s *sendTimes) add(result sendResult, took time.Duration) {
	switch result {
	case answered:
		s.answers++
		s.seconds += took.Seconds()
	case withdrawn, silent:
		s.unfinished++
		s.unfinishedSeconds += took.Seconds()
	case declined:
		s.declined++
	case faulted, replaced, lost, unreached:
		// They say nothing about the time of a good answer.
	}
}

// expected returns the expected time of a send in seconds. typical is the pool's.
func (s *sendTimes) expected(typical float64) float64 {
	answers := s.answers + s.declined + priorAnswers
	seconds := s.seconds + (declinedRuns*s.declined+priorAnswers)*typical
	// An unfinished send would have taken longer. It says something only if it has already
	// taken longer than expected, such as one that a hedge has overtaken.
	if s.unfinishedSeconds*answers > seconds*s.unfinished {
		answers, seconds = answers+s.unfinished, seconds+s.unfinishedSeconds
	}
	return seconds / answers
}

// minDelayEvidence is the decayed number of answers below which a back end's average says
// nothing about the pool's typical time.
const minDelayEvidence = 0.1

// relativeDelays returns for each back end of a pool by how many times a send takes longer
// than at the quickest one. It returns nil if there is no evidence.
func relativeDelays(pool []sendTimes) []float64 {
	var averages []float64
	for _, s := range pool {
		if s.answers >= minDelayEvidence {
			averages = append(averages, s.seconds/s.answers)
		}
	}
	if len(averages) == 0 {
		return nil
	}
	slices.Sort(averages)
	typical := averages[(len(averages)-1)/2]
	delays := make([]float64, len(pool))
	for i, s := range pool {
		delays[i] = s.expected(typical)
	}
	quickest := slices.Min(delays)
	for i := range delays {
		if quickest > 0 {
			delays[i] = delays[i]/quickest - 1
		} else {
			delays[i] = 0
		}
	}
	return delays
}

// chooseByCost returns the index of one of the costs, the more likely the lower it is, so
// that not all nodes choose the back end that looks best; -1 if none is finite. turn selects
// among them; consecutive turns use back ends of equal cost in turn.
func chooseByCost(costs []float64, turn uint64) int {
	if len(costs) == 0 {
		return -1
	}
	lowest := slices.Min(costs)
	if math.IsInf(lowest, 1) {
		return -1
	}
	total := 0.0
	likelihood := make([]float64, len(costs))
	for i, cost := range costs {
		likelihood[i] = math.Exp((lowest - cost) / costSpread)
		total += likelihood[i]
	}
	// Multiples of the golden ratio are spread evenly over the interval.
	const goldenRatio = 0x9E3779B97F4A7C15
	left := float64((turn*goldenRatio)>>11) / float64(1<<53) * total
	chosen := -1
	for i, p := range likelihood {
		if p > 0 {
			chosen = i
			if left < p {
				break
			}
		}
		left -= p
	}
	return chosen
}
