package placer

import (
	"sort"
	"strconv"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Decision is the answer to one demand.
type Decision struct {
	Request identifier.Request
	Attempt uint64
	Node    identifier.Node
	Outcome Outcome
}

// Cancellation asks for one attempt to be cancelled on the engines. It is repeated until
// ConfirmCancel is called with its grant.
type Cancellation struct {
	Grant   identifier.Grant
	Request identifier.Request
	// Stream identifies the stream to cancel.
	Stream uint64
	// Attempt is the fencing number of the cancel.
	Attempt uint64
	Members []identifier.Member
}

// HeldGrant is the state of a grant, as its node renews it and as the status page shows
// it.
type HeldGrant struct {
	Grant   identifier.Grant
	Demand  Demand
	Prefill identifier.Member
	Decode  identifier.Member
	Pieces  identifier.Pieces
	// Stream identifies the stream by the attempt that first received the memory.
	Stream uint64
	// Output is the number of tokens generated so far.
	Output identifier.Tokens
	// Decoding reports whether the KV cache has reached the decode engine.
	Decoding bool
	// PrefillTime is how long the prefill took; zero means not known yet.
	PrefillTime time.Duration
}

type phase uint8

const (
	// leased grants are renewed by their node.
	leased phase = iota
	// orphaned grants lost their lease or node; a later attempt may take them over.
	orphaned
	// cancelling grants keep their memory until the engines confirm the cancel.
	cancelling
)

// grant is the memory and the engines given to one request.
type grant struct {
	HeldGrant
	prefill        *engine
	decode         *engine
	index          int
	phase          phase
	grantedAt      time.Time
	uncachedPrompt identifier.Tokens
	// prefillBatch is the batch that waits for the time of the grant's prefill, or nil.
	prefillBatch *prefillBatch
	// plannedStart is when the stream was planned to begin on the decode engine.
	plannedStart time.Time
	progressAt   time.Time
	// process and prefillProcess are the processes of the engines that were granted.
	process        time.Time
	prefillProcess time.Time
	// adopted means that the grant was given elsewhere, at an unknown time.
	adopted bool
	// prefillCounted is set once the outcome of the prefill was counted.
	prefillCounted bool
	// requestedAttempt is the attempt in the demand; the granted attempt may be larger.
	requestedAttempt uint64
	// expiresAt is the end of the lease or, for an orphaned grant, of its grace. For a
	// cancelling grant it is the time of the next cancel order.
	expiresAt time.Time
}

// accountUse is the memory that one account holds and queues for in one rank.
type accountUse struct {
	held   identifier.Pieces
	queued identifier.Pieces
}

type accountKey struct {
	account identifier.Account
	rank    identifier.Rank
}

// Placer is the state of one shard of a pool. It is not safe for concurrent use.
type Placer struct {
	settings Settings
	started  time.Time
	engines  map[identifier.Member]*engine
	// sortedEngines lists all engines by name; prefills and decodes are parts of it.
	sortedEngines  []*engine
	prefills       []*engine
	decodes        []*engine
	decodeCapacity identifier.Pieces
	usedByRank     [len(identifier.Ranks)]identifier.Pieces
	// grants holds every grant whose memory is not known to be free.
	grants map[identifier.Grant]*grant
	// latestGrants maps each request to the grant of its latest attempt.
	latestGrants map[identifier.Request]*grant
	queued       map[identifier.Request]*waitingDemand
	queues       [len(identifier.Ranks)]queue
	accounts     map[accountKey]*accountUse
	// uses counts the accounts of each rank by their use.
	uses       [len(identifier.Ranks)]useHistogram
	estimators map[identifier.Route]*estimator
	// unclaimedStreams maps each stream that holds engine memory without a known grant to
	// the time of its next cancel order.
	unclaimedStreams map[unclaimedStream]time.Time
	prefixes         *prefixIndex
	// matchNumber is the number of the latest call of matchPrefixes.
	matchNumber  uint64
	freedRate    decayingRate
	grantedRates [len(identifier.Ranks)]decayingRate
	// arrivalRate is the rate of memory that new demands ask for, without retries after a
	// refusal.
	arrivalRate decayingRate
	// loads are the memory that first attempts of each rank ask for, promises what refused
	// callers of each rank were told to come back for.
	loads    [len(identifier.Ranks)]arrivalLoad
	promises [len(identifier.Ranks)]promiseRing
	// averageHeld is the average time, in seconds, for which first attempts hold memory.
	averageHeld  movingAverage
	poolForecast poolForecast
	lastUrgentAt time.Time
	// averageUrgentBudget is the average FirstTokenBudget of recent urgent demands.
	averageUrgentBudget time.Duration
	issuedGrants        uint64
	decisions           []Decision
	orders              []Cancellation
	averageTokenTime    time.Duration
	// refusedCallers holds the retry keys of refused demands.
	refusedCallers  map[uint64]struct{}
	averageStepTime time.Duration
	averageRequest  requestAverages
	// handOverFailures is the moving share of all prefilled prompts that no decode engine used.
	handOverFailures movingAverage
	// betterSplitSince is when another split of the engines became better than the
	// present one; zero means that none is better.
	betterSplitSince           time.Time
	betterSplitHasMorePrefills bool
	blockedScratch             []*waitingDemand
	// latestForecast is the number of the latest forecast of any engine.
	latestForecast uint64
	// hasOutcomes is set while an engine has lately failed or is restricted for it.
	hasOutcomes    bool
	outcomeChanges []OutcomeChange
	// probeCredit has the probes that the limited engines of each role may get.
	probeCredit [2]float64
	// nextExpiry is at or before the next expiry of a grant; zero means no expiry.
	nextExpiry time.Time
}

// New returns the placer of a shard without engines. Its rebuild time starts at now.
func New(now time.Time, settings Settings) *Placer {
	p := &Placer{
		settings:         settings.withDefaults(),
		started:          now,
		engines:          map[identifier.Member]*engine{},
		grants:           map[identifier.Grant]*grant{},
		latestGrants:     map[identifier.Request]*grant{},
		queued:           map[identifier.Request]*waitingDemand{},
		accounts:         map[accountKey]*accountUse{},
		estimators:       map[identifier.Route]*estimator{"": newEstimator()},
		unclaimedStreams: map[unclaimedStream]time.Time{},
		refusedCallers:   map[uint64]struct{}{},
		averageTokenTime: defaultTokenTime,
		arrivalRate:      decayingRate{window: arrivalRateWindow},
		prefixes:         newPrefixIndex(),
	}
	for i := range p.loads {
		p.loads[i] = newArrivalLoad()
	}
	return p
}

// Configure replaces the engines and settings. Removed engines keep their grants.
func (p *Placer) Configure(settings Settings, engines []Engine) {
	p.settings = settings.withDefaults()
	for _, e := range p.engines {
		e.removed = true
	}
	p.decodeCapacity = 0
	for _, configured := range engines {
		known := p.engines[configured.Member]
		if known == nil {
			known = &engine{cacheEpoch: 1}
			p.engines[configured.Member] = known
		}
		if configured.Role == known.nextRole {
			known.roleChangeUntil = time.Time{}
		}
		known.prepareRate(configured.Rate)
		if !isSameProcess(known.Process, configured.Process) || known.Role != configured.Role {
			if known.outcomes.isLimited() {
				p.addOutcomeChange(time.Time{}, known, false)
			}
			known.outcomes = engineOutcomes{}
		}
		known.Engine = configured
		known.removed = false
		if configured.Role == identifier.Decode {
			p.decodeCapacity += configured.Pieces
		}
	}
	p.sortEngines()
}

// sortEngines rebuilds the engine lists and drops removed engines without grants.
func (p *Placer) sortEngines() {
	p.sortedEngines, p.prefills, p.decodes = nil, nil, nil
	for name, e := range p.engines {
		if e.removed && len(e.grants) == 0 {
			delete(p.engines, name)
			continue
		}
		p.sortedEngines = append(p.sortedEngines, e)
	}
	sort.Slice(p.sortedEngines, func(i, j int) bool { return p.sortedEngines[i].Member < p.sortedEngines[j].Member })
	for _, e := range p.sortedEngines {
		if e.Role == identifier.Prefill {
			p.prefills = append(p.prefills, e)
		} else {
			p.decodes = append(p.decodes, e)
		}
	}
}

// TakeDecisions returns the decisions and the cancel orders since the last call.
func (p *Placer) TakeDecisions() ([]Decision, []Cancellation) {
	decisions, orders := p.decisions, p.orders
	p.decisions, p.orders = nil, nil
	return decisions, orders
}

// HeldGrants returns all grants, sorted by id.
func (p *Placer) HeldGrants() []HeldGrant {
	list := make([]HeldGrant, 0, len(p.grants))
	for _, g := range p.grants {
		list = append(list, g.HeldGrant)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Grant < list[j].Grant })
	return list
}

