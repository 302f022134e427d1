package prober

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

// The events of this package.
var (
	eventJoined = logger.Define(4000, logrus.InfoLevel, "joined the fleet",
		"A peer answered; the node now knows the other nodes.")
	eventNoSeedAnswered = logger.Define(4001, logrus.WarnLevel, "no seed answered",
		"The node goes on alone and tries its seeds again. Check the seeds and the network unless it is the first node.")
	eventLive = logger.Define(4002, logrus.InfoLevel, "member is live",
		"A node joined, came back or replaced an earlier run.")
	eventLeaving = logger.Define(4003, logrus.InfoLevel, "member is leaving",
		"The node takes no new work and will end.")
	eventSuspect = logger.Define(4004, logrus.WarnLevel, "member is suspected",
		"Neither a kept nor a new connection nor other nodes reached it. It is dead unless it refutes this soon.")
	eventRefusesConnections = logger.Define(4012, logrus.WarnLevel, "member's address refuses connections",
		"The process ended. It is dead unless a process at its address refutes this very soon.")
	eventDead = logger.Define(4005, logrus.WarnLevel, "member is dead",
		"The node ended or could not be reached for the suspicion time. Its shards have new owners.")
	eventConnectionSilent = logger.Define(4006, logrus.WarnLevel, "kept connection went silent",
		"A new connection to the member works and replaces it. Many of these point to a device that loses connections.")
	eventSuspicionRefuted = logger.Define(4007, logrus.WarnLevel, "refuted own suspicion",
		"Others could not reach this node for a while. Look for pauses, overload or a one-way cut.")
	eventSuspended = logger.Define(4008, logrus.WarnLevel, "own process stood still",
		"The node owns nothing until a peer has told it what happened meanwhile.")
	eventResumed = logger.Define(4009, logrus.InfoLevel, "caught up after standing still",
		"The node owns shards again.")
	eventNameConflict = logger.Define(4010, logrus.ErrorLevel, "another run has this node's name",
		"Two processes use one node name, or the clock went back between two runs. Give each process its own name.")
	eventAddressReused = logger.Define(4011, logrus.InfoLevel, "member's address was taken over",
		"A later run listens at the member's address, so the member is dead.")
)
