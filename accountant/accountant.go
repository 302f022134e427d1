package accountant

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/accountant/accountantrpc"
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
	"github.com/foxtailspool/foxtailspool/logger"
)

const (
	// observeInterval is how often the view is observed. It bounds how long a bucket is kept
	// that this node no longer owns.
	observeInterval = 100 * time.Millisecond
	// forgetInterval is how often unused accounts are looked for.
	forgetInterval = time.Second
	// aloneRetryAfter is the least Retry-After of a refusal that the owner did not decide on.
	// Up to as much is added at random: a new owner is known after about two seconds.
	aloneRetryAfter = time.Second
	// refusalLogInterval is the least time between two log lines of refusals of one account.
	refusalLogInterval = time.Second
)

// Options configures an Accountant.
type Options struct {
	// View returns the current membership view, never nil.
	View func() *assigner.View
	// Quota returns the quota of an account in this node's configuration, and false if it has
	// none. An owner prefers it to the quota of a query, so that nodes with an older
	// configuration don't change it back. Nil returns false.
	Quota func(identifier.Account) (limiter.AccountQuota, bool)
	// Listed returns the peer addresses of the other nodes by the platform's list, which may have
	// nodes that are gone. Nil returns none.
	Listed func() []identifier.Address
	// PeerTransport sends requests to the peer addresses of other nodes. It should not close
	// a connection that others use after a time-out, as queries time out soon.
	PeerTransport http.RoundTripper
	Bounds        Bounds
	// Log and Scope may be nil.
	Log   *logger.Logger
	Scope tally.Scope
}

// Accountant limits what accounts send through all nodes. It is safe for concurrent use.
type Accountant struct {
	options Options
	metrics metrics
	// sequence numbers the messages with returns.
	sequence atomic.Uint64

	// mutex guards the fields below.
	mutex  sync.Mutex
	ledger *ledger
	// spendings has the accounts that this node used lately.
	spendings map[identifier.Account]*spending
	links     map[process]*link
	// startLink starts a link's goroutine; it is nil while Run is not running.
	startLink func(*link)
}

// New returns an accountant. It sends nothing until Run is called.
func New(options Options) *Accountant {
	if options.Log == nil {
		options.Log = logger.Discard()
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	if options.Quota == nil {
		options.Quota = func(identifier.Account) (limiter.AccountQuota, bool) { return limiter.AccountQuota{}, false }
	}
	if options.Listed == nil {
		options.Listed = func() []identifier.Address { return nil }
	}
	options.Bounds = options.Bounds.withDefaults()
	return &Accountant{
		options:   options,
		metrics:   newMetrics(options.Scope),
		ledger:    newLedger(time.Now(), options.Bounds, options.Listed),
		spendings: map[identifier.Account]*spending{},
		links:     map[process]*link{},
	}
}

// Handler returns the handler for other nodes and its path prefix.
func (a *Accountant) Handler() (pathPrefix string, handler http.Handler) {
	twirpServer := accountantrpc.NewAccountantServer(&server{a})
	return twirpServer.PathPrefix(), twirpServer
}

// Run observes the view and runs the links to other nodes until ctx ends.
func (a *Accountant) Run(ctx context.Context) error {
	a.mutex.Lock()
	a.startLink = func(l *link) { l.start(ctx) }
	a.mutex.Unlock()
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	forgotAt := time.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			continue
		case <-ticker.C:
		}
		view, now := a.options.View(), time.Now()
		a.mutex.Lock()
		a.observe(now, view)
		if now.Sub(forgotAt) >= forgetInterval {
			forgotAt = now
			a.forget(now)
		}
		a.mutex.Unlock()
		a.stopLinks(func(p process) bool {
			member, known := view.Find(p.node)
			return !known || member.Incarnation != p.incarnation
		})
	}
	a.mutex.Lock()
	a.startLink = nil
	a.mutex.Unlock()
	a.stopLinks(func(process) bool { return true })
	return nil
}