// QueueLength returns the number of queued demands of a rank.
func (p *Placer) QueueLength(rank identifier.Rank) int {
	return p.queues[rank].length()
}

// UnreservedPieces returns the memory of an engine that no grant reserves.
func (p *Placer) UnreservedPieces(member identifier.Member) identifier.Pieces {
	e := p.engines[member]
	if e == nil {
		return 0
	}
	return max(0, e.Pieces-e.used)
}

// Waiting returns the number of queued demands of all ranks.
func (p *Placer) Waiting() int {
	return len(p.queued)
}

// isRebuilding reports whether grants of an earlier owner may still be unknown.
func (p *Placer) isRebuilding(now time.Time) bool {
	return now.Sub(p.started) < p.settings.RebuildTime
}

func (p *Placer) accountUseOf(d *Demand) *accountUse {
	key := accountKey{d.Account, d.Rank}
	known := p.accounts[key]
	if known == nil {
		known = &accountUse{}
		p.accounts[key] = known
	}
	return known
}

// addAccountUse adds to an account's held and queued memory, and deletes an empty entry.
func (p *Placer) addAccountUse(d *Demand, heldPieces, queuedPieces identifier.Pieces) {
	use := p.accountUseOf(d)
	before := use.held + use.queued
	use.held += heldPieces
	use.queued += queuedPieces
	p.uses[d.Rank].change(before, use.held+use.queued)
	if use.held <= 0 && use.queued <= 0 {
		delete(p.accounts, accountKey{d.Account, d.Rank})
	}
}

