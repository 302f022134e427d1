package prober

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

// The events of this package.
var (
	eventJoined = logger.Define(4000, logrus.InfoLevel, "joined the fleet",
		"A peer answered, so this node now knows the other nodes.")
	eventNoSeedAnswered = logger.Define(4001, logrus.WarnLevel, "no seed answered",
		"The node starts alone and retries its seeds. Check the seeds and the network unless this is the first node.")
	eventLive = logger.Define(4002, logrus.InfoLevel, "member is live",
		"A node joined, recovered or replaced an earlier run.")
	eventLeaving = logger.Define(4003, logrus.InfoLevel, "member is leaving",
		"The node takes no new work and will shut down.")
	eventSuspect = logger.Define(4004, logrus.WarnLevel, "member is suspected",
		"Pooled connections, a new connection and other nodes all failed to reach it. It is declared dead unless it refutes the suspicion within the suspicion time.")
	eventRefusesConnections = logger.Define(4012, logrus.WarnLevel, "member's address refuses connections",
		"The process has ended. The member is declared dead unless a process at its address refutes the suspicion within a shorter time.")
	eventDead = logger.Define(4005, logrus.WarnLevel, "member is dead",
		"The node shut down or was unreachable for the suspicion time. Its shards have new owners.")
	eventConnectionSilent = logger.Define(4006, logrus.WarnLevel, "pooled connection went silent",
		"A new connection to the member works and replaces it. Frequent events point to a network device that drops connections.")
	eventSuspicionRefuted = logger.Define(4007, logrus.WarnLevel, "refuted own suspicion",
		"Other nodes could not reach this node for a while. Look for pauses, overload or a one-way network failure.")
	eventSuspended = logger.Define(4008, logrus.WarnLevel, "this process was paused",
		"The node owns no shards until it has fetched the current membership from a peer.")
	eventResumed = logger.Define(4009, logrus.InfoLevel, "resumed after a pause",
		"The node owns shards again.")
	eventNameConflict = logger.Define(4010, logrus.ErrorLevel, "another process has this node's name",
		"Two processes use the same node name, or the clock went back between two runs. Give each process its own name.")
	eventAddressReused = logger.Define(4011, logrus.InfoLevel, "member's address was taken over",
		"A newer run listens at the member's address, so the member is dead.")
	eventMessageTooLong = logger.Define(4013, logrus.ErrorLevel, "broadcast message too long",
		"A message to all nodes is longer than the gossip carries and was dropped: the other nodes don't learn what it says. A fault of this program; report the topic and the size.")
	eventMessagesEvicted = logger.Define(4014, logrus.WarnLevel, "broadcast messages evicted",
		"More messages to all nodes came than a node keeps. In the last second, the field evicted tells how many were removed before their lifetime ended; nodes that had not received them by then never will.")
)
