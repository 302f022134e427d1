package router

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// revocationKept is how long a revoked grant is remembered: its stream ends
// within seconds, or the grant was given back before.
const revocationKept = time.Minute

// revocationWait is how long the news of a revocation may take, a little more
// than the time between two renewals; revocationLook is the time between looks.
const (
	revocationWait = 1200 * time.Millisecond
	revocationLook = 50 * time.Millisecond
)

// revocations remembers the grants that were taken back from this node.
type revocations struct {
	mutex sync.Mutex
	until map[identifier.Grant]time.Time
}

func newRevocations() *revocations {
	return &revocations{until: map[identifier.Grant]time.Time{}}
}

func (r *revocations) add(grant identifier.Grant) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	for known, until := range r.until {
		if now.After(until) {
			delete(r.until, known)
		}
	}
	r.until[grant] = now.Add(revocationKept)
}

// await tells whether a grant is revoked within a renewal's time.
func (r *revocations) await(ctx context.Context, grant identifier.Grant) bool {
	ticker := time.NewTicker(revocationLook)
	defer ticker.Stop()
	for range revocationWait / revocationLook {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if r.take(grant) {
				return true
			}
		}
	}
	return false
}

// take tells whether a grant was revoked, and forgets it.
func (r *revocations) take(grant identifier.Grant) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, revoked := r.until[grant]
	delete(r.until, grant)
	return revoked
}
