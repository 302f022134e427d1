package accountant

import (
	"cmp"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
)

const (
	// lostTime is how long a member that died counts as possibly only cut off. Members that
	// left before do not count. A network split that lasts longer may double the quota; a fleet
	// that really has lost most of its members has its whole quota after this time.
	lostTime = 10 * time.Minute
	// listedTime is how long after its start a node counts listed nodes that it has not met as
	// possibly cut off: it may have started within a part of a split network. The list may
	// have nodes that are gone for good.
	listedTime = 30 * time.Second
	// startShare is the share of an allotment that a process has in its first window: it does
	// not know what the process before it granted.
	startShare = 0.25
	// standingInterval is how often the standing is checked without a change of the view, as
	// lostTime passes.
	standingInterval = time.Second
	// pauseTime is how long a process that observes its view each observeInterval may seem
	// silent. After a longer time it was paused, and others may have owned its accounts.
	pauseTime = time.Second
	// startTime is how long after its start a node's buckets are not refilled for handoverTime
	// after each change of the members: while all nodes start at once, their views differ.
	startTime = 2 * time.Second
	// idleFactor is after how many windows without use an account may be forgotten.
	idleFactor = 2
)

// shardOf returns the shard that the owner of an account's quota owns.
func shardOf(account identifier.Account) string { return "quota/" + string(account) }

// standing is what a node may grant as an owner, from its view.
type standing struct {
	// able is set if the node may own accounts and sees most of the members.
	able bool
	// share is the live members' share of all members.
	share float64
	// members is the number of all members, dead ones included.
	members int
}

// ledger has the buckets of the accounts that one node owns, and what it granted as their deputy.
// It uses neither a clock nor messages and is not safe for concurrent use.
//
// While the node sees no more than half of the members, another node may own its accounts. Then
// it grants no more than a deputy does.
type ledger struct {
	bounds Bounds
	// listed returns the peer addresses of the other nodes by the platform's list.
	listed func() []identifier.Address
	// startedAt is when slots are counted from.
	startedAt time.Time
	buckets   map[identifier.Account]*bucket
	deputies  map[identifier.Account]*allotment
	// returns has the last return of each node, as a message may arrive twice.
	returns map[identifier.Node]returnMark

	standing standing
	// ownedSince is since when the node has owned what it owns: the last change of the members
	// that can own accounts, the end of a pause or of a cut.
	ownedSince time.Time
	// firstAbleAt is when the node could first own accounts; zero before.
	firstAbleAt time.Time
	// view and owners, the digest of the members that can own accounts, are those last observed.
	view       *assigner.View
	owners     uint64
	observedAt time.Time
	// standingAt is when standing was last set.
	standingAt time.Time
	// lostSince has the dead members that may be cut off, and left those that have left.
	lostSince map[identifier.Node]time.Time
	left      map[identifier.Node]struct{}
}

type returnMark struct {
	incarnation identifier.Incarnation
	sequence    uint64
}

func newLedger(now time.Time, bounds Bounds, listed func() []identifier.Address) *ledger {
	return &ledger{
		listed:    listed,
		bounds:    bounds.withDefaults(),
		startedAt: now,
		buckets:   map[identifier.Account]*bucket{},
		deputies:  map[identifier.Account]*allotment{},
		returns:   map[identifier.Node]returnMark{},
		lostSince: map[identifier.Node]time.Time{},
		left:      map[identifier.Node]struct{}{},
	}
}

func (l *ledger) slotAt(now time.Time) slot {
	return slot(now.Sub(l.startedAt) / l.bounds.slotLength())
}

// observe applies the present view. It drops the buckets of accounts that the node no longer
// owns, and all buckets if others may have owned them meanwhile.
func (l *ledger) observe(now time.Time, view *assigner.View) {
	paused := !l.observedAt.IsZero() && now.Sub(l.observedAt) >= pauseTime
	l.observedAt = now
	if view == l.view && !paused && now.Sub(l.standingAt) < standingInterval {
		return
	}
	changed := view != l.view
	l.view, l.standingAt = view, now
	if changed {
		l.noteLost(now, view)
	}
	wasAble := l.standing.able
	l.standing = l.standingIn(now, view)
	if paused || l.standing.able != wasAble {
		l.ownedSince = now
		clear(l.buckets)
	}
	if l.standing.able && l.firstAbleAt.IsZero() {
		l.firstAbleAt = now
	}
	if changed {
		l.noteOwners(now, view)
	}
}

