package placer

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Engine describes one engine of a shard as the pools table has it.
type Engine struct {
	Member     identifier.Member
	Role       identifier.Role
	DataCentre identifier.DataCentre
	// Pieces is the engine's memory, positive.
	Pieces identifier.Pieces
	// PrefillRate is in tokens a second; zero takes DefaultPrefillRate.
	PrefillRate identifier.Tokens
	// LinkRate is in bytes a second; zero takes DefaultLinkRate.
	LinkRate identifier.BytesPerSecond
	// Slots is how many requests the engine runs at once; zero is no bound.
	Slots int
	// Leaving engines keep what they run and get nothing new.
	Leaving bool
}

// The rates of engines whose rows of the pools table name none.
const (
	DefaultPrefillRate identifier.Tokens         = 20_000
	DefaultLinkRate    identifier.BytesPerSecond = 4_000_000_000
)

// Load is an engine's own report. It is old by the time it is read.
type Load struct {
	// At is when the report was taken, as far as the engine tells.
	At time.Time
	// Age is how old the report was when the engine was asked; zero is unknown.
	Age time.Duration
	// Role is the role that the engine has; empty when it does not tell.
	Role identifier.Role
	// Free is the memory that no request holds.
	Free identifier.Pieces
	// Running counts the requests in the batch.
	Running int
	// Step is the time between two tokens of a stream; zero is unknown.
	Step time.Duration
	// PrefillRate is the measured rate in tokens a second; zero is unknown.
	PrefillRate identifier.Tokens
	// Backlog is the prompt tokens that wait for their prefill.
	Backlog identifier.Tokens
	// CachePosition is how far the engine's cache events were read for this report.
	CachePosition CachePosition
	// CacheKnown tells that the events came, whether any or none; CacheLost that what
	// they told before this report does not stand any more.
	CacheKnown bool
	CacheLost  bool
	// Cached and Evicted are the prefix hashes of those events, late and with gaps.
	Cached  []uint64
	Evicted []uint64
	// Holding lists the requests that hold memory; nil when the engine does not tell.
	Holding []Holding
}

// CachePosition is a place in an engine's cache events, which only the adapter of
// engines reads. Its zero value is the beginning.
type CachePosition struct {
	Instance string
	Number   uint64
	RetryAt  time.Time
}

// Holding is one request that an engine says it holds memory for.
type Holding struct {
	Request identifier.Request
	// Stream is the attempt that the engine's stream is named by.
	Stream uint64
	Pieces identifier.Pieces
}

// engine is an engine with what the placer knows about it.
type engine struct {
	Engine
	// used is the sum of the pieces of all grants whose decode engine this is.
	used identifier.Pieces
	// grants lists those grants.
	grants []*grant
	// unclaimed is memory that the last report showed held by no grant known here.
	unclaimed identifier.Pieces
	load      Load
	// grantedSinceReport is the pieces grantedSinceReport since the last report was measured.
	grantedSinceReport identifier.Pieces
	// prefillBusyUntil is when the prefills granted so far are expected to end,
	// linkUntil when the transfers are.
	prefillBusyUntil time.Time
	linkBusyUntil    time.Time
	// cacheEpoch counts the breaks in the engine's cache events, from one; what they
	// told in an earlier epoch does not stand. cacheHeard is when they last came.
	cacheEpoch    uint64
	cacheEventsAt time.Time
	// longPrefillUntil is when the last long lesser prefill is expected to end.
	longPrefillUntil time.Time
	// cachedBlocks is how many prefix blocks of the demand numbered stamp are cached.
	cachedBlocks int
	matchNumber  uint64
	// cooldownUntil keeps an engine that failed out of new grants for a while.
	cooldownUntil time.Time
	// recentlyFreed lists what was released since the last report, oldest first.
	recentlyFreed []freedMemory
	// suspects counts the grants of suspect demands here, as either engine.
	suspects int
	// tokenTime is a learned average of the time for a token; zero is unknown.
	tokenTime time.Duration
	// lastPeakUse is the peak that was foreseen for the last demand that was tried.
	lastPeakUse float64
	// forecast is the last foreseen use.
	forecast forecast
	// learnedPrefillRate is the learned learnedPrefillRate of prefills in tokens a second; zero is unknown.
	// alone is the grant whose prefill had the engine to itself so far.
	learnedPrefillRate float64
	solePrefill        *grant
	// noLocalPrefillUntil is when the engine may be given the next prompt to read itself while
	// it decodes.
	noLocalPrefillUntil time.Time
	// roleChangeOrdered tells that the engine was told to change its role. Until
	// changingUntil it gets nothing; then, or once the table says so, it is what it
	// becomes.
	roleChangeOrdered bool
	nextRole          identifier.Role
	roleChangeUntil   time.Time
	// removed engines left the table but still carry grants.
	removed bool
}

// freedMemory is memory that a release gave back.
type freedMemory struct {
	at     time.Time
	pieces identifier.Pieces
}

// accepts tells whether the engine may get new work at all.
func (e *engine) accepts(now time.Time, d *Demand) bool {
	if e.Leaving || e.removed || now.Before(e.cooldownUntil) || now.Before(e.roleChangeUntil) || d.Suspect && e.suspects > 0 {
		return false
	}
	return e.reportsTableRole() && !avoids(d, e)
}

// reportsTableRole tells whether the engine has the role of its row of the table, as far
// as it told. Until it has finished its work of an earlier role it reports that one.
func (e *engine) reportsTableRole() bool {
	return e.load.Role == "" || e.load.Role == e.Role
}

// grantablePieces is the memory that may be granted now. While the placer rebuilds its
// state only what the engine itself reported as grantablePieces may be.
func (e *engine) grantablePieces(rebuilding bool) identifier.Pieces {
	free := e.Pieces - e.used - e.unclaimed
	if !rebuilding {
		return free
	}
	if e.load.At.IsZero() {
		return 0
	}
	return min(free, e.load.Free-e.grantedSinceReport)
}

// prefillRate is the rate to plan with: the measured one if it is the lower.
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

// configuredPrefillRate is the rate that the table gives.
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
