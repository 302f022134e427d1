package forwarder

import (
	"math"
	"sync"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// unreachedHold keeps a back end that could not be connected to out of the
	// choice: a crashed one takes some seconds to come back, and one look a
	// second finds it soon.
	unreachedHold = time.Second
	// lostHold is the same after a lost answer, which may be a single fault.
	lostHold = 300 * time.Millisecond
	// replacedHold keeps a back end out whose address another one has. It is gone,
	// and the list tells that within a few seconds.
	replacedHold = 5 * time.Second
	// faultDecay is how fast outcomes are forgotten.
	faultDecay = 4 * time.Second
	// faultLead is by how much the share of faults must exceed the pool's for a
	// back end to be taken last, faultSamples how many outcomes that needs.
	faultLead    = 0.25
	faultSamples = 4
	// slowFactor is how many times the pool's typical time makes a back end slow.
	slowFactor = 2.5
)

// record is what the outcomes of real requests tell of one back end.
type record struct {
	// started is the back end's own start, to tell one that came back.
	started time.Time
	// outcomes and faults are decayed counts, taken is the decayed sum of times.
	outcomes float64
	faults   float64
	taken    float64
	answers  float64
	decayed  time.Time
	// avoidUntil keeps the back end out of the choice.
	avoidUntil time.Time
	// open counts the requests that this node has under way there.
	open int
	// bad tells that the last look put the back end behind the others; share is
	// the pool's share of faults at that look.
	bad   bool
	share float64
}

// change is what a look at a record changed of what is believed.
type change uint8

const (
	unchanged change = iota
	turnedBad
	turnedGood
)

// judge keeps the records of all back ends. Its decisions depend on the times
// that it is given only.
type judge struct {
	mutex   sync.Mutex
	records map[identifier.Member]*record
}

func newJudge() *judge {
	return &judge{records: map[identifier.Member]*record{}}
}

// of returns the record of a back end, a new one if its process is another.
func (j *judge) of(b Backend) *record {
	r := j.records[b.Name]
	if r == nil || !r.started.Equal(b.Started) {
		open := 0
		if r != nil {
			open = r.open
		}
		r = &record{started: b.Started, open: open}
		j.records[b.Name] = r
	}
	return r
}

func (r *record) decay(now time.Time) {
	if !r.decayed.IsZero() {
		factor := math.Exp(-float64(now.Sub(r.decayed)) / float64(faultDecay))
		r.outcomes *= factor
		r.faults *= factor
		r.taken *= factor
		r.answers *= factor
	}
	r.decayed = now
}

// begin counts a request that is sent.
func (j *judge) begin(b Backend) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.of(b).open++
}

// verdict is how one sending ended.
type verdict uint8

const (
	// answered: with a good answer.
	answered verdict = iota
	// faulted: with a fault of the back end's own.
	faulted
	// declined: the back end had no room.
	declined
	// replaced: another back end has the address.
	replaced
	// lost: without a whole answer.
	lost
	// unreached: without a connection.
	unreached
	// withdrawn: the caller or this node gave it up.
	withdrawn
)

// end counts the end of a sending.
func (j *judge) end(now time.Time, b Backend, v verdict, took time.Duration) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	r := j.of(b)
	r.open = max(0, r.open-1)
	r.decay(now)
	switch v {
	case answered:
		r.outcomes++
		r.answers++
		r.taken += took.Seconds()
	case faulted:
		r.outcomes++
		r.faults++
	case declined:
		r.outcomes++
		r.faults++
	case lost:
		r.outcomes++
		r.faults++
		r.avoidUntil = now.Add(lostHold)
	case replaced:
		r.avoidUntil = now.Add(replacedHold)
	case unreached:
		r.avoidUntil = now.Add(unreachedHold)
	case withdrawn:
	}
}

// look compares a back end with the others of its pool and tells what changed.
func (j *judge) look(now time.Time, b Backend, pool []Backend) change {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	share, typical := j.pool(now, pool)
	r := j.of(b)
	bad := now.Before(r.avoidUntil) || r.faulty(share) || r.slow(typical)
	if bad == r.bad {
		return unchanged
	}
	r.bad, r.share = bad, share
	if bad {
		return turnedBad
	}
	return turnedGood
}

// counts returns the decayed outcomes and faults of a back end, and the share of
// faults that they were last compared with.
func (j *judge) counts(b Backend) (outcomes, faults, share float64) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	r := j.of(b)
	return math.Round(r.outcomes*10) / 10, math.Round(r.faults*10) / 10, math.Round(r.share*100) / 100
}

// faulty tells whether a back end fails clearly more often than the best of its pool.
func (r *record) faulty(share float64) bool {
	return r.outcomes >= faultSamples && r.faults/r.outcomes > share+faultLead
}

// slow tells whether a back end takes clearly longer than the fastest of its pool.
func (r *record) slow(typical float64) bool {
	return r.answers >= 1 && typical > 0 && r.taken/r.answers > typical*slowFactor
}

// forget drops the records of back ends that are no longer listed.
func (j *judge) forget(t *Table) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for name, r := range j.records {
		if _, listed := t.Find(name); !listed && r.open == 0 {
			delete(j.records, name)
		}
	}
}

// pick returns the best back end of a list for one request: one that is not
// avoided nor tried, that fails no more than the others, is not slow, has the
// fewest requests of this node under way and lies near. The turn breaks ties.
func (j *judge) pick(now time.Time, list []Backend, tried []identifier.Member, near identifier.DataCentre, turn uint64) (Backend, bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	share, typical := j.pool(now, list)
	best := -1
	bestCost := math.Inf(1)
	for i := range list {
		at := (i + int(turn%uint64(len(list)))) % len(list)
		b := list[at]
		cost := j.cost(now, b, share, typical, near)
		for _, name := range tried {
			if name == b.Name {
				cost += triedCost
			}
		}
		if cost < bestCost {
			best, bestCost = at, cost
		}
	}
	if best < 0 {
		return Backend{}, false
	}
	return list[best], true
}

// The costs that order back ends; one request under way costs one.
const (
	avoidedCost = 1000
	triedCost   = 300
	faultyCost  = 100
	slowCost    = 10
	farCost     = 0.5
)

func (j *judge) cost(now time.Time, b Backend, share, typical float64, near identifier.DataCentre) float64 {
	r := j.of(b)
	r.decay(now)
	cost := float64(r.open)
	if now.Before(r.avoidUntil) {
		cost += avoidedCost
	}
	if r.faulty(share) {
		cost += faultyCost
	}
	if r.slow(typical) {
		cost += slowCost
	}
	if b.DataCentre != near {
		cost += farCost
	}
	return cost
}

// pool returns the least share of faults and the least average time of a list's
// back ends with enough outcomes.
func (j *judge) pool(now time.Time, list []Backend) (share, typical float64) {
	share = 1
	known := false
	for _, b := range list {
		r := j.of(b)
		r.decay(now)
		if r.outcomes >= faultSamples {
			known = true
			share = min(share, r.faults/r.outcomes)
		}
		if r.answers >= 1 && (typical == 0 || r.taken/r.answers < typical) {
			typical = r.taken / r.answers
		}
	}
	if !known {
		share = 0
	}
	return share, typical
}
