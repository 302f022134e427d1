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
	// held grants are renewed by their node.
	held phase = iota
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
	// place is the grant's index in the decode engine's held.
	place   int
	phase   phase
	granted time.Time
	// computes is what the prefill has to compute, and apart tells that it had its
	// engine to itself, as planned.
	computes identifier.Tokens
	apart    bool
	// ready is when the stream was planned to begin, told when Output was told.
	ready time.Time
	told  time.Time
	// asked is the attempt that the demand named; the grant's may be larger.
	asked uint64
	// expires is the end of the lease of a held grant, of the grace of an
	// orphaned one, and the next order of a cancelling one.
	expires time.Time
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
	// all is every engine, prefills and decodes those of a role, sorted by name.
	all      []*engine
	prefills []*engine
	decodes  []*engine
	// capacity is the decode memory of all engines of the table.
	capacity identifier.Pieces
	// used is the granted decode memory by rank.
	used [len(identifier.Ranks)]identifier.Pieces
	// grants holds every grant whose memory is not known to be free.
	grants map[identifier.Grant]*grant
	// latest is the grant of the latest attempt of each request.
	latest map[identifier.Request]*grant
	queued map[identifier.Request]*waiting
	queues [len(identifier.Ranks)]queue
	// accounts holds the accounts that hold or wait for memory.
	accounts   map[accountKey]*accountUse
	estimators map[identifier.Route]*estimator
	// strangers are the unclaimed attempts that engines hold, with the time of
	// their next cancel.
	strangers map[stranger]time.Time
	index     *prefixIndex
	// stamp numbers the demands that were matched with the index.
	stamp uint64
	// drain is the memory that comes free, served what each rank is granted.
	drain  drain
	served [len(identifier.Ranks)]drain
	// arriving is the memory that demands of new callers ask for.
	arriving drain
	// urgent is when an urgent demand last came in, urgentWait the average time
	// that the last ones had left.
	urgent     time.Time
	urgentWait time.Duration
	issued     uint64
	decisions  []Decision
	orders     []Order
	// tokenTime is the average time that a stream takes for a token.
	tokenTime time.Duration
	// returning holds the callers that were refused, by Demand.Returning.
	returning map[uint64]struct{}
	// step is the average time between two tokens that decode engines reported.
	step time.Duration
	// mix is what an average request takes, splitSince since when another split of
	// the engines is better, and splitToPrefill in which direction.
	mix            mix
	splitSince     time.Time
	splitToPrefill bool
	// blocked is scratch space of place.
	blocked []*waiting
	// lapse is when the earliest grant expires, at the latest.
	lapse time.Time
}

// New returns the placer of a shard without engines.
func New(now time.Time, settings Settings) *Placer {
	return &Placer{
		settings:   settings.withDefaults(),
		started:    now,
		engines:    map[identifier.Member]*engine{},
		grants:     map[identifier.Grant]*grant{},
		latest:     map[identifier.Request]*grant{},
		queued:     map[identifier.Request]*waiting{},
		accounts:   map[accountKey]*accountUse{},
		estimators: map[identifier.Route]*estimator{"": newEstimator()},
		strangers:  map[stranger]time.Time{},
		returning:  map[uint64]struct{}{},
		tokenTime:  defaultTokenTime,
		arriving:   drain{window: arrivalWindow},
		index:      newPrefixIndex(),
	}
}

// Configure replaces the engines and the limits by those of a new configuration.
func (p *Placer) Configure(settings Settings, engines []Engine) {
	p.settings = settings.withDefaults()
	for _, e := range p.engines {
		e.removed = true
	}
	p.capacity = 0
	for _, described := range engines {
		known := p.engines[described.Member]
		if known == nil {
			known = &engine{cacheEpoch: 1}
			p.engines[described.Member] = known
		}
		if described.Role == known.becomes {
			known.changingUntil = time.Time{}
		}
		known.Engine = described
		known.removed = false
		if described.Role == identifier.Decode {
			p.capacity += described.Pieces
		}
	}
	p.sortEngines()
}

