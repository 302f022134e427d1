package placer

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
)

// Engine is the configuration of one engine of a shard, from the pools table.
type Engine struct {
	Member     identifier.Member
	Role       identifier.Role
	DataCentre identifier.DataCentre
	// Pieces is the size of the engine's memory, positive.
	Pieces identifier.Pieces
	// PrefillRate is in tokens a second; zero means DefaultPrefillRate.
	PrefillRate identifier.Tokens
	// LinkRate is in bytes a second; zero means DefaultLinkRate.
	LinkRate identifier.BytesPerSecond
	// Slots is the number of requests that the engine runs at once; zero means no limit.
	Slots int
	// Draining engines finish what they run and get no new work.
	Draining bool
	// Rate is how many requests a second the engine takes, prefills included; zero means no
	// limit. An engine with a limit does not count in the split of roles.
	Rate float64
	// Process is the start of the engine's process; zero means unknown. What is known of the
	// outcomes of an earlier process is dropped.
	Process time.Time
}

// The rates of engines for which the pools table gives none.
const (
	DefaultPrefillRate identifier.Tokens         = 20_000
	DefaultLinkRate    identifier.BytesPerSecond = 4_000_000_000
)

// Load is an engine's own report. It is already out of date when it arrives.
type Load struct {
	// TakenAt is when the engine took the report, according to the engine itself.
	TakenAt time.Time
	// Age is how old the report was when the engine was queried; zero means unknown.
	Age time.Duration
	// Role is the engine's current role; empty if the engine does not report it.
	Role identifier.Role
	// Free is the memory that no request holds.
	Free identifier.Pieces
	// Running is the number of requests in the batch.
	Running int
	// StepTime is the time between two tokens of a stream; zero means unknown.
	StepTime time.Duration
	// PrefillRate is the measured rate in tokens a second; zero means unknown.
	PrefillRate identifier.Tokens
	// Backlog is the number of prompt tokens that wait for their prefill.
	Backlog identifier.Tokens
	// CachePosition is how far the engine's cache events were read for this report.
	CachePosition CachePosition
	// CacheEventsRead reports that the cache events were read, even if there were none.
	CacheEventsRead bool
	// CacheEventsLost reports a gap in the cache events. Events before the gap are no
	// longer valid.
	CacheEventsLost bool
	// Cached are the prefixes that the cache events report as cached, late and with gaps.
	Cached []uint64
	// Evicted are the prefixes that the cache events report as evicted.
	Evicted []uint64
	// Holding lists the requests that hold memory; nil if the engine does not report
	// them.
	Holding []Holding
}

// CachePosition is a position in an engine's cache events. Only the engine adapter
// interprets it. Its zero value is the beginning.
type CachePosition struct {
	Instance string
	Number   uint64
	RetryAt  time.Time
}

// Holding is one request for which an engine reports that it holds memory.
type Holding struct {
	Request identifier.Request
	// Stream is the attempt that identifies the stream on the engine.
	Stream uint64
	Pieces identifier.Pieces
}

