package publisher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// jitter randomises delays and the choice of peers. The seed is derived from the
// node's name, so that nodes differ and tests are reproducible.
type jitter struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func newJitter(seed uint64) *jitter {
	return &jitter{random: rand.New(rand.NewPCG(seed, 0))}
}

// durationAround returns a random duration between 0.5 and 1.5 times the mean.
func (j *jitter) durationAround(mean time.Duration) time.Duration {
	return mean/2 + j.durationUpTo(mean)
}

// durationUpTo returns a random duration from zero to the limit, inclusive.
func (j *jitter) durationUpTo(limit time.Duration) time.Duration {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return time.Duration(j.random.Int64N(int64(limit) + 1))
}

func (j *jitter) shuffle(n int, swap func(a, b int)) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.random.Shuffle(n, swap)
}

// backOff is a jittered exponential backoff.
type backOff struct {
	jitter              *jitter
	minimum, maximum    time.Duration
	consecutiveFailures int
}

func (p *Publisher) newBackOff() *backOff {
	return &backOff{jitter: p.jitter, minimum: p.options.BackOffMinimum, maximum: p.options.BackOffMaximum}
}

// wait sleeps after a failure. It returns false if ctx ends first.
func (b *backOff) wait(ctx context.Context) bool {
	span := b.minimum << min(b.consecutiveFailures, 16)
	if span > b.maximum || span <= 0 {
		span = b.maximum
	}
	b.consecutiveFailures++
	return pause(ctx, b.jitter.durationAround(span))
}

func (b *backOff) reset() { b.consecutiveFailures = 0 }

// pause sleeps. It returns false if ctx ends first.
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