// stopLinks stops the links to some processes and waits until they have ended.
func (a *Accountant) stopLinks(stops func(process) bool) {
	var stopped []*link
	a.mutex.Lock()
	maps.DeleteFunc(a.links, func(p process, l *link) bool {
		if !stops(p) {
			return false
		}
		l.stop()
		stopped = append(stopped, l)
		return true
	})
	a.mutex.Unlock()
	for _, l := range stopped {
		<-l.ended
	}
}

// observe applies the present view to the ledger. The caller must hold the mutex.
func (a *Accountant) observe(now time.Time, view *assigner.View) {
	wasAble := a.ledger.standing.able
	a.ledger.observe(now, view)
	if able := a.ledger.standing.able; able != wasAble {
		event := eventUnable
		if able {
			event = eventAble
		}
		a.options.Log.Log(event, logger.Fields{"live-share": a.ledger.standing.share, "members": len(view.Members), "suspended": view.Suspended})
	}
}

// forget drops the state of accounts that were not used for a while. The caller must hold the
// mutex.
func (a *Accountant) forget(now time.Time) {
	a.ledger.forget(now)
	idle := idleFactor * a.options.Bounds.Window
	maps.DeleteFunc(a.spendings, func(_ identifier.Account, s *spending) bool {
		s.expire(now)
		return len(s.takes) == 0 && now.Sub(s.usedAt) >= idle
	})
	a.metrics.owned.Update(float64(len(a.ledger.buckets)))
	a.metrics.used.Update(float64(len(a.spendings)))
}

// Take takes an amount from an account's quota. If it is over the quota, Take returns how long
// the caller should wait before a retry.
func (a *Accountant) Take(ctx context.Context, account identifier.Account, quota limiter.AccountQuota, amount limiter.Amount) (granted bool, retryAfter time.Duration) {
	if amount <= 0 {
		return true, 0
	}
	q := query{account: account, quota: quota, amount: amount}
	for i, candidate := range a.candidates(account) {
		q.deputy = i > 0
		if v, answered := a.query(ctx, candidate, q); answered && !v.notOwner {
			return a.conclude(processOf(candidate), &q, v)
		}
		if ctx.Err() != nil {
			return false, aloneRetryAfter
		}
	}
	return a.takeAlone(&q)
}

// spendingOf returns the state of an account. The caller must hold the mutex.
func (a *Accountant) spendingOf(account identifier.Account) *spending {
	s := a.spendings[account]
	if s == nil {
		s = &spending{}
		a.spendings[account] = s
	}
	s.usedAt = time.Now()
	s.follow(a.options.View(), account)
	return s
}

// candidates returns the owner of an account and its deputy.
func (a *Accountant) candidates(account identifier.Account) []assigner.Member {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.spendingOf(account).candidates
}

// query queries a candidate. answered is false if it did not answer in time.
func (a *Accountant) query(ctx context.Context, candidate assigner.Member, q query) (v verdict, answered bool) {
	v, decided, l := a.decideOrLink(candidate, &q)
	if decided || l == nil {
		return v, decided
	}
	a.metrics.queries.Inc(1)
	return l.query(ctx, &q)
}

// decideOrLink decides on a query if the candidate is this node. Otherwise it completes the query
// and returns the link to the candidate, or nil while Run is not running.
func (a *Accountant) decideOrLink(candidate assigner.Member, q *query) (v verdict, decided bool, l *link) {
	view := a.options.View()
	q.node = view.Self.Node
	now := time.Now()
	a.mutex.Lock()
	// Deferred, so that a panic, which ends one request, does not leave the others waiting.
	defer a.mutex.Unlock()
	s := a.spendingOf(q.account)
	if s.reportedTo != processOf(candidate) {
		q.spent = s.spentElsewhere(now, a.options.Bounds, processOf(candidate))
	}
	if candidate.Node == view.Self.Node {
		return a.decide(now, view, q), true, nil
	}
	return verdict{}, false, a.linkTo(candidate)
}

