package switcher

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventRoleChangeWanted = logger.Define(5200, logrus.InfoLevel, "engine role change wanted",
		"A different split between prefill and decode engines would let the pool serve more requests. The fields give the engine time that an average request takes in each role, the number of engines in each role and the wanted number of prefill engines.")
	eventOrderAccepted = logger.Define(5201, logrus.InfoLevel, "engine accepted role change",
		"The engine accepted the order. It gets no requests until its entry has the new role.")
	eventClaimedElsewhere = logger.Define(5202, logrus.InfoLevel, "engine claimed by another process",
		"Another process holds the claim on the engine, so this one sends it no order.")
	eventClaimFailed = logger.Define(5203, logrus.WarnLevel, "claim on an engine failed",
		"The platform's store did not answer. The engine keeps its role and the claim is retried.")
	eventClaimUnreadable = logger.Define(5205, logrus.WarnLevel, "claim on an engine cannot be read",
		"The node treats the claim as another node's and sends the engine no order.")
	eventClaimRemovalFailed = logger.Define(5206, logrus.InfoLevel, "stale claim on an engine not removed",
		"The platform's store did not delete the claim on an engine that is no longer listed. The removal is retried.")
	eventOrderFailed = logger.Define(5204, logrus.WarnLevel, "order to an engine failed",
		"The engine may or may not change its role; its entry shows the result. The order is not sent again.")
	eventOrdersSuspended = logger.Define(5207, logrus.InfoLevel, "orders suspended after a restore of the store",
		"The platform's store was restored from a backup, or had been before the node started. Claims may be missing in it, so the node sends no order for the given time and writes its own claims again.")
	eventClaimRestored = logger.Define(5208, logrus.InfoLevel, "claim on an engine confirmed after a restore",
		"The node's claim on an engine is in the restored store: it survived, or the node wrote it again.")
	eventClaimRestoreFailed = logger.Define(5209, logrus.WarnLevel, "claim on an engine not confirmed after a restore",
		"The platform's store did not answer. The node tries again until it succeeds or the engine has been unlisted for a minute.")
	eventClaimLost = logger.Define(5210, logrus.WarnLevel, "claim on an engine lost in a restore",
		"Another process holds the claim on the engine in the restored store. The node keeps out of the engine's orders from now on.")
)
