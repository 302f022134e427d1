package router

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// revocationRetention is how long an unconsumed revocation is remembered. The end of the
// grant's stream normally consumes it within seconds. Nothing does if the grant was
// released first or the engine itself reported the cancellation.
const revocationRetention = time.Minute

const (
	// revocationTimeout is how long to wait for a revocation to arrive: a little more
	// than the interval between two lease renewals.
	revocationTimeout = 1200 * time.Millisecond
	// revocationPollInterval is the pause between two checks for the revocation.
	revocationPollInterval = 50 * time.Millisecond
)

// revocations remembers the grants that were revoked from this node.
type revocations struct {
	mutex    sync.Mutex
	expiries map[identifier.Grant]time.Time
}

func newRevocations() *revocations {
	return &revocations{expiries: map[identifier.Grant]time.Time{}}
}

func (r *revocations) add(grant identifier.Grant) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	for known, expiry := range r.expiries {
		if now.After(expiry) {
			delete(r.expiries, known)
		}
	}
	r.expiries[grant] = now.Add(revocationRetention)
}

// waitFor waits up to revocationTimeout and reports whether a grant is revoked.
func (r *revocations) waitFor(ctx context.Context, grant identifier.Grant) bool {
	ticker := time.NewTicker(revocationPollInterval)
	defer ticker.Stop()
	for range revocationTimeout / revocationPollInterval {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if r.consume(grant) {
				return true
			}
		}
	}
	return false
}

// consume reports whether a grant is revoked, and forgets it.
func (r *revocations) consume(grant identifier.Grant) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, revoked := r.expiries[grant]
	delete(r.expiries, grant)
	return revoked
}