// noteOwners applies a change of the members that can own accounts.
func (l *ledger) noteOwners(now time.Time, view *assigner.View) {
	var digest xxhash.Digest
	digest.Reset()
	for i := range view.Members {
		if m := &view.Members[i]; m.State == assigner.Alive || m.State == assigner.Suspect {
			_, _ = digest.WriteString(string(m.Node))
			_, _ = digest.Write([]byte{0, byte(m.Capacity), byte(m.Capacity >> 8), byte(m.Capacity >> 16), byte(m.Capacity >> 24)})
		}
	}
	if digest.Sum64() == l.owners {
		return
	}
	l.owners, l.ownedSince = digest.Sum64(), now
	maps.DeleteFunc(l.buckets, func(account identifier.Account, _ *bucket) bool { return !view.Owns(shardOf(account)) })
	if now.Sub(l.firstAbleAt) < startTime {
		for _, b := range l.buckets {
			b.refill(now)
			b.refilledAt = now.Add(handoverTime)
		}
	}
	maps.DeleteFunc(l.returns, func(node identifier.Node, _ returnMark) bool {
		_, known := view.Find(node)
		return !known
	})
}

// noteLost updates lostSince and left.
func (l *ledger) noteLost(now time.Time, view *assigner.View) {
	lost, left := map[identifier.Node]time.Time{}, map[identifier.Node]struct{}{}
	for i := range view.Members {
		m := &view.Members[i]
		_, hasLeft := l.left[m.Node]
		switch {
		case m.State == assigner.Leaving, m.State == assigner.Dead && hasLeft:
			left[m.Node] = struct{}{}
		case m.State == assigner.Dead:
			lost[m.Node] = now
			if since, known := l.lostSince[m.Node]; known {
				lost[m.Node] = since
			}
		}
	}
	l.lostSince, l.left = lost, left
}

// standingIn returns the standing. A suspect counts as lost: in a network split, the smaller
// part then gives up its accounts before the larger part chooses new owners.
func (l *ledger) standingIn(now time.Time, view *assigner.View) standing {
	live, all, hasFirst := 0, l.countUnmet(now, view), false
	first := true
	for i := range view.Members {
		m := &view.Members[i]
		isLive := m.State == assigner.Alive || m.State == assigner.Leaving
		if since, lost := l.lostSince[m.Node]; m.State == assigner.Dead && (!lost || now.Sub(since) >= lostTime) {
			continue
		}
		if first {
			first, hasFirst = false, isLive
		}
		all++
		if isLive {
			live++
		}
	}
	// Of two halves, the one with the first member by name counts as the larger.
	return standing{
		able:    !view.Suspended && (2*live > all || 2*live == all && hasFirst),
		share:   float64(live) / float64(max(1, all)),
		members: max(all, len(view.Members)),
	}
}

// countUnmet returns how many listed nodes count as cut off as the node has not met them.
func (l *ledger) countUnmet(now time.Time, view *assigner.View) int {
	if now.Sub(l.startedAt) >= listedTime {
		return 0
	}
	known := make(map[identifier.Address]struct{}, len(view.Members))
	for i := range view.Members {
		known[view.Members[i].PeerAddress] = struct{}{}
	}
	unmet := 0
	for _, address := range l.listed() {
		if _, met := known[address]; !met {
			unmet++
		}
	}
	return unmet
}

// verdict is the answer to a query.
type verdict struct {
	// notOwner is set if the node neither owns the account nor is its deputy.
	notOwner   bool
	granted    bool
	retryAfter time.Duration
	// deputy is set if the amount was not taken from the owner's bucket.
	deputy bool
	// at is the slot at which the amount was granted.
	at slot
}

// query is one request's query.
type query struct {
	node    identifier.Node
	account identifier.Account
	quota   limiter.AccountQuota
	amount  limiter.Amount
	// deputy is set if the owner did not answer the node.
	deputy bool
	// spent is what the node took from others in the last window; zero if reported before.
	spent limiter.Amount
}

