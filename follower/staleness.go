package follower

import (
	"time"

	"github.com/foxtailspool/foxtailspool/logger"
)

// logStaleness logs when the copies have become stale and fresh, once each.
func (f *Follower) logStaleness() {
	age := f.CopyAge()
	if age >= missingCopyAge {
		return
	}
	f.copyAges.Record(age)
	switch {
	case age >= f.options.StaleAfter && f.staleSince.IsZero():
		f.staleSince, f.staleAge = time.Now(), age
		f.options.Log.Log(eventCopyStale, logger.Fields{"age-ms": age.Milliseconds()})
	case age >= f.options.StaleAfter:
		f.staleAge = max(f.staleAge, age)
	case !f.staleSince.IsZero():
		f.options.Log.Log(eventCopyFresh, logger.Fields{"stale-ms": time.Since(f.staleSince).Milliseconds(), "largest-age-ms": f.staleAge.Milliseconds()})
		f.staleSince = time.Time{}
	}
}
