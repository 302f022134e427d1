package recorder

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventCommitFailed = logger.Define(3000, logrus.WarnLevel, "ledger batch failed",
		"The platform did not complete a batch in time; its claims were refused, its outcomes are retried.")
	eventForwardFailed = logger.Define(3001, logrus.InfoLevel, "ledger owner not reached",
		"The node that owns the shard did not answer; this node writes the page itself.")
	eventOutcomesNotRecorded = logger.Define(3002, logrus.ErrorLevel, "call outcomes not recorded at shutdown",
		"The ledger could not be reached while the node stopped; resends of these calls get the outcome unknown.")
	eventPruneFailed = logger.Define(3003, logrus.InfoLevel, "ledger pruning failed",
		"Old pages stay in the platform until the next try.")
)

var (
	eventLayoutUnknown = logger.Define(3004, logrus.WarnLevel, "ledger layout not known",
		"The ledger layout has not been read from the platform; claims are refused until it has.")
	eventLayoutDiffers = logger.Define(3005, logrus.WarnLevel, "ledger layout differs from the settings",
		"The stored layout is used. To change it, stop all nodes for a window and delete the layout object.")
)

func operationFields(op *operation, err error) logger.Fields {
	return logger.Fields{"operation": op.kind, "attempt": op.call.Attempt, "error": err.Error()}
}

type metrics struct {
	scope         tally.Scope
	forwardFailed tally.Counter
	commitFailed  tally.Counter
	conflicts     tally.Counter
	lostReplies   tally.Counter
	reads         tally.Counter
	writes        tally.Counter
	writtenBytes  tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("ledger")
	return metrics{
		scope:         scope,
		forwardFailed: scope.Counter("forward-failed"),
		commitFailed:  scope.Counter("commit-failed"),
		conflicts:     scope.Counter("conflicts"),
		lostReplies:   scope.Counter("lost-answers"),
		reads:         scope.Counter("store-reads"),
		writes:        scope.Counter("store-writes"),
		writtenBytes:  scope.Counter("written-bytes"),
	}
}

func (m *metrics) countClaim(verdict Verdict) {
	m.scope.Tagged(map[string]string{"verdict": string(verdict)}).Counter("claims").Inc(1)
}
