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
	// Shares is the number of equal parts into which Floor and Burst are divided, such
	// as one for each live node of a fleet; nil means one.
	Shares func() int
	Scope  tally.Scope
}

// Defaults of Options.
const (
	defaultRatio = 0.1
	defaultFloor = 1.0
	defaultBurst = 20.0
)

// burst and floor return this node's part of Burst and Floor.
func (o Options) burst() float64 { return o.Burst / float64(max(1, o.Shares())) }
func (o Options) floor() float64 { return o.Floor / float64(max(1, o.Shares())) }

// Limiter holds the retry budgets of all pools. It is safe for concurrent use.
type Limiter struct {
	options Options
	mutex   sync.Mutex
	budgets map[identifier.Pool]*Budget
}

// New returns a limiter whose budgets start half full.
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
	if options.Shares == nil {
		options.Shares = func() int { return 1 }
	}
	return &Limiter{options: options, budgets: map[identifier.Pool]*Budget{}}
}

// Pool returns the retry budget of a pool.
func (l *Limiter) Pool(pool identifier.Pool) *Budget {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	budget := l.budgets[pool]
	if budget == nil {
		scope := l.options.Scope.SubScope("limiter").Tagged(map[string]string{"pool": string(pool)})
		budget = &Budget{
			options:        l.options,
			tokens:         l.options.burst() / 2,
			refilledAt:     time.Now(),
			retries:        scope.Counter("retries"),
			retriesRefused: scope.Counter("retries-refused"),
			hedgeDelay:     newDelayEstimator(),
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

// Budget is the retry budget of one pool. It is safe for concurrent use.
type Budget struct {
	options        Options
	retries        tally.Counter
	retriesRefused tally.Counter
	hedgeDelay     *delayEstimator
	mutex          sync.Mutex
	// tokens is the number of retries saved up, from 0 to the larger of 1 and burst().
	tokens float64
	// refilledAt is when tokens was last increased by floor() retries per second.
	refilledAt time.Time
}

// CountSend counts a first send, which adds Ratio to the budget.
func (b *Budget) CountSend() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.options.Ratio, max(1, b.options.burst()))
}

// TakeRetry takes one retry or hedge from the budget. It returns false if none is left.
func (b *Budget) TakeRetry() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*b.options.floor(), max(1, b.options.burst()))
	b.refilledAt = now
	if b.tokens < 1 {
		b.retriesRefused.Inc(1)
		return false
	}
	b.tokens--
	b.retries.Inc(1)
	return true
}
