// Package limiter keeps retries and hedges from making an overload worse: each
// pool has a budget that first sendings fill and repeated sendings draw on, so
// that a pool whose back ends are down sees little more than its own load.
// It also bounds how many requests run at once.
package limiter

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Options sets up the budgets of all pools. Zero values take the defaults.
type Options struct {
	// Ratio is how many repeated sendings each first sending pays for, 0 to 1.
	Ratio float64
	// Floor is how many repeated sendings a second a pool may make whatever
	// its load, so that a quiet pool can retry too.
	Floor float64
	// Burst is the largest number of repeated sendings saved up.
	Burst float64
	// Shares is into how many equal parts Floor and Burst are split, such as one
	// for each live node of a fleet that has them together; nil is one part.
	Shares func() int
	// Scope takes this package's metrics.
	Scope tally.Scope
}

// The defaults of Options.
const (
	defaultRatio = 0.1
	defaultFloor = 1.0
	defaultBurst = 20.0
)

// burst is this part's largest saving, floor its rate.
func (o Options) burst() float64 { return o.Burst / float64(max(1, o.Shares())) }
func (o Options) floor() float64 { return o.Floor / float64(max(1, o.Shares())) }

// Limiter holds the budgets of the pools.
type Limiter struct {
	options Options
	mutex   sync.Mutex
	budgets map[identifier.Pool]*Budget
}

// New returns a limiter whose budgets start half full.
func New(options Options) *Limiter {
	for value, standard := range map[*float64]float64{
		&options.Ratio: defaultRatio, &options.Floor: defaultFloor, &options.Burst: defaultBurst,
	} {
		if *value == 0 {
			*value = standard
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

// Pool returns the budget of a pool.
func (l *Limiter) Pool(pool identifier.Pool) *Budget {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	budget := l.budgets[pool]
	if budget == nil {
		scope := l.options.Scope.SubScope("limiter").Tagged(map[string]string{"pool": string(pool)})
		budget = &Budget{
			options: l.options,
			tokens:  l.options.burst() / 2,
			filled:  time.Now(),
			spent:   scope.Counter("retries"),
			refused: scope.Counter("retries-refused"),
			delays:  newDelays(),
		}
		l.budgets[pool] = budget
	}
	return budget
}

// Keep forgets the budgets of pools that are no longer configured.
func (l *Limiter) Keep(pools []identifier.Pool) {
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

// Budget bounds the repeated sendings of one pool.
type Budget struct {
	options Options
	spent   tally.Counter
	refused tally.Counter
	delays  *delays
	mutex   sync.Mutex
	// tokens is between 0 and Burst; filled is when the floor was last added.
	tokens float64
	filled time.Time
}

// Sent counts a first sending, which pays for a part of a repeated one.
func (b *Budget) Sent() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.options.Ratio, max(1, b.options.burst()))
}

// Retry tells whether a repeated sending, a retry or a hedge, may go out now.
func (b *Budget) Retry() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.filled).Seconds()*b.options.floor(), max(1, b.options.burst()))
	b.filled = now
	if b.tokens < 1 {
		b.refused.Inc(1)
		return false
	}
	b.tokens--
	b.spent.Inc(1)
	return true
}
