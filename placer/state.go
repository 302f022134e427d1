package placer

import (
	"sort"
	"strconv"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Decision answers one waiting demand.
type Decision struct {
	Request identifier.Request
	Attempt uint64
	Node    identifier.Node
	Outcome Outcome
}

// Order tells the engines' side to cancel one attempt. It is repeated until
// Confirm is called with its grant.
type Order struct {
	Grant   identifier.Grant
	Request identifier.Request
	// Stream names the attempt on the engines, Attempt fences the cancel.
	Stream  uint64
	Attempt uint64
	Members []identifier.Member
}

// Held is a grant as its node renews it and as the status shows it.
type Held struct {
	Grant   identifier.Grant
	Demand  Demand
	Prefill identifier.Member
	Decode  identifier.Member
	Pieces  identifier.Pieces
	// Stream names the engines' stream: the attempt that first got the memory.
	Stream uint64
	// Output is how many tokens were generated so far.
	Output identifier.Tokens
	// Decoding tells that the KV cache has reached the decode engine.
	Decoding bool
	// PrefillTook is how long the prefill took; zero is unknown yet.
	PrefillTook time.Duration
}

type phase uint8

const (
	// leased grants are renewed by their node.
	leased phase = iota
	// orphaned grants lapsed; a later attempt may still take them over.
	orphaned
	// cancelling grants keep their memory until the engine confirms.
	cancelling
)

// grant is memory given to a request.
type grant struct {
	Held
	prefill *engine
	decode  *engine
	// index is the grant's index in the decode engine's held.
	index     int
	phase     phase
	grantedAt time.Time
	// uncachedPrompt is what the prefill has to compute, and apart tells that it had its
	// engine to itself, as planned.
	uncachedPrompt identifier.Tokens
	ranAlone       bool
	// plannedStart is when the stream was planned to begin, told when Output was told.
	plannedStart time.Time
	progressAt   time.Time
	// requestedAttempt is the attempt that the demand named; the grant's may be larger.
	requestedAttempt uint64
	// expiresAt is the end of the lease of a held grant, of the grace of an
	// orphaned one, and the next order of a cancelling one.
	expiresAt time.Time
}

// accountUse is what one account holds and waits for in one rank.
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
	// sortedEngines is every engine, prefills and decodes those of a role, sorted by name.
	sortedEngines []*engine
	prefills      []*engine
	decodes       []*engine
	// decodeCapacity is the decode memory of all engines of the table.
	decodeCapacity identifier.Pieces
	// usedByRank is the granted decode memory by rank.
	usedByRank [len(identifier.Ranks)]identifier.Pieces
	// grants holds every grant whose memory is not known to be free.
	grants map[identifier.Grant]*grant
	// latestGrants is the grant of the latestGrants attempt of each request.
	latestGrants map[identifier.Request]*grant
	queued       map[identifier.Request]*waitingDemand
	queues       [len(identifier.Ranks)]queue
	// accounts holds the accounts that hold or wait for memory.
	accounts   map[accountKey]*accountUse
	estimators map[identifier.Route]*estimator
	// unclaimedStreams are the unclaimed attempts that engines hold, with the time of
	// their next cancel.
	unclaimedStreams map[unclaimedStream]time.Time
	prefixes         *prefixIndex
	// matchNumber numbers the demands that were matched with the index.
	matchNumber uint64
	// freedRate is the memory that comes free, served what each rank is granted.
	freedRate    decayingRate
	grantedRates [len(identifier.Ranks)]decayingRate
	// arrivalRate is the memory that demands of new callers ask for.
	arrivalRate decayingRate
	// lastUrgentAt is when an lastUrgentAt demand last came in, urgentWait the average time
	// that the last ones had left.
	lastUrgentAt      time.Time
	averageUrgentWait time.Duration
	issuedGrants      uint64
	decisions         []Decision
	orders            []Order
	// averageTokenTime is the average time that a stream takes for a token.
	averageTokenTime time.Duration
	// refusedCallers holds the callers that were refused, by Demand.Returning.
	refusedCallers map[uint64]struct{}
	// averageStepTime is the average time between two tokens that decode engines reported.
	averageStepTime time.Duration
	// averageRequest is what an average request takes, splitSince since when another split of
	// the engines is better, and splitToPrefill in which direction.
	averageRequest         requestAverages
	betterSplitSince       time.Time
	betterSplitAddsPrefill bool
	// blockedScratch is scratch space of place.
	blockedScratch []*waitingDemand
	// nextExpiry is when the earliest grant expires, at the latest.
	nextExpiry time.Time
}

