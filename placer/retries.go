package placer

import (
	"math"
	"time"
)

// A retry is a demand whose caller has been refused before, or whose first-token target has
// passed. Its answer is late in any case, and worth far less than one on time, but more than
// another refusal. It waits behind all first attempts of its rank, as long as its caller's time
// allows.

const (
	// retryQueueTime is how long a retry may wait for memory if its caller's time left is
	// unknown. Most requests that an engine runs have ended by then.
	retryQueueTime = 3 * time.Second
	// maxRetryQueueTime is how long any retry may wait for memory. By then the requests that
	// run now have ended twice over; a pool without room for that long needs fewer callers, and
	// each waiting retry keeps its body in its node's memory.
	maxRetryQueueTime = 8 * time.Second
	// abandonMargin is the time for a first token to reach a caller that is about to leave.
	abandonMargin = 150 * time.Millisecond
)

// limitRetryWait lets a retry wait for memory as long as its caller's time left allows after
// the time of its run, and as long as its caller waits for a first token.
func (p *Placer) limitRetryWait(now time.Time, w *waitingDemand) {
	left := w.demand.TimeLeft
	if left <= 0 {
		w.deadline = now.Add(retryQueueTime)
		w.latestStart = w.deadline
		return
	}
	start := p.minReadyTime(now, &w.demand) + p.firstTokenDelay()
	w.maxWait = min(left-start-p.expectedDecodeTime(w, p.averageTokenTime), maxRetryQueueTime)
	if first := w.demand.FirstTokenTimeLeft; first > 0 {
		w.maxWait = min(w.maxWait, first-start-abandonMargin)
	}
	w.latestStart = now.Add(w.maxWait)
	w.deadline = w.latestStart.Add(start)
}

// expectedDecodeTime returns how long the median output of a demand takes at the given time for
// a token.
func (p *Placer) expectedDecodeTime(w *waitingDemand, tokenTime time.Duration) time.Duration {
	return time.Duration(p.outputDistributionOf(&w.demand).median() * float64(tokenTime))
}

// median returns the length that half of the outputs reach.
func (l outputDistribution) median() float64 {
	median := math.Exp(l.logMean)
	if l.limit > 0 {
		median = min(median, l.limit)
	}
	return median
}

// endsInTime reports whether an engine is expected to end a demand before its caller stops
// waiting, or the caller's time left is unknown.
func (p *Placer) endsInTime(w *waitingDemand, e *engine, ready time.Time) bool {
	return w.answerBy.IsZero() || !ready.Add(p.expectedDecodeTime(w, p.tokenTimeOf(e))).After(w.answerBy)
}

// retryWaitsTooLong reports whether a retry should be refused at once. With a known time left that
// is so if it couldn't be served in time even if no new demands came: a burst is likely to end while the
// retry waits, and a second refusal costs its caller more than the wait.
func (p *Placer) retryWaitsTooLong(now time.Time, w *waitingDemand) bool {
	if w.answerBy.IsZero() {
		return p.expectedRetryWait(now, w.demand.Rank) > retryQueueTime
	}
	if w.maxWait <= 0 {
		return true
	}
	freed := p.freedRate.perSecond(now)
	return freed > 0 && timeAtRate(float64(p.queues[w.demand.Rank].pieces), freed) > w.maxWait
}

// waitsTooLong reports whether a demand should be refused at once because its queue will
// not drain in time.
func (p *Placer) waitsTooLong(now time.Time, w *waitingDemand) bool {
	if w.isRetry {
		return p.retryWaitsTooLong(now, w)
	}
	return p.expectedWait(now, w).Seconds() > w.demand.FirstTokenBudget.Seconds()*p.settings.RefusalWaitRatio
}
