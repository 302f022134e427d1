package accountant

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/logger"
)

// Quota events have the numbers 6400 to 6499.
var (
	eventUnreachable = logger.Define(6400, logrus.WarnLevel, "quota owner unreachable",
		"A node that owns accounts, or is their deputy, did not answer this node's queries; the deputy is queried instead, then this node decides by itself.")
	eventReachable = logger.Define(6401, logrus.InfoLevel, "quota owner reachable",
		"The node answers queries again.")
	eventRefused = logger.Define(6402, logrus.InfoLevel, "account refused",
		"Requests of an account were refused with 429 at this node; at most one line a second for each account. decided-by says whether the account's owner, its deputy or this node alone decided, decider which node, and refused how many requests were refused since the last line.")
	eventOverQuota = logger.Define(6403, logrus.InfoLevel, "account over its quota",
		"The owner refused a request of an account; at most one line a second for each account. bucket is what its bucket has, granted-in-window what was granted in the last window.")
	eventUnable = logger.Define(6404, logrus.WarnLevel, "node owns no quotas",
		"This node was paused, or it sees no more than half of the members as alive and may be cut off. It grants a part of the tolerance of each quota only.")
	eventAble = logger.Define(6405, logrus.InfoLevel, "node can own quotas",
		"This node knows the membership and sees most of the members as alive. Its buckets start with a part of the tolerance.")
)

// source is who decided on a request.
type source string

const (
	sourceOwner  source = "owner"
	sourceDeputy source = "deputy"
	sourceAlone  source = "alone"
)

type metrics struct {
	scope                                   tally.Scope
	queries, exchanges, failures, givenBack tally.Counter
	owned, used                             tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("accountant")
	return metrics{
		scope:     scope,
		queries:   scope.Counter("queries"),
		exchanges: scope.Counter("exchanges"),
		failures:  scope.Counter("exchange-failed"),
		givenBack: scope.Counter("given-back"),
		owned:     scope.Gauge("owned-accounts"),
		used:      scope.Gauge("used-accounts"),
	}
}

// recordVerdict counts the amount of a request.
func (m metrics) recordVerdict(by source, q *query, granted bool) {
	name, unit := "refused", "requests"
	if granted {
		name = "granted"
	}
	if q.quota.Tokens {
		unit = "tokens"
	}
	m.scope.Tagged(map[string]string{"source": string(by), "unit": unit}).Counter(name).Inc(int64(q.amount))
}
