package forwarder

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Notice is what a back end says of itself beside an answer.
type Notice struct {
	// Leaving means that the back end shuts down and will reject requests soon.
	Leaving bool
	// Pause is how long the back end wants no requests from this node; zero means none.
	Pause time.Duration
	// Rate is how many requests a second the back end takes from all nodes together; zero
	// means that it has not named a limit.
	Rate float64
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

// recordRate records the rate that a back end names. It reports how many requests this node
// has sent to it, and whether the rate is a new one.
func (b *balancer) recordRate(backend Backend, rate float64) (sent int, isNew bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r := b.statsOfSent(backend)
	isNew = rate != 0 && rate != r.namedRate
	r.namedRate = rate
	return r.sent, isNew
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

// rejecting returns the members of a list that take no requests from this node, and how
// long it takes until the first of them ends its pause; zero if none pauses.
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
