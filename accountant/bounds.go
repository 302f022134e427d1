// Package accountant enforces the quotas of accounts over all nodes together. One node is the
// soft owner of each account and keeps its token bucket in memory; the other nodes query it for
// each request. While the owner does not answer, its deputy and then each node by itself grant a
// small part of the quota, so that all nodes together stay within its tolerance.
package accountant

import (
	"time"

	"github.com/foxtailspool/foxtailspool/limiter"
)

// Bounds say by how much all nodes together may exceed a quota in any window.
type Bounds struct {
	// Window is the length of the windows; zero means defaultWindow.
	Window time.Duration
	// Over is the tolerance as a share of what the quota allows in a window.
	Over float64
	// Slack is a fixed tolerance in tokens. It does not apply to quotas that count requests.
	Slack limiter.Amount
}

const (
	// defaultWindow is the platform's usual window.
	defaultWindow = 8 * time.Second
	// windowSlots is the number of parts of a window in which amounts are counted. A window
	// counts up to one part too long. At 64 that is 1/8 s of the rate, which is less than what
	// overdraftShare leaves of a tolerance of 0.1.
	windowSlots = 64
)

func (b Bounds) withDefaults() Bounds {
	if b.Window <= 0 {
		b.Window = defaultWindow
	}
	return b
}

// limit returns what a quota allows in a window.
func (b Bounds) limit(quota limiter.AccountQuota) float64 {
	return quota.Rate*b.Window.Seconds() + float64(quota.Burst)
}

// tolerance returns by how much all nodes together may exceed limit.
func (b Bounds) tolerance(quota limiter.AccountQuota) float64 {
	tolerance := b.Over * b.limit(quota)
	if quota.Tokens {
		tolerance += float64(b.Slack)
	}
	return tolerance
}

// The shares of the tolerance that each source of additional grants may use. They add up to one.
const (
	// savedShare is what an account may save up beyond its burst: what callers may send is bounded
	// in a window, and a bucket that holds no more than the burst refuses spikes that the window
	// allows.
	savedShare = 0.35
	// deputyShare is what the deputies grant in a window while the owner doesn't answer.
	deputyShare = 0.2
	// initialShare is what the bucket of a new owner holds at first.
	initialShare = 0.15
	// overdraftShare is for the last request, which takes the level below zero, and for amounts
	// that are given back late.
	overdraftShare = 0.15
	// aloneShare is what all nodes together grant in a window while they reach neither owner nor
	// deputy.
	aloneShare = 0.15
)

// saved returns the most that an account may save up.
func (b Bounds) saved(quota limiter.AccountQuota) float64 {
	return float64(quota.Burst) + savedShare*b.tolerance(quota)
}

// slotLength returns the length of the parts of a window.
func (b Bounds) slotLength() time.Duration { return b.Window / windowSlots }

// slot numbers the parts of windows.
type slot int64

// window sums the amounts of the last window. The zero window is empty.
type window struct {
	// entries are in the order of their slots, at most one for each slot.
	entries []windowEntry
	// sum is the sum of the entries.
	sum float64
}

type windowEntry struct {
	at     slot
	amount float64
}

// expire drops what is older than a window.
func (w *window) expire(now slot) {
	expired := 0
	for expired < len(w.entries) && w.entries[expired].at < now-windowSlots {
		w.sum -= w.entries[expired].amount
		expired++
	}
	w.entries = append(w.entries[:0], w.entries[expired:]...)
	if len(w.entries) == 0 {
		// The sum of nothing has no rounding error.
		w.sum = 0
	}
}

// add counts an amount.
func (w *window) add(at slot, amount float64) {
	i := len(w.entries)
	for i > 0 && w.entries[i-1].at > at {
		i--
	}
	w.sum += amount
	if i > 0 && w.entries[i-1].at == at {
		w.entries[i-1].amount += amount
		return
	}
	w.entries = append(w.entries, windowEntry{})
	copy(w.entries[i+1:], w.entries[i:])
	w.entries[i] = windowEntry{at: at, amount: amount}
}

// remove takes back an amount that was counted at a slot, and no more than was counted there.
func (w *window) remove(at slot, amount float64) {
	for i := range w.entries {
		if entry := &w.entries[i]; entry.at == at {
			amount = min(amount, entry.amount)
			entry.amount -= amount
			w.sum -= amount
		}
	}
}