// sortEngines lists the engines by role and forgets removed ones without grants.
func (p *Placer) sortEngines() {
	p.all, p.prefills, p.decodes = nil, nil, nil
	for name, e := range p.engines {
		if e.removed && len(e.held) == 0 {
			delete(p.engines, name)
			continue
		}
		p.all = append(p.all, e)
	}
	sort.Slice(p.all, func(i, j int) bool { return p.all[i].Member < p.all[j].Member })
	for _, e := range p.all {
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

// rebuilding tells whether grants of an earlier owner may still be unknown.
func (p *Placer) rebuilding(now time.Time) bool {
	return now.Sub(p.started) < p.settings.Rebuild
}

func (p *Placer) use(d *Demand) *accountUse {
	key := accountKey{d.Account, d.Rank}
	known := p.accounts[key]
	if known == nil {
		known = &accountUse{}
		p.accounts[key] = known
	}
	return known
}

// account adds to what an account holds and waits for, and forgets idle accounts.
func (p *Placer) account(d *Demand, heldPieces, queuedPieces identifier.Pieces) {
	use := p.use(d)
	use.held += heldPieces
	use.queued += queuedPieces
	if use.held <= 0 && use.queued <= 0 {
		delete(p.accounts, accountKey{d.Account, d.Rank})
	}
}

// hold books the memory of a grant.
func (p *Placer) hold(g *grant) {
	p.grants[g.Grant] = g
	p.latest[g.Demand.Request] = g
	g.decode.used += g.Pieces
	g.place = len(g.decode.held)
	g.decode.held = append(g.decode.held, g)
	g.decode.forecast.at = time.Time{}
	p.used[g.Demand.Rank] += g.Pieces
	p.account(&g.Demand, g.Pieces, 0)
	g.countSuspect(1)
	p.expireBy(g.expires)
}

// countSuspect keeps suspect demands apart.
func (g *grant) countSuspect(change int) {
	if !g.Demand.Suspect {
		return
	}
	g.decode.suspects += change
	if g.prefill != nil {
		g.prefill.suspects += change
	}
}

// free returns the memory of a grant.
func (p *Placer) free(now time.Time, g *grant) {
	delete(p.grants, g.Grant)
	if p.latest[g.Demand.Request] == g {
		delete(p.latest, g.Demand.Request)
	}
	g.decode.used -= g.Pieces
	g.decode.drop(g)
	g.decode.forecast.at = time.Time{}
	p.used[g.Demand.Rank] -= g.Pieces
	p.account(&g.Demand, -g.Pieces, 0)
	g.countSuspect(-1)
	g.decode.remember(now, g.Pieces)
	p.drain.add(now, g.Pieces)
	if g.decode.removed && len(g.decode.held) == 0 {
		p.sortEngines()
	}
}

// drop takes a grant out of held by moving the last one to its place.
func (e *engine) drop(g *grant) {
	last := len(e.held) - 1
	e.held[g.place] = e.held[last]
	e.held[g.place].place = g.place
	e.held[last] = nil
	e.held = e.held[:last]
}

// freedLimit bounds the releases that an engine's report is explained by.
const freedLimit = 1000

func (e *engine) remember(now time.Time, pieces identifier.Pieces) {
	if len(e.freed) >= freedLimit {
		e.freed = e.freed[1:]
	}
	e.freed = append(e.freed, freed{now, pieces})
}

// resize changes the memory of a grant whose output outgrew its reservation.
func (p *Placer) resize(g *grant, pieces identifier.Pieces) {
	grown := pieces - g.Pieces
	g.Pieces = pieces
	g.decode.used += grown
	p.used[g.Demand.Rank] += grown
	p.account(&g.Demand, grown, 0)
}

func (p *Placer) expireBy(at time.Time) {
	if p.lapse.IsZero() || at.Before(p.lapse) {
		p.lapse = at
	}
}

func (p *Placer) nextGrant() identifier.Grant {
	p.issued++
	return identifier.Grant(p.settings.Issuer + "-" + strconv.FormatUint(p.issued, 36))
}

// Room is the free less the awaited part of the decode memory; it is negative
// when more is awaited than is free.
func (p *Placer) Room() float64 {
	room := p.capacity - p.used[identifier.Urgent] - p.used[identifier.Lesser]
	for i := range p.queues {
		room -= p.queues[i].pieces
	}
	return float64(room) / float64(max(1, p.capacity))
}
