package dispatcher

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

// Placement events have the numbers 2000 to 2999.
var (
	eventOwned = logger.Define(2000, logrus.InfoLevel, "shard owned",
		"This node now owns a pool shard: it places the shard's requests and rebuilds the shard's grants from renewals.")
	eventDropped = logger.Define(2001, logrus.InfoLevel, "shard dropped",
		"Another node owns the shard now, and this node has no cancel of the shard pending.")
	eventUnreachable = logger.Define(2010, logrus.WarnLevel, "dispatcher unreachable",
		"Exchanges with the owner of a pool shard fail; after a short wait this node places requests itself.")
	eventReachable = logger.Define(2011, logrus.InfoLevel, "dispatcher reachable",
		"Exchanges with the owner of a pool shard succeed again.")
	eventFallback = logger.Define(2012, logrus.DebugLevel, "request placed without the owner",
		"The owner was unreachable, so this node placed a request itself, using the last engine reports.")
	eventNodeGone = logger.Define(2020, logrus.InfoLevel, "node dead or replaced",
		"A node that held grants is dead or was replaced; its requests are cancelled unless a later attempt takes them over soon.")
	eventCancelled = logger.Define(2021, logrus.InfoLevel, "request cancelled on engine",
		"An engine confirmed that it no longer holds a request. The request had lost its grant, or its node is dead or was replaced.")
	eventCancelFailed = logger.Define(2022, logrus.WarnLevel, "cancel not confirmed",
		"An engine did not confirm a cancel. The cancel is retried, and the memory stays reserved until it is confirmed.")
	eventLoadFailed = logger.Define(2030, logrus.WarnLevel, "load report failed",
		"An engine's load report could not be fetched; the engine gets no new work until a report succeeds.")
	eventRefused = logger.Define(2032, logrus.InfoLevel, "demand refused by the owner",
		"The owner of a pool shard could not place a demand in time. The fields give the cause: the number of waiting demands, the number of engines that take work and the lowest predicted peak memory use of any engine; what blocked the demand, whether its caller had been refused before, and whether its account was beyond its share.")
	eventLimited = logger.Define(2040, logrus.WarnLevel, "engine limited to probes",
		"Streams or prefills on an engine fail clearly more than on the others of its role. It gets at most one in twenty of the role's grants until one succeeds. The fields have the decayed counts.")
	eventUnlimited = logger.Define(2041, logrus.InfoLevel, "engine no longer limited",
		"A probe on an engine that was limited to probes succeeded, its process was replaced, or the others of its role fail as much. It returns to its share within seconds.")
	eventInherited = logger.Define(2042, logrus.InfoLevel, "failures seen before this owner",
		"A node told a new owner which engines it had seen failing.")
	eventRevoked = logger.Define(2031, logrus.InfoLevel, "grant revoked",
		"The owner of a pool shard revoked a grant; the request has to be placed again.")
)