// engine is the placer's state of one engine.
type engine struct {
	Engine
	// used is the memory that the grants reserve.
	used identifier.Pieces
	// grants lists the grants that decode on this engine.
	grants []*grant
	// unclaimed is memory that the last report showed in use without a known grant.
	unclaimed identifier.Pieces
	load      Load
	// grantedSinceReport is the memory granted since the last report was taken.
	grantedSinceReport identifier.Pieces
	// prefillBusyUntil is when the prefills granted so far are expected to end.
	prefillBusyUntil time.Time
	// linkBusyUntil is when the KV cache transfers granted so far are expected to end.
	linkBusyUntil time.Time
	// cacheEpoch counts the gaps in the engine's cache events, starting at one. Events of
	// an earlier epoch are no longer valid.
	cacheEpoch       uint64
	cacheEventsAt    time.Time
	longPrefillUntil time.Time
	// cachedBlocks is how many of a prompt's leading blocks the engine caches, as found
	// by the call of matchPrefixes with the number matchNumber.
	cachedBlocks  int
	matchNumber   uint64
	cooldownUntil time.Time
	// recentlyFreed is the memory freed since the last report, oldest first.
	recentlyFreed []freedMemory
	// suspects counts the suspect grants on this engine in either role.
	suspects int
	// tokenTime is the moving average of the time for one token; zero means unknown.
	tokenTime time.Duration
	// lastPeakUse is the forecast peak use with the last demand tried on the engine.
	lastPeakUse float64
	forecast    forecast
	// learnedPrefillRate is a moving average in tokens a second; zero means unknown.
	learnedPrefillRate float64
	// prefillBatch is the batch that the next prefill joins, or nil.
	prefillBatch *prefillBatch
	// prefillsMeasuredUntil is the end of the last prefill that the rate was learned from.
	prefillsMeasuredUntil time.Time
	// handOverFailures is the moving share of this engine's prefilled prompts that no decode
	// engine used.
	handOverFailures movingAverage
	// noLocalPrefillUntil is when this decode engine may read the next prompt itself.
	noLocalPrefillUntil time.Time
	roleChangeOrdered   bool
	nextRole            identifier.Role
	// roleChangeUntil is the time up to which the engine gets no new work because its
	// role changes. It is cleared once the configuration has nextRole.
	roleChangeUntil time.Time
	// removed engines are no longer configured but still have grants.
	removed bool
	// quota has the requests that an engine with a Rate takes now.
	quota limiter.Bucket
	// outcomes is what is known of the outcomes of Process.
	outcomes engineOutcomes
}

// freedMemory is memory that one grant freed.
type freedMemory struct {
	at     time.Time
	pieces identifier.Pieces
}

// accepts reports whether the engine takes new work. It does not check for free memory.
func (e *engine) accepts(now time.Time, d *Demand) bool {
	if e.Draining || e.removed || now.Before(e.cooldownUntil) || now.Before(e.roleChangeUntil) || e.outcomes.blocked || d.Suspect && e.suspects > 0 {
		return false
	}
	return e.reportsTableRole() && !avoids(d, e) && e.hasQuota(now)
}

// reportsTableRole reports whether the engine reports no role or its role in the pools
// table. An engine whose role changes reports its earlier role until its work has ended.
func (e *engine) reportsTableRole() bool {
	return e.load.Role == "" || e.load.Role == e.Role
}

// grantablePieces returns the memory that may be granted now. While the placer rebuilds
// its state, it is at most the reported free memory minus the grants since.
func (e *engine) grantablePieces(rebuilding bool) identifier.Pieces {
	free := e.Pieces - e.used - e.unclaimed
	if !rebuilding {
		return free
	}
	if e.load.TakenAt.IsZero() {
		return 0
	}
	return min(free, e.load.Free-e.grantedSinceReport)
}

// prefillRate returns the rate to plan with in tokens a second: the learned rate if there
// is one, otherwise the lower of the reported and the configured rate.
func (e *engine) prefillRate() identifier.Tokens {
	rate := e.configuredPrefillRate()
	if e.load.PrefillRate > 0 && e.load.PrefillRate < rate {
		rate = e.load.PrefillRate
	}
	if e.learnedPrefillRate > 0 {
		rate = identifier.Tokens(e.learnedPrefillRate)
	}
	return rate
}

func (e *engine) configuredPrefillRate() identifier.Tokens {
	if e.PrefillRate <= 0 {
		return DefaultPrefillRate
	}
	return e.PrefillRate
}

func (e *engine) linkRate() identifier.BytesPerSecond {
	if e.LinkRate <= 0 {
		return DefaultLinkRate
	}
	return e.LinkRate
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func timeAtRate(amount, rate float64) time.Duration {
	return time.Duration(amount / rate * float64(time.Second))
}
