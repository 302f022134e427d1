package dispatcher

import (
	"cmp"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/placer"
)

type metrics struct {
	scope tally.Scope
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{scope: scope.SubScope("placement")}
}

func (m metrics) recordAcquire(outcome placer.Outcome, waited time.Duration) {
	m.scope.Timer("acquire").Record(waited)
	if outcome.Placement != nil {
		m.scope.Counter("placed").Inc(1)
		return
	}
	reason := map[string]string{"reason": string(outcome.Refusal.Reason)}
	m.scope.Tagged(reason).Counter("refused").Inc(1)
}

// recordRefusal counts a refusal at the owner of a shard by its cause, and records after what time
// its caller was told to come back.
func (m metrics) recordRefusal(refusal *placer.Refusal) {
	cause := map[string]string{
		"reason":       string(refusal.Reason),
		"lacking":      cmp.Or(string(refusal.Cause.BlockedBy), "not-tried"),
		"returned":     strconv.FormatBool(refusal.Cause.IsRetry),
		"beyond-share": strconv.FormatBool(refusal.Cause.BeyondShare),
	}
	m.scope.Tagged(cause).Counter("refused-by-owner").Inc(1)
	m.scope.Timer("retry-after").Record(refusal.RetryAfter)
}

func (m metrics) increment(name string) {
	m.scope.Counter(name).Inc(1)
}