// bookGrant books the memory of a grant on its decode engine, rank and account.
func (p *Placer) bookGrant(g *grant) {
	p.grants[g.Grant] = g
	p.latestGrants[g.Demand.Request] = g
	g.decode.used += g.Pieces
	g.index = len(g.decode.grants)
	g.decode.grants = append(g.decode.grants, g)
	g.decode.forecast.at = time.Time{}
	p.usedByRank[g.Demand.Rank] += g.Pieces
	p.addAccountUse(&g.Demand, g.Pieces, 0)
	g.addSuspect(1)
	p.checkExpiryBy(g.expiresAt)
}

func (g *grant) addSuspect(change int) {
	if !g.Demand.Suspect {
		return
	}
	g.decode.suspects += change
	if g.prefill != nil {
		g.prefill.suspects += change
	}
}

// freeGrant removes a grant and frees its memory.
func (p *Placer) freeGrant(now time.Time, g *grant) {
	delete(p.grants, g.Grant)
	if p.latestGrants[g.Demand.Request] == g {
		delete(p.latestGrants, g.Demand.Request)
	}
	g.decode.used -= g.Pieces
	g.decode.removeGrant(g)
	g.decode.forecast.at = time.Time{}
	p.usedByRank[g.Demand.Rank] -= g.Pieces
	p.addAccountUse(&g.Demand, -g.Pieces, 0)
	g.addSuspect(-1)
	g.breakPrefillBatch()
	g.decode.recordFreed(now, g.Pieces)
	p.freedRate.add(now, g.Pieces)
	if g.decode.removed && len(g.decode.grants) == 0 {
		p.sortEngines()
	}
}

// removeGrant removes a grant from the engine's list by moving the last one to its index.
func (e *engine) removeGrant(g *grant) {
	last := len(e.grants) - 1
	e.grants[g.index] = e.grants[last]
	e.grants[g.index].index = g.index
	e.grants[last] = nil
	e.grants = e.grants[:last]
}

// maxRecentlyFreed limits the freed grants that are kept to explain an engine's report.
const maxRecentlyFreed = 1000

func (e *engine) recordFreed(now time.Time, pieces identifier.Pieces) {
	if len(e.recentlyFreed) >= maxRecentlyFreed {
		e.recentlyFreed = e.recentlyFreed[1:]
	}
	e.recentlyFreed = append(e.recentlyFreed, freedMemory{now, pieces})
}

// resizeGrant grows a grant whose output exceeded its reservation.
func (p *Placer) resizeGrant(g *grant, pieces identifier.Pieces) {
	grown := pieces - g.Pieces
	g.Pieces = pieces
	g.decode.used += grown
	p.usedByRank[g.Demand.Rank] += grown
	p.addAccountUse(&g.Demand, grown, 0)
}

func (p *Placer) checkExpiryBy(at time.Time) {
	if p.nextExpiry.IsZero() || at.Before(p.nextExpiry) {
		p.nextExpiry = at
	}
}

func (p *Placer) nextGrant() identifier.Grant {
	p.issuedGrants++
	return identifier.Grant(p.settings.Issuer + "-" + strconv.FormatUint(p.issuedGrants, 36))
}

// SpareMemoryShare returns the free decode memory minus what the queued demands need, as
// a fraction of the capacity. It is negative if they need more than is free.
func (p *Placer) SpareMemoryShare() float64 {
	spare := p.unreservedPieces()
	for i := range p.queues {
		spare -= p.queues[i].pieces
	}
	return float64(spare) / float64(max(1, p.decodeCapacity))
}
