package publisher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// jitter spreads the actions of nodes in time and among peers. Its seed is the
// node's name, so that nodes differ and a test's run repeats.
type jitter struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func newJitter(seed uint64) *jitter {
	return &jitter{random: rand.New(rand.NewPCG(seed, 0))}
}

// around returns a span from half to one and a half of the mean.
func (j *jitter) around(mean time.Duration) time.Duration {
	return mean/2 + j.upTo(mean)
}

// upTo returns a span from zero to the limit.
func (j *jitter) upTo(limit time.Duration) time.Duration {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return time.Duration(j.random.Int64N(int64(limit) + 1))
}

func (j *jitter) shuffle(n int, swap func(a, b int)) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.random.Shuffle(n, swap)
}

// backOff counts failures in a row and waits longer after each.
type backOff struct {
	jitter           *jitter
	minimum, maximum time.Duration
	failures         int
}

func (p *Publisher) newBackOff() *backOff {
	return &backOff{jitter: p.jitter, minimum: p.options.BackOffMinimum, maximum: p.options.BackOffMaximum}
}

// wait pauses after a failure and tells whether ctx goes on.
func (b *backOff) wait(ctx context.Context) bool {
	span := b.minimum << min(b.failures, 16)
	if span > b.maximum || span <= 0 {
		span = b.maximum
	}
	b.failures++
	return pause(ctx, b.jitter.around(span))
}

func (b *backOff) reset() { b.failures = 0 }

// pause waits and tells whether ctx goes on.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