// deputyCandidates is how many candidates an account has: its owner and a deputy, and one more,
// as the views of two nodes may differ by a member.
const deputyCandidates = 3

// decide decides on a query. observe must have been called with the present view.
func (l *ledger) decide(now time.Time, q *query) verdict {
	at := l.slotAt(now)
	owns := l.view.Owns(shardOf(q.account)) && l.view.CanOwnShards()
	switch {
	case owns && l.standing.able:
		b := l.bucketOf(now, q.account, q.quota)
		b.report(now, at, l.bounds, q.node, float64(q.spent))
		granted, retryAfter := b.take(now, at, l.bounds, float64(q.amount))
		return verdict{granted: granted, retryAfter: retryAfter, at: at}
	case owns || q.deputy && l.isCandidate(q.account):
		return l.decideAsDeputy(now, at, q)
	default:
		return verdict{notOwner: true}
	}
}

func (l *ledger) isCandidate(account identifier.Account) bool {
	for _, member := range l.view.OwnerCandidates(shardOf(account), deputyCandidates) {
		if member.Node == l.view.Self.Node {
			return true
		}
	}
	return false
}

// decideAsDeputy grants from deputyShare of the tolerance. Each part of a split network may have a
// deputy, so each has the part of it that its members are of all.
func (l *ledger) decideAsDeputy(now time.Time, at slot, q *query) verdict {
	a := l.deputies[q.account]
	if a == nil {
		a = &allotment{}
		l.deputies[q.account] = a
	}
	if a.take(now, at, l.startShare(now)*l.standing.share*deputyShare*l.bounds.tolerance(q.quota), float64(q.amount)) {
		return verdict{granted: true, deputy: true, at: at}
	}
	return verdict{retryAfter: a.wait(at, l.bounds), deputy: true}
}

// startShare returns the share of the allotments that this process may use.
func (l *ledger) startShare(now time.Time) float64 {
	if now.Sub(l.startedAt) < l.bounds.Window {
		return startShare
	}
	return 1
}

// bucketOf returns an account's bucket, which it starts if there is none.
func (l *ledger) bucketOf(now time.Time, account identifier.Account, quota limiter.AccountQuota) *bucket {
	b := l.buckets[account]
	if b == nil {
		b = newBucket(now, l.ownedSince, l.bounds, quota)
		l.buckets[account] = b
	}
	if b.quota != quota {
		b.setQuota(now, l.bounds, quota)
	}
	return b
}

// giveBack returns an amount that was granted at a slot. It ignores what was granted from an
// earlier bucket, which is gone with what was taken from it.
func (l *ledger) giveBack(now time.Time, account identifier.Account, amount limiter.Amount, grantedAt slot, deputy bool) {
	if deputy {
		if a := l.deputies[account]; a != nil {
			a.granted.remove(grantedAt, float64(amount))
		}
		return
	}
	if b := l.buckets[account]; b != nil && grantedAt >= l.slotAt(b.startedAt) {
		b.giveBack(now, grantedAt, float64(amount))
	}
}

// isNewReturn reports whether a message with returns was not handled before. A message that was
// overtaken by a later one counts as handled: what it returns is lost rather than returned twice.
func (l *ledger) isNewReturn(node identifier.Node, mark returnMark) bool {
	last := l.returns[node]
	if cmp.Or(cmp.Compare(mark.incarnation, last.incarnation), cmp.Compare(mark.sequence, last.sequence)) <= 0 {
		return false
	}
	l.returns[node] = mark
	return true
}

// forget drops the accounts that were not used for a while and would start anew as they are.
func (l *ledger) forget(now time.Time) {
	at, idle := l.slotAt(now), idleFactor*l.bounds.Window
	maps.DeleteFunc(l.buckets, func(_ identifier.Account, b *bucket) bool {
		return now.Sub(b.usedAt) >= idle && now.Sub(l.ownedSince) >= fullAfter(l.bounds, b.quota) && b.isForgettable(now, at)
	})
	maps.DeleteFunc(l.deputies, func(_ identifier.Account, a *allotment) bool { return now.Sub(a.usedAt) >= idle })
}
