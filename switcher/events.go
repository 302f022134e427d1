package switcher

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventWanted = logger.Define(5200, logrus.InfoLevel, "engine should change its role",
		"With another split between prefill and decode a pool would serve more requests. Fields have the engine time that an average request takes of each role, the engines of each and how many prefill engines are wanted.")
	eventOrdered = logger.Define(5201, logrus.InfoLevel, "engine told to change its role",
		"The engine accepted the order; it gets nothing until its entry has the new role.")
	eventClaimed = logger.Define(5202, logrus.InfoLevel, "engine is another node's to order",
		"Another node has the claim on the engine's orders. This node sends it none.")
	eventClaimFailed = logger.Define(5203, logrus.WarnLevel, "claim on an engine failed",
		"The platform's store did not answer. The engine keeps its role; the claim is tried again.")
	eventClaimUnreadable = logger.Define(5205, logrus.WarnLevel, "claim on an engine cannot be read",
		"The claim is taken as another node's, so that the engine gets no order from this one.")
	eventClaimKept = logger.Define(5206, logrus.InfoLevel, "claim on a gone engine not removed",
		"The platform's store did not take the removal of a claim that nobody needs any more; it is tried again.")
	eventOrderFailed = logger.Define(5204, logrus.WarnLevel, "order to an engine failed",
		"The engine may or may not change its role; its entry will tell. It is not told again.")
)
