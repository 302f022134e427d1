package accountant

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
)

const (
	// handoverTime is how long a new owner's bucket is not refilled: the earlier owner may
	// still grant to nodes that have not heard of the change. A new owner's initial level
	// covers the usual load of an account for as long.
	handoverTime = 500 * time.Millisecond
	// maxRetryAfter bounds Retry-After. Callers seldom have three times as long left, and do
	// not come back for a later promise.
	maxRetryAfter = 10 * time.Second
	// minRetryAfter keeps refused callers from coming back before the bucket has been refilled
	// by a noticeable amount.
	minRetryAfter = 20 * time.Millisecond
	// reportParts is in how many parts of equal age a reported amount is counted.
	reportParts = 8
)

// bucket is the owner's bucket of one account. It is not safe for concurrent use.
type bucket struct {
	quota limiter.AccountQuota
	// level is at most capacity. It falls below zero by one request at most.
	level, capacity float64
	// refilledAt is up to when the level has been raised; it may lie ahead.
	refilledAt time.Time
	// promisedUntil is when the amounts of all callers that were told to come back can have
	// been granted.
	promisedUntil time.Time
	// granted has what was granted and what nodes reported that they had taken from others.
	granted window
	// startedAt is when this node began to keep the bucket in its present unit.
	startedAt time.Time
	// reporters are the nodes whose reports are counted; nil one window after startedAt.
	reporters map[identifier.Node]struct{}
	usedAt    time.Time
	// loggedAt is when a refusal was last logged.
	loggedAt time.Time
}

// newBucket returns the bucket of an account that this node has owned since ownedSince.
// It is full if no earlier owner can have granted anything for so long that its bucket would be
// full, and else starts with initialShare of the tolerance at most.
func newBucket(now, ownedSince time.Time, bounds Bounds, quota limiter.AccountQuota) *bucket {
	b := &bucket{quota: quota, startedAt: now, usedAt: now, reporters: map[identifier.Node]struct{}{}}
	b.capacity = bounds.saved(quota)
	b.level = min(b.capacity, initialShare*bounds.tolerance(quota))
	b.refilledAt = ownedSince.Add(handoverTime)
	b.refill(now)
	if now.Sub(ownedSince) >= fullAfter(bounds, quota) {
		b.level = b.capacity
	}
	return b
}

// fullAfter returns after how long without a grant a bucket is full and its window empty.
func fullAfter(bounds Bounds, quota limiter.AccountQuota) time.Duration {
	return bounds.Window + bounds.slotLength() + secondsAt(bounds.saved(quota), quota.Rate)
}

// maxRefillTime bounds the results of secondsAt, against overflow.
const maxRefillTime = time.Hour

// secondsAt returns how long a rate takes for an amount.
func secondsAt(amount, rate float64) time.Duration {
	if rate <= 0 || amount/rate > maxRefillTime.Seconds() {
		return maxRefillTime
	}
	return time.Duration(amount / rate * float64(time.Second))
}

// refill raises the level to what it is now.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level = min(b.capacity, b.level+elapsed.Seconds()*b.quota.Rate)
		b.refilledAt = now
	}
}

// setQuota applies a changed quota. A higher burst is not available at once but refilled.
func (b *bucket) setQuota(now time.Time, bounds Bounds, quota limiter.AccountQuota) {
	b.refill(now)
	if quota.Tokens != b.quota.Tokens {
		// What was counted, and what nodes report or give back from before, is in another unit.
		b.level, b.granted = 0, window{}
		b.startedAt, b.reporters = now, nil
	}
	b.quota, b.capacity = quota, bounds.saved(quota)
	b.level = min(b.level, b.capacity)
	b.promisedUntil = time.Time{}
}

// report counts what a node took from others in the window before its first query.
func (b *bucket) report(now time.Time, at slot, bounds Bounds, node identifier.Node, spent float64) {
	if now.Sub(b.startedAt) >= bounds.Window {
		b.reporters = nil
		return
	}
	if _, known := b.reporters[node]; known || spent <= 0 || b.reporters == nil {
		return
	}
	b.reporters[node] = struct{}{}
	for part := range slot(reportParts) {
		b.granted.add(at-part*(windowSlots/reportParts), spent/reportParts)
	}
}

// take grants an amount or returns how long the caller should wait. It admits a request while
// the level is not below zero, so that a large request has the same chance as a small one,
// unless the level would then fall by more than overdraftShare below zero. It grants no more in a
// window than the quota allows, what may be saved up beyond its burst, and overdraftShare.
func (b *bucket) take(now time.Time, at slot, bounds Bounds, amount float64) (granted bool, retryAfter time.Duration) {
	b.refill(now)
	b.granted.expire(at)
	b.usedAt = now
	tolerance := bounds.tolerance(b.quota)
	needed := max(0, min(amount-overdraftShare*tolerance, b.capacity))
	room := bounds.limit(b.quota) + (savedShare+overdraftShare)*tolerance - b.granted.sum - amount
	if b.level >= needed && room >= 0 {
		b.level -= amount
		b.granted.add(at, amount)
		return true, 0
	}
	next := b.refilledAt
	if next.Before(now) {
		next = now
	}
	next = next.Add(secondsAt(max(0, needed-b.level), b.quota.Rate))
	if room < 0 && len(b.granted.entries) > 0 {
		oldest := b.granted.entries[0].at
		if freed := now.Add(time.Duration(oldest+windowSlots+1-at) * bounds.slotLength()); freed.After(next) {
			next = freed
		}
	}
	return false, b.promise(now, next, amount)
}

// promise returns a Retry-After not before next, after the callers that were told to come back
// earlier, and counts this one.
func (b *bucket) promise(now, next time.Time, amount float64) time.Duration {
	if b.promisedUntil.After(next) {
		next = b.promisedUntil
	}
	retryAfter := next.Sub(now)
	if retryAfter >= maxRetryAfter {
		return maxRetryAfter
	}
	b.promisedUntil = next.Add(secondsAt(amount, b.quota.Rate))
	return max(retryAfter, minRetryAfter)
}

// giveBack returns an amount that was taken at takenAt and not used.
func (b *bucket) giveBack(now time.Time, takenAt slot, amount float64) {
	b.refill(now)
	b.level = min(b.capacity, b.level+amount)
	b.granted.remove(takenAt, amount)
}

// isForgettable reports whether a bucket that this node has owned for long would start anew
// like this one.
func (b *bucket) isForgettable(now time.Time, at slot) bool {
	b.refill(now)
	b.granted.expire(at)
	return len(b.granted.entries) == 0 && (b.level >= b.capacity || now.Sub(b.usedAt) >= maxRefillTime)
}

// allotment is what a node may grant from a part of the tolerance without the owner's bucket. It
// is not safe for concurrent use.
type allotment struct {
	granted window
	usedAt  time.Time
}

// take grants an amount if no more than limit is granted in a window.
func (a *allotment) take(now time.Time, at slot, limit, amount float64) bool {
	a.granted.expire(at)
	a.usedAt = now
	if a.granted.sum+amount > limit {
		return false
	}
	a.granted.add(at, amount)
	return true
}

// wait returns how long it takes until the oldest grant no longer counts.
func (a *allotment) wait(at slot, bounds Bounds) time.Duration {
	if len(a.granted.entries) == 0 {
		return bounds.Window
	}
	return time.Duration(max(1, a.granted.entries[0].at+windowSlots+1-at)) * bounds.slotLength()
}
