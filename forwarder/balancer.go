package forwarder

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// avoidAfterUnreached is how long a back end is avoided after a failed
	// connection. A crashed back end takes seconds to restart; one try a second
	// detects the restart soon.
	avoidAfterUnreached = time.Second
	// avoidAfterLost is how long a back end is avoided after a lost answer. The time is
	// short because the loss may not recur.
	avoidAfterLost = 300 * time.Millisecond
	// avoidAfterSilent is how long a back end is avoided after a request that it left without
	// an answer. At hundreds of nodes a node sends a back end a request in some seconds, so
	// that it can't wait for several.
	avoidAfterSilent = time.Second
	// avoidAfterReplaced is how long a back end is avoided after another took its address.
	// The old back end is gone, and the list of back ends drops it within seconds.
	avoidAfterReplaced = 5 * time.Second
	// statsDecayTime is the time constant of the exponential decay of all counts.
	statsDecayTime = 4 * time.Second
	// faultShareMargin is how far a back end's share of faults must exceed the
	// lowest share in its pool for the back end to count as faulty.
	faultShareMargin = 0.25
	// minFaultSamples is the decayed count of outcomes below which no fault share is computed.
	minFaultSamples = 4
	// slowFactor is the multiple of the pool's lowest average answer time above
	// which a back end is slow.
	slowFactor = 2.5
)

// backendStats holds the decayed outcomes of real requests at one back end.
type backendStats struct {
	// started is the start time of the back end's process, to detect a restart.
	started time.Time
	// outcomes counts good answers, faults, declined requests and lost answers.
	outcomes float64
	// faults counts the outcomes that were not good answers.
	faults float64
	// answerTime is the total time of the good answers in seconds.
	answerTime float64
	answers    float64
	times      sendTimes
	decayedAt  time.Time
	avoidUntil time.Time
	// inFlight counts this node's unfinished requests at the back end.
	inFlight int
	// unhealthy is the result of the latest updateHealth.
	unhealthy bool
	// slow is the result of the latest updateDelay.
	slow bool
	// poolFaultShare is the pool's lowest share of faults at the latest health change.
	poolFaultShare float64
	// leavingSince is when the back end first said that it leaves; zero means never.
	leavingSince time.Time
	// pausedUntil is until when the back end wants no requests from this node.
	pausedUntil time.Time
	// sent counts the requests that this node has sent to the back end.
	sent int
	// namedInvalidRate is set once the process has named a rate that can't be one.
	namedInvalidRate bool
}

// healthChange is the effect of updateHealth on a back end's health.
type healthChange uint8

const (
	unchanged healthChange = iota
	becameUnhealthy
	becameHealthy
)

// balancer keeps statistics of all back ends and picks one for each request. It
// uses only the times passed to it, never the clock.
type balancer struct {
	quotas Quotas
	// picks counts the picks by what was known of the pool's answer times.
	picks map[pickEvidence]tally.Counter
	mutex sync.Mutex
	stats map[identifier.Member]*backendStats
	// locality decides what leaves the data centre; nil means that remoteCost does.
	locality *locality
}

func newBalancer(quotas Quotas, scope tally.Scope) *balancer {
	b := &balancer{quotas: quotas, picks: map[pickEvidence]tally.Counter{}, stats: map[identifier.Member]*backendStats{}}
	for _, known := range []pickEvidence{timesUnknown, timesEven, slowPassedOver, slowChosen} {
		b.picks[known] = scope.Tagged(map[string]string{"evidence": string(known)}).Counter("picks")
	}
	return b
}

// sentCount returns how many requests this node has sent to a back end.
func (b *balancer) sentCount(backend Backend) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.statsOfSent(backend).sent
}

// firstInvalidRate records that a back end named a rate that can't be one. It returns true the
// first time that its process does so.
func (b *balancer) firstInvalidRate(backend Backend) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r := b.statsOfSent(backend)
	first := !r.namedInvalidRate
	r.namedInvalidRate = true
	return first
}

// statsFor returns the statistics of a back end. If the back end has restarted, it
// clears them except for the in-flight count. The backend must come from the current
// table. The caller must hold the mutex.
func (b *balancer) statsFor(backend Backend) *backendStats {
	stats := b.stats[backend.Name]
	if stats == nil || !stats.started.Equal(backend.Started) {
		inFlight := 0
		if stats != nil {
			inFlight = stats.inFlight
		}
		stats = &backendStats{started: backend.Started, inFlight: inFlight}
		b.stats[backend.Name] = stats
	}
	return stats
}

// statsOfSent is statsFor for a back end to which a request was sent earlier: the result
// of a request to an earlier process does not clear the statistics of the present one.
func (b *balancer) statsOfSent(backend Backend) *backendStats {
	if stats := b.stats[backend.Name]; stats != nil {
		return stats
	}
	return b.statsFor(backend)
}

