package orderer

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventLeaseAcquired = logger.Define(5100, logrus.InfoLevel, "lease on engine orders acquired",
		"This node now sends the orders to engines. The fence field is its fencing number.")
	eventLeaseLost = logger.Define(5101, logrus.InfoLevel, "lease on engine orders lost or released",
		"This node stopped sending orders to engines. Another node takes over at once after a release, otherwise once the lease has expired.")
	eventOrderSent = logger.Define(5102, logrus.InfoLevel, "order sent to an engine",
		"An engine differs from the pools table. The node reads the engine's state back to confirm the effect.")
	eventMatches = logger.Define(5103, logrus.InfoLevel, "engine matches the pools table",
		"The engine's state was read and matches its row.")
	eventFenced = logger.Define(5104, logrus.WarnLevel, "engine refused a fencing number",
		"The engine has seen a larger fencing number. This node renews its lease with a larger number, which fails if another node has taken the lease.")
	eventDraining = logger.Define(5105, logrus.InfoLevel, "waiting for engine to drain before its role changes",
		"The order waits until the engine has no running requests.")
	eventNoEffect = logger.Define(5106, logrus.WarnLevel, "order to an engine had no effect",
		"The engine is neither loading nor matches the pools table. The order is sent again.")
	eventLeaseFailing = logger.Define(5107, logrus.WarnLevel, "lease on engine orders cannot be read or written",
		"The store is down or slow, or another node wrote the lease first. Orders wait; requests are not affected.")
	eventStateReadFailed = logger.Define(5108, logrus.DebugLevel, "engine state read failed",
		"The node reads the engine's state again later.")
)
