package registrar

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventNotRegistered = logger.Define(4100, logrus.WarnLevel, "node list unavailable",
		"The node could not write its own entry or read the entries of other nodes. It retries until it succeeds.")
	eventUnreadable = logger.Define(4101, logrus.WarnLevel, "unreadable node entry",
		"An entry of the node list cannot be decoded and is skipped.")
)