// New returns the placer of a shard without engines.
func New(now time.Time, settings Settings) *Placer {
	return &Placer{
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
}

// Configure replaces the engines and the limits by those of a new configuration.
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
		known.Engine = configured
		known.removed = false
		if configured.Role == identifier.Decode {
			p.decodeCapacity += configured.Pieces
		}
	}
	p.sortEngines()
}

// sortEngines lists the engines by role and forgets removed ones without grants.
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

// Take returns the decisions and the orders since the last call.
func (p *Placer) Take() ([]Decision, []Order) {
	decisions, orders := p.decisions, p.orders
	p.decisions, p.orders = nil, nil
	return decisions, orders
}

// Held lists the grants by id.
func (p *Placer) Held() []Held {
	list := make([]Held, 0, len(p.grants))
	for _, g := range p.grants {
		list = append(list, g.Held)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Grant < list[j].Grant })
	return list
}

// Waiting counts the queued demands of a rank.
func (p *Placer) Waiting(rank identifier.Rank) int {
	return p.queues[rank].length()
}

// isRebuilding tells whether grants of an earlier owner may still be unknown.
func (p *Placer) isRebuilding(now time.Time) bool {
	return now.Sub(p.started) < p.settings.Rebuild
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

// addAccountUse adds to what an addAccountUse holds and waits for, and forgets idle accounts.
func (p *Placer) addAccountUse(d *Demand, heldPieces, queuedPieces identifier.Pieces) {
	use := p.accountUseOf(d)
	use.held += heldPieces
	use.queued += queuedPieces
	if use.held <= 0 && use.queued <= 0 {
		delete(p.accounts, accountKey{d.Account, d.Rank})
	}
}

// bookGrant books the memory of a grant.
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

// addSuspect keeps suspect demands apart.
func (g *grant) addSuspect(change int) {
	if !g.Demand.Suspect {
		return
	}
	g.decode.suspects += change
	if g.prefill != nil {
		g.prefill.suspects += change
	}
}

// freeGrant returns the memory of a grant.
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
	g.decode.recordFreed(now, g.Pieces)
	p.freedRate.add(now, g.Pieces)
	if g.decode.removed && len(g.decode.grants) == 0 {
		p.sortEngines()
	}
}

// removeGrant takes a grant out of held by moving the last one to its place.
func (e *engine) removeGrant(g *grant) {
	last := len(e.grants) - 1
	e.grants[g.index] = e.grants[last]
	e.grants[g.index].index = g.index
	e.grants[last] = nil
	e.grants = e.grants[:last]
}

// maxRecentlyFreed bounds the releases that an engine's report is explained by.
const maxRecentlyFreed = 1000

func (e *engine) recordFreed(now time.Time, pieces identifier.Pieces) {
	if len(e.recentlyFreed) >= maxRecentlyFreed {
		e.recentlyFreed = e.recentlyFreed[1:]
	}
	e.recentlyFreed = append(e.recentlyFreed, freedMemory{now, pieces})
}

// resizeGrant changes the memory of a grant whose output outgrew its reservation.
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

// Room is the free less the awaited part of the decode memory; it is negative
// when more is awaited than is free.
func (p *Placer) Room() float64 {
	room := p.decodeCapacity - p.usedByRank[identifier.Urgent] - p.usedByRank[identifier.Lesser]
	for i := range p.queues {
		room -= p.queues[i].pieces
	}
	return float64(room) / float64(max(1, p.decodeCapacity))
}
