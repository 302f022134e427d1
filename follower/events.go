package follower

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventStoreLost = logger.Define(5300, logrus.WarnLevel, "store not read",
		"A read of the platform's store failed; the copies stay in force and other nodes are asked.")
	eventStoreBack = logger.Define(5301, logrus.InfoLevel, "store read again",
		"The platform's store answers this node again.")
	eventNewsUnfit = logger.Define(5303, logrus.WarnLevel, "news do not fit the copy",
		"Changes that another node told lead to another copy than they should. All of the collection is asked for.")
	eventPeerSilent = logger.Define(5302, logrus.DebugLevel, "peer tells no news",
		"Another node did not say what it knows of the store; the next source is asked.")
)