// decide decides on a query as the account's owner or deputy. The caller must hold the mutex.
func (a *Accountant) decide(now time.Time, view *assigner.View, q *query) verdict {
	a.observe(now, view)
	if quota, known := a.options.Quota(q.account); known && quota.Limited() {
		q.quota = quota
	}
	v := a.ledger.decide(now, q)
	if b := a.ledger.buckets[q.account]; b != nil && !v.granted && !v.notOwner && !v.deputy && now.Sub(b.loggedAt) >= refusalLogInterval {
		b.loggedAt = now
		a.options.Log.Log(eventOverQuota, logger.Fields{
			"account": q.account, "bucket": int64(b.level), "rate": b.quota.Rate, "burst": b.quota.Burst, "granted-in-window": int64(b.granted.sum),
			"asking-node": q.node, "amount": q.amount, "retry-after-ms": v.retryAfter.Milliseconds(),
		})
	}
	return v
}

// linkTo returns the link to a member, or nil while Run is not running. The caller must hold
// the mutex.
func (a *Accountant) linkTo(member assigner.Member) *link {
	key := processOf(member)
	l := a.links[key]
	if l == nil && a.startLink != nil {
		l = newLink(a, member)
		a.links[key] = l
		a.startLink(l)
	}
	return l
}

// conclude records a verdict.
func (a *Accountant) conclude(grantor process, q *query, v verdict) (granted bool, retryAfter time.Duration) {
	now := time.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s := a.spendingOf(q.account)
	source := sourceOwner
	if v.deputy {
		source = sourceDeputy
		v.retryAfter = min(v.retryAfter, withoutOwnerRetryAfter())
	} else {
		s.reportedTo = grantor
	}
	if v.granted {
		s.expire(now)
		s.note(taken{amount: q.amount, at: now, grantor: grantor, deputy: v.deputy, grantedAt: v.at})
	}
	a.record(now, s, q, source, grantor.node, &v)
	return v.granted, v.retryAfter
}

// takeAlone decides without the owner and its deputy.
func (a *Accountant) takeAlone(q *query) (granted bool, retryAfter time.Duration) {
	now := time.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s := a.spendingOf(q.account)
	s.expire(now)
	a.observe(now, a.options.View())
	limit := a.ledger.startShare(now) * s.aloneLimit(a.options.Bounds, q.quota, a.ledger.standing.members)
	v := verdict{granted: s.takeAlone(now, a.ledger.slotAt(now), limit, q.amount)}
	if !v.granted {
		v.retryAfter = withoutOwnerRetryAfter()
	}
	a.record(now, s, q, sourceAlone, "", &v)
	return v.granted, v.retryAfter
}

// withoutOwnerRetryAfter returns the Retry-After of a refusal that the owner did not decide on.
func withoutOwnerRetryAfter() time.Duration { return aloneRetryAfter + rand.N(aloneRetryAfter) }

// record counts a verdict and logs refusals. The caller must hold the mutex.
func (a *Accountant) record(now time.Time, s *spending, q *query, by source, decider identifier.Node, v *verdict) {
	a.metrics.recordVerdict(by, q, v.granted)
	if v.granted {
		return
	}
	s.refused++
	if now.Sub(s.loggedAt) < refusalLogInterval {
		return
	}
	a.options.Log.Log(eventRefused, logger.Fields{
		"account": q.account, "decided-by": by, "decider": decider, "amount": q.amount,
		"refused": s.refused, "retry-after-ms": v.retryAfter.Milliseconds(),
	})
	s.refused, s.loggedAt = 0, now
}

// Return gives back what a request took that has not run and never will. It does not block.
func (a *Accountant) Return(account identifier.Account, amount limiter.Amount) {
	if amount <= 0 {
		return
	}
	now, view := time.Now(), a.options.View()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s := a.spendings[account]
	if s == nil {
		return
	}
	t, known := s.remove(amount)
	if !known {
		return
	}
	a.metrics.givenBack.Inc(int64(amount))
	switch {
	case t.grantor == process{}:
		s.alone.granted.remove(t.grantedAt, float64(amount))
	case t.grantor == processOf(view.Self):
		a.observe(now, view)
		a.ledger.giveBack(now, account, amount, t.grantedAt, t.deputy)
	default:
		if l := a.links[t.grantor]; l != nil {
			l.giveBack(&accountantrpc.Return{Account: string(account), Amount: int64(amount), Slot: int64(t.grantedAt), Deputy: t.deputy})
		}
	}
}
