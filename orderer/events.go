package orderer

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventLeading = logger.Define(5100, logrus.InfoLevel, "sends the orders to engines",
		"The node took the lease on orders. Fields name its fencing number.")
	eventStopped = logger.Define(5101, logrus.InfoLevel, "stopped sending orders to engines",
		"The node gave up the lease on orders or lost it. Another node takes over once the lease has run out.")
	eventOrdered = logger.Define(5102, logrus.InfoLevel, "order sent to an engine",
		"An engine differs from the pools table. The effect is read back; it is not assumed.")
	eventLevel = logger.Define(5103, logrus.InfoLevel, "engine matches the pools table",
		"The effect of an order was read back.")
	eventFenced = logger.Define(5104, logrus.WarnLevel, "engine refused a fencing number",
		"The engine has seen a newer sender. This node gives the lease up and takes a larger number.")
	eventDraining = logger.Define(5105, logrus.InfoLevel, "engine is drained before its role changes",
		"The order waits until the engine runs nothing.")
	eventOverdue = logger.Define(5106, logrus.WarnLevel, "order to an engine shows no effect",
		"The engine neither loads nor matches the pools table. The order is sent again.")
	eventLeaseFailing = logger.Define(5107, logrus.WarnLevel, "lease on orders cannot be read or renewed",
		"The store is down or slow. Orders wait; requests go on.")
	eventEngineSilent = logger.Define(5108, logrus.DebugLevel, "engine did not answer the order sender",
		"Its state is asked again later.")
)
