package accountant

import (
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
)

const (
	// takesLifetime is how long after it was taken an amount can be given back. It is longer
	// than a request usually waits before it is refused.
	takesLifetime = 32 * time.Second
	// maxTakes bounds the takes that are kept for one account. Older ones are not given back
	// and not reported.
	maxTakes = 512
	// aloneTokens and aloneRequests are the sizes of the whole requests that a few chosen nodes
	// may send by themselves: half as large again as a usual model request.
	aloneTokens   = 8000
	aloneRequests = 1
	// evenShare is the part of a node's allowance by itself that is divided among all nodes.
	// It serves small requests on every node; the rest serves whole requests on the chosen.
	evenShare = 0.5
)

// process identifies one run of a node's process.
type process struct {
	node        identifier.Node
	incarnation identifier.Incarnation
}

func processOf(m assigner.Member) process {
	return process{node: m.Node, incarnation: m.Incarnation}
}

// taken is an amount that this node took.
type taken struct {
	amount limiter.Amount
	at     time.Time
	// grantor is the process that granted it; zero if this node did by itself.
	grantor process
	// deputy is set if the grantor did not take it from the owner's bucket.
	deputy bool
	// grantedAt is the grantor's slot.
	grantedAt slot
}

// spending is what a node knows of one account's quota. It uses neither a clock nor messages and
// is not safe for concurrent use.
type spending struct {
	// takes are in the order of time, at most maxTakes.
	takes []taken
	// alone has what this node granted by itself.
	alone allotment
	// reportedTo is the owner that last answered this node.
	reportedTo process
	usedAt     time.Time
	// refused counts the refusals since one was last logged, at loggedAt.
	refused  int
	loggedAt time.Time
	// view is the view from which candidates and chosen were made.
	view       *assigner.View
	candidates []assigner.Member
	// rank is this node's place among all members for grants without the owner.
	rank int
}

// follow updates what depends on the view.
func (s *spending) follow(view *assigner.View, account identifier.Account) {
	if s.view == view {
		return
	}
	s.view = view
	s.candidates = view.OwnerCandidates(shardOf(account), 2)
	s.rank = 0
	for _, m := range view.Ranked("quota-alone/"+string(account), len(view.Members), func(assigner.Member) bool { return true }) {
		if m.Node == view.Self.Node {
			break
		}
		s.rank++
	}
}

// note records an amount that was granted.
func (s *spending) note(t taken) {
	if len(s.takes) >= maxTakes {
		s.takes = append(s.takes[:0], s.takes[1:]...)
	}
	s.takes = append(s.takes, t)
}

// expire drops takes that are too old to be given back.
func (s *spending) expire(now time.Time) {
	expired := 0
	for expired < len(s.takes) && now.Sub(s.takes[expired].at) >= takesLifetime {
		expired++
	}
	if expired > 0 {
		s.takes = append(s.takes[:0], s.takes[expired:]...)
	}
}

// spentElsewhere returns what the node took in the last window from others than a process.
func (s *spending) spentElsewhere(now time.Time, bounds Bounds, than process) limiter.Amount {
	var sum limiter.Amount
	for i := range s.takes {
		if t := &s.takes[i]; t.grantor != than && now.Sub(t.at) < bounds.Window {
			sum += t.amount
		}
	}
	return sum
}

// remove removes and returns the oldest take of an amount. Requests of the same amount are not
// told apart: one older than the request that did not run frees its part of a window earlier,
// and the part of the request that ran is then counted for longer, never for less time.
func (s *spending) remove(amount limiter.Amount) (taken, bool) {
	for i := range s.takes {
		if t := s.takes[i]; t.amount == amount {
			s.takes = append(s.takes[:i], s.takes[i+1:]...)
			return t, true
		}
	}
	return taken{}, false
}

// aloneLimit returns what this node may grant by itself in a window: of aloneShare of the
// tolerance, one part is divided evenly among all members, dead ones included, and the other
// among as many as it has room for whole requests.
func (s *spending) aloneLimit(bounds Bounds, quota limiter.AccountQuota, members int) float64 {
	part, whole := aloneShare*bounds.tolerance(quota), float64(aloneRequests)
	if quota.Tokens {
		whole = aloneTokens
	}
	chosen := int(min((1-evenShare)*part/whole, float64(members)))
	if s.rank < chosen {
		return evenShare*part/float64(members) + (1-evenShare)*part/float64(chosen)
	}
	return evenShare * part / float64(members)
}

// takeAlone grants an amount if this node grants no more than limit by itself in a window.
func (s *spending) takeAlone(now time.Time, at slot, limit float64, amount limiter.Amount) bool {
	if !s.alone.take(now, at, limit, float64(amount)) {
		return false
	}
	s.note(taken{amount: amount, at: now, grantedAt: at})
	return true
}