func (r *backendStats) decay(now time.Time) {
	if !r.decayedAt.IsZero() {
		factor := math.Exp(-float64(now.Sub(r.decayedAt)) / float64(statsDecayTime))
		r.outcomes *= factor
		r.faults *= factor
		r.answerTime *= factor
		r.answers *= factor
		r.times.decay(now.Sub(r.decayedAt))
	}
	r.decayedAt = now
}

// countSent counts a request as in flight. Each call must be followed by one recordResult.
func (b *balancer) countSent(backend Backend) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r := b.statsFor(backend)
	r.inFlight++
	r.sent++
}

// sendResult is the result of one send to a back end.
type sendResult uint8

const (
	// answered: the back end gave a complete answer that is not a server error.
	answered sendResult = iota
	// faulted: the back end answered with a server error.
	faulted
	// declined: the back end had no capacity.
	declined
	// replaced: the address belongs to another back end now.
	replaced
	// lost: the answer is missing or incomplete.
	lost
	// unreached: no connection could be opened.
	unreached
	// silent: no answer had begun when the request ended, long after its target.
	silent
	// withdrawn: the caller or this node cancelled the request.
	withdrawn
)

// recordResult removes a request from the in-flight count and records its result.
func (b *balancer) recordResult(now time.Time, backend Backend, result sendResult, took time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r := b.statsOfSent(backend)
	r.inFlight = max(0, r.inFlight-1)
	r.decay(now)
	r.times.add(result, took)
	if b.locality != nil && result == answered && backend.Role == identifier.Service {
		b.locality.poolOf(backend.Pool).recordAnswerTime(took)
	}
	switch result {
	case answered:
		r.outcomes++
		r.answers++
		r.answerTime += took.Seconds()
	case faulted:
		r.outcomes++
		r.faults++
	case declined:
		r.outcomes++
		r.faults++
	case lost:
		r.outcomes++
		r.faults++
		r.avoidUntil = now.Add(avoidAfterLost)
	case silent:
		r.outcomes++
		r.faults++
		r.avoidUntil = now.Add(avoidAfterSilent)
	case replaced:
		r.avoidUntil = now.Add(avoidAfterReplaced)
	case unreached:
		r.avoidUntil = now.Add(avoidAfterUnreached)
	case withdrawn:
	}
}

// updateHealth compares a back end with its pool and returns whether its health changed.
func (b *balancer) updateHealth(now time.Time, backend Backend, pool []Backend) healthChange {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	minFaultShare, minAnswerTime := b.poolBaseline(now, pool)
	r := b.statsOfSent(backend)
	unhealthy := now.Before(r.avoidUntil) || r.isFaulty(minFaultShare) || r.isSlow(minAnswerTime)
	if unhealthy == r.unhealthy {
		return unchanged
	}
	r.unhealthy, r.poolFaultShare = unhealthy, minFaultShare
	if unhealthy {
		return becameUnhealthy
	}
	return becameHealthy
}

// faultCounts returns the decayed outcomes and faults of a back end, and the pool's
// lowest share of faults at the latest health change, all rounded for the log.
func (b *balancer) faultCounts(backend Backend) (outcomes, faults, poolFaultShare float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r := b.statsOfSent(backend)
	return math.Round(r.outcomes*10) / 10, math.Round(r.faults*10) / 10, math.Round(r.poolFaultShare*100) / 100
}

// isFaulty reports whether the share of faults clearly exceeds the pool's lowest.
func (r *backendStats) isFaulty(minFaultShare float64) bool {
	return r.outcomes >= minFaultSamples && r.faults/r.outcomes > minFaultShare+faultShareMargin
}

// isSlow reports whether the average answer time clearly exceeds the pool's lowest.
func (r *backendStats) isSlow(minAnswerTime float64) bool {
	return r.answers >= 1 && minAnswerTime > 0 && r.answerTime/r.answers > minAnswerTime*slowFactor
}

// leavingMemory is how long the statistics of an unlisted back end that said that it
// leaves are kept: an entry that the platform has lost for a while comes back.
const leavingMemory = 5 * time.Minute

// removeUnlisted drops the statistics of back ends that are not in the table, have no
// request in flight, and have not said lately that they leave.
func (b *balancer) removeUnlisted(now time.Time, table *Table) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for name, r := range b.stats {
		left := !r.leavingSince.IsZero() && now.Sub(r.leavingSince) < leavingMemory
		if _, listed := table.Find(name); !listed && r.inFlight == 0 && !left {
			delete(b.stats, name)
		}
	}
}

