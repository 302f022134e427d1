package placer

import (
	"time"

	"github.com/foxtailspool/foxtailspool/limiter"
)

// hasQuota reports whether the engine takes another request now.
func (e *engine) hasQuota(now time.Time) bool {
	if e.Rate <= 0 {
		return true
	}
	e.quota.Refill(now, e.Rate)
	return e.quota.Ready()
}

// takeQuota counts a request to the engine.
func (e *engine) takeQuota() {
	if e.Rate > 0 {
		e.quota.Take()
	}
}

// prepareRate is called before Rate changes. An engine has nothing saved up when its limit
// begins.
func (e *engine) prepareRate(rate float64) {
	if e.Rate <= 0 || rate <= 0 {
		e.quota = limiter.Bucket{}
	}
}
