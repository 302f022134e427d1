package forwarder

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
)

// Quotas divides the rates that back ends name among the nodes. process is the start of a
// back end's process.
type Quotas interface {
	// Named records that an answer to a request sent at sentAt named a rate, or none if it is
	// zero, and reports whether that is news.
	Named(now, sentAt time.Time, member identifier.Member, process time.Time, rate limiter.Rate) (isNew bool)
	// Take takes one request from this node's share, or returns false if none is left.
	Take(now time.Time, member identifier.Member, process time.Time) bool
	// Allowance returns what this node may send.
	Allowance(now time.Time, member identifier.Member, process time.Time) limiter.Allowance
}

// unlimited implements Quotas without limits.
type unlimited struct{}

func (unlimited) Named(_, _ time.Time, _ identifier.Member, _ time.Time, _ limiter.Rate) bool {
	return false
}
func (unlimited) Take(time.Time, identifier.Member, time.Time) bool { return true }
func (unlimited) Allowance(time.Time, identifier.Member, time.Time) limiter.Allowance {
	return limiter.Allowance{}
}

// Notice is what a back end says of itself beside an answer.
type Notice struct {
	// Leaving means that the back end shuts down and will reject requests soon.
	Leaving bool
	// Pause is how long the back end wants no requests from this node; zero means none.
	Pause time.Duration
	// Rate is how many requests a second the back end takes from all nodes together; zero
	// means that it has not named a limit.
	Rate limiter.Rate
	// InvalidRate is a rate that the back end names and that can't be one, as it named it; empty
	// means none. It counts as absent.
	InvalidRate string
}

// recordNotice records what a back end says of itself. It reports whether that is new.
func (b *balancer) recordNotice(now time.Time, backend Backend, notice Notice) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r := b.statsOfSent(backend)
	if !r.started.Equal(backend.Started) {
		return false // An earlier process said it.
	}
	accepted := r.accepts(now)
	if notice.Leaving && r.leavingSince.IsZero() {
		r.leavingSince = now
	}
	if until := now.Add(notice.Pause); notice.Pause > 0 && until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
	return accepted && !r.accepts(now)
}

// accepts reports whether the back end takes requests from this node as far as it said.
func (r *backendStats) accepts(now time.Time) bool {
	return r.leavingSince.IsZero() && !now.Before(r.pausedUntil)
}

// accepts reports whether a back end takes requests from this node as far as it said.
func (b *balancer) accepts(now time.Time, backend Backend) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.statsFor(backend).accepts(now)
}

// saidLeaving reports whether a back end said that it shuts down.
func (b *balancer) saidLeaving(backend Backend) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return !b.statsOfSent(backend).leavingSince.IsZero()
}

// rejecting returns the members of a list that have said that they take no requests from this
// node, and how long it takes until the first of them ends its pause; zero if none pauses.
func (b *balancer) rejecting(now time.Time, list []Backend) (members []identifier.Member, shortestPause time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, backend := range list {
		r := b.statsFor(backend)
		if r.accepts(now) {
			continue
		}
		members = append(members, backend.Name)
		if pause := r.pausedUntil.Sub(now); r.leavingSince.IsZero() && (shortestPause == 0 || pause < shortestPause) {
			shortestPause = pause
		}
	}
	return members, shortestPause
}

// shortestWait returns how long it takes until the first back end of a list takes a request
// from this node, or zero if that is not known.
func (b *balancer) shortestWait(now time.Time, list []Backend) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	shortest := time.Duration(0)
	for _, backend := range list {
		r := b.statsFor(backend)
		allowance := b.quotas.Allowance(now, backend.Name, backend.Started)
		if allowance.Never || !r.leavingSince.IsZero() {
			continue
		}
		if wait := max(allowance.Wait, r.pausedUntil.Sub(now)); shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