// pick returns a back end for one request among those that accept requests from this node,
// the more likely the lower its cost. It prefers back ends that are not avoided, not tried
// yet, not faulty, quick, with few requests of this node in flight, and in the given data
// centre. The value of rotation selects among those of similar cost. The request counts
// against the rate that the back end has named. If none accepts requests, pick returns false.
func (b *balancer) pick(now time.Time, list []Backend, tried []identifier.Member, dataCentre identifier.DataCentre, rotation uint64) (Backend, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	minFaultShare, _ := b.poolBaseline(now, list)
	delays := b.relativeDelays(now, list)
	away := remoteCost
	if chosen, decided := b.chooseDataCentre(now, list, dataCentre, rotation); decided {
		dataCentre, away = chosen, elsewhereCost
	}
	costs := make([]float64, len(list))
	for at, backend := range list {
		allowance := b.quotas.Allowance(now, backend.Name, backend.Started)
		if !b.statsFor(backend).accepts(now) || !allowance.Now() {
			costs[at] = math.Inf(1)
			continue
		}
		costs[at] = b.selectionCost(now, backend, minFaultShare)
		if backend.DataCentre != dataCentre {
			costs[at] += away
		}
		if delays != nil {
			costs[at] += delays[at]
		}
		if allowance.Limited {
			costs[at] -= limitedBonus
		}
		for _, name := range tried {
			if name == backend.Name {
				costs[at] += triedCost
			}
		}
	}
	chosen := chooseByCost(costs, rotation)
	if chosen < 0 || !b.quotas.Take(now, list[chosen].Name, list[chosen].Started) {
		return Backend{}, false
	}
	b.countPick(delays, chosen)
	return list[chosen], true
}

// relativeDelays returns the relative delays of a list of back ends, or nil if nothing is
// known of them. The caller must hold the mutex.
func (b *balancer) relativeDelays(now time.Time, list []Backend) []float64 {
	times := make([]sendTimes, len(list))
	for i, backend := range list {
		r := b.statsFor(backend)
		r.decay(now)
		times[i] = r.times
	}
	return relativeDelays(times)
}

// slowDelay is the relative delay from which a back end counts as slow in the metrics and the
// log, and slowDelayEnd the one at which it no longer does.
const (
	slowDelay    = 1.0
	slowDelayEnd = 0.4
)

// pickEvidence is what was known of the pool's answer times at a pick.
type pickEvidence string

const (
	timesUnknown   pickEvidence = "unknown"
	timesEven      pickEvidence = "even"
	slowPassedOver pickEvidence = "slow-passed-over"
	slowChosen     pickEvidence = "slow-chosen"
)

func (b *balancer) countPick(delays []float64, chosen int) {
	known := timesEven
	switch {
	case delays == nil:
		known = timesUnknown
	case delays[chosen] >= slowDelay:
		known = slowChosen
	case slices.Max(delays) >= slowDelay:
		known = slowPassedOver
	}
	b.picks[known].Inc(1)
}

// updateDelay compares a back end's answer times with its pool. It returns its relative delay
// and whether it has become slow, or no longer is.
func (b *balancer) updateDelay(now time.Time, backend Backend, pool []Backend) (relative float64, change healthChange) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at := slices.IndexFunc(pool, func(other Backend) bool { return other.Name == backend.Name })
	delays := b.relativeDelays(now, pool)
	if at < 0 || delays == nil {
		return 0, unchanged
	}
	r := b.statsOfSent(backend)
	relative = delays[at]
	switch {
	case !r.slow && relative >= slowDelay:
		r.slow = true
		return relative, becameUnhealthy
	case r.slow && relative < slowDelayEnd:
		r.slow = false
		return relative, becameHealthy
	default:
		return relative, unchanged
	}
}

// Costs of pick; a request in flight costs 1, and so does an expected delay of the time that the
// quickest back end takes.
const (
	avoidedCost = 1000
	triedCost   = 300
	faultyCost  = 100
	remoteCost  = 0.5
	// limitedBonus makes a node use its share of a limited back end, whose answers tell when
	// the limit ends. It exceeds the cost of the few requests that the share allows at once.
	limitedBonus = 3
)

// selectionCost returns the cost of a back end without those of its delay, of another data centre
// and triedCost. The caller must hold the mutex.
func (b *balancer) selectionCost(now time.Time, backend Backend, minFaultShare float64) float64 {
	r := b.statsFor(backend)
	r.decay(now)
	cost := float64(r.inFlight)
	if now.Before(r.avoidUntil) {
		cost += avoidedCost
	}
	if r.isFaulty(minFaultShare) {
		cost += faultyCost
	}
	return cost
}

// poolBaseline returns the lowest share of faults of the back ends with enough
// outcomes, or 0, and the lowest average answer time in seconds, or 0 if no back
// end has answered. The caller must hold the mutex.
func (b *balancer) poolBaseline(now time.Time, list []Backend) (minFaultShare, minAnswerTime float64) {
	minFaultShare = 1
	known := false
	for _, backend := range list {
		r := b.statsFor(backend)
		r.decay(now)
		if r.outcomes >= minFaultSamples {
			known = true
			minFaultShare = min(minFaultShare, r.faults/r.outcomes)
		}
		if r.answers >= 1 && (minAnswerTime == 0 || r.answerTime/r.answers < minAnswerTime) {
			minAnswerTime = r.answerTime / r.answers
		}
	}
	if !known {
		minFaultShare = 0
	}
	return minFaultShare, minAnswerTime
}
