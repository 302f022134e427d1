package dispatcher

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

// The events of placement, 2000 to 2999.
var (
	eventOwned = logger.Define(2000, logrus.InfoLevel, "shard owned",
		"This node now places the requests of a pool shard and rebuilds its grants from renewals.")
	eventDropped = logger.Define(2001, logrus.InfoLevel, "shard dropped",
		"Another node places the requests of the shard now, and no order of this node is open.")
	eventUnreachable = logger.Define(2010, logrus.WarnLevel, "dispatcher unreachable",
		"The owner of a pool shard does not answer; after a short wait this node places requests alone.")
	eventReachable = logger.Define(2011, logrus.InfoLevel, "dispatcher reachable",
		"The owner of a pool shard answers again.")
	eventFallback = logger.Define(2012, logrus.DebugLevel, "request placed alone",
		"The owner could not be reached, so a request was placed on the last known reports.")
	eventNodeGone = logger.Define(2020, logrus.InfoLevel, "node gone",
		"A node that held grants is dead or was replaced; its requests are cancelled unless taken over soon.")
	eventCancelled = logger.Define(2021, logrus.InfoLevel, "request cancelled on engine",
		"An engine confirmed that it no longer holds a request whose node is gone or that lost its grant.")
	eventCancelFailed = logger.Define(2022, logrus.WarnLevel, "cancel not confirmed",
		"An engine did not confirm a cancel; it is repeated, and the memory stays booked until then.")
	eventLoadFailed = logger.Define(2030, logrus.WarnLevel, "load report failed",
		"An engine does not report its load; it gets no new work until it does.")
	eventRefused = logger.Define(2032, logrus.InfoLevel, "demand refused by the owner",
		"The owner of a pool's shard had no room in time; the fields have what decided it: the demands that wait, the engines that take work and the lowest foreseen peak of any.")
	eventRevoked = logger.Define(2031, logrus.InfoLevel, "grant revoked",
		"The dispatcher took a grant back; the request has to be placed again.")
)
