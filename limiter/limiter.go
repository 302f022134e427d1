// Package limiter keeps retries and hedges from making an overload worse. Each pool
// has a retry budget. First sends add to the budget and retries take from it, so that a
// pool whose back ends are down gets little more than its own load. The package also
// limits the running requests of each account.
package limiter

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Options configures the retry budgets of all pools. Zero values take the defaults.
type Options struct {
	// Ratio is the number of retries that each first send adds to the budget, 0 to 1.
	Ratio float64
	// Floor is the number of retries added to the budget per second, whatever the
	// load, so that a quiet pool can retry too.
	Floor float64
	// Burst is the maximum number of retries saved up.
	Burst float64
	// Fleet, if set, replaces Ratio, Floor and Burst: the budgets are then this node's part
	// of the budget of all nodes together.
	Fleet *FleetBudget
	Scope tally.Scope
}

// Defaults of Options.
const (
	defaultRatio = 0.1
	defaultFloor = 1.0
	defaultBurst = 20.0
)

// Cause is why a request is sent once more.
type Cause string

// The causes. A hedge leaves a retry saved up for AfterError if the budget is a fleet's.
const (
	// AfterError: the earlier send failed, or was answered with an error.
	AfterError Cause = "error"
	// Hedged: the earlier send is slow.
	Hedged Cause = "hedge"
)

// Limiter holds the retry budgets of all pools. It is safe for concurrent use.
type Limiter struct {
	options   Options
	startedAt time.Time
	mutex     sync.Mutex
	budgets   map[identifier.Pool]*Budget
}

// New returns a limiter whose budgets start half full, or empty if they are a fleet's.
func New(options Options) *Limiter {
	for value, defaultValue := range map[*float64]float64{
		&options.Ratio: defaultRatio, &options.Floor: defaultFloor, &options.Burst: defaultBurst,
	} {
		if *value == 0 {
			*value = defaultValue
		}
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Limiter{options: options, startedAt: time.Now(), budgets: map[identifier.Pool]*Budget{}}
}

// Pool returns the retry budget of a pool.
func (l *Limiter) Pool(pool identifier.Pool) *Budget {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	budget := l.budgets[pool]
	if budget == nil {
		scope := l.options.Scope.SubScope("limiter").Tagged(map[string]string{"pool": string(pool)})
		budget = &Budget{tokens: l.newTokens(), hedgeDelay: newDelayEstimator(), counters: map[Cause]causeCounters{}}
		for _, cause := range []Cause{AfterError, Hedged} {
			tagged := scope.Tagged(map[string]string{"cause": string(cause)})
			budget.counters[cause] = causeCounters{granted: tagged.Counter("retries"), refused: tagged.Counter("retries-refused")}
		}
		l.budgets[pool] = budget
	}
	return budget
}

// RetainPools drops the budgets of all pools except the listed ones.
func (l *Limiter) RetainPools(pools []identifier.Pool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	kept := make(map[identifier.Pool]*Budget, len(pools))
	for _, pool := range pools {
		if budget := l.budgets[pool]; budget != nil {
			kept[pool] = budget
		}
	}
	l.budgets = kept
}

func (l *Limiter) newTokens() tokens {
	if l.options.Fleet != nil {
		return newFleetTokens(*l.options.Fleet, l.startedAt)
	}
	return &localTokens{options: l.options, saved: l.options.Burst / 2, refilledAt: time.Now()}
}

// tokens holds the retries that a budget has saved up. It is not safe for concurrent use.
type tokens interface {
	// count adds what a first send earns, and uncount takes it back.
	count(now time.Time)
	uncount(now time.Time)
	// take takes one retry, or returns false if the budget does not allow it.
	take(now time.Time, cause Cause) bool
	// giveBack returns a retry that was taken and not sent.
	giveBack(now time.Time)
}

type causeCounters struct{ granted, refused tally.Counter }

// Budget is the retry budget of one pool. It is safe for concurrent use.
type Budget struct {
	// counters counts the retries that were granted and refused, by cause.
	counters   map[Cause]causeCounters
	hedgeDelay *delayEstimator
	mutex      sync.Mutex
	// tokens is guarded by mutex.
	tokens tokens
}

// CountSend counts a first send, which adds to the budget.
func (b *Budget) CountSend() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens.count(time.Now())
}

// UncountSend takes back a CountSend of a request that has reached no back end.
func (b *Budget) UncountSend() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens.uncount(time.Now())
}

// TakeRetry takes one retry after an error from the budget. It returns false if none is left.
func (b *Budget) TakeRetry() bool { return b.Take(AfterError) }

// Take takes one retry or hedge from the budget. It returns false if none is left.
func (b *Budget) Take(cause Cause) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	granted := b.tokens.take(time.Now(), cause)
	if granted {
		b.counters[cause].granted.Inc(1)
	} else {
		b.counters[cause].refused.Inc(1)
	}
	return granted
}

// GiveBack returns a retry that was taken and has reached no back end.
func (b *Budget) GiveBack() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens.giveBack(time.Now())
}

// localTokens is the budget of one node by itself.
type localTokens struct {
	options Options
	// saved is the number of retries saved up, from 0 to the larger of 1 and Burst.
	saved float64
	// refilledAt is when saved was last increased by Floor retries per second.
	refilledAt time.Time
}

func (t *localTokens) add(retries float64) {
	t.saved = min(t.saved+retries, max(1, t.options.Burst))
}

func (t *localTokens) count(time.Time)    { t.add(t.options.Ratio) }
func (t *localTokens) uncount(time.Time)  { t.saved = max(0, t.saved-t.options.Ratio) }
func (t *localTokens) giveBack(time.Time) { t.add(1) }

func (t *localTokens) take(now time.Time, _ Cause) bool {
	t.add(now.Sub(t.refilledAt).Seconds() * t.options.Floor)
	t.refilledAt = now
	if t.saved < 1 {
		return false
	}
	t.saved--
	return true
}
