package registrar

import (
	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/logger"
)

var (
	eventNotRegistered = logger.Define(4100, logrus.WarnLevel, "node list not reached",
		"The node's entry could not be written, or the others' not read; it is tried again until it works.")
	eventUnreadable = logger.Define(4101, logrus.WarnLevel, "unreadable node entry",
		"An entry of the node list cannot be read; it names no node.")
)
